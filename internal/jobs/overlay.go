package jobs

import (
	"cmp"
	"encoding/json"
	"slices"

	"weldscale/decide"
	"weldscale/internal/engine"
)

// This file implements workers that an operator has taken offline, as an overlay on the worker list of one engine.
// Whatever the list says, the engine sees such a worker as draining. The list's own state is kept and restored when
// the worker is put back online.

// maxOffline limits the number of offline names. Beyond it, those that have been missing from the list longest are
// put back online first.
const maxOffline = 1024

// Overlay implements engine.Overlay.
type Overlay struct {
	Engine   *engine.Engine
	listed   map[string]engine.Entry // entries of the list as last received, without workers that are gone
	offline  map[string]bool
	unlisted []string // offline names that are not in the list, longest missing first
}

// NewOverlay sets an overlay on an engine that has no list yet.
func NewOverlay(e *engine.Engine) *Overlay {
	o := &Overlay{Engine: e, listed: map[string]engine.Entry{}, offline: map[string]bool{}}
	e.Overlay = o
	return o
}

// Apply implements engine.Overlay.
func (o *Overlay) Apply(kind decide.ListKind, entries []engine.Entry) []engine.Entry {
	if kind == decide.ListFull || kind == decide.ListCached {
		clear(o.listed)
	}
	out := make([]engine.Entry, 0, len(entries))
	for _, e := range entries {
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

// withOffline returns the entry as the engine is to see it.
func (o *Overlay) withOffline(e engine.Entry) engine.Entry {
	if o.offline[e.Name] && e.State == decide.Ready {
		e.State = decide.Draining
	}
	return e
}

// updateUnlisted recomputes which offline names are missing from the list and enforces maxOffline.
func (o *Overlay) updateUnlisted() {
	alreadyUnlisted := map[string]bool{}
	o.unlisted = slices.DeleteFunc(o.unlisted, func(name string) bool {
		_, listed := o.listed[name]
		alreadyUnlisted[name] = true
		return listed || !o.offline[name]
	})
	var added []string
	for name := range o.offline {
		if _, listed := o.listed[name]; !listed && !alreadyUnlisted[name] {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	o.unlisted = append(o.unlisted, added...)
	for len(o.offline) > maxOffline && len(o.unlisted) > 0 {
		delete(o.offline, o.unlisted[0])
		o.unlisted = o.unlisted[1:]
	}
}

// SetOffline takes a worker offline or puts it back online, and reports whether the worker is known. An offline
// worker stays known until it is put back online, even if the list no longer has it.
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

// Offline returns the names of the offline workers in alphabetical order.
func (o *Overlay) Offline() []string {
	names := make([]string, 0, len(o.offline))
	for name := range o.offline {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RestoreOffline takes offline the workers that were offline in another process, whether they are listed or not.
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

// Snapshot returns the list as last received, in the format of discovery.
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
	if err != nil { // a weight that JSON can't represent
		return []byte(`{"snapshot":true}`)
	}
	return text
}

// KnownWorkers returns the number of workers in the list.
func (o *Overlay) KnownWorkers() int { return len(o.listed) }

// ExcludedWorkers returns the number of listed workers that get no jobs now, because they are offline or the
// dispatcher avoids them.
func (o *Overlay) ExcludedWorkers() int {
	n := o.Engine.Avoided()
	for name := range o.offline {
		if _, listed := o.listed[name]; listed {
			n++ // the dispatcher sees these as draining and has not counted them
		}
	}
	return n
}
