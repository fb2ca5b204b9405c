package emulator

import (
	"fmt"
	"slices"
	"strconv"

	"weldscale/decide"
)

// This file implements the troubles. Each trouble has its own random number stream and reverts only its own effects, so
// that several troubles can affect one box at once.

// parseNumber parses a number from 0 to 100.
func parseNumber(word string) (float64, bool) {
	v, err := strconv.ParseFloat(word, 64)
	return v, err == nil && v >= 0 && v <= 100
}

// scheduleTrouble schedules the beginning and the end of a trouble.
func (x *Simulation) scheduleTrouble(t *Trouble) {
	name := fmt.Sprintf("trouble %d", slices.IndexFunc(x.script.Troubles, func(o Trouble) bool { return o == *t }))
	begin, end := x.troubleActions(t, name)
	x.schedule(t.From, func() {
		x.logEvent("trouble %s begins", t.Kind)
		begin()
	})
	x.schedule(t.To, func() {
		x.logEvent("trouble %s ends", t.Kind)
		end()
	})
}

// pickBoxes draws the given share of the boxes at random, at least one.
func (x *Simulation) pickBoxes(part float64, stream string) []*box {
	order := x.stream(stream).Perm(len(x.boxes))
	var out []*box
	for _, i := range order[:max(1, int(part*float64(len(x.boxes))+0.5))] {
		out = append(out, x.boxes[i])
	}
	return out
}

// troubleActions returns the functions to call at the beginning and at the end of a trouble.
func (x *Simulation) troubleActions(t *Trouble, name string) (begin, end func()) {
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
			hit = x.pickBoxes(t.Part, name)
			f()
		}
	}
	slower := func(times float64) (on, off func(*box)) {
		return func(b *box) {
				b.slowdowns = append(b.slowdowns, times)
				b.emitSlowdown()
			}, func(b *box) {
				if i := slices.Index(b.slowdowns, times); i >= 0 {
					b.slowdowns = slices.Delete(b.slowdowns, i, i+1)
				}
				b.emitSlowdown()
			}
	}
	switch t.Kind {
	case "vanish":
		return draw(each(func(b *box) { b.vanish() })), each(func(b *box) { b.reappear() })
	case "slow":
		on, off := slower(t.Times)
		return draw(each(on)), each(off)
	case "shared_slow":
		on, off := slower(t.Times)
		return func() { hit = x.boxes; each(on)() }, each(off)
	case "neighbour":
		on, off := slower(1 / (1 - t.Takes))
		return draw(each(func(b *box) { x.alternate(t, name, func() { on(b) }, func() { off(b) }) })), func() {}
	case "fast_errors":
		return draw(each(func(b *box) { b.failureShares = append(b.failureShares, t.Takes) })), each(func(b *box) {
			b.failureShares = slices.Delete(b.failureShares, slices.Index(b.failureShares, t.Takes), slices.Index(b.failureShares, t.Takes)+1)
		})
	case "balancer_crash":
		var nodes []*node
		return func() {
				for _, i := range x.stream(name).Perm(len(x.nodes))[:max(1, int(t.Part*float64(len(x.nodes))+0.5))] {
					if n := x.nodes[i]; !n.crashed {
						nodes = append(nodes, n)
						n.crash()
					}
				}
			}, func() {
				for _, n := range nodes {
					n.restart()
				}
			}
	case "pauses":
		return draw(each(func(b *box) { b.pauseRepeatedly(t, name) })), func() {}
	case "heavy_tail":
		return func() { x.heavyTails = append(x.heavyTails, t) }, func() {
			x.heavyTails = slices.DeleteFunc(x.heavyTails, func(o *Trouble) bool { return o == t })
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
					if n.zone == zone && t.Balancer && !n.crashed {
						nodes = append(nodes, n)
						n.crash()
					}
				}
			}, func() {
				for _, b := range hit {
					b.reappear()
				}
				for _, n := range nodes {
					n.restart()
				}
			}
	case "drain":
		return draw(each(func(b *box) { b.drains++; x.updateList(b, decide.Draining) })), each(func(b *box) {
			if b.drains--; b.drains == 0 {
				x.updateList(b, decide.Ready)
			}
		})
	case "restart":
		return func() { x.restartNext(t, 0) }, func() {}
	case "discovery_down":
		return func() { x.listOutages++ }, func() {
			if x.listOutages--; x.listOutages == 0 {
				x.announceWholeList()
			}
		}
	default: // flapping
		return draw(each(func(b *box) { b.restartRepeatedly(t) })), func() {}
	}
}

// vanish makes a box silent. Its attempts are lost, and it sends nothing until reappear is called.
func (b *box) vanish() {
	b.silences++
	if b.silences == 1 {
		b.sim.logEvent("silent box=%d", b.index)
		b.sim.emit(ExternalEvent{Kind: BoxSilent, Box: b.index})
		for _, a := range append(slices.Clone(b.active), b.queue...) {
			a.ended, a.lost = true, true
		}
		b.active, b.queue, b.slotsInUse = nil, nil, 0
		b.sim.updateList(b, decide.Gone)
	}
}

