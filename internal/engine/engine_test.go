package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/decide"
)

func TestWheel(t *testing.T) {
	for name, c := range map[string]struct {
		due     []int64
		stop    int // index of the timer to stop, or -1
		advance []int64
		want    string
	}{
		"fires in order of ticks":        {[]int64{5, 3, 4}, -1, []int64{10}, "[3 4 5]"},
		"same tick, in the order set":    {[]int64{3, 3}, -1, []int64{3}, "[3 3]"},
		"not before its tick":            {[]int64{3, 4}, -1, []int64{3}, "[3]"},
		"due in the past":                {[]int64{-7}, -1, []int64{1}, "[-7]"},
		"stopped":                        {[]int64{3, 3, 3}, 1, []int64{9}, "[3 3]"},
		"several turns ahead, too early": {[]int64{3 + 2*wheelSlots}, -1, []int64{3, 3 + wheelSlots, 2 + 2*wheelSlots}, "[]"},
		"several turns ahead, due":       {[]int64{3 + 2*wheelSlots}, -1, []int64{3, 3 + wheelSlots, 3 + 2*wheelSlots}, "[2051]"},
		"all fire after a long stall":    {[]int64{3, 900, 3 * wheelSlots}, -1, []int64{5 * wheelSlots}, "3 timers"},
	} {
		var w wheel
		fired := []int64{}
		var timers []*Timer
		for _, due := range c.due {
			timers = append(timers, w.add(due, func() { fired = append(fired, due) }))
		}
		if c.stop >= 0 {
			timers[c.stop].Stop()
			timers[c.stop].Stop() // a second Stop does nothing
		}
		for _, tick := range c.advance {
			w.advance(tick)
		}
		if got := fmt.Sprint(fired); got != c.want {
			assert.Equal(t, c.want, fmt.Sprintf("%d timers", len(fired)), "%s: %s", name, got)
		}
	}
}

func TestLoopRunsWorkAndTimers(t *testing.T) {
	l := NewLoop()
	order := ""
	go l.Post(func() {
		l.After(2*tickInterval, func() { order += "second "; l.Stop() })
		l.After(0, func() { order += "first " })
		l.After(time.Hour, func() { order += "never" })
	})
	l.Run()
	assert.Equal(t, "first second ", order)
}

// fakeBackends implements Workers, Directory and Client and logs the calls.
type fakeBackends struct {
	engine   *Engine
	attempts []*Attempt
	log      string
}

func (f *fakeBackends) Push(a *Attempt)        { f.attempts = append(f.attempts, a); f.log += "push " }
func (f *fakeBackends) Cancel(*Attempt)        { f.log += "cancel " }
func (f *fakeBackends) Withdraw(*Attempt) bool { return false }
func (f *fakeBackends) Gone() bool             { return false }
func (f *fakeBackends) Probe(p *Probe) {
	p.End(decide.Served, decide.Report{Has: decide.HasFreeSlots, FreeSlots: 4})
}
func (f *fakeBackends) Watch(bool)              {}
func (f *fakeBackends) Reload()                 {}
func (f *fakeBackends) Served(result []byte)    { f.log += "served:" + string(result) + " " }
func (f *fakeBackends) Refused(w time.Duration) { f.log += "refused:" + w.String() + " " }
func (f *fakeBackends) Failed()                 { f.log += "failed " }

var testSettings = decide.Settings{Nodes: 1, Zones: 1, CanProbe: true, CanCancel: true, MaxAttempts: 4,
	ColdFrom: 0.3, ColdSpan: 1e6, OverloadMultiple: 4, OverloadSpan: 1e6, Tick: 4000, MaxRetryAfter: 1e6,
	Classes: []decide.Class{{Aim: 2e6, Deadline: 9e6, Stretch: 2, Kind: -1, Worth: 1},
		{Effect: decide.Unsafe, Aim: 2e6, Deadline: 9e6, Stretch: 2, Kind: -1, Worth: 1}}}

func newFakeBackends(t *testing.T) *fakeBackends { return newFakeBackendsWith(t, testSettings) }

func newFakeBackendsWith(t *testing.T, s decide.Settings) *fakeBackends {
	engine, err := New(NewLoop(), Config{Zones: []string{"here"}, Settings: s})
	require.NoError(t, err)
	backends := &fakeBackends{engine: engine}
	engine.SetBackends(backends, backends)
	engine.Announce(decide.ListCached, []Entry{{Name: "a", Zone: "here", State: decide.Ready}, {Name: "b", Zone: "elsewhere", State: decide.Ready}})
	return backends
}

func (f *fakeBackends) submit(class int) *Request {
	return f.engine.Submit(decide.Job{Class: class, GiveUpAt: f.engine.Now() + 9e6}, nil, f)
}

