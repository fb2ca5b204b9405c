package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForSleepsUntilTheSpanEndsOrTheContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(started))
		require.True(t, For(t.Context(), 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started = time.Now()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, time.Second, time.Since(started))
		require.False(t, For(ctx, 0), "the context is already done")
	})
}
