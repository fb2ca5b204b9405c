package hollow

import (
	"context"
	"time"
)

// pace calls do count times at even intervals over span, until ctx is done or a call fails. A call that takes longer than one
// interval delays the following ones; calls that would start after span are skipped.
func pace(ctx context.Context, span time.Duration, count int, do func(i int) error) error {
	if count <= 0 {
		return sleep(ctx, span)
	}
	start := time.Now()
	step := span / time.Duration(count)
	for i := range count {
		if err := sleep(ctx, time.Duration(i+1)*step-time.Since(start)); err != nil {
			return err
		}
		if time.Since(start) > span {
			return nil
		}
		if err := do(i); err != nil {
			return err
		}
	}
	return nil
}

// sleep returns after span, or returns the context's error once ctx is done.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(max(span, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
