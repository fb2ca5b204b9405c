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

// countedConn adds what passes a connection to a count.
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

// member is a scheduler without clients: the agent and the router of one machine, within the process of the harness. All of
// them is real but the sockets for clients. The router of a light one takes the messages of its agent and doesn't decode them:
// hundreds that did would keep the machine busy with what as many machines do in service.
type member struct {
	light   bool
	started time.Time
	agent   *agent.Agent
	latest  atomic.Pointer[watch.Snapshot]
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startMember starts an agent and its router. The book is told of each snapshot that is in force at the router or, at a light
// one, of each version that has come.
func startMember(ctx context.Context, nodeSettings *settings.Settings, light bool, totals *traffic, tracker *changeTracker) (*member, error) {
	listener, err := net.Listen("tcp", nodeSettings.AgentAddress())
	if err != nil {
		return nil, eris.Wrap(err, "listen for the router")
	}
	ctx, stop := context.WithCancel(ctx)
	log := zap.NewNop()
	m := &member{light: light, started: time.Now(), stop: stop}
	m.agent = agent.NewWithClient(nodeSettings, transport.NewClientWithDial(totals.dial), log)
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

// pollWithoutDecoding polls an agent as a router does, without decoding.
func pollWithoutDecoding(ctx context.Context, nodeSettings *settings.Settings, onSnapshot func(*watch.Snapshot)) {
	client := transport.NewClient()
	defer client.Close()
	agents := []string{nodeSettings.AgentAddress()}
	watch.NewFollower(watch.FollowerOptions{
		Self:    fleetwire.Member{Name: nodeSettings.NodeName, Role: fleetwire.RoleRouter},
		Sources: func() []string { return agents },
		Client:  nonDecodingCaller{client: client, onSnapshot: onSnapshot},
		// As of a router: an agent is left later than a controller.
		MaxQuorumAge: 3 * time.Second,
	}).Run(ctx)
}

// nonDecodingCaller reads off the answers to polls what they bring.
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

// end stops the member and waits for its parts.
func (m *member) shutDown(tracker *changeTracker) {
	tracker.remove(m)
	m.stop()
	m.running.Wait()
}

// memberSettings are the settings of the i-th hollow machine.
func memberSettings(i, generation int, subnet string, zones, seeds []string) *settings.Settings {
	const membersPerSubnet = 250
	var subnetNumber int
	_, _ = fmt.Sscanf(subnet, "127.0.%d", &subnetNumber)
	nodeSettings := &settings.Settings{
		NodeName: fmt.Sprintf("hollow-%04d-%d", i, generation), Role: "router", MachineClass: "frontend",
		IP: fmt.Sprintf("127.%d.%d.%d", subnetNumber, 1+i/membersPerSubnet, 1+i%membersPerSubnet), Zone: zones[i%len(zones)], Region: "here",
		Zones: map[string]string{}, InternalPorts: [2]int{7720, 7735}, Seeds: seeds, Bounds: settings.DefaultBounds(),
	}
	for _, zone := range zones {
		nodeSettings.Zones[zone] = "here"
	}
	return nodeSettings
}
