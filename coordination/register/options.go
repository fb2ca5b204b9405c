package register

import (
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/store"
	"weldscale/coordination/transport"
)

// Default time-outs.
const (
	// DefaultRoundTimeout is several times what two syncs of a slow disk take.
	DefaultRoundTimeout = 1200 * time.Millisecond
	// DefaultHeartbeat keeps QuorumAge well below a second.
	DefaultHeartbeat = 250 * time.Millisecond
	// DefaultRemoveAfter is the silence after which a replica above the wanted number is removed.
	DefaultRemoveAfter = 1200 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Directory string // of the disk
	// Files are those of the disk, in place of a Directory; nil: the Directory is opened.
	Files   store.Files
	Address string // own internal address, IP:PORT
	// Founders are the internal addresses of the first replicas. They count only if Bootstrap is true and the disk is empty.
	Founders  []string
	Bootstrap bool
	// TargetReplicas is the number of replicas wanted, 2f+1. Once reached, the set is never smaller.
	TargetReplicas int
	// MaxReplicas bounds the set while replacements join. The default is twice TargetReplicas.
	MaxReplicas int
	Seeds       func() []string // internal addresses to look for others
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
