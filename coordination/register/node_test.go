package register

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/store"
	"weldscale/coordination/transport"
)

const testDeadline = 20 * time.Second

// machine is a node on a loopback address with a disk that survives its restarts.
type machine struct {
	t       *testing.T
	folder  string
	address string
	options Options

	node   *Node
	server *http.Server
	cancel context.CancelFunc
	ended  chan struct{}
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return listener
}

// newMachines returns stopped machines with addresses that were free. The first of them, as many as there are founders, are the
// founders of the register.
func newMachines(t *testing.T, count, founders, target int) []*machine {
	t.Helper()
	machines := make([]*machine, count)
	var seeds []string
	var listeners []net.Listener
	for at := range machines {
		listener := listen(t, "127.0.0.1:0")
		listeners = append(listeners, listener)
		machines[at] = &machine{t: t, folder: t.TempDir(), address: listener.Addr().String()}
		if at < founders {
			seeds = append(seeds, machines[at].address)
		}
	}
	for at, m := range machines {
		_ = listeners[at].Close()
		m.options = Options{
			Directory: m.folder, Address: m.address, Founders: seeds, Bootstrap: true, TargetReplicas: target,
			Seeds:        func() []string { return seeds },
			RoundTimeout: 400 * time.Millisecond, Heartbeat: 50 * time.Millisecond, RemoveAfter: 200 * time.Millisecond,
		}
		t.Cleanup(m.stop)
	}
	return machines
}

func (m *machine) start() {
	m.t.Helper()
	listener := listen(m.t, m.address)
	m.options.Client = transport.NewClient()
	node, err := Open(m.options)
	require.NoError(m.t, err)
	mux := http.NewServeMux()
	node.Register(mux)
	m.node = node
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: testDeadline}
	go func() { _ = m.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	m.cancel, m.ended = cancel, ended
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
}

// stop ends the node without notice to the others, as a kill does.
func (m *machine) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	_ = m.server.Close()
	<-m.ended
	m.node.Close(context.Background()) // an ended process writes nothing more
	m.options.Client.Close()
	m.cancel = nil
	m.options.Bootstrap = false
}

// wipe empties the disk of a stopped machine.
func (m *machine) wipe() {
	m.t.Helper()
	require.NoError(m.t, os.RemoveAll(m.folder))
	require.NoError(m.t, os.Mkdir(m.folder, 0o700))
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}

// await waits until the latest state of a node fulfils a condition, and returns that state.
func await(t *testing.T, n *Node, condition func(State) bool) State {
	t.Helper()
	ctx := testContext(t)
	for {
		changed := n.Changed()
		if state := n.Latest(); condition(state) {
			return state
		}
		select {
		case <-changed:
		case <-ctx.Done():
			require.FailNow(t, "the condition was not met in time", "latest: %+v", n.Latest())
		}
	}
}

func setData(text string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(text), nil }
}

func appendText(text string) func([]byte) ([]byte, error) {
	return func(data []byte) ([]byte, error) { return fmt.Appendf(nil, "%s%s", data, text), nil }
}

func hasIDs(ids ...string) func(State) bool {
	return func(state State) bool {
		if len(state.Replicas) != len(ids) {
			return false
		}
		have := map[string]bool{}
		for _, replica := range state.Replicas {
			have[replica.ID] = true
		}
		for _, id := range ids {
			if !have[id] {
				return false
			}
		}
		return true
	}
}

func startAll(machines []*machine) {
	for _, m := range machines {
		m.start()
	}
}

func TestUpdateReadAndLearn(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	require.NoError(t, machines[0].node.WaitFormed(ctx))
	state, err := machines[0].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	require.Equal(t, "one", string(state.Data))
	require.EqualValues(t, 1, state.Revision)
	require.EqualValues(t, 1, state.DataRevision)
	for _, m := range machines {
		read, err := m.node.Read(ctx)
		require.NoError(t, err)
		require.Equal(t, "one", string(read.Data))
		await(t, m.node, func(s State) bool { return s.Revision == 1 })
	}
	refused := eris.New("refused")
	_, err = machines[1].node.Update(ctx, func([]byte) ([]byte, error) { return nil, refused })
	require.ErrorIs(t, err, refused)
	same, err := machines[1].node.Update(ctx, func(data []byte) ([]byte, error) { return data, nil })
	require.NoError(t, err)
	require.EqualValues(t, 1, same.Revision)
}

