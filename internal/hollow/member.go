package hollow

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/agent"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router"
	"weldscale/internal/router/upstream"
	"weldscale/internal/settings"
)

// traffic counts the bytes on the connections from agents to controllers.
type traffic struct{ read, written atomic.Int64 }

// countedConn adds the bytes read from and written to a connection to count.
type countedConn struct {
	net.Conn
	count *traffic
}

func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.count.read.Add(int64(n))
	return n, err
}

func (c countedConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.count.written.Add(int64(n))
	return n, err
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: connection, count: t}, nil
}

// member is a scheduler without clients: the agent and the router of one machine, run in the harness process. Everything but
// the client sockets is real. The router of a light member receives the messages of its agent without decoding them, because
// hundreds of decoding routers would load this machine with the work of as many machines in production.
type member struct {
	light   bool
	started time.Time
	agent   *agent.Agent
	latest  atomic.Pointer[watch.Snapshot]
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startMember starts an agent and its router. It reports to tracker each snapshot that the router has applied or, for a light
// member, each version that it has received.
func startMember(ctx context.Context, nodeSettings *settings.Settings, light bool, agentTraffic *traffic,
	tracker *changeTracker) (*member, error) {
	listener, err := net.Listen("tcp", nodeSettings.AgentAddress())
	if err != nil {
		return nil, eris.Wrap(err, "listen for the router of a hollow member")
	}
	ctx, stop := context.WithCancel(ctx)
	log := zap.NewNop()
	m := &member{light: light, started: time.Now(), stop: stop}
	m.agent = agent.NewWithClient(nodeSettings, transport.NewClientWithDial(agentTraffic.dial), log)
	tracker.add(m)
	m.running.Go(func() { _ = m.agent.Serve(ctx, listener) })
	onSnapshot := func(snapshot *watch.Snapshot) {
		m.latest.Store(snapshot)
		tracker.observe(m, snapshot, time.Now())
	}
	if light {
		m.running.Go(func() { pollWithoutDecoding(ctx, nodeSettings, onSnapshot) })
		return m, nil
	}
	memberRouter := newRouter(nodeSettings, log)
	m.running.Go(func() {
		router.Follow(ctx, nodeSettings, func(snapshot *watch.Snapshot) {
			memberRouter.Update(snapshot)
			onSnapshot(snapshot)
		}, log)
	})
	return m, nil
}

// pollWithoutDecoding polls an agent as a router does, but doesn't decode the messages.
func pollWithoutDecoding(ctx context.Context, nodeSettings *settings.Settings, onSnapshot func(*watch.Snapshot)) {
	client := transport.NewClient()
	defer client.Close()
	agents := []string{nodeSettings.AgentAddress()}
	watch.NewFollower(watch.FollowerOptions{
		Self:    fleetwire.Member{Name: nodeSettings.NodeName, Role: fleetwire.RoleRouter},
		Sources: func() []string { return agents },
		Client:  nonDecodingCaller{client: client, onSnapshot: onSnapshot},
		// The same value as in a router, which gives up an agent later than an agent gives up a controller.
		MaxQuorumAge: 3 * time.Second,
	}).Run(ctx)
}

// nonDecodingCaller reports the versions and the router count in each poll reply.
type nonDecodingCaller struct {
	client     *transport.Client
	onSnapshot func(*watch.Snapshot)
}

// Call implements watch.Caller.
func (c nonDecodingCaller) Call(ctx context.Context, address, path string, request, reply any) error {
	if err := c.client.Call(ctx, address, path, request, reply); err != nil {
		return err
	}
	if answer, ok := reply.(*fleetwire.WatchReply); ok {
		c.onSnapshot(&watch.Snapshot{Version: answer.Now, Routers: answer.Routers, At: time.Now()})
	}
	return nil
}

func newRouter(nodeSettings *settings.Settings, log *zap.Logger) *router.Router {
	var zones []string
	for zone := range nodeSettings.Zones {
		zones = append(zones, zone)
	}
	return router.New(router.Options{
		Placer: placement.New(placement.Options{Zone: nodeSettings.Zone, Zones: zones, BudgetRatio: nodeSettings.Bounds.RetryBudgetRatio,
			BudgetSlack: nodeSettings.Bounds.BudgetSlack, BudgetWindow: nodeSettings.Bounds.BudgetWindow(), Log: log}),
		Pool: upstream.New(upstream.Options{}),
		Log:  log,
	})
}

// shutDown stops the member and waits for its goroutines.
func (m *member) shutDown(tracker *changeTracker) {
	tracker.remove(m)
	m.stop()
	m.running.Wait()
}

// memberSettings returns the settings of the i-th hollow machine. The incarnation makes the node name unique after a restart.
func memberSettings(i, incarnation int, subnet string, zones, seeds []string) *settings.Settings {
	const membersPerSubnet = 250
	var subnetNumber int
	_, _ = fmt.Sscanf(subnet, "127.0.%d", &subnetNumber)
	nodeSettings := &settings.Settings{
		NodeName: fmt.Sprintf("hollow-%04d-%d", i, incarnation), Role: "router", MachineClass: "frontend",
		IP:   fmt.Sprintf("127.%d.%d.%d", subnetNumber, 1+i/membersPerSubnet, 1+i%membersPerSubnet),
		Zone: zones[i%len(zones)], Region: "here",
		Zones: map[string]string{}, InternalPorts: [2]int{7720, 7735}, Seeds: seeds, Bounds: settings.DefaultBounds(),
	}
	for _, zone := range zones {
		nodeSettings.Zones[zone] = "here"
	}
	return nodeSettings
}
