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

// The moment before the program's handlers stand. System calls are told apart by amd64's registers.

// startHeld starts the program and holds it at its first system call of that number. The first of Go's own start is
// SCHED_GETAFFINITY: its libraries are loaded, and none of its Go code has run yet. then is called there, before it goes on.
func startHeld(t *testing.T, path string, log *logged, point uint64, then func(pid int)) *exec.Cmd {
	runtime.LockOSThread() // the tracer is one thread
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
	for held := false; !held; {
		require.NoError(t, syscall.PtraceSyscall(pid, 0))
		_, err = syscall.Wait4(pid, &status, 0, nil)
		require.NoError(t, err)
		require.False(t, status.Exited() || status.Signaled(), "it ended before")
		var regs syscall.PtraceRegs
		require.NoError(t, syscall.PtraceGetRegs(pid, &regs))
		held = regs.Orig_rax == point
	}
	then(pid)
	if err := syscall.PtraceDetach(pid); err != syscall.ESRCH { // another thread of it may have taken the signal, and ended it
		require.NoError(t, err)
	}
	return cmd
}

// A stop that is asked for before the program's handlers stand ended it by the system's default, as a crash does. Nothing was
// taken: it ends with 0, before any of Go's code has run and after.
func TestStopBeforeTheHandlersStand(t *testing.T) {
	for _, point := range []uint64{unix.SYS_SCHED_GETAFFINITY, unix.SYS_SIGALTSTACK, unix.SYS_EPOLL_CREATE1} {
		for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, standin.SchedulerConfig{Discovery: "127.0.0.1:1"})
			log := &logged{news: make(chan struct{}, 1)}
			cmd := startHeld(t, path, log, point, func(pid int) {
				for _, s := range []syscall.Signal{syscall.SIGUSR1, syscall.SIGHUP, sig} {
					require.NoError(t, syscall.Kill(pid, s))
				}
			})
			assert.NoError(t, cmd.Wait(), "%v at system call %d: %s", sig, point, log.text)
		}
	}
}

// A reload that is asked for before the program's handlers stand ended it by the system's default. What was asked for is in
// force once it serves, and so is what is asked for later.
func TestReloadBeforeTheHandlersStand(t *testing.T) {
	a := startWorker(t, standin.WorkerConfig{Name: "a"})
	old, d := startDiscovery(t), startDiscovery(t, a.Entry("SERVING"))
	path := filepath.Join(t.TempDir(), "config.json")
	site := standin.SchedulerConfig{Discovery: old.Addr()}
	writeConfig(t, path, site)
	log := &logged{news: make(chan struct{}, 1)}
	cmd := startHeld(t, path, log, unix.SYS_SCHED_GETAFFINITY, func(pid int) {
		site.Discovery, site.Known = d.Addr(), d.Known()
		writeConfig(t, path, site)
		require.NoError(t, syscall.Kill(pid, syscall.SIGHUP))
	})
	addr := log.listens(t)
	status, _, err := standin.SendJob(client(), addr, "", "one", &standin.JobKind{Class: "view", Budget: patience, Body: 5})
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
	assert.Empty(t, old.Calls())
}
