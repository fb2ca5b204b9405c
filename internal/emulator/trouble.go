package emulator

import (
	"fmt"
	"slices"
	"strconv"

	"weldscale/decide"
)

// This file owns what goes wrong: each trouble has its own stream of random numbers and undoes only what it did, so that
// several may strike one box at once.

func number(word string) (float64, bool) {
	v, err := strconv.ParseFloat(word, 64)
	return v, err == nil && v >= 0 && v <= 100
}

// plan puts a trouble on the calendar.
func (x *Simulation) plan(t *Trouble) {
	name := fmt.Sprintf("trouble %d", slices.IndexFunc(x.script.Troubles, func(o Trouble) bool { return o == *t }))
	begin, end := x.troubles(t, name)
	x.after(t.From, func() {
		x.note("trouble %s begins", t.Kind)
		begin()
	})
	x.after(t.To, func() {
		x.note("trouble %s ends", t.Kind)
		end()
	})
}

// some draws a part of the boxes, one at least.
func (x *Simulation) some(part float64, stream string) []*box {
	order := x.rng(stream).Perm(len(x.boxes))
	var out []*box
	for _, i := range order[:max(1, int(part*float64(len(x.boxes))+0.5))] {
		out = append(out, x.boxes[i])
	}
	return out
}

// troubles returns what a trouble does at its beginning and at its end.
func (x *Simulation) troubles(t *Trouble, name string) (begin, end func()) {
	var hit []*box
	each := func(f func(*box)) func() {
		return func() {
			for _, b := range hit {
				f(b)
			}
		}
	}
	draw := func(f func()) func() {
		return func() {
			hit = x.some(t.Part, name)
			f()
		}
	}
	slower := func(times float64) (on, off func(*box)) {
		return func(b *box) {
				b.slow = append(b.slow, times)
				b.slowed()
			}, func(b *box) {
				if i := slices.Index(b.slow, times); i >= 0 {
					b.slow = slices.Delete(b.slow, i, i+1)
				}
				b.slowed()
			}
	}
	switch t.Kind {
	case "vanish":
		return draw(each(func(b *box) { b.vanish() })), each(func(b *box) { b.comeBack() })
	case "slow":
		on, off := slower(t.Times)
		return draw(each(on)), each(off)
	case "shared_slow":
		on, off := slower(t.Times)
		return func() { hit = x.boxes; each(on)() }, each(off)
	case "neighbour":
		on, off := slower(1 / (1 - t.Takes))
		return draw(each(func(b *box) { x.onAndOff(t, name, func() { on(b) }, func() { off(b) }) })), func() {}
	case "fast_errors":
		return draw(each(func(b *box) { b.fails = append(b.fails, t.Takes) })), each(func(b *box) {
			b.fails = slices.Delete(b.fails, slices.Index(b.fails, t.Takes), slices.Index(b.fails, t.Takes)+1)
		})
	case "balancer_crash":
		var nodes []*node
		return func() {
				for _, i := range x.rng(name).Perm(len(x.nodes))[:max(1, int(t.Part*float64(len(x.nodes))+0.5))] {
					if n := x.nodes[i]; !n.dead {
						nodes = append(nodes, n)
						n.die()
					}
				}
			}, func() {
				for _, n := range nodes {
					n.live()
				}
			}
	case "pauses":
		return draw(each(func(b *box) { b.pauses(t, name) })), func() {}
	case "heavy_tail":
		return func() { x.heavy = append(x.heavy, t) }, func() {
			x.heavy = slices.DeleteFunc(x.heavy, func(o *Trouble) bool { return o == t })
		}
	case "zone_loss":
		zone := slices.Index(x.script.Zones, t.Zone)
		var nodes []*node
		return func() {
				for _, b := range x.boxes {
					if b.zone == zone {
						hit = append(hit, b)
						b.vanish()
					}
				}
				for _, n := range x.nodes {
					if n.zone == zone && t.Balancer && !n.dead {
						nodes = append(nodes, n)
						n.die()
					}
				}
			}, func() {
				for _, b := range hit {
					b.comeBack()
				}
				for _, n := range nodes {
					n.live()
				}
			}
	case "drain":
		return draw(each(func(b *box) { b.drains++; x.list(b, decide.Draining) })), each(func(b *box) {
			if b.drains--; b.drains == 0 {
				x.list(b, decide.Ready)
			}
		})
	case "restart":
		return func() { x.rolling(t, 0) }, func() {}
	case "discovery_down":
		return func() { x.down++ }, func() {
			if x.down--; x.down == 0 {
				x.announceAll()
			}
		}
	default: // flapping
		return draw(each(func(b *box) { b.flap(t) })), func() {}
	}
}

