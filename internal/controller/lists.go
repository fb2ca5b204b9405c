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
type listStore struct {
	hub *watch.Hub
	log *zap.Logger

	mutex          sync.Mutex
	version        fleetwire.ListVersion
	list           []fleetwire.Instance
	confirmedAt    time.Time             // when the platform last gave this list
	previous       fleetwire.ListVersion // held before the newest
	workerServices map[string]string     // the service of each listed worker; nil until it is asked for, and never changed
}

func newListStore(hub *watch.Hub, log *zap.Logger) *listStore { return &listStore{hub: hub, log: log} }

// read takes what this controller has just read under a token. It reports whether that is a new version of the list.
func (l *listStore) acceptRead(now time.Time, token uint64, list []fleetwire.Instance) bool {
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
func (l *listStore) acceptList(now time.Time, message listMessage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.version.Less(message.Version) {
		return false
	}
	l.publish(message.Version, message.Instances, now.Add(-milliseconds(message.AgeMs)))
	return true
}

// told takes the age of the list that another controller holds. It reports whether that list is newer than the one here.
func (l *listStore) observeVersion(now time.Time, version fleetwire.ListVersion, ageMs int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if version == l.version && version != (fleetwire.ListVersion{}) {
		l.confirm(now.Add(-milliseconds(ageMs)))
	}
	return l.version.Less(version)
}

// offerSteps takes steps from another controller. It reports whether the list that they lead to, or a newer one, is now held.
func (l *listStore) acceptSteps(now time.Time, message stepsMessage) bool {
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
	l.set(version, list, now.Add(-milliseconds(message.AgeMs)))
	l.hub.ConfirmInstances(l.confirmedAt)
	return true
}

// steps returns what leads from the list held before the newest to that one, if that is worth sending.
func (l *listStore) latestSteps(now time.Time) stepsMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return stepsMessage{AgeMs: now.Sub(l.confirmedAt).Milliseconds(), Steps: l.hub.StepsSince(l.previous)}
}

func (l *listStore) set(version fleetwire.ListVersion, list []fleetwire.Instance, confirmedAt time.Time) {
	l.previous = l.version
	l.version = version
	l.list = list
	l.workerServices = nil
	l.confirmedAt = confirmedAt
}

func (l *listStore) publish(version fleetwire.ListVersion, list []fleetwire.Instance, confirmedAt time.Time) {
	l.set(version, list, confirmedAt)
	if err := l.hub.PublishInstances(version, list); err != nil {
		l.log.Error("the list of instances could not be published", zap.String("cause", err.Error()))
	}
	l.hub.ConfirmInstances(confirmedAt)
}

func (l *listStore) confirm(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
		l.hub.ConfirmInstances(at)
	}
}

// message returns the list to be passed on.
func (l *listStore) message(now time.Time) listMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return listMessage{Version: l.version, AgeMs: now.Sub(l.confirmedAt).Milliseconds(), Instances: l.list}
}

// services tells of which service each listed worker is. It is made once for a list: polls with observations or doubts ask
// for it. It must not be changed.
func (l *listStore) serviceByWorker() map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.workerServices == nil {
		l.workerServices = make(map[string]string, len(l.list))
		for i := range l.list {
			l.workerServices[l.list[i].ID] = l.list[i].Service
		}
	}
	return l.workerServices
}

// held returns the version and age of the list; the age is 0 without a list.
func (l *listStore) versionAndAge(now time.Time) (fleetwire.ListVersion, int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.version == (fleetwire.ListVersion{}) {
		return l.version, 0
	}
	return l.version, now.Sub(l.confirmedAt).Milliseconds()
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// pushList sends the newest list to all other controllers at once. Those that it doesn't reach get it when they are heard again.
func (c *controller) pushList(ctx context.Context) {
	now := time.Now()
	steps, full := c.lists.latestSteps(now), c.lists.message(now)
	for _, address := range c.peers.others(now) {
		go c.sendList(ctx, address, steps, full)
	}
}

// sendList sends steps, or the whole list where they don't do, and keeps a hint if it doesn't arrive.
func (c *controller) sendList(ctx context.Context, address string, steps stepsMessage, full listMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	needsFull, err := true, error(nil)
	if len(steps.Steps) > 0 {
		needsFull, err = c.sendSteps(ctx, address, steps)
	}
	if err == nil && needsFull {
		err = c.client.Call(ctx, address, fleetwire.PathInstances, full, &empty{})
	}
	if err != nil {
		c.hints.add(address, full.Version)
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
func (c *controller) sendMissedList(now time.Time, address string, held fleetwire.ListVersion) {
	if c.hints.takeMissed(address, held) {
		go c.sendList(c.ctx, address, stepsMessage{}, c.lists.message(now))
	}
}

// fetchList asks another controller for its list, one call at a time.
func (c *controller) fetchList(ctx context.Context, address string) {
	if !c.fetchingList.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetchingList.Store(false)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var message listMessage
		if err := c.client.Call(ctx, address, pathList, empty{}, &message); err == nil {
			c.lists.acceptList(time.Now(), message)
		}
	}()
}

func (c *controller) serveInstances(_ context.Context, message listMessage) (empty, error) {
	c.lists.acceptList(time.Now(), message)
	return empty{}, nil
}

func (c *controller) serveSteps(_ context.Context, message stepsMessage) (stepsReply, error) {
	return stepsReply{Held: c.lists.acceptSteps(time.Now(), message)}, nil
}

func (c *controller) serveList(context.Context, empty) (listMessage, error) {
	return c.lists.message(time.Now()), nil
}

// listRead takes each reading of the poller.
func (c *controller) listHandler(ctx context.Context) func(token uint64, list []fleetwire.Instance) {
	return func(token uint64, list []fleetwire.Instance) {
		if c.lists.acceptRead(time.Now(), token, list) {
			c.pushList(ctx)
		}
	}
}