func TestConcurrentUpdatesAreAllApplied(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	const each = 5
	var group sync.WaitGroup
	for _, m := range machines {
		group.Go(func() {
			for range each {
				_, err := m.node.Update(ctx, appendText("x"))
				require.NoError(t, err)
			}
		})
	}
	group.Wait()
	state, err := machines[2].node.Read(ctx)
	require.NoError(t, err)
	// An update that was in doubt may be applied twice, because this change does not detect its earlier application.
	require.GreaterOrEqual(t, len(state.Data), each*len(machines))
}

func TestMinorityNeitherWritesNorReads(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	_, err := machines[0].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	machines[1].stop()
	_, err = machines[0].node.Update(ctx, setData("two"))
	require.NoError(t, err)
	machines[2].stop()
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err = machines[0].node.Update(short, setData("three"))
	require.ErrorIs(t, err, ErrNoQuorum)
	_, err = machines[0].node.Read(short)
	require.ErrorIs(t, err, ErrNoQuorum)
	machines[1].start()
	state, err := machines[1].node.Read(ctx)
	require.NoError(t, err)
	require.Equal(t, "two", string(state.Data))
}

func TestAllReplicasRestartFromDisk(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	_, err := machines[0].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	for _, m := range machines {
		m.stop()
	}
	startAll(machines)
	for _, m := range machines {
		await(t, m.node, func(s State) bool { return string(s.Data) == "one" })
		require.Equal(t, FounderID(m.address), m.node.ID())
	}
}

func TestWipedReplicaRejoinsAndToleratesTheNextWipe(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	for round := range 3 {
		text := fmt.Sprintf("round %d", round)
		_, err := machines[round].node.Update(ctx, setData(text))
		require.NoError(t, err)
		lost := machines[round]
		former := lost.node.ID()
		lost.stop()
		lost.wipe()
		lost.start()
		require.NotEqual(t, former, lost.node.ID())
		ids := []string{machines[0].node.ID(), machines[1].node.ID(), machines[2].node.ID()}
		for _, m := range machines {
			state := await(t, m.node, hasIDs(ids...))
			require.Equal(t, text, string(state.Data))
			require.NoError(t, m.node.WaitFormed(ctx))
		}
	}
}

func TestReplacementAtANewAddress(t *testing.T) {
	machines := newMachines(t, 4, 3, 3)
	startAll(machines[:3])
	ctx := testContext(t)
	_, err := machines[0].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	machines[2].stop()
	machines[3].options.Bootstrap = false
	machines[3].start()
	wanted := hasIDs(machines[0].node.ID(), machines[1].node.ID(), machines[3].node.ID())
	await(t, machines[3].node, wanted)
	require.NoError(t, machines[3].node.WaitFormed(ctx))
	machines[0].stop()
	state, err := machines[3].node.Update(ctx, appendText(", two"))
	require.NoError(t, err)
	require.Equal(t, "one, two", string(state.Data))
}

