package systemtest

import (
	"time"

	"weldscale/coordination/membership"
	"weldscale/coordination/sim"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// detectorInterval is the interval between heartbeats of the failure detectors.
const detectorInterval = 250 * time.Millisecond

// frontend is a subscriber of the controllers that detects failures of the other frontends.
type frontend struct {
	process    *sim.Process
	deployment *deployment
	follower   *watch.Follower
	detector   *membership.Detector
	current    *watch.Snapshot
}

func startFrontend(process *sim.Process, deployment *deployment) *frontend {
	f := &frontend{process: process, deployment: deployment}
	f.detector = membership.NewDetector(membership.Options{Self: memberOf(process.Name()), Interval: detectorInterval})
	f.resetFollower()
	process.OnMessage(func(_ string, message any) {
		f.send(f.detector.Receive(process.MonotonicTime(), message.(membership.Message)))
	})
	// Each frontend knows one other at first. It learns of the rest by gossip.
	f.detector.AddMembers(process.MonotonicTime(), []membership.Member{memberOf(deployment.nextFrontend(process.Name()))})
	process.Every(detectorInterval, func() { f.send(f.detector.Tick(process.MonotonicTime())) })
	f.poll()
	return f
}

func memberOf(name string) membership.Member { return membership.Member{Name: name, Address: name} }

func (f *frontend) send(envelopes []membership.Envelope) {
	for _, envelope := range envelopes {
		f.process.Send(envelope.To.Address, envelope.Message)
	}
}

// resetFollower replaces the follower by one without a snapshot.
func (f *frontend) resetFollower() {
	f.follower = watch.NewFollower(watch.FollowerOptions{
		Self:     fleetwire.Member{Name: f.process.Name()},
		Sources:  func() []string { return f.deployment.seeds },
		OnChange: f.adopt,
		Jitter:   f.process.World().Float64,
	})
}

func (f *frontend) adopt(snapshot *watch.Snapshot) {
	f.deployment.checker.checkSnapshot(f.process.Name(), f.current, snapshot)
	f.current = snapshot
}

func (f *frontend) poll() {
	if f.deployment.defects.resetsFollower {
		f.resetFollower()
	}
	follower := f.follower
	poll, request := follower.NextPoll(f.process.MonotonicTime())
	f.process.After(poll.Delay, func() {
		if poll.Address == "" {
			f.poll()
			return
		}
		sent := f.process.MonotonicTime()
		f.process.Call(poll.Address, request, poll.Deadline, func(answer any, err error) {
			if err != nil {
				follower.HandleFailure(f.process.MonotonicTime(), poll)
			} else {
				reply := answer.(fleetwire.WatchReply)
				follower.HandleReply(f.process.MonotonicTime(), sent, poll, &reply)
			}
			f.poll()
		})
	})
}

// configRevision returns the revision of the current configuration, or 0 if there is none.
func (f *frontend) configRevision() uint64 {
	if f.current == nil {
		return 0
	}
	return f.current.Version.ConfigRevision
}
