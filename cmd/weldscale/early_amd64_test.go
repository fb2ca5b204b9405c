//go:build cgo

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"weldscale/internal/standin"
)

// These tests send signals before the program has installed its signal handlers. They find system calls by amd64's registers.

// startPausedAt starts the program, pauses it at its first system call with this number, calls whilePaused and lets it run on.
// The Go runtime's start begins with SCHED_GETAFFINITY. At that point the libraries are loaded, and none of the program's Go
// code has run yet.
func startPausedAt(t *testing.T, path string, log *programLog, syscallNumber uint64, whilePaused func(pid int)) *exec.Cmd {
	runtime.LockOSThread() // ptrace requests must come from the tracing thread
	defer runtime.UnlockOSThread()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WELDSCALE_TEST=program", "GW_CONFIG="+path)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	pid := cmd.Process.Pid
	var status syscall.WaitStatus
	_, err := syscall.Wait4(pid, &status, 0, nil)
	require.NoError(t, err)
	for paused := false; !paused; {
		require.NoError(t, syscall.PtraceSyscall(pid, 0))
		_, err = syscall.Wait4(pid, &status, 0, nil)
		require.NoError(t, err)
		require.False(t, status.Exited() || status.Signaled(), "the program ended before the system call")
		var regs syscall.PtraceRegs
		require.NoError(t, syscall.PtraceGetRegs(pid, &regs))
		paused = regs.Orig_rax == syscallNumber
	}
	whilePaused(pid)
	if err := syscall.PtraceDetach(pid); err != syscall.ESRCH { // another thread may have got the signal and ended the process
		require.NoError(t, err)
	}
	return cmd
}

// A stop signal that arrived before the signal handlers were installed once ended the program by the default action, like a
// crash. No request has been accepted by then, so the exit status must be 0, before any Go code has run and after.
func TestStopBeforeSignalHandlers(t *testing.T) {
	for _, syscallNumber := range []uint64{unix.SYS_SCHED_GETAFFINITY, unix.SYS_SIGALTSTACK, unix.SYS_EPOLL_CREATE1} {
		for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, standin.SchedulerConfig{Discovery: "127.0.0.1:1"})
			log := &programLog{changed: make(chan struct{}, 1)}
			cmd := startPausedAt(t, path, log, syscallNumber, func(pid int) {
				for _, s := range []syscall.Signal{syscall.SIGUSR1, syscall.SIGHUP, sig} {
					require.NoError(t, syscall.Kill(pid, s))
				}
			})
			assert.NoError(t, cmd.Wait(), "%v at system call %d: %s", sig, syscallNumber, log.text)
		}
	}
}

// A reload signal that arrived before the signal handlers were installed once ended the program by the default action. The
// program must serve with the new configuration, and must also handle a later reload.
func TestReloadBeforeSignalHandlers(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	oldDiscovery, newDiscovery := startDiscovery(t), startDiscovery(t, w.Entry("SERVING"))
	path := filepath.Join(t.TempDir(), "config.json")
	schedulerConfig := standin.SchedulerConfig{Discovery: oldDiscovery.Addr()}
	writeConfig(t, path, schedulerConfig)
	log := &programLog{changed: make(chan struct{}, 1)}
	cmd := startPausedAt(t, path, log, unix.SYS_SCHED_GETAFFINITY, func(pid int) {
		schedulerConfig.Discovery, schedulerConfig.Known = newDiscovery.Addr(), newDiscovery.Known()
		writeConfig(t, path, schedulerConfig)
		require.NoError(t, syscall.Kill(pid, syscall.SIGHUP))
	})
	addr := log.awaitAddr(t)
	status, _, err := standin.SendJob(client(), addr, "", "one", &standin.JobKind{Class: "view", Budget: testTimeout, Body: 5})
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
	assert.Empty(t, oldDiscovery.Calls())
}
