package instances

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"weldscale/internal/fleetwire"
	"weldscale/internal/pause"
)

const (
	// pollInterval is the time from one reading to the next. Each call has a price; a worker that drains must be left
	// within seconds, and half a second leaves the rest of them to the way of the list.
	pollInterval = 500 * time.Millisecond
	// A failed reading is repeated sooner, since the time of a drain runs on.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// rateRetry lets the rate, which all callers share, recover.
	rateRetry = 400 * time.Millisecond
)

// Source reads the list.
type Source interface {
	Read(ctx context.Context) ([]fleetwire.Instance, error)
}

// Lease tells whether this process may read the list now, and under which fencing token.
type Lease func() (token uint64, held bool)

// Poller reads the list while it holds the lease, again and again.
type Poller struct {
	source  Source
	lease   Lease
	publish func(token uint64, list []fleetwire.Instance)
	wake    chan struct{}
	log     *zap.Logger
}

// NewPoller returns a poller that hands each whole list to publish, whether it has changed or not, as long as the lease
// under which it was begun is still held.
func NewPoller(source Source, lease Lease, publish func(token uint64, list []fleetwire.Instance), log *zap.Logger) *Poller {
	return &Poller{source: source, lease: lease, publish: publish, wake: make(chan struct{}, 1), log: log}
}

// Wake has the poller ask for its lease at once if it is waiting without one.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run polls until the context is done.
func (p *Poller) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		token, held := p.lease()
		if !held {
			failures = 0
			p.waitForLease(ctx)
			continue
		}
		err := p.poll(ctx, token)
		if err == nil {
			failures = 0
		} else {
			failures++
			p.complain(failures, err)
		}
		pause.For(ctx, delay(failures, err))
	}
}

func (p *Poller) waitForLease(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.wake:
	}
}

func (p *Poller) poll(ctx context.Context, token uint64) error {
	list, err := p.source.Read(ctx)
	if err != nil {
		return err
	}
	if now, held := p.lease(); held && now == token {
		p.publish(token, list)
	}
	return nil
}

func (p *Poller) complain(failures int, err error) {
	if failures == 1 {
		p.log.Warn("the list of instances could not be read", zap.String("cause", err.Error()))
	}
}

// delay returns the time until the next reading after some failures in a row, of which err is the last.
func delay(failures int, err error) time.Duration {
	if failures == 0 {
		return pollInterval
	}
	if errors.Is(err, ErrRateLimited) {
		return rateRetry
	}
	return min(firstRetry<<min(failures-1, 10), maxRetry)
}
