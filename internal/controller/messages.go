package controller

import (
	"weldscale/coordination/lease"
	"weldscale/internal/fleetwire"
)

// Paths of the calls between controllers, in addition to those of fleetwire.
const (
	pathHeartbeat = "/internal/heartbeat"
	pathList      = "/internal/instances/read"
	pathSteps     = "/internal/instances/steps"
)

// gossip is the part of every heartbeat and every reply that does not concern leases.
type gossip struct {
	Revision  uint64 // newest chosen revision of the register that the sender knows
	List      fleetwire.ListVersion
	ListAgeMs int64
	Routers   []uint32 // hashes of the names of the agents that polled the sender recently
	// Reports are the recent observations of workers that routers sent to this controller.
	Reports []report `msgpack:"Voices"` // the wire format keeps an older name
}

// heartbeat is the periodic message from one controller to another.
type heartbeat struct {
	Lease  lease.Message
	Gossip gossip
}

// heartbeatReply answers a heartbeat.
type heartbeatReply struct {
	Lease  lease.Reply
	Gossip gossip
}

// listMessage carries a full list of instances. A zero version means that there is no list.
type listMessage struct {
	Version   fleetwire.ListVersion
	AgeMs     int64
	Instances []fleetwire.Instance
}

// stepsMessage carries the steps from one list of instances to a newer one.
type stepsMessage struct {
	AgeMs int64
	Steps []fleetwire.ListStep // not empty
}

// stepsReply reports whether the receiver now holds the list or a newer one. If not, it needs the full list.
type stepsReply struct {
	Held bool
}

// empty is a message without fields.
type empty struct{}

// status describes a controller's view of the fleet for command line tools.
type status struct {
	Member      fleetwire.Member
	Revision    uint64
	Version     int64 // of the current configuration
	Changes     uint64
	Replicas    []string
	Live        []string
	Roles       map[string]lease.Record
	Held        []string // keys of the roles in which this controller may act now
	List        fleetwire.ListVersion
	Instances   int
	ListAgeMs   int64
	QuorumAgeMs int64
	Routers     int
}