// vanish makes a box go silent: nothing that it has is heard of again until it is back.
func (b *box) vanish() {
	b.silent++
	if b.silent == 1 {
		b.x.note("silent box=%d", b.index)
		b.x.happens(ExternalEvent{Kind: BoxSilent, Box: b.index})
		for _, a := range append(slices.Clone(b.active), b.queue...) {
			a.ended, a.lost = true, true
		}
		b.active, b.queue, b.running = nil, nil, 0
		b.x.list(b, decide.Gone)
	}
}

// comeBack ends a silence: the box begins anew, cold.
func (b *box) comeBack() {
	if b.silent--; b.silent == 0 && b.dead == 0 {
		b.restart()
		b.x.list(b, decide.Ready)
	}
}

// slowed tells how slow a box is from now on.
func (b *box) slowed() {
	times := 1.0
	for _, t := range b.slow {
		times *= t
	}
	b.x.happens(ExternalEvent{Kind: BoxSlowed, Box: b.index, Slowdown: times})
}

// pauses has a box stand still again and again.
func (b *box) pauses(t *Trouble, name string) {
	b.x.after(Time(b.x.rng(name).Float64()*float64(t.Every)), func() {
		if b.x.now-b.x.origin < t.To {
			b.paused = b.x.now + t.Pause
			b.pauses(t, name)
		}
	})
}

// onAndOff switches something on and off until the trouble ends; it is off then.
func (x *Simulation) onAndOff(t *Trouble, name string, on, off func()) {
	span := func() Time { return Time(float64(t.Every) * (0.5 + x.rng(name).Float64())) }
	if x.now-x.origin >= t.To {
		return
	}
	on()
	x.after(min(span(), t.To-(x.now-x.origin)), func() {
		off()
		x.after(span(), func() { x.onAndOff(t, name, on, off) })
	})
}

// flap has a box go down and come up again and again.
func (b *box) flap(t *Trouble) {
	if b.x.now-b.x.origin >= t.To {
		return
	}
	b.down(t.Every/2, func() { b.x.after(t.Every/2, func() { b.flap(t) }) })
}

// down ends a box's process for a span; then follows what is next.
func (b *box) down(span Time, then func()) {
	b.dead++
	b.x.happens(ExternalEvent{Kind: BoxStopped, Box: b.index})
	b.loseAll(decide.Reset)
	b.x.list(b, decide.Gone)
	b.x.after(span, func() {
		if b.dead--; b.dead == 0 && b.silent == 0 {
			b.restart()
			b.x.list(b, decide.Ready)
		}
		then()
	})
}

// rolling restarts one box after the other.
func (x *Simulation) rolling(t *Trouble, i int) {
	if i >= len(x.boxes) || x.now-x.origin >= t.To {
		return
	}
	b := x.boxes[i]
	if b.dead > 0 || b.silent > 0 { // it is down already
		x.after(t.Every, func() { x.rolling(t, i+1) })
		return
	}
	b.down(min(t.Every, 2e6), func() {})
	x.after(t.Every, func() { x.rolling(t, i+1) })
}

// list changes a box's entry and tells every scheduler, late, each in its own time.
func (x *Simulation) list(b *box, s decide.State) {
	if s == decide.Ready && b.drains > 0 {
		s = decide.Draining
	}
	w := &x.listed[b.index]
	w.State, w.StartedAt = s, b.began
	x.happens(ExternalEvent{Kind: BoxListed, Box: b.index, State: s})
	if x.down > 0 {
		return // told once the list service is back
	}
	x.tellAll([]decide.Worker{*w})
}

func (x *Simulation) tellAll(list []decide.Worker) {
	r := x.rng("discovery")
	for _, n := range x.nodes {
		n.tell(list, x.script.ListDelay+Time(r.Float64()*float64(x.script.ListDelay)/2))
	}
}

func (x *Simulation) announceAll() { x.tellAll(slices.Clone(x.listed)) }

// die ends a scheduler with all it has; its clients see their connections break.
func (n *node) die() {
	n.x.note("node_down node=%d", n.index)
	n.dead = true
	var open []*request
	for _, q := range n.requests {
		if !q.over {
			open = append(open, q)
		}
	}
	slices.SortFunc(open, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, q := range open {
		n.x.answer(q, "crashed", 0)
	}
}

// live starts a scheduler anew, with the list as the service has it now.
func (n *node) live() {
	n.dead = false
	if err := n.reset(); err != nil {
		panic(err) // the same settings were good before
	}
	n.x.note("node_up node=%d", n.index)
	n.begin()
}
