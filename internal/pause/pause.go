// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for a span, or until the context is done. It reports whether the context is still good.
func For(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
