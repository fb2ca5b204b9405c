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

// controller is a hub on loopback, at the address that an agent's settings lead to.
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

// settingsFor writes a settings file whose one seed leads to the controller.
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

// running is an agent that serves on a port of its own.
type running struct {
	address string
	stop    context.CancelFunc
	ended   chan error
}

func startAgent(t *testing.T, current *settings.Settings) *running {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &running{address: listener.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- New(current, zap.NewNop()).Serve(ctx, listener) }()
	t.Cleanup(stop)
	return r
}

// follow watches an agent as its router does.
func follow(t *testing.T, address string) <-chan *watch.Snapshot {
	got := make(chan *watch.Snapshot, 16)
	client := transport.NewClient()
	follower := watch.NewFollower(watch.FollowerOptions{
		Self:         fleetwire.Member{Name: "frontend-a-1", Role: fleetwire.RoleRouter},
		Sources:      func() []string { return []string{address} },
		Client:       client,
		OnChange:     func(snapshot *watch.Snapshot) { got <- snapshot },
		MaxQuorumAge: watch.RelayMaxQuorumAge,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended; client.Close() })
	return got
}

// await returns the first snapshot with a configuration of the revision.
func await(got <-chan *watch.Snapshot, revision uint64) *watch.Snapshot {
	for snapshot := range got {
		if snapshot.Version.ConfigRevision == revision {
			return snapshot
		}
	}
	return nil
}

func TestAgentFeedsItsRouter(t *testing.T) {
	c := startController(t)
	agent := startAgent(t, settingsFor(t, c))
	got := follow(t, agent.address)
	for revision := uint64(1); revision <= 3; revision++ {
		config := &fleetwire.Config{Version: int64(revision), Services: []fleetwire.Service{{Name: "service"}}}
		require.NoError(t, c.hub.PublishConfig(revision, config))
		require.Equal(t, config, await(got, revision).Config)
	}
}

func TestAgentTellsItsStatus(t *testing.T) {
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

func TestAgentServesADrainingRouterUntilItIsGone(t *testing.T) {
	c := startController(t)
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	agent := startAgent(t, settingsFor(t, c))
	t.Run("router lives", func(t *testing.T) { // the follower ends with this part
		got := follow(t, agent.address)
		await(got, 1)
		agent.stop()
		require.NoError(t, c.hub.PublishConfig(2, &fleetwire.Config{Version: 2}))
		require.NotNil(t, await(got, 2), "a list that changes while the router drains must reach it")
	})
	require.NoError(t, <-agent.ended)
	_, err := net.Dial("tcp", agent.address)
	require.Error(t, err, "nothing listens any more")
}

func TestAgentEndsItsPollsOnceItsGraceIsOver(t *testing.T) {
	c := startController(t)
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	current := settingsFor(t, c)
	current.Bounds.GraceS = lingerSpare.Seconds() // nothing is left to wait in
	agent := startAgent(t, current)
	await(follow(t, agent.address), 1)
	agent.stop()
	require.NoError(t, <-agent.ended)
	_, err := net.Dial("tcp", agent.address)
	require.Error(t, err, "nothing listens any more")
}

func TestAgentStartsBeforeItsControllers(t *testing.T) {
	c := startController(t)
	current := settingsFor(t, c)
	reserved := c.server.Listener.Addr().String()
	c.server.Close()
	agent := startAgent(t, current)
	got := follow(t, agent.address)
	listener, err := net.Listen("tcp", reserved)
	require.NoError(t, err)
	mux := http.NewServeMux()
	c.hub.Register(mux)
	late := &http.Server{Handler: mux}
	go func() { _ = late.Serve(listener) }()
	defer func() { _ = late.Close() }()
	require.NoError(t, c.hub.PublishConfig(1, &fleetwire.Config{Version: 1}))
	require.NotNil(t, await(got, 1))
}
