package stages

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

const (
	planInterval = 500 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	// surveyInterval separates the looks at the load: a change of stage takes seconds, and each look has a price.
	surveyInterval = 3 * time.Second
	operation      = "Stage"
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
	// Fenced is told of a token that a worker refused because it has seen a higher one. Nil: nobody is.
	Fenced func(token uint64)
	Fleet  func() Fleet
	Prober placement.Prober   // nil: by HTTP
	Dial   transport.DialFunc // opens the connections to workers; nil: by TCP
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
	engines   map[string]*engine // by service
	token     uint64
	since     time.Time // when the token was first held
	fenced    uint64    // the newest token that a worker refused; nothing is ordered under it any more
}

// NewKeeper returns a keeper.
func NewKeeper(options Options) *Keeper {
	if options.Dial == nil {
		options.Dial = transport.TCPDial()
	}
	if options.Prober == nil {
		options.Prober = placement.NewHTTPProberDialing(options.Dial)
	}
	dial := options.Dial.WithTimeout(orderTimeout)
	return &Keeper{
		options:   options,
		transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		engines:   map[string]*engine{},
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
		k.engines = map[string]*engine{}
	}
	if token <= k.fenced {
		return false
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
		state := k.engine(service.Name)
		var workers []fleetwire.Instance
		for _, instance := range fleet.Instances {
			if instance.Service == service.Name {
				workers = append(workers, instance)
			}
		}
		k.weigh(ctx, state, now, workers, service.Engine.Slots)
		for _, order := range state.planner.Plan(now, workers, state.balance.Share()) {
			err := k.send(ctx, order)
			if errors.Is(err, errFenced) {
				k.fence()
				return
			}
			if err != nil {
				state.planner.Failed(order.Target.ID)
				k.options.Log.Warn("order not taken", zap.String("instance", order.Target.ID), zap.String("cause", err.Error()))
			}
		}
	}
}

// fence gives the present token up for good: another holder has ordered under a higher one.
func (k *Keeper) fence() {
	k.fenced = k.token
	k.options.Log.Warn("a worker has seen a higher fencing token", zap.Uint64("token", k.token))
	if k.options.Fenced != nil {
		k.options.Fenced(k.token)
	}
}

// engine is what the holder knows of one service. A new holder begins anew.
type engine struct {
	planner  *Planner
	balance  *Balance
	surveyed time.Duration // when the workers were asked for their load last
}

func (k *Keeper) engine(service string) *engine {
	known := k.engines[service]
	if known == nil {
		known = &engine{planner: NewPlanner(), balance: NewBalance()}
		k.engines[service] = known
	}
	return known
}

// weigh asks for the load now and then.
func (k *Keeper) weigh(ctx context.Context, state *engine, now time.Duration, workers []fleetwire.Instance, slots int) {
	if now-state.surveyed < surveyInterval {
		return
	}
	state.surveyed = now
	if load, enough := survey(ctx, k.options.Prober, workers, slots); enough {
		state.balance.Observe(load)
	}
}

var (
	// errNotTaken is returned for an order that the worker refused.
	errNotTaken = eris.New("the worker did not take the order")
	// errFenced is returned for an order whose fencing token is below one that the worker has seen.
	errFenced = eris.New("the worker has seen a higher fencing token")
)

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
	if response.StatusCode == http.StatusPreconditionFailed {
		return errFenced
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return eris.Wrapf(errNotTaken, "status %d", response.StatusCode)
	}
	k.options.Log.Info("stage ordered", zap.String("instance", order.Target.ID), zap.String("stage", order.Stage))
	return nil
}
