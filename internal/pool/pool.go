// Package pool does admission control for services that share one event loop. It limits each service's requests and bytes
// in flight, request rate, retries and loop time. It does no I/O, reads no clock (callers pass the time) and chooses no
// workers. Requests are refused immediately, with a time to retry after, and never queued.
package pool

import (
	"cmp"
	"time"

	"golang.org/x/time/rate"
)

// Time is a point in time or a duration in microseconds, as in package decide.
type Time = int64

const second Time = 1e6

// Limits are the limits of a service or of one of its classes. A value of 0 means no limit.
type Limits struct {
	Rate float64 // admitted requests per second
	// FleetRate is the rate for all schedulers of a fleet together. Pool.TakeFleet takes from this scheduler's part of it.
	FleetRate float64
	// FleetInFlight limits the requests in flight, and FleetRetries the retries per second, of all schedulers of a fleet
	// together.
	FleetInFlight, FleetRetries float64
	Burst                       int // size of the token bucket of Rate; 0: the tokens of a tenth of a second, at least one
	InFlight                    int // requests in flight
	Bytes                       int // bytes of the requests in flight
	// Retries is the number of retries allowed per admitted request. RetryFloor is the number of retries per second that is
	// allowed in any case.
	Retries    float64
	RetryFloor float64
}

// Verdict is the result of Admit. The zero Verdict admits the request.
type Verdict struct {
	Status     int  // 429 if a rate limit is exceeded, 503 if another limit is
	RetryAfter Time // time after which a retry makes sense; 0: unknown
	Reason     string
}

// Refused reports whether the request was refused.
func (v Verdict) Refused() bool { return v.Status != 0 }

// Counts counts the requests of a pool that were admitted, and those refused by reason.
type Counts struct {
	Admitted, OverRate, OverFleet, OverInFlight, OverBytes, OverShared, OverTime, RetriesDenied int
}

// gate enforces the Limits of a service or of one class.
type gate struct {
	limits   Limits
	bucket   *rate.Limiter
	inFlight int
	bytes    int
	balance  float64 // retries earned by admitted requests
	floor    *rate.Limiter
}

func (g *gate) set(l Limits) {
	g.limits = l
	g.bucket, g.floor = nil, nil
	if l.Rate > 0 {
		g.bucket = rate.NewLimiter(rate.Limit(l.Rate), cmp.Or(l.Burst, max(1, int(l.Rate/10))))
	}
	if l.Retries > 0 || l.RetryFloor > 0 {
		g.floor = rate.NewLimiter(rate.Limit(l.RetryFloor), max(1, int(l.RetryFloor)))
	}
}

func toTime(now Time) time.Time { return time.UnixMicro(now) }

// full returns why the limits on requests and bytes in flight forbid another request of that many bytes, or "". It reserves
// nothing.
func (g *gate) full(bytes int) (reason string) {
	switch {
	case g.limits.InFlight > 0 && g.inFlight >= g.limits.InFlight:
		return "too many in hand"
	case g.limits.Bytes > 0 && g.bytes+bytes > g.limits.Bytes:
		return "too many bytes in hand"
	}
	return ""
}

// rateDelay returns the time until the rate limit allows another request; 0: now.
func (g *gate) rateDelay(now Time) Time {
	if g.bucket == nil {
		return 0
	}
	if tokens := g.bucket.TokensAt(toTime(now)); tokens < 1 {
		return max(1, Time((1-tokens)/g.limits.Rate*float64(second)))
	}
	return 0
}

// oneRetry is the balance needed for one retry. It is slightly below 1 because fractions added up have rounding errors.
const oneRetry = 1 - 1e-9

// maxBalance bounds the retries that can be saved up while few requests are retried.
const maxBalance = 100