func TestPlannedReplacement(t *testing.T) {
	machines := newMachines(t, 4, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	all := hasIDs(machines[0].node.ID(), machines[1].node.ID(), machines[2].node.ID(), machines[3].node.ID())
	await(t, machines[0].node, all)
	require.NoError(t, machines[0].node.WaitFormed(ctx))
	require.NoError(t, machines[0].node.Leave(ctx))
	machines[0].stop()
	three := hasIDs(machines[1].node.ID(), machines[2].node.ID(), machines[3].node.ID())
	await(t, machines[3].node, three)
	require.NoError(t, machines[3].node.WaitFormed(ctx))
	require.NoError(t, machines[3].node.Leave(ctx)) // does nothing: the set must not shrink below its target
	require.True(t, three(machines[3].node.Latest()))
}

func TestSilentReplicaIsRemovedFromALargeSetAndRejoins(t *testing.T) {
	machines := newMachines(t, 4, 3, 3)
	startAll(machines)
	all := hasIDs(machines[0].node.ID(), machines[1].node.ID(), machines[2].node.ID(), machines[3].node.ID())
	await(t, machines[1].node, all)
	machines[0].stop()
	await(t, machines[1].node, hasIDs(machines[1].node.ID(), machines[2].node.ID(), machines[3].node.ID()))
	machines[0].start()
	await(t, machines[0].node, all)
}

func TestReplicaSetGrowsFromFoundersToTarget(t *testing.T) {
	machines := newMachines(t, 5, 3, 5)
	startAll(machines)
	ctx := testContext(t)
	for _, m := range machines {
		require.NoError(t, m.node.WaitFormed(ctx))
	}
	_, err := machines[4].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	for _, lost := range machines[:2] {
		lost.stop()
	}
	state, err := machines[3].node.Read(ctx)
	require.NoError(t, err)
	require.Equal(t, "one", string(state.Data))
}

// faultyStore fails writes while it is full and blocks them while it hangs.
type faultyStore struct {
	store.Store
	mu    sync.Mutex
	full  bool
	hang  chan struct{} // closed to end the hang; nil if the store does not hang
	saved int           // number of calls of Save
}

func (s *faultyStore) saves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved
}

func (s *faultyStore) set(full bool, hang chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full, s.hang = full, hang
}

func (s *faultyStore) Save(data []byte) error {
	s.mu.Lock()
	full, hang := s.full, s.hang
	s.saved++
	s.mu.Unlock()
	if full {
		return eris.Wrap(store.ErrFull, "test")
	}
	if hang != nil {
		<-hang
	}
	return s.Store.Save(data)
}

// installFaultyStores wraps the promise and value stores of a running machine.
func (m *machine) installFaultyStores() (promise, value *faultyStore) {
	promise = &faultyStore{Store: m.node.disk.promise}
	value = &faultyStore{Store: m.node.disk.value}
	m.node.diskSlot <- struct{}{}
	m.node.disk.promise, m.node.disk.value = promise, value
	<-m.node.diskSlot
	return promise, value
}

// Close waits for the write in progress, and the node must write nothing later: another process may use the disk by then.
func TestClosedNodeWritesNothing(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	closing := machines[0].node
	require.NoError(t, closing.WaitFormed(ctx))
	_, value := machines[0].installFaultyStores()
	hang := make(chan struct{})
	value.set(false, hang)
	_, err := machines[1].node.Update(ctx, setData("the write hangs at one replica"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return value.saves() > 0 }, testDeadline, time.Millisecond, "the write has begun")

	brief, cancel := context.WithCancel(ctx)
	cancel()
	closing.Close(brief) // must return although the disk hangs

	close(hang)
	value.set(false, nil)
	closing.Close(ctx)
	defer func() { <-closing.diskSlot }() // stop calls Close again, which needs the slot
	before := value.saves()
	_, err = machines[1].node.Update(ctx, setData("after the close"))
	require.NoError(t, err)
	require.Equal(t, before, value.saves())
}

func TestHungDiskBlocksNoOperation(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	require.NoError(t, machines[0].node.WaitFormed(ctx))
	promise, value := machines[0].installFaultyStores()
	hang := make(chan struct{})
	promise.set(false, hang)
	value.set(false, hang)
	for at, m := range machines {
		text := fmt.Sprintf("update %d", at)
		began := time.Now()
		_, err := m.node.Update(ctx, setData(text))
		require.NoError(t, err)
		state, err := machines[0].node.Read(ctx)
		require.NoError(t, err)
		require.Equal(t, text, string(state.Data))
		require.Less(t, time.Since(began), 5*time.Second)
	}
	close(hang)
	await(t, machines[0].node, func(s State) bool { return string(s.Data) == "update 2" })
}

