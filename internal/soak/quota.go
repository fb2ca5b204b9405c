package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/pause"
	"weldscale/internal/standin/fleet"
)

// quotaPeriod is the period of a CPU quota: a process runs for its share of the period and is stopped for the rest.
const quotaPeriod = 100 * time.Millisecond

// throttle limits each process to a share of a core until ctx is done. The periods of the processes are offset evenly, so
// that they don't coincide.
func throttle(ctx context.Context, processes []*fleet.Process, share float64) {
	var all sync.WaitGroup
	for i, process := range processes {
		offset := quotaPeriod * time.Duration(i) / time.Duration(len(processes))
		all.Go(func() { throttleOne(ctx, process, offset, share) })
	}
	all.Wait()
}

// throttleOne limits one process with SIGSTOP and SIGCONT, after an initial offset.
func throttleOne(ctx context.Context, process *fleet.Process, offset time.Duration, share float64) {
	running := time.Duration(share * float64(quotaPeriod))
	if !pause.For(ctx, offset) {
		return
	}
	for pause.For(ctx, running) {
		_ = process.Signal(syscall.SIGSTOP) // an error means that the process has exited
		proceed := pause.For(ctx, quotaPeriod-running)
		_ = process.Signal(syscall.SIGCONT)
		if !proceed {
			return
		}
	}
}
