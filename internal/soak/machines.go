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

// restartAfter lies between the end of a process and its next start.
const restartAfter = 500 * time.Millisecond

// supervisor stops processes as the platform does, starts them again and sees to it that none ends by itself.
type supervisor struct {
	grace time.Duration
	work  sync.WaitGroup

	mu       sync.Mutex
	stopping map[*fleet.Process]bool // somebody waits for its end to start it again
	problems []string
	restarts int
}

func newSupervisor(grace time.Duration) *supervisor {
	return &supervisor{grace: grace, stopping: map[*fleet.Process]bool{}}
}

func (s *supervisor) problem(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, values...))
}

// signal sends a signal; a process that has just ended needs none.
func (s *supervisor) signal(process *fleet.Process, signal os.Signal) {
	if err := process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.problem("%s: %v", process.Name, err)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace, and starts the process again. One that is stopping already gets the signal,
// and its grace goes on. It reports whether the process was not stopping yet.
func (s *supervisor) stop(process *fleet.Process) bool {
	return s.restart(process, syscall.SIGTERM)
}

// kill ends a process at once and starts it again.
func (s *supervisor) kill(process *fleet.Process) {
	s.restart(process, syscall.SIGKILL)
}

func (s *supervisor) restart(process *fleet.Process, signal syscall.Signal) bool {
	s.mu.Lock()
	waited := s.stopping[process]
	s.stopping[process] = true
	s.mu.Unlock()
	ended := process.Ended()
	s.signal(process, signal)
	if waited {
		return false
	}
	s.work.Go(func() {
		s.await(process, ended)
		pause.For(context.Background(), restartAfter)
		s.mu.Lock()
		delete(s.stopping, process)
		s.restarts++
		s.mu.Unlock()
		if err := process.Start(); err != nil {
			s.problem("%s does not start: %v", process.Name, err)
		}
	})
	return true
}

// await waits for the end of a process, and kills it when the grace is over.
func (s *supervisor) await(process *fleet.Process, ended <-chan struct{}) {
	timer := time.NewTimer(s.grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		s.problem("END: %s is still there %v after SIGTERM", process.Name, s.grace)
		process.Kill()
	}
}

// settle waits until all processes that were stopped have started again.
func (s *supervisor) settle() { s.work.Wait() }

// checkRunning finds processes that have ended by themselves.
func (s *supervisor) checkRunning(processes []*fleet.Process) {
	for _, process := range processes {
		select {
		case <-process.Ended():
			s.problem("END: %s has ended by itself: %s", process.Name, lastLine(process.Log()))
		default:
		}
	}
}
