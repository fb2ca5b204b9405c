// Package pool decides what a service may take of what all services share: how many requests and bytes it may have in
// hand, how often it may begin, how much it may try again, and how much of the one loop's time it may use. It owns
// those accounts and limits. It must never see a socket or a clock, nor choose a worker. A refusal comes at once, with
// the time after which trying again makes sense.
package pool

import (
	"cmp"
	"time"

	"golang.org/x/time/rate"
)

// Time is a moment or a span in whole microseconds, as in package decide.
type Time = int64

const second Time = 1e6

// Limits are the terms of one service or of one class of it. A figure of 0 sets no limit.
type Limits struct {
	Rate float64 // requests a second that may begin
	// FleetRate is the same for all schedulers of a fleet together; Pool.Fleet says what of it is here.
	FleetRate float64
	// FleetInFlight is requests in hand, and FleetRetries second tries a second, of all schedulers of a fleet together.
	FleetInFlight, FleetRetries float64
	Burst                       int // how many may begin at once; 0: those of a tenth of a second, one at least
	InFlight                    int // requests in hand
	Bytes                       int // of the requests in hand
	// Retries is how many second tries there may be for each first one, RetryFloor how many a second at least.
	Retries    float64
	RetryFloor float64
}

// Verdict is the answer to a request that wants to begin. The zero Verdict lets it.
type Verdict struct {
	Status     int  // 429 over a rate, 503 where something is used up
	RetryAfter Time // when to come again; 0: no advice
	Reason     string
}

// Refused reports whether it may not begin.
func (v Verdict) Refused() bool { return v.Status != 0 }

// Counts is what a pool has let begin and what not, by reason.
type Counts struct {
	Admitted, OverRate, OverFleet, OverOpen, OverBytes, OverShared, OverTime, RetriesDenied int
}

