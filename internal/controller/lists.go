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

// listStore holds the newest list of instances and publishes it to the subscribers. It is safe for concurrent use.
type listStore struct {
	hub *watch.Hub
	log *zap.Logger

	mutex          sync.Mutex
	version        fleetwire.ListVersion
	list           []fleetwire.Instance
	confirmedAt    time.Time             // when the platform last returned this list
	previous       fleetwire.ListVersion // version before the newest one
	workerServices map[string]string     // service of each listed worker; built on first use, then never modified
}

func newListStore(hub *watch.Hub, log *zap.Logger) *listStore { return &listStore{hub: hub, log: log} }

// acceptRead stores a list that this controller has just read under a token. It reports whether that made a new version. A list
// read under an older token than that of the stored list is ignored.
func (l *listStore) acceptRead(now time.Time, token uint64, list []fleetwire.Instance) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if token < l.version.Token {
		return false
	}
	if token == l.version.Token && instances.Equal(l.list, list) {
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

// acceptList stores a list from another controller if it is newer than the stored one, and reports whether it is.
func (l *listStore) acceptList(now time.Time, message listMessage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.version.Less(message.Version) {
		return false
	}
	l.publish(message.Version, message.Instances, now.Add(-milliseconds(message.AgeMs)))
	return true
}

// observeVersion processes the version and age of the list that another controller holds. It reports whether that list is newer
// than the stored one. For the same version it takes over the later confirmation.
func (l *listStore) observeVersion(now time.Time, version fleetwire.ListVersion, ageMs int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if version == l.version && version != (fleetwire.ListVersion{}) {
		l.confirm(now.Add(-milliseconds(ageMs)))
	}
	return l.version.Less(version)
}

// acceptSteps applies steps from another controller to the stored list. It reports whether the list after them, or a newer one,
// is now stored.
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

// latestSteps returns the steps from the previous list to the newest one. It returns none if the hub does not have them or they
// are not much smaller than the full list.
func (l *listStore) latestSteps(now time.Time) stepsMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return stepsMessage{AgeMs: now.Sub(l.confirmedAt).Milliseconds(), Steps: l.hub.StepsSince(l.previous)}
}

// set replaces the list. The caller must hold the lock.
func (l *listStore) set(version fleetwire.ListVersion, list []fleetwire.Instance, confirmedAt time.Time) {
	l.previous = l.version
	l.version = version
	l.list = list
	l.workerServices = nil
	l.confirmedAt = confirmedAt
}

// publish replaces the list and passes it to the hub. The caller must hold the lock.
func (l *listStore) publish(version fleetwire.ListVersion, list []fleetwire.Instance, confirmedAt time.Time) {
	l.set(version, list, confirmedAt)
	if err := l.hub.PublishInstances(version, list); err != nil {
		l.log.Error("the list of instances could not be published", zap.String("cause", err.Error()))
	}
	l.hub.ConfirmInstances(confirmedAt)
}

// confirm records that the platform returned the stored list at the given time. The caller must hold the lock.
func (l *listStore) confirm(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
		l.hub.ConfirmInstances(at)
	}
}

// message returns the full list as a message to another controller.
func (l *listStore) message(now time.Time) listMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return listMessage{Version: l.version, AgeMs: now.Sub(l.confirmedAt).Milliseconds(), Instances: l.list}
}

// serviceByWorker returns the service of each listed worker. The map is built once per list, because every poll with
// observations or doubts needs it. The caller must not modify it.
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

// versionAndAge returns the version of the list and its age in milliseconds. The age is 0 if there is no list.
func (l *listStore) versionAndAge(now time.Time) (fleetwire.ListVersion, int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.version == (fleetwire.ListVersion{}) {
		return l.version, 0
	}
	return l.version, now.Sub(l.confirmedAt).Milliseconds()
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// pushList sends the newest list to all other controllers in parallel. A controller that cannot be reached gets it after its
// next message.
func (c *controller) pushList(ctx context.Context) {
	now := time.Now()
	steps, full := c.lists.latestSteps(now), c.lists.message(now)
	for _, address := range c.peers.others(now) {
		go c.sendList(ctx, address, steps, full)
	}
}

// sendList sends the steps, or the full list if there are none or the receiver cannot apply them. It adds a hint if the call
// fails.
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

// sendSteps sends steps to another controller and reports whether it needs the full list.
func (c *controller) sendSteps(ctx context.Context, address string, steps stepsMessage) (bool, error) {
	var reply stepsReply
	err := c.client.Call(ctx, address, pathSteps, steps, &reply)
	if errors.Is(err, transport.ErrStatus) {
		return true, nil // the other controller does not serve this call
	}
	return !reply.Held, err
}

// sendMissedList sends the newest list to a controller that is reachable again and has missed one. held is the version that it
// holds.
func (c *controller) sendMissedList(now time.Time, address string, held fleetwire.ListVersion) {
	if c.hints.takeMissed(address, held) {
		go c.sendList(c.ctx, address, stepsMessage{}, c.lists.message(now))
	}
}

// fetchList fetches the list of another controller in the background. It does nothing while an earlier call is in progress.
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

// serveInstances accepts a full list from another controller.
func (c *controller) serveInstances(_ context.Context, message listMessage) (empty, error) {
	c.lists.acceptList(time.Now(), message)
	return empty{}, nil
}

// serveSteps accepts steps from another controller.
func (c *controller) serveSteps(_ context.Context, message stepsMessage) (stepsReply, error) {
	return stepsReply{Held: c.lists.acceptSteps(time.Now(), message)}, nil
}

// serveList returns the stored list to another controller.
func (c *controller) serveList(context.Context, empty) (listMessage, error) {
	return c.lists.message(time.Now()), nil
}

// listHandler returns the function that the poller calls with each list that it reads from the platform.
func (c *controller) listHandler(ctx context.Context) func(token uint64, list []fleetwire.Instance) {
	return func(token uint64, list []fleetwire.Instance) {
		if c.lists.acceptRead(time.Now(), token, list) {
			c.pushList(ctx)
		}
	}
}
