package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/decide"
	"weldscale/internal/engine"
)

// discardBackends implements engine.Workers and engine.Directory and sends nothing.
type discardBackends struct{}

func (discardBackends) Push(*engine.Attempt)          {}
func (discardBackends) Cancel(*engine.Attempt)        {}
func (discardBackends) Probe(*engine.Probe)           {}
func (discardBackends) Withdraw(*engine.Attempt) bool { return false }
func (discardBackends) Watch(bool)                    {}
func (discardBackends) Reload()                       {}

// For any sequence of list updates and offline changes, the engine sends exactly to the workers that a simple model
// has as ready and not offline.
func TestOverlayAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, err := engine.New(engine.NewLoop(), engine.Config{Settings: decide.Settings{Nodes: 1, Zones: 1, MaxAttempts: 1, ColdFrom: 1, OverloadMultiple: 1,
			OverloadSpan: 1, Classes: []decide.Class{{Aim: 1, Deadline: 1, Kind: -1}}}})
		require.NoError(t, err)
		e.SetBackends(discardBackends{}, discardBackends{})
		overlay := NewOverlay(e)
		list, offlineNames := map[string]decide.State{}, map[string]bool{}
		name := rapid.Map(rapid.IntRange(0, 5), func(i int) string { return fmt.Sprint("w", i) })
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				kind := rapid.SampledFrom([]decide.ListKind{decide.ListDelta, decide.ListFull, decide.ListCached, decide.ListFailed}).Draw(t, "kind")
				if kind == decide.ListFailed {
					e.Announce(kind, nil)
					break
				}
				if kind != decide.ListDelta {
					clear(list)
				}
				var entries []engine.Entry
				for _, n := range rapid.SliceOfNDistinct(name, 0, 6, rapid.ID).Draw(t, "names") {
					state := rapid.SampledFrom([]decide.State{decide.Ready, decide.Draining, decide.Gone}).Draw(t, "state")
					entries = append(entries, engine.Entry{Name: n, Addr: n, State: state})
					if list[n] = state; state == decide.Gone {
						delete(list, n)
					}
				}
				e.Announce(kind, entries)
			default:
				n, offline := name.Draw(t, "name"), rapid.Bool().Draw(t, "out")
				_, listed := list[n]
				assert.Equal(t, listed || offlineNames[n], overlay.SetOffline(n, offline))
				if listed || offlineNames[n] {
					if offlineNames[n] = offline; !offline {
						delete(offlineNames, n)
					}
				}
			}
			want, got := map[string]bool{}, map[string]bool{}
			excluded := 0
			for n, state := range list {
				if state == decide.Ready && !offlineNames[n] {
					want[n] = true
				}
				if offlineNames[n] {
					excluded++
				}
			}
			e.EachReadyAddr(func(addr string) { got[addr] = true })
			require.Equal(t, want, got)
			require.Equal(t, []int{len(list), excluded}, []int{overlay.KnownWorkers(), overlay.ExcludedWorkers()})
			require.Len(t, overlay.Offline(), len(offlineNames))
		}
	})
}

func TestOverlayIsBounded(t *testing.T) {
	e, err := engine.New(engine.NewLoop(), engine.Config{Settings: decide.Settings{Nodes: 1, Zones: 1, MaxAttempts: 1, ColdFrom: 1, OverloadMultiple: 1,
		OverloadSpan: 1, Classes: []decide.Class{{Aim: 1, Deadline: 1, Kind: -1}}}})
	require.NoError(t, err)
	e.SetBackends(discardBackends{}, discardBackends{})
	o := NewOverlay(e)
	for i := range 3 * maxOffline {
		e.Announce(decide.ListFull, []engine.Entry{{Name: fmt.Sprint(i), Addr: "x", State: decide.Ready}})
		require.True(t, o.SetOffline(fmt.Sprint(i), true))
		require.LessOrEqual(t, len(o.Offline()), maxOffline)
	}
	assert.Contains(t, o.Offline(), fmt.Sprint(3*maxOffline-1), "those missing longest are removed first")
	assert.NotContains(t, o.Offline(), "0")
}
