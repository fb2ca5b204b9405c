package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/instances"
)

// lists keeps the newest list of instances and publishes it to the watchers.
type lists struct {
	hub *watch.Hub
	log *zap.Logger

	mutex     sync.Mutex
	version   fleetwire.ListVersion
	list      []fleetwire.Instance
	confirmed time.Time             // when the platform last gave this list
	before    fleetwire.ListVersion // held before the newest
	byWorker  map[string]string     // the service of each listed worker; nil until it is asked for, and never changed
}

func newLists(hub *watch.Hub, log *zap.Logger) *lists { return &lists{hub: hub, log: log} }

// read takes what this controller has just read under a token. It reports whether that is a new version of the list.
func (l *lists) read(now time.Time, token uint64, list []fleetwire.Instance) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if token < l.version.Token {
		return false
	}
	if token == l.version.Token && instances.Same(l.list, list) {
		l.confirm(now)
		return false
	}
	sequence := uint64(1)
	if token == l.version.Token {
		sequence = l.version.Sequence + 1
	}
	l.publish(fleetwire.ListVersion{Token: token, Sequence: sequence}, list, now)
	return true
}

// offer takes a list from another controller. It reports whether that is newer than the one held.
func (l *lists) offer(now time.Time, message listMessage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.version.Less(message.Version) {
		return false
	}
	l.publish(message.Version, message.Instances, now.Add(-milliseconds(message.AgeMs)))
	return true
}

// told takes the age of the list that another controller holds. It reports whether that list is newer than the one here.
func (l *lists) told(now time.Time, version fleetwire.ListVersion, ageMs int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if version == l.version && version != (fleetwire.ListVersion{}) {
		l.confirm(now.Add(-milliseconds(ageMs)))
	}
	return l.version.Less(version)
}

// offerSteps takes steps from another controller. It reports whether the list that they lead to, or a newer one, is now held.
func (l *lists) offerSteps(now time.Time, message stepsMessage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(message.Steps) == 0 {
		return false
	}
	version := message.Steps[len(message.Steps)-1].To
	if !l.version.Less(version) {
		return true
	}
	list, err := l.hub.PublishSteps(message.Steps)
	if err != nil {
		return false
	}
	l.hold(version, list, now.Add(-milliseconds(message.AgeMs)))
	l.hub.ConfirmInstances(l.confirmed)
	return true
}

// steps returns what leads from the list held before the newest to that one, if that is worth sending.
func (l *lists) steps(now time.Time) stepsMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return stepsMessage{AgeMs: now.Sub(l.confirmed).Milliseconds(), Steps: l.hub.StepsSince(l.before)}
}

func (l *lists) hold(version fleetwire.ListVersion, list []fleetwire.Instance, confirmed time.Time) {
	l.before = l.version
	l.version = version
	l.list = list
	l.byWorker = nil
	l.confirmed = confirmed
}

func (l *lists) publish(version fleetwire.ListVersion, list []fleetwire.Instance, confirmed time.Time) {
	l.hold(version, list, confirmed)
	if err := l.hub.PublishInstances(version, list); err != nil {
		l.log.Error("the list of instances could not be published", zap.String("cause", err.Error()))
	}
	l.hub.ConfirmInstances(confirmed)
}

func (l *lists) confirm(at time.Time) {
	if at.After(l.confirmed) {
		l.confirmed = at
		l.hub.ConfirmInstances(at)
	}
}

// message returns the list to be passed on.
func (l *lists) message(now time.Time) listMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return listMessage{Version: l.version, AgeMs: now.Sub(l.confirmed).Milliseconds(), Instances: l.list}
}

// services tells of which service each listed worker is. It is made once for a list: polls with observations or doubts ask
// for it. It must not be changed.
func (l *lists) services() map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byWorker == nil {
		l.byWorker = make(map[string]string, len(l.list))
		for i := range l.list {
			l.byWorker[l.list[i].ID] = l.list[i].Service
		}
	}
	return l.byWorker
}

// held returns the version and age of the list; the age is 0 without a list.
func (l *lists) held(now time.Time) (fleetwire.ListVersion, int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.version == (fleetwire.ListVersion{}) {
		return l.version, 0
	}
	return l.version, now.Sub(l.confirmed).Milliseconds()
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// pushList sends the newest list to all other controllers at once. Those that it doesn't reach get it when they are heard again.
func (c *controller) pushList(ctx context.Context) {
	now := time.Now()
	steps, whole := c.lists.steps(now), c.lists.message(now)
	for _, address := range c.roster.others(now) {
		go c.sendList(ctx, address, steps, whole)
	}
}

// sendList sends steps, or the whole list where they don't do, and keeps a hint if it doesn't arrive.
func (c *controller) sendList(ctx context.Context, address string, steps stepsMessage, whole listMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	wantsWhole, err := true, error(nil)
	if len(steps.Steps) > 0 {
		wantsWhole, err = c.sendSteps(ctx, address, steps)
	}
	if err == nil && wantsWhole {
		err = c.client.Call(ctx, address, fleetwire.PathInstances, whole, &empty{})
	}
	if err != nil {
		c.hints.missed(address, whole.Version)
	}
}

// sendSteps sends steps to another controller and reports whether that one has to be sent the whole list.
func (c *controller) sendSteps(ctx context.Context, address string, steps stepsMessage) (bool, error) {
	var reply stepsReply
	err := c.client.Call(ctx, address, pathSteps, steps, &reply)
	if errors.Is(err, transport.ErrStatus) {
		return true, nil // it doesn't know the call
	}
	return !reply.Held, err
}

// handOver sends the newest list to a controller that is back and has missed one.
func (c *controller) handOver(now time.Time, address string, holds fleetwire.ListVersion) {
	if c.hints.take(address, holds) {
		go c.sendList(c.ctx, address, stepsMessage{}, c.lists.message(now))
	}
}

// fetchList asks another controller for its list, one call at a time.
func (c *controller) fetchList(ctx context.Context, address string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var message listMessage
		if err := c.client.Call(ctx, address, pathList, empty{}, &message); err == nil {
			c.lists.offer(time.Now(), message)
		}
	}()
}

func (c *controller) serveInstances(_ context.Context, message listMessage) (empty, error) {
	c.lists.offer(time.Now(), message)
	return empty{}, nil
}

func (c *controller) serveSteps(_ context.Context, message stepsMessage) (stepsReply, error) {
	return stepsReply{Held: c.lists.offerSteps(time.Now(), message)}, nil
}

func (c *controller) serveList(context.Context, empty) (listMessage, error) {
	return c.lists.message(time.Now()), nil
}

// listRead takes each reading of the poller.
func (c *controller) listRead(ctx context.Context) func(token uint64, list []fleetwire.Instance) {
	return func(token uint64, list []fleetwire.Instance) {
		if c.lists.read(time.Now(), token, list) {
			c.pushList(ctx)
		}
	}
}