// A request gets exactly one final answer and an attempt ends once, in whatever order events arrive.
func TestOneFinalAnswer(t *testing.T) {
	end := func(s decide.Status) func(backends *fakeBackends, r *Request) {
		return func(backends *fakeBackends, r *Request) { backends.attempts[0].End(s, []byte("x"), decide.Report{}) }
	}
	hangup := func(backends *fakeBackends, r *Request) { backends.engine.Hangup(r) }
	for name, c := range map[string]struct {
		class int
		steps []func(backends *fakeBackends, r *Request)
		want  string
	}{
		"served":                   {0, []func(*fakeBackends, *Request){end(decide.Served)}, "push served:x "},
		"served twice":             {0, []func(*fakeBackends, *Request){end(decide.Served), end(decide.Served)}, "push served:x "},
		"reset after served":       {1, []func(*fakeBackends, *Request){end(decide.Served), end(decide.Reset)}, "push served:x "},
		"client gone, then served": {0, []func(*fakeBackends, *Request){hangup, end(decide.Served)}, "push cancel "},
		"gone twice":               {0, []func(*fakeBackends, *Request){hangup, hangup}, "push cancel "},
		"unsafe reset":             {1, []func(*fakeBackends, *Request){end(decide.Reset)}, "push failed "},
		"safe timed out":           {0, []func(*fakeBackends, *Request){end(decide.TimedOut)}, "push refused:1s "},
	} {
		backends := newFakeBackends(t)
		r := backends.submit(c.class)
		for _, step := range c.steps {
			step(backends, r)
		}
		assert.Equal(t, c.want, backends.log, name)
		assert.Zero(t, backends.engine.OpenRequests(), name)
		assert.Empty(t, backends.engine.requests, "%s: no request is left", name)
	}
}

// If attempts can't be cancelled, one may be served after its client has disconnected. Then nothing is answered or
// counted.
func TestServedAfterClientHangup(t *testing.T) {
	s := testSettings
	s.CanCancel = false
	backends := newFakeBackendsWith(t, s)
	backends.engine.Hangup(backends.submit(0))
	assert.Len(t, backends.engine.requests, 1, "its attempt is still in flight")
	backends.attempts[0].End(decide.Served, nil, decide.Report{})
	assert.Equal(t, "push ", backends.log)
	assert.Zero(t, backends.engine.Counts.Served)
	assert.Zero(t, backends.engine.OpenRequests())
	assert.Empty(t, backends.engine.requests)
}

func TestIDsAreNotReusedWhileInUse(t *testing.T) {
	backends := newFakeBackends(t)
	first := backends.submit(0)
	backends.engine.lastRequestID = first.ID - 1 // as if the IDs had wrapped around
	assert.NotEqual(t, first.ID, backends.submit(0).ID)
	backends.engine.lastRequestID = 1<<32 - 1
	assert.NotZero(t, backends.submit(0).ID)
}

// A worker's name keeps its ID when its address changes, and removed names are freed once no attempt uses them.
func TestWorkerNamesKeepTheirIDs(t *testing.T) {
	backends := newFakeBackends(t)
	id := backends.engine.workersByName["a"].ID
	backends.engine.Announce(decide.ListDelta, []Entry{{Name: "a", Addr: "new:1", Zone: "here", State: decide.Ready}})
	assert.Equal(t, id, backends.engine.workersByName["a"].ID)
	assert.Equal(t, "new:1", backends.engine.workersByName["a"].Addr)
	r := backends.submit(0)
	worker := backends.attempts[0].Worker
	for i := range 100 {
		backends.engine.Announce(decide.ListFull, []Entry{{Name: fmt.Sprint(i), State: decide.Ready}})
	}
	assert.Len(t, backends.engine.workersByName, 2, "the last one and the one with an attempt in flight")
	assert.False(t, backends.attempts[0].Sendable())
	assert.Equal(t, worker, backends.engine.workersByName[worker.Name])
	backends.engine.Hangup(r)
	backends.engine.Announce(decide.ListDelta, nil)
	assert.Len(t, backends.engine.workersByName, 1)
	assert.Len(t, backends.engine.workersByID, 1)
}

// An engine is ready once the list has contained a ready worker, and stays so if the list becomes empty later,
// since the front end then notices outages by itself.
func TestReady(t *testing.T) {
	engine, err := New(NewLoop(), Config{Settings: testSettings})
	require.NoError(t, err)
	engine.SetBackends(newFakeBackends(t), newFakeBackends(t))
	for _, step := range []struct {
		kind decide.ListKind
		list []Entry
		want bool
	}{
		{decide.ListCached, nil, false},
		{decide.ListFailed, nil, false},
		{decide.ListFull, []Entry{{Name: "a", State: decide.Draining}}, false},
		{decide.ListDelta, []Entry{{Name: "a", State: decide.Ready}}, true},
		{decide.ListFull, nil, true},
	} {
		engine.Announce(step.kind, step.list)
		assert.Equal(t, step.want, engine.Ready(), "%+v", step)
	}
}

func TestCounts(t *testing.T) {
	backends := newFakeBackends(t)
	backends.submit(0)
	backends.attempts[0].End(decide.Served, nil, decide.Report{})
	assert.Contains(t, backends.engine.Counts.String(), "taken=1 served=1 refused=0 failed=0")
	assert.Contains(t, backends.engine.Counts.String(), "attempts.served=1 probes.served=2 ")
}
