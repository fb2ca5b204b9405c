package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/standin/fleet"
)

// quotaPeriod is the span in which a process may use its part of a core, and rests for the remainder.
const quotaPeriod = 100 * time.Millisecond

// throttle gives each process a quota of its core, in turns that don't coincide, until the context is done.
func throttle(ctx context.Context, processes []*fleet.Process, share float64) {
	var all sync.WaitGroup
	for i, process := range processes {
		begin := quotaPeriod * time.Duration(i) / time.Duration(len(processes))
		all.Go(func() { throttleOne(ctx, process, begin, share) })
	}
	all.Wait()
}

func throttleOne(ctx context.Context, process *fleet.Process, begin time.Duration, share float64) {
	running := time.Duration(share * float64(quotaPeriod))
	if !wait(ctx, begin) {
		return
	}
	for wait(ctx, running) {
		_ = process.Signal(syscall.SIGSTOP) // one that has ended needs none
		again := wait(ctx, quotaPeriod-running)
		_ = process.Signal(syscall.SIGCONT)
		if !again {
			return
		}
	}
}

// wait waits, and reports whether the context is still good.
func wait(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