// reappear ends one silence. After the last one, the box restarts cold.
func (b *box) reappear() {
	if b.silences--; b.silences == 0 && b.stops == 0 {
		b.restart()
		b.sim.updateList(b, decide.Ready)
	}
}

// emitSlowdown emits the present slowdown of a box as an external event.
func (b *box) emitSlowdown() {
	times := 1.0
	for _, t := range b.slowdowns {
		times *= t
	}
	b.sim.emit(ExternalEvent{Kind: BoxSlowed, Box: b.index, Slowdown: times})
}

// pauseRepeatedly pauses a box at random intervals until the trouble ends.
func (b *box) pauseRepeatedly(t *Trouble, name string) {
	b.sim.schedule(Time(b.sim.stream(name).Float64()*float64(t.Every)), func() {
		if b.sim.now-b.sim.startTime < t.To {
			b.pausedUntil = b.sim.now + t.Pause
			b.pauseRepeatedly(t, name)
		}
	})
}

// alternate calls on and off in turn at random intervals until the trouble ends. The last call is off.
func (x *Simulation) alternate(t *Trouble, name string, on, off func()) {
	span := func() Time { return Time(float64(t.Every) * (0.5 + x.stream(name).Float64())) }
	if x.now-x.startTime >= t.To {
		return
	}
	on()
	x.schedule(min(span(), t.To-(x.now-x.startTime)), func() {
		off()
		x.schedule(span(), func() { x.alternate(t, name, on, off) })
	})
}

// restartRepeatedly stops and starts a box in turn until the trouble ends.
func (b *box) restartRepeatedly(t *Trouble) {
	if b.sim.now-b.sim.startTime >= t.To {
		return
	}
	b.stopFor(t.Every/2, func() { b.sim.schedule(t.Every/2, func() { b.restartRepeatedly(t) }) })
}

// stopFor stops a box's process for a time, starts it again and calls next.
func (b *box) stopFor(span Time, next func()) {
	b.stops++
	b.sim.emit(ExternalEvent{Kind: BoxStopped, Box: b.index})
	b.endAll(decide.Reset)
	b.sim.updateList(b, decide.Gone)
	b.sim.schedule(span, func() {
		if b.stops--; b.stops == 0 && b.silences == 0 {
			b.restart()
			b.sim.updateList(b, decide.Ready)
		}
		next()
	})
}

// restartNext restarts box i and schedules the restart of the following one.
func (x *Simulation) restartNext(t *Trouble, i int) {
	if i >= len(x.boxes) || x.now-x.startTime >= t.To {
		return
	}
	b := x.boxes[i]
	if b.stops > 0 || b.silences > 0 { // already down
		x.schedule(t.Every, func() { x.restartNext(t, i+1) })
		return
	}
	b.stopFor(min(t.Every, 2e6), func() {})
	x.schedule(t.Every, func() { x.restartNext(t, i+1) })
}

// updateList changes the list entry of a box and announces it to every scheduler, to each after its own delay.
func (x *Simulation) updateList(b *box, s decide.State) {
	if s == decide.Ready && b.drains > 0 {
		s = decide.Draining
	}
	w := &x.workerList[b.index]
	w.State, w.StartedAt = s, b.startedAt
	x.emit(ExternalEvent{Kind: BoxListed, Box: b.index, State: s})
	if x.listOutages > 0 {
		return // announced when the list service is back
	}
	x.announceDelta([]decide.Worker{*w})
}

// announceDelta announces list entries to all schedulers, to each after a random delay.
func (x *Simulation) announceDelta(list []decide.Worker) {
	r := x.stream("discovery")
	for _, n := range x.nodes {
		n.announceLate(list, x.script.ListDelay+Time(r.Float64()*float64(x.script.ListDelay)/2))
	}
}

// announceWholeList announces all list entries as they are now, since changes during an outage were not announced.
func (x *Simulation) announceWholeList() { x.announceDelta(slices.Clone(x.workerList)) }

// crash ends a scheduler. Its open requests end as crashed, as when the clients' connections break.
func (n *node) crash() {
	n.sim.logEvent("node_down node=%d", n.index)
	n.crashed = true
	var open []*request
	for _, q := range n.requests {
		if !q.answered {
			open = append(open, q)
		}
	}
	slices.SortFunc(open, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, q := range open {
		n.sim.answer(q, "crashed", 0)
	}
}

// restart starts a crashed scheduler again with the current list.
func (n *node) restart() {
	n.crashed = false
	if err := n.reset(); err != nil {
		panic(err) // cannot happen: the same settings were valid before
	}
	n.sim.logEvent("node_up node=%d", n.index)
	n.announceCached()
}
