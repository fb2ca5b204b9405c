package router

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// TestAppliedConfigurationIsLogged guards against a configuration that takes effect in a router, or in part, without a trace.
func TestAppliedConfigurationIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	router := New(Options{Placer: &fakePlacer{}, Log: zap.New(core)})
	config := &fleetwire.Config{Version: 7, Routes: []fleetwire.Route{{Hostname: "a.example", PathPrefix: "/a/"}}}
	router.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1}, Config: config})
	router.Update(&watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1}}, Config: config,
	})
	applied := logs.FilterMessage("configuration applied")
	require.Equal(t, 1, applied.Len(), "a new list of instances is no new configuration")
	fields := applied.All()[0].ContextMap()
	require.EqualValues(t, 7, fields["version"])
	require.EqualValues(t, 1, fields["routes"])
	require.EqualValues(t, 0, fields["left_out"])
}