// Pool tracks the usage of one service and enforces its limits. It is not safe for concurrent use.
type Pool struct {
	Name           string
	Counts         Counts
	all            gate
	classes        []gate
	sharedInFlight *Share
	loopTime       *TimeShare

	// TakeFleet, if set, takes one unit of a fleet limit for a class, or for the whole service if the class is -1, and
	// reports whether one was available. It must not block. ReturnFleet returns one unit of FleetInFlight.
	TakeFleet   func(k FleetKind, class int) bool
	ReturnFleet func(class int)
	// MaxHoldTime is the maximum time that a request may be in flight if a fleet limit on requests in flight is set; 0: as
	// long as its client waits.
	MaxHoldTime Time
}

// FleetKind is the kind of a fleet-wide limit.
type FleetKind int

// The fleet-wide limits, named like the fields of Limits.
const (
	FleetRate FleetKind = iota
	FleetInFlight
	FleetRetries
)

// of returns the fleet limit of the given kind.
func (l *Limits) of(k FleetKind) float64 {
	return [...]float64{l.FleetRate, l.FleetInFlight, l.FleetRetries}[k]
}

// takeFleet takes one unit of a fleet limit for the service and one for the class, where these limits are set, and reports
// whether they were available. If only the class's unit is not, the service's unit is returned if it is of FleetInFlight;
// units of rates cannot be returned.
func (p *Pool) takeFleet(k FleetKind, class int) bool {
	if p.TakeFleet == nil {
		return true
	}
	all := p.all.limits.of(k) > 0
	if all && !p.TakeFleet(k, -1) {
		return false
	}
	if p.classes[class].limits.of(k) > 0 && !p.TakeFleet(k, class) {
		if all && k == FleetInFlight {
			p.ReturnFleet(-1)
		}
		return false
	}
	return true
}

// returnFleet returns the units of FleetInFlight that takeFleet took for a request.
func (p *Pool) returnFleet(class int) {
	if p.TakeFleet == nil {
		return
	}
	if p.all.limits.FleetInFlight > 0 {
		p.ReturnFleet(-1)
	}
	if p.classes[class].limits.FleetInFlight > 0 {
		p.ReturnFleet(class)
	}
}

// fleetRetryAfter is the retry time after a fleet limit was exceeded: the schedulers' parts of it are redistributed within
// about a second.
const fleetRetryAfter = second

// New returns a pool with limits for the service and for each of its classes. Either of the shares of the budgets common to
// all services may be nil.
func New(name string, all Limits, classes []Limits, sharedInFlight *Share, loopTime *TimeShare) *Pool {
	p := &Pool{Name: name, classes: make([]gate, len(classes)), sharedInFlight: sharedInFlight, loopTime: loopTime}
	p.all.set(all)
	for i := range p.classes {
		p.classes[i].set(classes[i])
	}
	return p
}

// SetLimits changes the limits; requests in flight stay admitted. The number of classes must not change. The fleet limits are
// not changed, since all schedulers of the fleet must have the same ones.
func (p *Pool) SetLimits(all Limits, classes []Limits) {
	p.all.set(all.withFleet(p.all.limits))
	for i := range p.classes {
		p.classes[i].set(classes[i].withFleet(p.classes[i].limits))
	}
}

func (l Limits) withFleet(o Limits) Limits {
	l.FleetRate, l.FleetInFlight, l.FleetRetries = o.FleetRate, o.FleetInFlight, o.FleetRetries
	return l
}

