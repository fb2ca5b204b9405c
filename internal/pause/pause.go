// Package pause provides a sleep that a context can interrupt. Poll and retry loops use it.
package pause

import (
	"context"
	"time"
)

// For sleeps for span or until ctx is done, whichever comes first. It reports whether ctx is not done.
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
