package jobs

import (
	"cmp"
	"encoding/json"
	"slices"

	"weldscale/decide"
	"weldscale/internal/engine"
)

// This file owns the workers that are taken out by hand, as an overlay on one engine's worker list: whatever the list says
// meanwhile, the engine and so the module see a drain. It must never tell the list's own word wrongly: that one is kept
// and given back.

// maxOut bounds the names that are out; those missing from the list longest are put back first.
const maxOut = 1024

// Overlay implements engine.Overlay.
type Overlay struct {
	Engine *engine.Engine
	listed map[string]engine.Entry // by the list's last word; those that are gone are not in it
	out    map[string]bool
	gone   []string // out and not listed, the longest so in front
}

// NewOverlay puts an overlay on an engine's list, before there is one.
func NewOverlay(e *engine.Engine) *Overlay {
	o := &Overlay{Engine: e, listed: map[string]engine.Entry{}, out: map[string]bool{}}
	e.Overlay = o
	return o
}

// Apply implements engine.Overlay.
func (o *Overlay) Apply(kind decide.ListKind, in []engine.Entry) []engine.Entry {
	if kind == decide.ListFull || kind == decide.ListCached {
		clear(o.listed)
	}
	out := make([]engine.Entry, 0, len(in))
	for _, e := range in {
		if e.State == decide.Gone {
			delete(o.listed, e.Name)
		} else {
			o.listed[e.Name] = e
		}
		out = append(out, o.seen(e))
	}
	o.sortGone()
	return out
}

// seen is an entry as the engine gets to see it.
func (o *Overlay) seen(e engine.Entry) engine.Entry {
	if o.out[e.Name] && e.State == decide.Ready {
		e.State = decide.Draining
	}
	return e
}

// sortGone brings up to date which of those that are out are missing from the list, and keeps them within bounds.
func (o *Overlay) sortGone() {
	counted := map[string]bool{}
	o.gone = slices.DeleteFunc(o.gone, func(name string) bool {
		_, listed := o.listed[name]
		counted[name] = true
		return listed || !o.out[name]
	})
	var more []string
	for name := range o.out {
		if _, listed := o.listed[name]; !listed && !counted[name] {
			more = append(more, name)
		}
	}
	slices.Sort(more)
	o.gone = append(o.gone, more...)
	for len(o.out) > maxOut && len(o.gone) > 0 {
		delete(o.out, o.gone[0])
		o.gone = o.gone[1:]
	}
}

// SetOffline takes a worker out or puts it back, and reports whether there is such a worker. One that is out is known until it is
// put back, though the list has lost it.
func (o *Overlay) SetOffline(name string, out bool) bool {
	e, listed := o.listed[name]
	if !listed && !o.out[name] {
		return false
	}
	if o.out[name] == out {
		return true
	}
	if out {
		o.out[name] = true
	} else {
		delete(o.out, name)
	}
	o.sortGone()
	if listed {
		o.Engine.OverlayChanged([]engine.Entry{o.seen(e)})
	}
	return true
}

// Offline are those that are out, in order.
func (o *Overlay) Offline() []string {
	names := make([]string, 0, len(o.out))
	for name := range o.out {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RestoreOffline takes out whoever another process had out, listed or not.
func (o *Overlay) RestoreOffline(names []string) {
	for _, name := range names {
		if len(o.out) >= maxOut {
			return
		}
		o.out[name] = true
		if e, listed := o.listed[name]; listed {
			o.Engine.OverlayChanged([]engine.Entry{o.seen(e)})
		}
	}
	o.sortGone()
}

// Snapshot is the list's last word, in discovery's form.
func (o *Overlay) Snapshot(index int64) []byte {
	l := list{Index: index, Snapshot: true, Endpoints: make([]endpoint, 0, len(o.listed))}
	for _, e := range o.listed {
		status := "SERVING"
		if e.State != decide.Ready {
			status = "DRAINING"
		}
		l.Endpoints = append(l.Endpoints, endpoint{Name: e.Name, Address: e.Addr, Zone: e.Zone, Type: e.Kind, Group: e.Cell,
			Status: status, Weight: e.Weight, SinceMS: float64(e.StartedAt) / 1000})
	}
	slices.SortFunc(l.Endpoints, func(a, b endpoint) int { return cmp.Compare(a.Name, b.Name) })
	text, err := json.Marshal(l)
	if err != nil { // a weight that JSON has no word for
		return []byte(`{"snapshot":true}`)
	}
	return text
}

// KnownWorkers is how many workers the list names.
func (o *Overlay) KnownWorkers() int { return len(o.listed) }

// ExcludedWorkers is how many of them the scheduler avoids now, by hand or by the module's choice.
func (o *Overlay) ExcludedWorkers() int {
	n := o.Engine.Avoided()
	for name := range o.out {
		if _, listed := o.listed[name]; listed {
			n++ // for the module these drain, so that it has not counted them
		}
	}
	return n
}
