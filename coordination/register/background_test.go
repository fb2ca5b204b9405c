package register

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestBackgroundTaskIsBusyUntilItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var task backgroundTask
		require.False(t, task.busy())
		for range 2 {
			finish := make(chan struct{})
			task.start(func() { <-finish })
			synctest.Wait()
			require.True(t, task.busy())
			close(finish)
			synctest.Wait()
			require.False(t, task.busy())
		}
	})
}