// gate holds one set of limits.
type gate struct {
	limits  Limits
	bucket  *rate.Limiter
	open    int
	bytes   int
	balance float64 // second tries that first ones have paid for
	floor   *rate.Limiter
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

func at(now Time) time.Time { return time.UnixMicro(now) }

// full tells whether what is in hand allows no more, before anything is booked.
func (g *gate) full(bytes int) (why string) {
	switch {
	case g.limits.InFlight > 0 && g.open >= g.limits.InFlight:
		return "too many in hand"
	case g.limits.Bytes > 0 && g.bytes+bytes > g.limits.Bytes:
		return "too many bytes in hand"
	}
	return ""
}

// late is how long until the rate allows one more; 0: now.
func (g *gate) late(now Time) Time {
	if g.bucket == nil {
		return 0
	}
	if tokens := g.bucket.TokensAt(at(now)); tokens < 1 {
		return max(1, Time((1-tokens)/g.limits.Rate*float64(second)))
	}
	return 0
}

// whole is one second try that is paid for, but for the error of adding up parts.
const whole = 1 - 1e-9

// maxSaved bounds the second tries that a quiet time may save up.
const maxSaved = 100

// Pool is the account of one service. Its methods are called one at a time.
type Pool struct {
	Name    string
	Counts  Counts
	all     gate
	classes []gate
	open    *Share
	time    *TimeShare

	// TakeFleet, where set, takes one out of what the fleet has of a kind for a class, or for the service for class -1. It must
	// not wait. FleetDone gives back one of FleetOpen.
	TakeFleet   func(k FleetKind, class int) bool
	ReturnFleet func(class int)
	// MaxHoldTime is how long a request may be in hand at most, where the fleet counts those; 0: as long as its client waits.
	MaxHoldTime Time
}

// FleetKind is what a fleet may have limits of.
type FleetKind int

// The kinds of Limits' fields of those names.
const (
	FleetRate FleetKind = iota
	FleetInFlight
	FleetRetries
)

// of is the limit of that kind.
func (l *Limits) of(k FleetKind) float64 {
	return [...]float64{l.FleetRate, l.FleetInFlight, l.FleetRetries}[k]
}

// fleet takes one of a kind for the service and for the class, as far as they have limits, or none.
func (p *Pool) fleet(k FleetKind, class int) bool {
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

// fleetDone gives back what fleet took of FleetOpen.
func (p *Pool) fleetDone(class int) {
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

// fleetAfter is when to come again after the fleet's rate was used up here: parts move within a second or so.
const fleetAfter = second

// New returns a pool with limits for the service and for each of its classes. The shares in what all services have
// together may be nil.
func New(name string, all Limits, classes []Limits, open *Share, loop *TimeShare) *Pool {
	p := &Pool{Name: name, classes: make([]gate, len(classes)), open: open, time: loop}
	p.all.set(all)
	for i := range p.classes {
		p.classes[i].set(classes[i])
	}
	return p
}

// SetLimits changes the limits; what is in hand stays. The number of classes must be the same. The fleet's limits stay as they
// began, since all schedulers must have the same ones.
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

// Admit lets a request begin, and books it, or says why not. Each that began is ended with Done.
func (p *Pool) Admit(now Time, class, bytes int) Verdict {
	gates := [...]*gate{&p.all, &p.classes[class]}
	for _, g := range gates {
		if why := g.full(bytes); why != "" {
			if g.limits.InFlight > 0 && g.open >= g.limits.InFlight {
				p.Counts.OverOpen++
			} else {
				p.Counts.OverBytes++
			}
			return Verdict{503, second, why}
		}
	}
	for _, g := range gates {
		if after := g.late(now); after > 0 {
			p.Counts.OverRate++
			return Verdict{429, after, "too many a second"}
		}
	}
	if p.time != nil {
		if after := p.time.Delay(now); after > 0 {
			p.Counts.OverTime++
			return Verdict{503, after, "its part of the time is used up"}
		}
	}
	if !p.fleet(FleetInFlight, class) {
		p.Counts.OverFleet++
		return Verdict{503, fleetAfter, "too many in hand in the fleet"}
	}
	if !p.fleet(FleetRate, class) {
		p.fleetDone(class)
		p.Counts.OverFleet++
		return Verdict{429, fleetAfter, "too many a second in the fleet"}
	}
	if p.open != nil && !p.open.Acquire(1) {
		p.fleetDone(class)
		p.Counts.OverShared++
		return Verdict{503, second, "others need the room"}
	}
	for _, g := range gates {
		if g.bucket != nil {
			g.bucket.AllowN(at(now), 1)
		}
		g.open++
		g.bytes += bytes
		g.balance = min(g.balance+g.limits.Retries, maxSaved)
	}
	p.Counts.Admitted++
	return Verdict{}
}

// Unbooked is what there was no room for as a request was taken over that is in hand already; the zero value: nothing.
type Unbooked struct{ Fleet, Shared bool }

// Adopt takes in a request that another process of this scheduler has let in: it is not refused here, nor does it count as
// one that comes. Where the fleet or the shared budget has no room it goes on without a place there.
func (p *Pool) Adopt(class, bytes int) (no Unbooked) {
	for _, g := range [...]*gate{&p.all, &p.classes[class]} {
		g.open++
		g.bytes += bytes
	}
	return Unbooked{Fleet: !p.fleet(FleetInFlight, class), Shared: p.open != nil && !p.open.Acquire(1)}
}

// Done takes a request out of the account, with what was booked for it.
func (p *Pool) Done(class, bytes int, no Unbooked) {
	for _, g := range [...]*gate{&p.all, &p.classes[class]} {
		g.open--
		g.bytes -= bytes
	}
	if !no.Fleet {
		p.fleetDone(class)
	}
	if p.open != nil && !no.Shared {
		p.open.Release(1)
	}
}

// InFlight is how many requests are in hand.
func (p *Pool) InFlight() int { return p.all.open }

// AdmitRetry lets a second try of a request be sent, and books it: paid for by first tries, or within the floor.
func (p *Pool) AdmitRetry(now Time, class int) bool {
	gates := [...]*gate{&p.all, &p.classes[class]}
	for _, g := range gates {
		if g.floor != nil && g.balance < whole && (g.limits.RetryFloor == 0 || g.floor.TokensAt(at(now)) < 1) {
			p.Counts.RetriesDenied++
			return false
		}
	}
	if !p.fleet(FleetRetries, class) {
		p.Counts.RetriesDenied++
		return false
	}
	for _, g := range gates {
		switch {
		case g.floor == nil:
		case g.balance >= whole:
			g.balance--
		default:
			g.floor.AllowN(at(now), 1)
		}
	}
	return true
}

// Budget is an amount that several pools share. Each has a reserve that is never lent, so that it is there at once;
// what lies above the reserves is for whoever comes. A reserve that is set while others have it in use fills up as they
// give it back.
type Budget struct {
	total    int
	reserved int
	common   int // in use above the reserves
	used     int
}

// NewBudget returns a budget that nobody has a part in yet.
func NewBudget(total int) *Budget { return &Budget{total: total} }

// SetTotal changes the amount; where more is in use, nothing is to be had until that has been given back.
func (b *Budget) SetTotal(total int) { b.total = total }

// Share is one pool's part in a Budget.
type Share struct {
	b       *Budget
	reserve int
	used    int
}

// Share gives a pool a part with a reserve, or as much of that as is not promised to others yet.
func (b *Budget) Share(reserve int) *Share {
	s := &Share{b: b}
	s.SetReserve(reserve)
	return s
}

// SetReserve changes the reserve; what is in use stays so.
func (s *Share) SetReserve(n int) {
	b := s.b
	b.common -= s.above()
	b.reserved -= s.reserve
	s.reserve = max(0, min(n, b.total-b.reserved))
	b.reserved += s.reserve
	b.common += s.above()
}

// Close gives back the part, once nothing of it is in use.
func (s *Share) Close() { s.SetReserve(0) }

func (s *Share) above() int { return max(0, s.used-s.reserve) }

// Acquire takes n, or nothing where that is not to be had.
func (s *Share) Acquire(n int) bool {
	more := max(0, s.used+n-s.reserve) - s.above()
	if s.b.used+n > s.b.total || more > 0 && s.b.common+more > s.b.total-s.b.reserved {
		return false
	}
	s.used += n
	s.b.used += n
	s.b.common += more
	return true
}

// Release gives n back.
func (s *Share) Release(n int) {
	before := s.above()
	s.used -= n
	s.b.used -= n
	s.b.common -= before - s.above()
}

// TimeBudget shares the time of one loop among pools by weight. While the loop is not busy nobody is held back; once it is,
// a pool that has used more than its weight gives it must wait until it has paid for that.
type TimeBudget struct {
	busy   float64 // microseconds of work lately, fading with Fade
	at     Time
	weight float64 // of all lanes
}

// The terms of a Clock.
const (
	fade    = float64(second / 5) // the span that counts as lately
	busyAt  = 0.7                 // of the time: from here on lanes are held to their weights
	inDebt  = float64(second / 20)
	saveFor = float64(second / 10) // a lane that was quiet may use this much of its time at once
)

// TimeShare is one pool's part of a Clock.
type TimeShare struct {
	c      *TimeBudget
	weight float64
	saved  float64 // microseconds it may use; below 0 it is in debt
	at     Time
}

// Share gives a pool a part by weight.
func (c *TimeBudget) Share(now Time, weight float64) *TimeShare {
	c.weight += weight
	return &TimeShare{c: c, weight: weight, at: now}
}

// SetWeight changes the weight.
func (l *TimeShare) SetWeight(weight float64) {
	l.c.weight += weight - l.weight
	l.weight = weight
}

// Close takes the lane out.
func (l *TimeShare) Close() { l.SetWeight(0) }

// Charge books that the lane has used that much time of the loop, just before now.
func (l *TimeShare) Charge(now, span Time) {
	l.c.fadeTo(now)
	l.c.busy += float64(span)
	l.earn(now)
	l.saved = max(l.saved-float64(span), -float64(second))
}

func (c *TimeBudget) fadeTo(now Time) {
	if now > c.at {
		c.busy *= max(0, 1-float64(now-c.at)/fade)
		c.at = now
	}
}

// Load is the part of the time that all lanes have used lately, 0 to about 1.
func (c *TimeBudget) Load(now Time) float64 {
	c.fadeTo(now)
	return c.busy / fade
}

func (l *TimeShare) earn(now Time) {
	if now > l.at && l.c.weight > 0 {
		part := l.weight / l.c.weight
		l.saved = min(l.saved+part*float64(now-l.at), part*saveFor)
		l.at = now
	}
}

// Delay is how long the lane must wait until it may begin something; 0: it may now.
func (l *TimeShare) Delay(now Time) Time {
	l.earn(now)
	if l.weight == 0 || l.saved > -inDebt*l.weight/l.c.weight || l.c.Load(now) < busyAt {
		return 0
	}
	return max(1, Time(-l.saved*l.c.weight/l.weight))
}
