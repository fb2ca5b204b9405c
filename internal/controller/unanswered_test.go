package controller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against flooding the log when an operator resends many times a second to a controller that is cut off.
func TestUnansweredChangesAreLoggedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newFakeRegister()
		node.quorumAge = 2 * maxQuorumAge // cut off from the others
		core, logged := observer.New(zap.WarnLevel)
		api := newOperatorAPI(node, zap.New(core))
		const retryInterval = 50 * time.Millisecond
		for range 2*unansweredLogInterval/retryInterval + 1 {
			require.Equal(t, http.StatusServiceUnavailable, sendChangeTo(api, "0", configBody(1)).Code)
			time.Sleep(retryInterval) // virtual time
		}
		lines := logged.All()
		require.Len(t, lines, 3)
		require.EqualValues(t, 1, lines[0].ContextMap()["changes"])
		require.EqualValues(t, unansweredLogInterval/retryInterval, lines[1].ContextMap()["changes"])
	})
}
