package register

import (
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/store"
	"weldscale/coordination/transport"
)

// Default intervals and timeouts.
const (
	// DefaultRoundTimeout is several times the duration of two syncs of a slow disk.
	DefaultRoundTimeout = 1200 * time.Millisecond
	// DefaultHeartbeat keeps QuorumAge well below a second.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultRemoveAfter is the time without a reply after which a replica is removed from a set above its target size.
	DefaultRemoveAfter = 1200 * time.Millisecond
)

// Options configures a Node. Address and either Directory or Files are required. Zero values of the other fields select the
// defaults.
type Options struct {
	Directory string // directory of the disk
	// Files are the files of the disk. If nil, Directory is opened.
	Files   store.Files
	Address string // internal address of this process, IP:PORT
	// Founders are the internal addresses of the initial replicas. They are used only if Bootstrap is true and the disk is
	// empty; their number is also the default of TargetReplicas.
	Founders  []string
	Bootstrap bool
	// TargetReplicas is the target size of the replica set, 2f+1 to tolerate f failures. Once the set has reached it, it never
	// shrinks below it.
	TargetReplicas int
	// MaxReplicas limits the size of the set while replacements join. The default is twice TargetReplicas.
	MaxReplicas int
	Seeds       func() []string // internal addresses where other nodes may be found
	Client      *transport.Client
	Log         *zap.Logger

	RoundTimeout time.Duration
	Heartbeat    time.Duration
	RemoveAfter  time.Duration
}

func (o Options) withDefaults() Options {
	if o.TargetReplicas == 0 {
		o.TargetReplicas = max(1, len(o.Founders))
	}
	if o.MaxReplicas == 0 {
		o.MaxReplicas = 2 * o.TargetReplicas
	}
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.Client == nil {
		o.Client = transport.NewClient()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.RoundTimeout == 0 {
		o.RoundTimeout = DefaultRoundTimeout
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.RemoveAfter == 0 {
		o.RemoveAfter = DefaultRemoveAfter
	}
	return o
}

func (o Options) files() (store.Files, error) {
	if o.Files != nil {
		return o.Files, nil
	}
	return store.OpenDirectory(o.Directory)
}
