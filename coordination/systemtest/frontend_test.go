package systemtest

import (
	"time"

	"weldscale/coordination/membership"
	"weldscale/coordination/sim"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// memberInterval is the pace of the failure detectors.
const memberInterval = 250 * time.Millisecond

// frontend follows the controllers and watches over the other frontends.
type frontend struct {
	process  *sim.Process
	site     *site
	follower *watch.Follower
	detector *membership.Detector
	seen     *watch.Snapshot
}

func startFrontend(process *sim.Process, site *site) *frontend {
	f := &frontend{process: process, site: site}
	f.detector = membership.NewDetector(membership.Options{Self: memberOf(process.Name()), Interval: memberInterval})
	f.follow()
	process.OnMessage(func(_ string, message any) {
		f.send(f.detector.Receive(process.MonotonicTime(), message.(membership.Message)))
	})
	// Each is told of one other; the rest travels with the heartbeats.
	f.detector.AddMembers(process.MonotonicTime(), []membership.Member{memberOf(site.neighbour(process.Name()))})
	process.Every(memberInterval, func() { f.send(f.detector.Tick(process.MonotonicTime())) })
	f.poll()
	return f
}

func memberOf(name string) membership.Member { return membership.Member{Name: name, Address: name} }

func (f *frontend) send(envelopes []membership.Envelope) {
	for _, envelope := range envelopes {
		f.process.Send(envelope.To.Address, envelope.Message)
	}
}

// follow begins with a follower that holds nothing.
func (f *frontend) follow() {
	f.follower = watch.NewFollower(watch.FollowerOptions{
		Self:     fleetwire.Member{Name: f.process.Name()},
		Sources:  func() []string { return f.site.seeds },
		OnChange: f.adopt,
		Jitter:   f.process.World().Float64,
	})
}

func (f *frontend) adopt(snapshot *watch.Snapshot) {
	f.site.checks.followed(f.process.Name(), f.seen, snapshot)
	f.seen = snapshot
}

func (f *frontend) poll() {
	if f.site.broken.goesBack {
		f.follow()
	}
	follower := f.follower
	ask, request := follower.NextPoll(f.process.MonotonicTime())
	f.process.After(ask.Delay, func() {
		if ask.Address == "" {
			f.poll()
			return
		}
		sent := f.process.MonotonicTime()
		f.process.Call(ask.Address, request, ask.Deadline, func(answer any, err error) {
			if err != nil {
				follower.HandleFailure(f.process.MonotonicTime(), ask)
			} else {
				reply := answer.(fleetwire.WatchReply)
				follower.HandleReply(f.process.MonotonicTime(), sent, ask, &reply)
			}
			f.poll()
		})
	})
}

// revision is that of the configuration that is held, 0 for none.
func (f *frontend) revision() uint64 {
	if f.seen == nil {
		return 0
	}
	return f.seen.Version.ConfigRevision
}
