package hollow

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetconfig"
	"weldscale/internal/standin/platform"
)

func smallDeployment() deployment {
	return deployment{models: 3, tenants: 7, workers: 500, zones: zones, subnet: "127.0.16"}
}

// Generated configurations are valid, and consecutive versions differ in two routes: one returns to the default timeout and the
// next one gets its own.
func TestConfigIsValid(t *testing.T) {
	body, err := json.Marshal(smallDeployment().config(5))
	require.NoError(t, err)
	config, err := fleetconfig.Parse(body)
	require.NoError(t, err)
	assert.Len(t, config.Routes, 7)
	assert.Len(t, config.Services, 3)
	differ := 0
	after := smallDeployment().config(6)
	before := smallDeployment().config(5)
	for i := range before.Routes {
		if before.Routes[i].TimeoutMs != after.Routes[i].TimeoutMs {
			differ++
		}
	}
	assert.Equal(t, 2, differ, "one route returns to the default timeout and another gets its own")
}

// Workers have unique IDs and addresses, and 36% of them are prefill workers.
func TestList(t *testing.T) {
	ids, addresses, prefill := map[string]bool{}, map[string]bool{}, 0
	for _, worker := range smallDeployment().list() {
		ids[worker.ID], addresses[worker.Address] = true, true
		if worker.Stage == "prefill" {
			prefill++
		}
	}
	assert.Len(t, ids, 500)
	assert.Len(t, addresses, 500)
	assert.Equal(t, 180, prefill)
}

// Each change alters one existing worker.
func TestChangedWorker(t *testing.T) {
	all := map[string]platform.Instance{}
	for _, worker := range smallDeployment().list() {
		all[worker.ID] = worker
	}
	for change := 1; change < 2000; change++ {
		worker := smallDeployment().changedWorker(change)
		assert.NotEqual(t, all[worker.ID], worker)
		all[worker.ID] = worker
	}
	assert.Len(t, all, 500)
}

// Members have unique addresses.
func TestMemberSettings(t *testing.T) {
	addresses := map[string]bool{}
	for i := range 1000 {
		addresses[memberSettings(i, i, "127.0.16", zones, nil).AgentAddress()] = true
	}
	assert.Len(t, addresses, 1000)
	assert.Contains(t, addresses, "127.16.1.1:7721")
}
