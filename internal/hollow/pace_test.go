package hollow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Calls are made at even intervals, the last one at the end of the span.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var at []time.Duration
		require.NoError(t, pace(t.Context(), 4*time.Second, 3, func(int) error {
			at = append(at, time.Since(start).Round(time.Millisecond))
			return nil
		}))
		assert.Equal(t, []time.Duration{1333 * time.Millisecond, 2667 * time.Millisecond, 4 * time.Second}, at)
	})
}

// Calls delayed by slow ones are not made after the span.
func TestPaceWithSlowCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		start := time.Now()
		require.NoError(t, pace(t.Context(), 10*time.Second, 10, func(int) error {
			calls++
			return sleep(t.Context(), 3500*time.Millisecond)
		}))
		assert.Less(t, calls, 5)
		assert.Less(t, time.Since(start), 14*time.Second)
	})
}

// With a count of 0, pace sleeps for the span. A failed call and a cancelled context end it early.
func TestPaceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.NoError(t, pace(t.Context(), time.Second, 0, nil))
		assert.Equal(t, time.Second, time.Since(start))
		failure := errors.New("no")
		assert.ErrorIs(t, pace(t.Context(), time.Second, 2, func(int) error { return failure }), failure)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, pace(cancelled, time.Hour, 2, func(int) error { return nil }), context.Canceled)
	})
}
