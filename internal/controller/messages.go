package controller

import (
	"weldscale/coordination/lease"
	"weldscale/internal/fleetwire"
)

// Paths of the calls that controllers send each other, beside those of fleetwire.
const (
	pathHeartbeat = "/internal/heartbeat"
	pathList      = "/internal/instances/read"
	pathSteps     = "/internal/instances/steps"
)

// gossip is what every heartbeat and every reply to one tells besides the roles.
type gossip struct {
	Revision  uint64 // newest revision of the register that is known to be chosen
	List      fleetwire.ListVersion
	ListAgeMs int64
	Routers   []uint32 // hashes of the names of watchers seen lately
	// Reports are what routers told this controller of workers lately.
	Reports []report `msgpack:"Voices"` // the name on the wire is older
}

type heartbeat struct {
	Lease  lease.Message
	Gossip gossip
}

type heartbeatReply struct {
	Lease  lease.Reply
	Gossip gossip
}

// listMessage carries a whole list of instances. The zero version is no list.
type listMessage struct {
	Version   fleetwire.ListVersion
	AgeMs     int64
	Instances []fleetwire.Instance
}

// stepsMessage carries what leads from one list of instances to a newer one.
type stepsMessage struct {
	AgeMs int64
	Steps []fleetwire.ListStep // at least one
}

// stepsReply tells whether the list is now held. Otherwise it is to be sent whole.
type stepsReply struct {
	Held bool
}

// empty is a message without content.
type empty struct{}

// status is what a controller knows, for command line tools.
type status struct {
	Member      fleetwire.Member
	Revision    uint64
	Version     int64 // of the current configuration
	Changes     uint64
	Replicas    []string
	Live        []string
	Roles       map[string]lease.Record
	Held        []string // roles in which this controller may act now
	List        fleetwire.ListVersion
	Instances   int
	ListAgeMs   int64
	QuorumAgeMs int64
	Routers     int
}
