package register

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// State is a chosen value as users of the register see it. It must not be modified.
type State struct {
	Revision uint64 // grows by one with each write, reconfigurations included; 0 before the first write
	// DataRevision is the revision of the write that last changed Data, or 0 if there was none.
	DataRevision uint64
	Replicas     []Replica
	Data         []byte
}

// Node runs the register in one process. It is a proposer, and a replica or a process that tries to join as one. Its methods
// are safe for concurrent use.
type Node struct {
	options       Options
	disk          Disk
	diskSlot      chan struct{} // semaphore: holds a token while the disk is in use
	operationSlot chan struct{} // semaphore: holds a token while a proposer runs, so that a node does not compete with itself
	ballots       *BallotGenerator
	wakeUp        chan struct{} // wakes Run before its next tick

	mu              sync.Mutex
	acceptor        *Acceptor        // nil while the disk has no identity
	diskQueueLength int              // number of requests that wait for the disk
	chosen          Accepted         // newest value known to be chosen; its ballot is zero if there is none
	changed         chan struct{}    // closed and replaced when the known chosen revision grows
	peers           map[string]*peer // by address
	leaving         bool
	ownAgreedAt     time.Time // when the own replica was last seen without a value above the chosen one
}

// Open loads the state from the disk. The node replies to requests once Register has mounted it, and sends heartbeats and
// reconfigures the set while Run runs.
func Open(options Options) (*Node, error) {
	options = options.withDefaults()
	files, err := options.files()
	if err != nil {
		return nil, err
	}
	disk := NewDisk(files)
	acceptor, err := disk.Load(options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "load the replica from its disk")
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
		n.initializeDisk() // Run retries if this fails
	}
	n.learnGenesis()
	return n, nil
}

func randomProposerNumber() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails
	return binary.BigEndian.Uint64(bytes[:])
}

// initializeDisk writes an identity to an empty disk. It reports whether the disk has an identity.
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

// FoundingSet returns the initial replica set. It does not depend on the order of the addresses, so that all founders compute
// the same set.
func FoundingSet(addresses []string) []Replica {
	ordered := slices.Sorted(slices.Values(lo.Uniq(addresses)))
	return lo.Map(ordered, func(address string, _ int) Replica {
		return Replica{ID: FounderID(address), Address: address}
	})
}

// learnGenesis learns the initial value if this replica is a founder that still holds it. That value is chosen by definition.
func (n *Node) learnGenesis() {
	if known, _ := n.known(); known.Ballot == genesisBallot {
		n.learnChosen(known)
	}
}

// ID returns the identity of the disk, or an empty string while it has none.
func (n *Node) ID() string { return n.self().ID }

func (n *Node) self() Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return Replica{Address: n.options.Address}
	}
	return n.acceptor.Self()
}

// Latest returns the newest state known to be chosen. Its revision never decreases.
func (n *Node) Latest() State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return stateOf(&n.chosen.Value)
}

func stateOf(value *Value) State {
	return State{Revision: value.Revision, DataRevision: value.DataRevision, Replicas: value.Replicas, Data: value.Data}
}

// Changed returns a channel that is closed when Latest next returns a newer state.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// learnChosen records a chosen value if it is newer than the known one, and notifies the users of Changed.
func (n *Node) learnChosen(chosen Accepted) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.chosen.Ballot.Less(chosen.Ballot) {
		return
	}
	advanced := n.chosen.Value.Revision < chosen.Value.Revision || n.chosen.Ballot == (Ballot{})
	n.chosen = chosen
	n.ballots.Observe(chosen.Ballot)
	if advanced {
		n.wake()
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// known returns the value with the highest ballot that this process has, accepted or chosen, and the highest ballot that it
// knows to be chosen.
func (n *Node) known() (Accepted, Ballot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.chosen
	if n.acceptor != nil && known.Ballot.Less(n.acceptor.Accepted().Ballot) {
		known = n.acceptor.Accepted()
	}
	return known, n.chosen.Ballot
}

// ReplicaSetInDoubt reports whether the local replica has accepted a value with another replica set than that of Latest. The
// set may have changed without the knowledge of this process.
func (n *Node) ReplicaSetInDoubt() bool {
	known, chosen := n.known()
	if known.Ballot == chosen {
		return false
	}
	return !slices.Equal(known.Value.Replicas, n.latestChosen().Value.Replicas)
}

// Formed reports whether the replica set has reached its target size and no reconfiguration is in progress.
func (n *Node) Formed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	value := &n.chosen.Value
	return len(value.Replicas) >= n.options.TargetReplicas && !value.Joint()
}

// WaitFormed waits until Formed is true. If ctx is done first, it returns ErrNotFormed.
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
