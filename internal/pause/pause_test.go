package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsForTheSpanOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(began))
		require.True(t, For(t.Context(), 0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, time.Second, time.Since(began))
		require.False(t, For(ctx, 0), "the context is done already")
	})
}
