package register

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestBackgroundTaskIsBusyUntilItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps backgroundTask
		require.False(t, steps.busy())
		for range 2 {
			end := make(chan struct{})
			steps.start(func() { <-end })
			synctest.Wait()
			require.True(t, steps.busy())
			close(end)
			synctest.Wait()
			require.False(t, steps.busy())
		}
	})
}
