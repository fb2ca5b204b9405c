package faults

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// This file manages processes: it starts and signals them, waits for their exit, and logs the lines that they write to
// standard error.

// Process is a program that can be started, stalled, killed and restarted under one name.
type Process struct {
	Name string
	Path string
	Args []string
	Env  []string // added to the environment of this process
	// Dir is the directory of the process, created by Start and deleted by RemoveDir. It is empty if there is none.
	Dir string
	// Ready reports whether the process serves requests. If it is nil, AwaitReady doesn't wait.
	Ready func(ctx context.Context) bool

	log    *Log
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process started last has exited
}

// Start starts the process and logs its events to log. It returns an error if the process is running. The caller must end
// the process with Kill or Stop.
func (p *Process) Start(log *Log) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("faults: %s is already running", p.Name)
	}
	p.log = log
	if p.Dir != "" {
		if err := os.MkdirAll(p.Dir, 0o700); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stderr = &lineLogger{log: log, who: p.Name}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process if this one dies
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	log.Add(p.Name, "start", 0, "")
	go func() {
		err := cmd.Wait()
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		log.Add(p.Name, "end", 0, reason)
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// AwaitReady waits until Ready reports true. It returns an error if the process exits or ctx ends before that.
func (p *Process) AwaitReady(ctx context.Context) error {
	for p.Ready != nil && !p.Ready(ctx) {
		if !p.Running() {
			return fmt.Errorf("faults: %s exited before it was ready", p.Name)
		}
		if !sleep(10*time.Millisecond, ctx.Done()) {
			return fmt.Errorf("faults: %s is not ready: %w", p.Name, ctx.Err())
		}
	}
	return nil
}

// Running reports whether the process has been started and has not exited. A stalled process counts as running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends a signal to the process and logs it. It returns an error if the process is not running.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("faults: " + p.Name + " is not running")
	}
	p.log.Add(p.Name, "signal", float64(sig), sig.String())
	return p.cmd.Process.Signal(sig)
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// awaitExit waits until the process started last has exited. It reports false if that takes longer than timeout.
func (p *Process) awaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill sends SIGKILL, which also ends a stalled process, and waits up to a minute for its exit. It does nothing if the
// process is not running.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		p.awaitExit(time.Minute)
	}
}

// Stop sends SIGTERM, and kills the process if it has not exited within timeout.
func (p *Process) Stop(timeout time.Duration) {
	if p.Signal(syscall.SIGTERM) == nil && !p.awaitExit(timeout) {
		p.Kill()
	}
}

// RemoveDir deletes the directory of the process, as if its machine were lost. It does nothing if there is no directory or
// the process is running.
func (p *Process) RemoveDir() error {
	if p.Dir == "" || p.Running() {
		return nil
	}
	p.log.Add(p.Name, "forgot", 0, "")
	return os.RemoveAll(p.Dir)
}

// lineLogger is an io.Writer that logs each line a process writes as an event. Lines longer than maxLineBytes are split, and
// the byte after each piece is dropped.
type lineLogger struct {
	log     *Log
	who     string
	pending []byte
}

const maxLineBytes = 4 << 10

func (w *lineLogger) Write(b []byte) (int, error) {
	w.pending = append(w.pending, b...)
	for {
		i := bytes.IndexByte(w.pending, '\n')
		if i < 0 && len(w.pending) > maxLineBytes {
			i = maxLineBytes
		}
		if i < 0 {
			return len(b), nil
		}
		w.log.Add(w.who, "line", 0, string(w.pending[:i]))
		w.pending = w.pending[min(i+1, len(w.pending)):]
	}
}
