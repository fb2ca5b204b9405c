package fleetdemo

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/standin/fleet"
)

func TestRunEndsAfterItsDurationAndPrintsTable(t *testing.T) {
	programs := t.TempDir()
	require.NoError(t, fleet.Build(programs))
	var out bytes.Buffer
	require.NoError(t, Run(t.Context(), Options{Programs: programs, Routers: 2, For: 3 * time.Second, Load: 0.5}, &out), "%s", &out)
	require.Contains(t, out.String(), "the controller is back")
	require.Contains(t, out.String(), "TRIED AGAIN")
	require.Contains(t, out.String(), "No rule was broken")
}

func TestRunRejectsMissingProgramsAndInvalidOptions(t *testing.T) {
	require.ErrorContains(t, Run(t.Context(), Options{Programs: t.TempDir(), Routers: 2, For: 3 * time.Second, Load: 1},
		nil), "weldrouter is not in")
	require.ErrorContains(t, Run(t.Context(), Options{Routers: 0, For: 3 * time.Second, Load: 1}, nil), "routers")
}