// Admit admits a request and reserves its place, or returns why it is refused. Done must be called once for each admitted
// request.
func (p *Pool) Admit(now Time, class, bytes int) Verdict {
	gates := [...]*gate{&p.all, &p.classes[class]}
	for _, g := range gates {
		if reason := g.full(bytes); reason != "" {
			if g.limits.InFlight > 0 && g.inFlight >= g.limits.InFlight {
				p.Counts.OverInFlight++
			} else {
				p.Counts.OverBytes++
			}
			return Verdict{503, second, reason}
		}
	}
	for _, g := range gates {
		if after := g.rateDelay(now); after > 0 {
			p.Counts.OverRate++
			return Verdict{429, after, "too many a second"}
		}
	}
	if p.loopTime != nil {
		if after := p.loopTime.Delay(now); after > 0 {
			p.Counts.OverTime++
			return Verdict{503, after, "its part of the time is used up"}
		}
	}
	if !p.takeFleet(FleetInFlight, class) {
		p.Counts.OverFleet++
		return Verdict{503, fleetRetryAfter, "too many in hand in the fleet"}
	}
	if !p.takeFleet(FleetRate, class) {
		p.returnFleet(class)
		p.Counts.OverFleet++
		return Verdict{429, fleetRetryAfter, "too many a second in the fleet"}
	}
	if p.sharedInFlight != nil && !p.sharedInFlight.Acquire(1) {
		p.returnFleet(class)
		p.Counts.OverShared++
		return Verdict{503, second, "others need the room"}
	}
	for _, g := range gates {
		if g.bucket != nil {
			g.bucket.AllowN(toTime(now), 1)
		}
		g.inFlight++
		g.bytes += bytes
		g.balance = min(g.balance+g.limits.Retries, maxBalance)
	}
	p.Counts.Admitted++
	return Verdict{}
}

// Unbooked records which reservations could not be made for an adopted request. The zero value means that all were made.
type Unbooked struct{ Fleet, Shared bool }

// Adopt takes over a request that another process of this scheduler has admitted. The request is never refused and does not
// count against the rate limits. If the fleet limit or the shared budget is used up, it goes on without a reservation there.
func (p *Pool) Adopt(class, bytes int) (unbooked Unbooked) {
	for _, g := range [...]*gate{&p.all, &p.classes[class]} {
		g.inFlight++
		g.bytes += bytes
	}
	return Unbooked{Fleet: !p.takeFleet(FleetInFlight, class), Shared: p.sharedInFlight != nil && !p.sharedInFlight.Acquire(1)}
}

// Done releases the reservations of a request that has ended.
func (p *Pool) Done(class, bytes int, unbooked Unbooked) {
	for _, g := range [...]*gate{&p.all, &p.classes[class]} {
		g.inFlight--
		g.bytes -= bytes
	}
	if !unbooked.Fleet {
		p.returnFleet(class)
	}
	if p.sharedInFlight != nil && !unbooked.Shared {
		p.sharedInFlight.Release(1)
	}
}

// InFlight returns the number of requests in flight.
func (p *Pool) InFlight() int { return p.all.inFlight }

// AdmitRetry reports whether a request may be retried and charges the retry to the balance earned by admitted requests, or to
// the floor if the balance is used up. Without limits on retries it always returns true.
func (p *Pool) AdmitRetry(now Time, class int) bool {
	gates := [...]*gate{&p.all, &p.classes[class]}
	for _, g := range gates {
		if g.floor != nil && g.balance < oneRetry && (g.limits.RetryFloor == 0 || g.floor.TokensAt(toTime(now)) < 1) {
			p.Counts.RetriesDenied++
			return false
		}
	}
	if !p.takeFleet(FleetRetries, class) {
		p.Counts.RetriesDenied++
		return false
	}
	for _, g := range gates {
		switch {
		case g.floor == nil:
		case g.balance >= oneRetry:
			g.balance--
		default:
			g.floor.AllowN(toTime(now), 1)
		}
	}
	return true
}

// Budget is an amount shared by several pools. Each pool has a reserve that other pools cannot use, so that it is always
// available immediately; the rest is first come, first served. A reserve that is raised while others use that amount
// becomes available as they release it.
type Budget struct {
	total    int
	reserved int
	common   int // amount in use above the reserves
	used     int
}

// NewBudget returns a budget without shares.
func NewBudget(total int) *Budget { return &Budget{total: total} }

// SetTotal changes the total amount. If more than that is in use, Acquire fails until enough has been released.
func (b *Budget) SetTotal(total int) { b.total = total }

// Share is a pool's share of a Budget.
type Share struct {
	budget  *Budget
	reserve int
	used    int
}

// Share returns a new share with the given reserve, or with as much of it as is not reserved for others.
func (b *Budget) Share(reserve int) *Share {
	s := &Share{budget: b}
	s.SetReserve(reserve)
	return s
}