func TestQuorumAgeGrowsWithoutAMajority(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	_, err := machines[0].node.Update(testContext(t), setData("one"))
	require.NoError(t, err)
	old := 300 * time.Millisecond
	fresh := func() bool { return machines[0].node.QuorumAge() < old }
	require.Eventually(t, fresh, testDeadline, time.Millisecond)
	machines[1].stop()
	require.Eventually(t, fresh, testDeadline, time.Millisecond)
	machines[2].stop()
	require.Eventually(t, func() bool { return !fresh() }, testDeadline, time.Millisecond)
	machines[1].start()
	require.Eventually(t, fresh, testDeadline, time.Millisecond)
}

// A node that was stopped while the other founders were replaced must find the new set through a seed that it did not know.
func TestReconfiguredSetIsFoundThroughSeeds(t *testing.T) {
	machines := newMachines(t, 6, 3, 3)
	startAll(machines[:3])
	ctx := testContext(t)
	_, err := machines[0].node.Update(ctx, setData("one"))
	require.NoError(t, err)
	stopped := machines[0]
	stopped.stop()
	for at, m := range machines[3:] {
		m.options.Bootstrap = false
		founder := machines[max(1, at)] // runs only while the first machine joins; the later ones have another seed that runs
		m.options.Seeds = func() []string { return []string{founder.address, machines[2].address, machines[3].address} }
		m.start()
		await(t, m.node, func(s State) bool { return hasID(s, m.node.ID()) })
		require.NoError(t, m.node.WaitFormed(ctx))
		if at < 2 {
			gone := machines[1+at]
			gone.stop()
			await(t, m.node, func(s State) bool { return !hasID(s, FounderID(gone.address)) || len(s.Replicas) <= 3 })
		}
	}
	stopped.options.Seeds = func() []string { return []string{machines[5].address} }
	stopped.start()
	state := await(t, stopped.node, func(s State) bool { return hasID(s, stopped.node.ID()) && hasID(s, machines[5].node.ID()) })
	require.Equal(t, "one", string(state.Data))
}

func hasID(state State, id string) bool {
	return slices.ContainsFunc(state.Replicas, func(r Replica) bool { return r.ID == id })
}

func TestFullDiskRefusesAndRecovers(t *testing.T) {
	machines := newMachines(t, 3, 3, 3)
	startAll(machines)
	ctx := testContext(t)
	require.NoError(t, machines[0].node.WaitFormed(ctx))
	promise, value := machines[0].installFaultyStores()
	promise.set(true, nil)
	value.set(true, nil)
	_, err := machines[0].node.Update(ctx, setData("one full"))
	require.NoError(t, err)
	otherPromise, otherValue := machines[1].installFaultyStores()
	otherPromise.set(true, nil)
	otherValue.set(true, nil)
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err = machines[0].node.Update(short, setData("two full"))
	require.ErrorIs(t, err, ErrNoQuorum)
	state, err := machines[0].node.Read(ctx) // reads do not need the disk
	require.NoError(t, err)
	require.Equal(t, "one full", string(state.Data))
	for _, disk := range []*faultyStore{promise, value, otherPromise, otherValue} {
		disk.set(false, nil)
	}
	_, err = machines[0].node.Update(ctx, setData("space again"))
	require.NoError(t, err)
}

func TestEmptyDiskWithoutBootstrapIsNoFounder(t *testing.T) {
	folder := t.TempDir()
	options := Options{Directory: folder, Address: "127.0.0.1:1", Founders: []string{"127.0.0.1:1"}}
	node, err := Open(options)
	require.NoError(t, err)
	require.NotEqual(t, FounderID(options.Address), node.ID())
	options.Bootstrap = true // the identity on the disk takes precedence
	again, err := Open(options)
	require.NoError(t, err)
	require.Equal(t, node.ID(), again.ID())
	files, err := filepath.Glob(filepath.Join(folder, "identity.*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
}
