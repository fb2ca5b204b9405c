package stages

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/internal/fleetwire"
)

const (
	planInterval = 500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	operation    = "Stage"
)

// Lease tells whether this process may order workers now, and under which fencing token.
type Lease func() (token uint64, held bool)

// Fleet is what is known of the workers.
type Fleet struct {
	Config    *fleetwire.Config
	Instances []fleetwire.Instance
}

// Options set up a Keeper.
type Options struct {
	Holder string // the name in orders
	Lease  Lease
	Fleet  func() Fleet
	Share  func(service string) float64 // of a service's workers that is to read prompts
	// Quiet is how long a new holder waits before its first order: what the former one has sent must have arrived long before.
	Quiet time.Duration
	// Fresh says that no one can have sent an order before: the whole system starts for the first time.
	Fresh bool
	Log   *zap.Logger
}

// Keeper keeps the stages of all engines while it holds the lease.
type Keeper struct {
	options   Options
	transport *http.Transport
	planners  map[string]*Planner
	token     uint64
	since     time.Time // when the token was first held
}

// NewKeeper returns a keeper.
func NewKeeper(options Options) *Keeper {
	dialer := &net.Dialer{Timeout: orderTimeout, KeepAlive: -1}
	return &Keeper{
		options:   options,
		transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
		planners:  map[string]*Planner{},
	}
}

// Run plans and orders until the context is done.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if k.mayOrder(time.Now()) {
				k.orderAll(ctx, time.Since(started))
			}
		}
	}
}

// mayOrder reports whether the lease has been held for long enough.
func (k *Keeper) mayOrder(now time.Time) bool {
	token, held := k.options.Lease()
	if !held {
		k.token = 0
		return false
	}
	if token != k.token {
		k.token, k.since = token, now
		k.planners = map[string]*Planner{}
	}
	first := k.options.Fresh && token == 1
	return first || now.Sub(k.since) >= k.options.Quiet
}

func (k *Keeper) orderAll(ctx context.Context, now time.Duration) {
	fleet := k.options.Fleet()
	if fleet.Config == nil {
		return
	}
	for _, service := range fleet.Config.Services {
		if service.Engine == nil {
			continue
		}
		planner := k.planners[service.Name]
		if planner == nil {
			planner = NewPlanner()
			k.planners[service.Name] = planner
		}
		var workers []fleetwire.Instance
		for _, instance := range fleet.Instances {
			if instance.Service == service.Name {
				workers = append(workers, instance)
			}
		}
		for _, order := range planner.Plan(now, workers, k.options.Share(service.Name)) {
			if err := k.send(ctx, order); err != nil {
				planner.Failed(order.Target.ID)
				k.options.Log.Warn("order not taken", zap.String("instance", order.Target.ID), zap.String("cause", err.Error()))
			}
		}
	}
}

// errNotTaken is returned for an order that the worker refused.
var errNotTaken = eris.New("the worker did not take the order")

// message is the body of an order.
type message struct {
	Operation  string
	Stage      string
	Holder     string
	FenceToken uint64
}

// send orders one worker, if the lease is still held under the same token.
func (k *Keeper) send(ctx context.Context, order Order) error {
	token, held := k.options.Lease()
	if !held || token != k.token {
		return errNotTaken
	}
	body, err := json.Marshal(message{Operation: operation, Stage: order.Stage, Holder: k.options.Holder, FenceToken: token})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Target.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Expected-Instance", order.Target.ID)
	request.GetBody = nil // an order that got no answer may have been taken: it is not sent again by itself
	response, err := k.transport.RoundTrip(request)
	if err != nil {
		return nil // it may have been taken: it stays pending
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return eris.Wrapf(errNotTaken, "status %d", response.StatusCode)
	}
	k.options.Log.Info("stage ordered", zap.String("instance", order.Target.ID), zap.String("stage", order.Stage))
	return nil
}
