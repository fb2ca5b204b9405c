package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/settings"
)

// controller is a hub that listens on loopback.
type controller struct {
	hub    *watch.Hub
	server *httptest.Server
}

func startController(t *testing.T) *controller {
	hub := watch.NewHub(watch.HubOptions{})
	mux := http.NewServeMux()
	hub.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &controller{hub: hub, server: server}
}

// settingsFor writes and loads a settings file whose internal ports make the only seed resolve to the controller.
func settingsFor(t *testing.T, c *controller) *settings.Settings {
	port := c.server.Listener.Addr().(*net.TCPAddr).Port
	body := fmt.Sprintf(`{"NodeName": "frontend-a-1", "Ip": "127.0.0.1", "Zone": "a", "InternalPorts": [%d, %d],
		"Seeds": ["127.0.0.1:1"]}`, port, port+1)
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(body), 0o600))
	t.Setenv(settings.EnvVariable, path)
	current, err := settings.Load()
	require.NoError(t, err)
	return current
}

// runningAgent is an agent that serves on a port of its own.
type runningAgent struct {
	address string
	stop    context.CancelFunc
	done    chan error
}

func startAgent(t *testing.T, current *settings.Settings) *runningAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &runningAgent{address: listener.Addr().String(), stop: stop, done: make(chan error, 1)}
	go func() { r.done <- New(current, zap.NewNop()).Serve(ctx, listener) }()
	t.Cleanup(stop)
	return r
}

// follow subscribes to an agent as its router does and returns the snapshots.
func follow(t *testing.T, address string) <-chan *watch.Snapshot {
	snapshots := make(chan *watch.Snapshot, 16)
	client := transport.NewClient()
	follower := watch.NewFollower(watch.FollowerOptions{
		Self:         fleetwire.Member{Name: "frontend-a-1", Role: fleetwire.RoleRouter},
		Sources:      func() []string { return []string{address} },
		Client:       client,
		OnChange:     func(snapshot *watch.Snapshot) { snapshots <- snapshot },
		MaxQuorumAge: watch.RelayMaxQuorumAge,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done; client.Close() })
	return snapshots
}

// await returns the first snapshot with the given revision of the configuration.
func await(snapshots <-chan *watch.Snapshot, revision uint64) *watch.Snapshot {
	for snapshot := range snapshots {
		if snapshot.Version.ConfigRevision == revision {
			return snapshot
		}
	}
	return nil
}

func TestAgentRelaysConfigurationsToTheRouter(t *testing.T) {
	c := startController(t)
	agent := startAgent(t, settingsFor(t, c))
	snapshots := follow(t, agent.address)
	for revision := uint64(1); revision <= 3; revision++ {
		config := &fleetwire.Config{Version: int64(revision), Services: []fleetwire.Service{{Name: "service"}}}
		require.NoError(t, c.hub.PublishConfig(revision, config))
		require.Equal(t, config, await(snapshots, revision).Config)
	}
}

func TestAgentReportsItsStatus(t *testing.T) {
	c := startController(t)
	c.hub.SetControllers([]string{c.server.Listener.Addr().String()})
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	agent := startAgent(t, settingsFor(t, c))
	await(follow(t, agent.address), 1)
	client := transport.NewClient()
	defer client.Close()
	var status Status
	require.NoError(t, client.Call(t.Context(), agent.address, fleetwire.PathStatus, StatusRequest{}, &status))
	require.Equal(t, "frontend-a-1", status.Member.Name)
	require.EqualValues(t, 1, status.Version.ConfigRevision)
	require.Equal(t, []string{c.server.Listener.Addr().String()}, status.Controllers)
}

func TestAgentServesADrainingRouterUntilItStopsPolling(t *testing.T) {
	c := startController(t)
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	agent := startAgent(t, settingsFor(t, c))
	t.Run("router still polls", func(t *testing.T) { // the follower stops when the subtest ends
		snapshots := follow(t, agent.address)
		await(snapshots, 1)
		agent.stop()
		require.NoError(t, c.hub.PublishConfig(2, &fleetwire.Config{Version: 2}))
		require.NotNil(t, await(snapshots, 2), "an update during the drain must reach the router")
	})
	require.NoError(t, <-agent.done)
	_, err := net.Dial("tcp", agent.address)
	require.Error(t, err, "the listener must be closed")
}

func TestAgentEndsPollsAtTheEndOfTheGracePeriod(t *testing.T) {
	c := startController(t)
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	current := settingsFor(t, c)
	current.Bounds.GraceS = shutdownReserve.Seconds() // leaves no time to wait for the router
	agent := startAgent(t, current)
	await(follow(t, agent.address), 1)
	agent.stop()
	require.NoError(t, <-agent.done)
	_, err := net.Dial("tcp", agent.address)
	require.Error(t, err, "the listener must be closed")
}

func TestAgentConnectsToControllersThatStartLater(t *testing.T) {
	c := startController(t)
	current := settingsFor(t, c)
	controllerAddress := c.server.Listener.Addr().String()
	c.server.Close()
	agent := startAgent(t, current)
	snapshots := follow(t, agent.address)
	listener, err := net.Listen("tcp", controllerAddress)
	require.NoError(t, err)
	mux := http.NewServeMux()
	c.hub.Register(mux)
	lateServer := &http.Server{Handler: mux}
	go func() { _ = lateServer.Serve(listener) }()
	defer func() { _ = lateServer.Close() }()
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	require.NotNil(t, await(snapshots, 1))
}