// SetReserve changes the reserve to n, or to as much of it as is not reserved for others. The amount in use does not change.
func (s *Share) SetReserve(n int) {
	b := s.budget
	b.common -= s.aboveReserve()
	b.reserved -= s.reserve
	s.reserve = max(0, min(n, b.total-b.reserved))
	b.reserved += s.reserve
	b.common += s.aboveReserve()
}

// Close gives up the reserve. It must be called only when nothing of the share is in use.
func (s *Share) Close() { s.SetReserve(0) }

// aboveReserve returns the amount in use above the reserve.
func (s *Share) aboveReserve() int { return max(0, s.used-s.reserve) }

// Acquire acquires n units and returns true, or returns false and acquires nothing.
func (s *Share) Acquire(n int) bool {
	more := max(0, s.used+n-s.reserve) - s.aboveReserve()
	if s.budget.used+n > s.budget.total || more > 0 && s.budget.common+more > s.budget.total-s.budget.reserved {
		return false
	}
	s.used += n
	s.budget.used += n
	s.budget.common += more
	return true
}

// Release releases n units.
func (s *Share) Release(n int) {
	before := s.aboveReserve()
	s.used -= n
	s.budget.used -= n
	s.budget.common -= before - s.aboveReserve()
}

// TimeBudget divides the time of one event loop among pools by weight. While the loop is not busy no pool is delayed. Once
// it is, a pool that has used more than its part must wait until its debt is paid off.
type TimeBudget struct {
	busy   float64 // recent work in microseconds, which decays over loadWindow
	at     Time    // the time up to which the decay is applied
	weight float64 // sum of the weights of all shares
}

// The parameters of a TimeBudget.
const (
	loadWindow  = float64(second / 5)  // the time over which recent work decays
	busyLoad    = 0.7                  // utilization above which shares are held to their weights
	debtAllowed = float64(second / 20) // debt up to this, times a share's part, causes no delay
	maxCredit   = float64(second / 10) // credit is capped at a share's part of this, which an idle share may then use at once
)

// TimeShare is a pool's share of a TimeBudget.
type TimeShare struct {
	budget *TimeBudget
	weight float64
	credit float64 // microseconds the share may use; negative: debt
	at     Time    // the time up to which credit is earned
}

// Share returns a new share with the given weight.
func (b *TimeBudget) Share(now Time, weight float64) *TimeShare {
	b.weight += weight
	return &TimeShare{budget: b, weight: weight, at: now}
}

// SetWeight changes the weight of the share.
func (s *TimeShare) SetWeight(weight float64) {
	s.budget.weight += weight - s.weight
	s.weight = weight
}

// Close removes the share's weight from the budget.
func (s *TimeShare) Close() { s.SetWeight(0) }

// Charge records that the share used the loop for the time used, just before now.
func (s *TimeShare) Charge(now, used Time) {
	s.budget.decayTo(now)
	s.budget.busy += float64(used)
	s.earn(now)
	s.credit = max(s.credit-float64(used), -float64(second))
}

// decayTo applies the decay of the recent work up to now.
func (b *TimeBudget) decayTo(now Time) {
	if now > b.at {
		b.busy *= max(0, 1-float64(now-b.at)/loadWindow)
		b.at = now
	}
}

// Load returns the recent utilization of the loop by all shares, from 0 to about 1.
func (b *TimeBudget) Load(now Time) float64 {
	b.decayTo(now)
	return b.busy / loadWindow
}

// earn credits the share with its part of the time since the last call.
func (s *TimeShare) earn(now Time) {
	if now > s.at && s.budget.weight > 0 {
		part := s.weight / s.budget.weight
		s.credit = min(s.credit+part*float64(now-s.at), part*maxCredit)
		s.at = now
	}
}

// Delay returns the time until the share may begin more work; 0: now.
func (s *TimeShare) Delay(now Time) Time {
	s.earn(now)
	if s.weight == 0 || s.credit > -debtAllowed*s.weight/s.budget.weight || s.budget.Load(now) < busyLoad {
		return 0
	}
	return max(1, Time(-s.credit*s.budget.weight/s.weight))
}
