package register

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// State is a chosen value, as the users of the register see it. It must not be changed.
type State struct {
	Revision uint64 // grows by one with each write, also of the set; 0 is the state before the first
	// DataRevision is the revision of the write that last changed Data; 0 if none did.
	DataRevision uint64
	Replicas     []Replica
	Data         []byte
}

// Node is a process's share in the register: a replica, or a newcomer on its way to be one, and a proposer.
type Node struct {
	options       Options
	disk          Disk
	diskSlot      chan struct{} // holds a token while the disk is in use
	operationSlot chan struct{} // holds a token while an own operation runs: a node does not compete with itself
	ballots       *BallotGenerator
	wakeUp        chan struct{} // wakes the upkeep before its next tick

	mu              sync.Mutex
	acceptor        *Acceptor // nil until the disk has an identity
	diskQueueLength int       // requests that wait for the disk
	chosen          Accepted  // newest value known to be chosen; ballot zero if none
	changed         chan struct{}
	peers           map[string]*peer // by address
	leaving         bool
}

// Open reads the disk. The node answers once it is mounted by Register, and takes part in the set while Run runs.
func Open(options Options) (*Node, error) {
	options = options.withDefaults()
	files, err := options.files()
	if err != nil {
		return nil, err
	}
	disk := NewDisk(files)
	acceptor, err := disk.Load(options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "read the disk")
	}
	n := &Node{
		options:       options,
		disk:          disk,
		diskSlot:      make(chan struct{}, 1),
		operationSlot: make(chan struct{}, 1),
		ballots:       NewBallotGenerator(randomProposerNumber()),
		wakeUp:        make(chan struct{}, 1),
		acceptor:      acceptor,
		changed:       make(chan struct{}),
		peers:         map[string]*peer{},
	}
	if acceptor == nil {
		n.initializeDisk() // if it fails, Run tries again
	}
	n.learnGenesis()
	return n, nil
}

func randomProposerNumber() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails
	return binary.BigEndian.Uint64(bytes[:])
}

// initializeDisk gives an empty disk its identity and reports whether the disk has one now.
func (n *Node) initializeDisk() bool {
	if n.ID() != "" {
		return true
	}
	id := randomID()
	var founders []Replica
	if n.options.Bootstrap && slices.Contains(n.options.Founders, n.options.Address) {
		id = FounderID(n.options.Address)
		founders = FoundingSet(n.options.Founders)
	}
	n.diskSlot <- struct{}{}
	acceptor, err := n.disk.Initialize(id, n.options.Address, founders)
	<-n.diskSlot
	if err != nil {
		return false
	}
	n.mu.Lock()
	n.acceptor = acceptor
	n.mu.Unlock()
	return true
}

// FoundingSet is the same on all founders, whatever the order in which they were told of each other.
func FoundingSet(addresses []string) []Replica {
	ordered := slices.Sorted(slices.Values(lo.Uniq(addresses)))
	return lo.Map(ordered, func(address string, _ int) Replica {
		return Replica{ID: FounderID(address), Address: address}
	})
}

// learnGenesis learns the founders' first state, which is chosen by definition.
func (n *Node) learnGenesis() {
	if known, _ := n.known(); known.Ballot == genesisBallot {
		n.learnChosen(known)
	}
}

// ID returns the identity of the disk, empty while it has none.
func (n *Node) ID() string { return n.self().ID }

func (n *Node) self() Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return Replica{Address: n.options.Address}
	}
	return n.acceptor.Self()
}

// Latest returns the newest state known to be chosen. It never goes back.
func (n *Node) Latest() State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return stateOf(&n.chosen.Value)
}

func stateOf(value *Value) State {
	return State{Revision: value.Revision, DataRevision: value.DataRevision, Replicas: value.Replicas, Data: value.Data}
}

// Changed returns a channel that is closed when Latest moves on.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// learnChosen takes a value that is chosen.
func (n *Node) learnChosen(chosen Accepted) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.chosen.Ballot.Less(chosen.Ballot) {
		return
	}
	moved := n.chosen.Value.Revision < chosen.Value.Revision || n.chosen.Ballot == (Ballot{})
	n.chosen = chosen
	n.ballots.Observe(chosen.Ballot)
	if moved {
		n.wake()
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// known returns the highest value that this process has, and the highest ballot that it knows to be chosen.
func (n *Node) known() (Accepted, Ballot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.chosen
	if n.acceptor != nil && known.Ballot.Less(n.acceptor.Accepted().Ballot) {
		known = n.acceptor.Accepted()
	}
	return known, n.chosen.Ballot
}

// ReplicaSetInDoubt reports whether the own replica has accepted a value with other replicas than Latest has. The set may have changed
// without this process knowing.
func (n *Node) ReplicaSetInDoubt() bool {
	known, chosen := n.known()
	if known.Ballot == chosen {
		return false
	}
	return !slices.Equal(known.Value.Replicas, n.latestChosen().Value.Replicas)
}

// Formed reports whether the set has reached its wanted size.
func (n *Node) Formed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	value := &n.chosen.Value
	return len(value.Replicas) >= n.options.TargetReplicas && !value.Joint()
}

// WaitFormed waits until the set has reached its wanted size. If ctx is done before, it returns ErrNotFormed.
func (n *Node) WaitFormed(ctx context.Context) error {
	for {
		changed := n.Changed()
		if n.Formed() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ErrNotFormed, ctx.Err().Error())
		}
	}
}
