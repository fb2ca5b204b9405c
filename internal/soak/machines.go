package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/pause"
	"weldscale/internal/standin/fleet"
)

// restartDelay lies between the exit of a process and its restart.
const restartDelay = 500 * time.Millisecond

// supervisor signals and restarts processes as the platform does, and records those that outlast the grace period or exit
// on their own.
type supervisor struct {
	gracePeriod time.Duration
	restarting  sync.WaitGroup

	mu       sync.Mutex
	stopping map[*fleet.Process]bool // processes with a restart in progress
	problems []string
	restarts int
}

func newSupervisor(gracePeriod time.Duration) *supervisor {
	return &supervisor{gracePeriod: gracePeriod, stopping: map[*fleet.Process]bool{}}
}

// addProblem records a broken rule.
func (s *supervisor) addProblem(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, values...))
}

// signal sends a signal. A process that has just exited is not an error.
func (s *supervisor) signal(process *fleet.Process, signal os.Signal) {
	if err := process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.addProblem("%s: %v", process.Name, err)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period, and restarts the process. A process that is already stopping gets
// the signal, but its grace period doesn't start anew. stop reports whether the process was not stopping before.
func (s *supervisor) stop(process *fleet.Process) bool {
	return s.restart(process, syscall.SIGTERM)
}

// kill sends SIGKILL and restarts the process.
func (s *supervisor) kill(process *fleet.Process) {
	s.restart(process, syscall.SIGKILL)
}

// restart sends the signal and, unless a restart is in progress, restarts the process in the background once it has exited. It
// reports whether it began a restart.
func (s *supervisor) restart(process *fleet.Process, signal syscall.Signal) bool {
	s.mu.Lock()
	inProgress := s.stopping[process]
	s.stopping[process] = true
	s.mu.Unlock()
	exited := process.Ended()
	s.signal(process, signal)
	if inProgress {
		return false
	}
	s.restarting.Go(func() {
		s.awaitExit(process, exited)
		pause.For(context.Background(), restartDelay)
		s.mu.Lock()
		delete(s.stopping, process)
		s.restarts++
		s.mu.Unlock()
		if err := process.Start(); err != nil {
			s.addProblem("%s could not be restarted: %v", process.Name, err)
		}
	})
	return true
}

// awaitExit waits for the exit of a process. It kills the process and records a problem after the grace period.
func (s *supervisor) awaitExit(process *fleet.Process, exited <-chan struct{}) {
	timer := time.NewTimer(s.gracePeriod)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		s.addProblem("END: %s is still running %v after SIGTERM", process.Name, s.gracePeriod)
		process.Kill()
	}
}

// awaitRestarts waits until all restarts in progress are complete.
func (s *supervisor) awaitRestarts() { s.restarting.Wait() }

// checkRunning records a problem for each process that has exited on its own.
func (s *supervisor) checkRunning(processes []*fleet.Process) {
	for _, process := range processes {
		select {
		case <-process.Ended():
			s.addProblem("END: %s exited on its own: %s", process.Name, lastLine(process.Log()))
		default:
		}
	}
}
