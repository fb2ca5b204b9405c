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
const maxOffline = 1024

// Overlay implements engine.Overlay.
type Overlay struct {
	Engine   *engine.Engine
	listed   map[string]engine.Entry // by the list's last word; those that are gone are not in it
	offline  map[string]bool
	unlisted []string // out and not listed, the longest so in front
}

// NewOverlay puts an overlay on an engine's list, before there is one.
func NewOverlay(e *engine.Engine) *Overlay {
	o := &Overlay{Engine: e, listed: map[string]engine.Entry{}, offline: map[string]bool{}}
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
		out = append(out, o.withOffline(e))
	}
	o.updateUnlisted()
	return out
}

// seen is an entry as the engine gets to see it.
func (o *Overlay) withOffline(e engine.Entry) engine.Entry {
	if o.offline[e.Name] && e.State == decide.Ready {
		e.State = decide.Draining
	}
	return e
}

// sortGone brings up to date which of those that are out are missing from the list, and keeps them within bounds.
func (o *Overlay) updateUnlisted() {
	counted := map[string]bool{}
	o.unlisted = slices.DeleteFunc(o.unlisted, func(name string) bool {
		_, listed := o.listed[name]
		counted[name] = true
		return listed || !o.offline[name]
	})
	var more []string
	for name := range o.offline {
		if _, listed := o.listed[name]; !listed && !counted[name] {
			more = append(more, name)
		}
	}
	slices.Sort(more)
	o.unlisted = append(o.unlisted, more...)
	for len(o.offline) > maxOffline && len(o.unlisted) > 0 {
		delete(o.offline, o.unlisted[0])
		o.unlisted = o.unlisted[1:]
	}
}

// SetOffline takes a worker out or puts it back, and reports whether there is such a worker. One that is out is known until it is
// put back, though the list has lost it.
func (o *Overlay) SetOffline(name string, offline bool) bool {
	e, listed := o.listed[name]
	if !listed && !o.offline[name] {
		return false
	}
	if o.offline[name] == offline {
		return true
	}
	if offline {
		o.offline[name] = true
	} else {
		delete(o.offline, name)
	}
	o.updateUnlisted()
	if listed {
		o.Engine.OverlayChanged([]engine.Entry{o.withOffline(e)})
	}
	return true
}

// Offline are those that are out, in order.
func (o *Overlay) Offline() []string {
	names := make([]string, 0, len(o.offline))
	for name := range o.offline {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RestoreOffline takes out whoever another process had out, listed or not.
func (o *Overlay) RestoreOffline(names []string) {
	for _, name := range names {
		if len(o.offline) >= maxOffline {
			return
		}
		o.offline[name] = true
		if e, listed := o.listed[name]; listed {
			o.Engine.OverlayChanged([]engine.Entry{o.withOffline(e)})
		}
	}
	o.updateUnlisted()
}

// Snapshot is the list's last word, in discovery's form.
func (o *Overlay) Snapshot(index int64) []byte {
	l := listMessage{Index: index, Snapshot: true, Endpoints: make([]endpoint, 0, len(o.listed))}
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
	for name := range o.offline {
		if _, listed := o.listed[name]; listed {
			n++ // for the module these drain, so that it has not counted them
		}
	}
	return n
}
