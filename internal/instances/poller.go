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
	// pollInterval is the time between two reads. Each call has a cost, but routers must stop using a draining worker within
	// seconds. Half a second leaves the rest of that time for the distribution of the list.
	pollInterval = 500 * time.Millisecond
	// A failed read is repeated sooner, because the time limit for draining workers keeps running.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// rateRetry lets the rate limit recover, which all callers share.
	rateRetry = 400 * time.Millisecond
)

// Source reads the complete list of workers.
type Source interface {
	Read(ctx context.Context) ([]fleetwire.Instance, error)
}

// Lease returns whether this process holds the lease for reading the list, and its fencing token.
type Lease func() (token uint64, held bool)

// Poller reads the list periodically while it holds the lease.
type Poller struct {
	source  Source
	lease   Lease
	publish func(token uint64, list []fleetwire.Instance)
	wake    chan struct{}
	log     *zap.Logger
}

// NewPoller returns a poller that calls publish with each complete list, changed or not. A list is dropped if the lease under
// which its read started is no longer held.
func NewPoller(source Source, lease Lease, publish func(token uint64, list []fleetwire.Instance), log *zap.Logger) *Poller {
	return &Poller{source: source, lease: lease, publish: publish, wake: make(chan struct{}, 1), log: log}
}

// Wake makes a poller that waits for its lease check the lease at once. It does not block.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run polls until ctx is done.
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
			p.logFailure(failures, err)
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
	if current, held := p.lease(); held && current == token {
		p.publish(token, list)
	}
	return nil
}

func (p *Poller) logFailure(failures int, err error) {
	if failures == 1 {
		p.log.Warn("the list of instances could not be read", zap.String("cause", err.Error()))
	}
}

// delay returns the time until the next read after a number of consecutive failures, the last of which is err.
func delay(failures int, err error) time.Duration {
	if failures == 0 {
		return pollInterval
	}
	if errors.Is(err, ErrRateLimited) {
		return rateRetry
	}
	return min(firstRetry<<min(failures-1, 10), maxRetry)
}
