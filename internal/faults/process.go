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

// This file owns the processes: their starts, signals and ends, and the lines that they write.

// Process is a program that is started, stalled, killed and started again under one name.
type Process struct {
	Name string
	Path string
	Args []string
	Env  []string // beside our own
	// Dir is a directory that is its own; a restart may take it away. "": it has none.
	Dir string
	// Ready, if set, reports whether it serves.
	Ready func(ctx context.Context) bool

	log *Log
	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when that start of it has ended
}

// Start starts it. Whoever starts processes ends them: see Kill.
func (p *Process) Start(log *Log) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("faults: %s runs", p.Name)
	}
	p.log = log
	if p.Dir != "" {
		if err := os.MkdirAll(p.Dir, 0o700); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stderr = &lines{log: log, who: p.Name}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left where we end
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	p.cmd, p.end = cmd, end
	log.Add(p.Name, "start", 0, "")
	go func() {
		err := cmd.Wait()
		why := ""
		if err != nil {
			why = err.Error()
		}
		log.Add(p.Name, "end", 0, why)
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(end)
	}()
	return nil
}

// AwaitReady waits until it serves.
func (p *Process) AwaitReady(ctx context.Context) error {
	for p.Ready != nil && !p.Ready(ctx) {
		if !p.Running() {
			return fmt.Errorf("faults: %s has ended", p.Name)
		}
		if !sleep(10*time.Millisecond, ctx.Done()) {
			return fmt.Errorf("faults: %s does not serve: %w", p.Name, ctx.Err())
		}
	}
	return nil
}

// Running reports whether it has been started and not ended; one that is stalled runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends it a signal.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("faults: " + p.Name + " does not run")
	}
	p.log.Add(p.Name, "signal", float64(sig), sig.String())
	return p.cmd.Process.Signal(sig)
}

// PID is its process number; 0: it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// wait waits for the end of the present start.
func (p *Process) wait(span time.Duration) bool {
	p.mu.Lock()
	end := p.end
	p.mu.Unlock()
	if end == nil {
		return true
	}
	select {
	case <-end:
		return true
	case <-time.After(span):
		return false
	}
}

// Kill ends it at once, also where it is stalled. One that does not run is left alone.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		p.wait(time.Minute)
	}
}

// Stop asks it to end, and kills it after the span.
func (p *Process) Stop(span time.Duration) {
	if p.Signal(syscall.SIGTERM) == nil && !p.wait(span) {
		p.Kill()
	}
}

// RemoveDir takes its directory away, as a machine that is lost does.
func (p *Process) RemoveDir() error {
	if p.Dir == "" || p.Running() {
		return nil
	}
	p.log.Add(p.Name, "forgot", 0, "")
	return os.RemoveAll(p.Dir)
}

// lines makes events of what a process writes.
type lines struct {
	log  *Log
	who  string
	rest []byte
}

const longestLine = 4 << 10

func (w *lines) Write(b []byte) (int, error) {
	w.rest = append(w.rest, b...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 && len(w.rest) > longestLine {
			i = longestLine
		}
		if i < 0 {
			return len(b), nil
		}
		w.log.Add(w.who, "line", 0, string(w.rest[:i]))
		w.rest = w.rest[min(i+1, len(w.rest)):]
	}
}
