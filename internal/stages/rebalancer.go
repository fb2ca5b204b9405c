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
	// sampleInterval is the time between two samples of the load. A change of stage takes seconds, and each sample costs probes.
	sampleInterval = 3 * time.Second
	stageOperation = "Stage" // the operation of an order that changes the stage
)

// Lease reports whether this process holds the lease to give orders, and its fencing token.
type Lease func() (token uint64, held bool)

// Fleet is the current configuration and list of workers.
type Fleet struct {
	Config    *fleetwire.Config
	Instances []fleetwire.Instance
}

// Options configure a Rebalancer.
type Options struct {
	Holder string // name of this process in orders
	Lease  Lease
	// OnFenced is called with a token that a worker rejected because it has seen a higher one. It may be nil.
	OnFenced func(token uint64)
	Fleet    func() Fleet
	Prober   placement.Prober   // nil: an HTTP prober
	Dial     transport.DialFunc // opens connections to workers; nil: TCP
	// TakeoverDelay is how long a new lease holder waits before its first order. All orders of the previous holder must have
	// arrived by then.
	TakeoverDelay time.Duration
	// Bootstrap says that the whole system starts for the first time. No order can have been sent before, so the first lease
	// holder need not wait.
	Bootstrap bool
	Log       *zap.Logger
}

// Rebalancer assigns the workers of all engines to stages while this process holds the lease.
type Rebalancer struct {
	options     Options
	transport   *http.Transport
	engines     map[string]*engineState // by service
	token       uint64
	tokenSince  time.Time // when this process got the token
	fencedToken uint64    // the newest token that a worker rejected; no orders are sent under it or an older one
}

// NewRebalancer returns a rebalancer. Run starts it.
func NewRebalancer(options Options) *Rebalancer {
	if options.Dial == nil {
		options.Dial = transport.TCPDial()
	}
	if options.Prober == nil {
		options.Prober = placement.NewHTTPProberWithDial(options.Dial)
	}
	dial := options.Dial.WithTimeout(orderTimeout)
	return &Rebalancer{
		options:   options,
		transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		engines:   map[string]*engineState{},
	}
}

// Run plans and sends orders until ctx is done.
func (r *Rebalancer) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.mayIssueOrders(time.Now()) {
				r.issueOrders(ctx, time.Since(start))
			}
		}
	}
}

// mayIssueOrders reports whether orders may be sent now: the lease is held, its token is not fenced, and the takeover delay is
// over.
func (r *Rebalancer) mayIssueOrders(now time.Time) bool {
	token, held := r.options.Lease()
	if !held {
		r.token = 0
		return false
	}
	if token != r.token {
		r.token, r.tokenSince = token, now
		r.engines = map[string]*engineState{}
	}
	if token <= r.fencedToken {
		return false
	}
	first := r.options.Bootstrap && token == 1
	return first || now.Sub(r.tokenSince) >= r.options.TakeoverDelay
}

// issueOrders plans and sends the orders for all engines. It stops as soon as a worker rejects the fencing token.
func (r *Rebalancer) issueOrders(ctx context.Context, now time.Duration) {
	fleet := r.options.Fleet()
	if fleet.Config == nil {
		return
	}
	for _, service := range fleet.Config.Services {
		if service.Engine == nil {
			continue
		}
		state := r.engineFor(service.Name)
		var workers []fleetwire.Instance
		for _, instance := range fleet.Instances {
			if instance.Service == service.Name {
				workers = append(workers, instance)
			}
		}
		r.updateLoad(ctx, state, now, workers, service.Engine.Slots)
		for _, order := range state.planner.Plan(now, workers, state.adjuster.Share()) {
			err := r.sendOrder(ctx, order)
			if errors.Is(err, errFenced) {
				r.markFenced()
				return
			}
			if err != nil {
				state.planner.OrderFailed(order.Target.ID)
				r.options.Log.Warn("order not taken", zap.String("instance", order.Target.ID), zap.String("cause", err.Error()))
			}
		}
	}
}

// markFenced gives up the current token for good, because another holder has sent orders under a higher one.
func (r *Rebalancer) markFenced() {
	r.fencedToken = r.token
	r.options.Log.Warn("a worker has seen a higher fencing token", zap.Uint64("token", r.token))
	if r.options.OnFenced != nil {
		r.options.OnFenced(r.token)
	}
}

// engineState is the state of one service. It is reset with each new token.
type engineState struct {
	planner   *Planner
	adjuster  *ShareAdjuster
	sampledAt time.Duration // when the load was last sampled
}

// engineFor returns the state of a service, and creates it on first use.
func (r *Rebalancer) engineFor(service string) *engineState {
	state := r.engines[service]
	if state == nil {
		state = &engineState{planner: NewPlanner(), adjuster: NewShareAdjuster()}
		r.engines[service] = state
	}
	return state
}

// updateLoad samples the load of the workers if sampleInterval has passed.
func (r *Rebalancer) updateLoad(ctx context.Context, state *engineState, now time.Duration, workers []fleetwire.Instance, slots int) {
	if now-state.sampledAt < sampleInterval {
		return
	}
	state.sampledAt = now
	if load, enough := sampleLoad(ctx, r.options.Prober, workers, slots); enough {
		state.adjuster.Observe(load)
	}
}

var (
	// errOrderRejected is returned for an order that the worker rejected, or that was not sent because the lease was lost.
	errOrderRejected = eris.New("the worker rejected the order")
	// errFenced is returned for an order whose fencing token is lower than one that the worker has seen.
	errFenced = eris.New("the worker has seen a higher fencing token")
)

// orderRequest is the JSON body of an order.
type orderRequest struct {
	Operation  string
	Stage      string
	Holder     string
	FenceToken uint64
}

// sendOrder sends an order to its worker, if the lease is still held under the same token. An order without an answer is no
// error, since the worker may have executed it.
func (r *Rebalancer) sendOrder(ctx context.Context, order Order) error {
	token, held := r.options.Lease()
	if !held || token != r.token {
		return errOrderRejected
	}
	body, err := json.Marshal(orderRequest{Operation: stageOperation, Stage: order.Stage, Holder: r.options.Holder, FenceToken: token})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Target.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build order request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Expected-Instance", order.Target.ID)
	request.GetBody = nil // no automatic retry: an order without an answer may have been accepted
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return nil // it may have been accepted, so it stays pending
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	if response.StatusCode == http.StatusPreconditionFailed {
		return errFenced
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return eris.Wrapf(errOrderRejected, "status %d", response.StatusCode)
	}
	r.options.Log.Info("stage ordered", zap.String("instance", order.Target.ID), zap.String("stage", order.Stage))
	return nil
}
