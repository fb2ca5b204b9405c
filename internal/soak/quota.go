package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/pause"
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
	if !pause.For(ctx, begin) {
		return
	}
	for pause.For(ctx, running) {
		_ = process.Signal(syscall.SIGSTOP) // one that has ended needs none
		again := pause.For(ctx, quotaPeriod-running)
		_ = process.Signal(syscall.SIGCONT)
		if !again {
			return
		}
	}
}
