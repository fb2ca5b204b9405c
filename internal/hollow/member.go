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
	newest  atomic.Pointer[watch.Snapshot]
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startMember starts an agent and its router. The book is told of each snapshot that is in force at the router or, at a light
// one, of each version that has come.
func startMember(ctx context.Context, given *settings.Settings, light bool, counted *traffic, notes *book) (*member, error) {
	listener, err := net.Listen("tcp", given.AgentAddress())
	if err != nil {
		return nil, eris.Wrap(err, "listen for the router")
	}
	ctx, stop := context.WithCancel(ctx)
	log := zap.NewNop()
	m := &member{light: light, started: time.Now(), stop: stop}
	m.agent = agent.NewWithClient(given, transport.NewClientWithDial(counted.dial), log)
	notes.add(m)
	m.running.Go(func() { _ = m.agent.Serve(ctx, listener) })
	learned := func(snapshot *watch.Snapshot) {
		m.newest.Store(snapshot)
		notes.learned(m, snapshot, time.Now())
	}
	if light {
		m.running.Go(func() { followLightly(ctx, given, learned) })
		return m, nil
	}
	served := newRouter(given, log)
	m.running.Go(func() {
		router.Follow(ctx, given, func(snapshot *watch.Snapshot) {
			served.Update(snapshot)
			learned(snapshot)
		}, log)
	})
	return m, nil
}

// followLightly polls an agent as a router does, without decoding.
func followLightly(ctx context.Context, given *settings.Settings, learned func(*watch.Snapshot)) {
	client := transport.NewClient()
	defer client.Close()
	agents := []string{given.AgentAddress()}
	watch.NewFollower(watch.FollowerOptions{
		Self:    fleetwire.Member{Name: given.NodeName, Role: fleetwire.RoleRouter},
		Sources: func() []string { return agents },
		Client:  lightCaller{client: client, learned: learned},
		// As of a router: an agent is left later than a controller.
		MaxQuorumAge: 3 * time.Second,
	}).Run(ctx)
}

// lightCaller reads off the answers to polls what they bring.
type lightCaller struct {
	client  *transport.Client
	learned func(*watch.Snapshot)
}

// Call implements watch.Caller.
func (c lightCaller) Call(ctx context.Context, address, path string, request, reply any) error {
	if err := c.client.Call(ctx, address, path, request, reply); err != nil {
		return err
	}
	if answer, ok := reply.(*fleetwire.WatchReply); ok {
		c.learned(&watch.Snapshot{Version: answer.Now, Routers: answer.Routers, At: time.Now()})
	}
	return nil
}

func newRouter(given *settings.Settings, log *zap.Logger) *router.Router {
	var zones []string
	for zone := range given.Zones {
		zones = append(zones, zone)
	}
	return router.New(router.Options{
		Placer: placement.New(placement.Options{Zone: given.Zone, Zones: zones, BudgetRatio: given.Bounds.RetryBudgetRatio,
			BudgetSlack: given.Bounds.BudgetSlack, BudgetWindow: given.Bounds.BudgetWindow(), Log: log}),
		Pool: upstream.New(upstream.Options{}),
		Log:  log,
	})
}

// end stops the member and waits for its parts.
func (m *member) end(notes *book) {
	notes.remove(m)
	m.stop()
	m.running.Wait()
}

// memberSettings are the settings of the i-th hollow machine.
func memberSettings(i, life int, subnet string, zones, seeds []string) *settings.Settings {
	const perNet = 250
	var net int
	_, _ = fmt.Sscanf(subnet, "127.0.%d", &net)
	given := &settings.Settings{
		NodeName: fmt.Sprintf("hollow-%04d-%d", i, life), Role: "router", MachineClass: "frontend",
		IP: fmt.Sprintf("127.%d.%d.%d", net, 1+i/perNet, 1+i%perNet), Zone: zones[i%len(zones)], Region: "here",
		Zones: map[string]string{}, InternalPorts: [2]int{7720, 7735}, Seeds: seeds, Bounds: settings.DefaultBounds(),
	}
	for _, zone := range zones {
		given.Zones[zone] = "here"
	}
	return given
}
