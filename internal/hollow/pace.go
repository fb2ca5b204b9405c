package hollow

import (
	"context"
	"time"
)

// pace calls do in even steps, count times over a span, until ctx is done. A call that takes longer than a step delays the
// next ones, and the steps that it misses are not made up.
func pace(ctx context.Context, span time.Duration, count int, do func(i int) error) error {
	if count <= 0 {
		return wait(ctx, span)
	}
	ticker := time.NewTicker(span / time.Duration(count))
	defer ticker.Stop()
	end := time.NewTimer(span)
	defer end.Stop()
	for i := range count {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			return nil
		case <-ticker.C:
			if err := do(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// wait returns after a span, or with an error once ctx is done.
func wait(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
