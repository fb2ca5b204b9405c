package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func loadScript(t testing.TB, name, more string) *Script {
	text, err := os.ReadFile("../../deploy/rehearsals/" + name + ".hcl")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name+".hcl")
	require.NoError(t, os.WriteFile(path, append(text, more...), 0o600))
	s, err := Read(path)
	require.NoError(t, err)
	return s
}

func runScript(t testing.TB, s *Script, seed uint64) (*Result, []byte) {
	var log bytes.Buffer
	x, err := New(s, seed, &log)
	require.NoError(t, err)
	r, err := x.Run(nil)
	require.NoError(t, err)
	return r, log.Bytes()
}

// Every script of the library must keep the rules that Check verifies, and the same seed must produce the same log.
func TestScriptLibraryKeepsTheRules(t *testing.T) {
	files, err := filepath.Glob("../../deploy/rehearsals/*.hcl")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 16)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".hcl")
		s := loadScript(t, name, "")
		r, log := runScript(t, s, 7)
		violations, err := Check(s, bytes.NewReader(log))
		require.NoError(t, err, name)
		assert.Empty(t, violations, name)
		assert.Greater(t, r.Tries, 1000, name)
		assert.Greater(t, r.InTime, 0.3, name)
		assert.Zero(t, r.Unserved, name)
		_, again := runScript(t, s, 7)
		assert.True(t, bytes.Equal(log, again), "%s: the same seed produced another log", name)
		_, other := runScript(t, s, 8)
		assert.False(t, bytes.Equal(log, other), name)
		t.Logf("%s: %.3f in time, %d late, %d refused, %d failed, %.2f probes a job, %d events", name, r.InTime, r.Late, r.Refused, r.Failed,
			float64(r.Probes)/float64(r.Tries), r.Events)
	}
}

// The baseline policies keep all rules but the one about cold boxes. The oracle, which sees the true state, and the
// decision module must serve more worth in time than random choice.
func TestBaselinePolicies(t *testing.T) {
	s := loadScript(t, "slow", "")
	worth := map[string]float64{}
	for _, policy := range Policies {
		var log bytes.Buffer
		x, err := NewWithPolicy(policy, s, 5, &log)
		require.NoError(t, err)
		r, err := x.Run(nil)
		require.NoError(t, err)
		worth[policy] = r.InTime
		violations, err := Check(s, &log)
		require.NoError(t, err)
		for _, f := range violations { // baseline policies do not spare cold boxes
			assert.Contains(t, f, "cold workers spared", policy)
		}
	}
	assert.Greater(t, worth["oracle"], worth["random"])
	assert.Greater(t, worth["module"], worth["random"])
	t.Log(worth)
	_, err := NewWithPolicy("luck", s, 1, nil)
	assert.ErrorContains(t, err, "no policy")
}

// An additional box must not change the random numbers of the clients: the same jobs must arrive.
func TestRandomStreamsAreIndependent(t *testing.T) {
	arrivals := func(more string) (out []string) {
		_, log := runScript(t, loadScript(t, "calm", more), 3)
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, " arrive ") {
				out = append(out, line)
			}
		}
		return out
	}
	assert.Equal(t, arrivals(""), arrivals("box \"one-more\" {}\n"))
}

// An overloaded cold box collapses and stays down, and Check reports it.
func TestColdBoxCollapses(t *testing.T) {
	s := loadScript(t, "calm", "")
	x, err := New(s, 1, nil)
	require.NoError(t, err)
	var lines []string
	x.onLogLine = func(line string) { lines = append(lines, line) }
	b := x.boxes[0]
	b.restart()
	n := x.nodes[0]
	for i := range 100 {
		q := &request{id: uint32(i + 1), node: n, job: &clientJob{work: 2e6, slots: 1}}
		n.requests[q.id] = q
		b.receive(&attempt{request: q, box: b, node: n})
	}
	assert.True(t, b.collapsed)
	assert.False(t, b.up())
	assert.Contains(t, lines, "0 fall box=0")
	violations, err := Check(s, strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	assert.Contains(t, violations, "cold workers spared: 0 fall box=0")
	b.startedAt -= s.ColdSpan
	assert.False(t, b.up(), "must stay down after its warm-up time")
}

// Each of several overlapping troubles on one box must revert only its own effects.
func TestOverlappingTroublesOnOneBox(t *testing.T) {
	script := loadScript(t, "calm", `
trouble "slow" {
  from  = "5s"
  for   = "20s"
  part  = 1
  times = 3
}
trouble "slow" {
  from  = "10s"
  for   = "5s"
  part  = 1
  times = 4
}
trouble "vanish" {
  from = "12s"
  for  = "10s"
  part = 1
}
trouble "zone_loss" {
  from = "14s"
  for  = "4s"
  zone = "murun"
}`)
	sim, err := New(script, 1, nil)
	require.NoError(t, err)
	var murunBox *box
	for _, b := range sim.boxes {
		if script.Zones[b.zone] == "murun" {
			murunBox = b
		}
	}
	type state struct {
		factors int
		up      bool
	}
	seen := map[int]state{}
	for _, at := range []int{4, 7, 11, 13, 17, 20, 23, 30} {
		sim.schedule(Time(at)*1e6, func() { seen[at] = state{len(murunBox.slowdowns), murunBox.up()} })
	}
	_, err = sim.Run(nil)
	require.NoError(t, err)
	assert.Equal(t, map[int]state{4: {0, true}, 7: {1, true}, 11: {2, true}, 13: {2, false}, 17: {1, false}, 20: {1, false},
		23: {1, true}, 30: {0, true}}, seen)
}

// Check must find each kind of violation in a handwritten log.
func TestCheckFindsViolations(t *testing.T) {
	script := loadScript(t, "calm", "")
	const arrive = "1 arrive 1 class=press-send node=0 give_up=25000000 again=0\n2 push 1.0 node=0 box=3\n"
	for name, c := range map[string]struct{ log, want string }{
		"kept":                    {arrive + "9 outcome 1.0 served\n9 answer 1 served\n", ""},
		"kept, with a retry":      {arrive + "9 outcome 1.0 full\n10 push 1.1 node=0 box=2\n11 outcome 1.1 served\n11 answer 1 served\n", ""},
		"no answer":               {arrive, "1 requests without an answer"},
		"two answers":             {arrive + "9 answer 1 failed\n9 answer 1 failed\n", "a second answer"},
		"late":                    {arrive + "25050001 answer 1 failed\n", "an answer after the client gave up"},
		"answer without request":  {"9 answer 4 failed\n", "an answer to an unknown request"},
		"unsafe job repeated":     {arrive + "9 outcome 1.0 reset\n9 push 1.1 node=0 box=2\n10 answer 1 failed\n", "though it may have run"},
		"two attempts in flight":  {arrive + "9 push 1.1 node=0 box=2\n10 answer 1 failed\n", "two attempts in flight"},
		"refused":                 {arrive + "9 outcome 1.0 reset\n9 answer 1 refused\n", "refused though it may have run"},
		"push after the answer":   {arrive + "9 answer 1 failed\n10 push 1.1 node=0 box=2\n", "a request that is over"},
		"push after drain grace":  {"0 told node=0 box=3 state=2\n400000" + arrive[1:strings.Index(arrive, "\n")+1] + "400000 push 1.0 node=0 box=3\n400001 answer 1 failed\n", "drains obeyed"},
		"push within drain grace": {"0 told node=0 box=3 state=2\n" + arrive + "9 answer 1 failed\n", ""},
		"collapse of a cold box":  {"0 fall box=2\n", "cold workers spared"},
	} {
		violations, err := Check(script, strings.NewReader(c.log))
		require.NoError(t, err, name)
		if c.want == "" {
			assert.Empty(t, violations, name)
			continue
		}
		assert.Contains(t, strings.Join(violations, "\n"), c.want, name)
	}
	_, err := Check(script, strings.NewReader("nonsense\n"))
	assert.Error(t, err)
}

// Every error of a script must be reported with its position and the allowed values.
func TestScriptErrors(t *testing.T) {
	for text, want := range map[string]string{
		`trouble "flood" {}`:                                       "no trouble \"flood\"; allowed: balancer_crash, discovery_down, drain, fast_errors",
		"trouble \"fast_errors\" {\n  takes = 1\n}":                "out of range; allowed is 0 to 0.99",
		"trouble \"shared_slow\" {\n  part = 0.5\n}":               "trouble \"shared_slow\" has no setting part; allowed: from, for, times",
		"trouble \"slow\" {\n  zone = \"murun\"\n}":                "trouble \"slow\" has no setting zone",
		"trouble \"slow\" {\n  from = \"61s\"\n}":                  "begins after the end of the script",
		"trouble \"slow\" {\n  times = 0\n}":                       "out of range; allowed is 1 to 1000",
		"trouble \"zone_loss\" {\n  zone = \"khovd\"\n}":           "no zone \"khovd\"; there are: ulaanbaatar",
		"trouble \"heavy_tail\" {\n  class = \"poster\"\n}":        "no class \"poster\"",
		"class \"x\" {\n  effect = \"twice\"\n}":                   "effect must be one of keyed, once, safe",
		"class \"x\" {\n  effect = \"safe\"\n  slots = \"1 b\"\n}": "\"b\" is not a whole number from 1",
		"box \"x\" {\n  cores = 4\n}":                              "cores: no such setting; allowed: count, slots, queue, speed",
		"box {}":                                                   "Missing name for box",
	} {
		calm, err := os.ReadFile("../../deploy/rehearsals/calm.hcl")
		require.NoError(t, err)
		path := filepath.Join(t.TempDir(), "s.hcl")
		require.NoError(t, os.WriteFile(path, append(calm, text...), 0o600))
		_, err = Read(path)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.Regexp(t, `^\S+s\.hcl:\d+:\d+: `, err.Error())
		}
	}
}

// The troubles of the second deployment must affect the expected number of boxes and leave no effect behind.
func TestMarketDecemberTroubles(t *testing.T) {
	script := loadScript(t, "market_december", "")
	sim, err := New(script, 1, nil)
	require.NoError(t, err)
	seen := map[int][3]int{} // numbers of boxes that fail jobs, that are slowed, and that are slowed by more than one trouble
	for _, at := range []int{5, 22, 36, 55} {
		sim.schedule(Time(at)*1e6, func() {
			counts := [3]int{}
			for _, b := range sim.boxes {
				if len(b.failureShares) > 0 {
					counts[0]++
				}
				if len(b.slowdowns) > 0 {
					counts[1]++
				}
				if len(b.slowdowns) > 1 {
					counts[2]++
				}
			}
			seen[at] = counts
		})
	}
	r, err := sim.Run(nil)
	require.NoError(t, err)
	assert.Equal(t, [3]int{}, seen[5])
	assert.Equal(t, 1, seen[22][0])
	assert.Equal(t, 11, seen[36][1], "shared_slow must affect all boxes")
	assert.Equal(t, [3]int{}, seen[55])
	assert.Greater(t, r.Earned, r.InTime, "late answers must earn a part of their worth")
	calm, err := New(loadScript(t, "market", ""), 1, nil)
	require.NoError(t, err)
	c, err := calm.Run(nil)
	require.NoError(t, err)
	assert.Greater(t, c.InTime, r.InTime)
}

// A cancelled running attempt stops only with CancelsRunning. Its slots then go to the head of the queue if it fits, or,
// with Backfill, to any queued job that fits.
func TestCancelAndBackfill(t *testing.T) {
	for name, c := range map[string]struct {
		stops, backfill bool
		running         int
		started         []uint32
	}{
		"running job continues":                   {false, false, 3, []uint32{1, 2}},
		"running job stops, first in queue waits": {true, false, 1, []uint32{1, 2}},
		"running job stops, backfill":             {true, true, 2, []uint32{1, 2, 4}},
		"running job continues, backfill":         {false, true, 4, []uint32{1, 2, 4}},
	} {
		script := loadScript(t, "calm", "")
		script.CancelsRunning, script.Backfill = c.stops, c.backfill
		sim, err := New(script, 1, nil)
		require.NoError(t, err)
		var started []uint32
		b, n := sim.boxes[0], sim.nodes[0]
		var first *attempt
		for i, slots := range []int{2, 1, 4, 1} {
			q := &request{id: uint32(i + 1), node: n, job: &clientJob{work: 60e6, slots: slots}}
			n.requests[q.id] = q
			a := &attempt{request: q, box: b, node: n}
			if i == 0 {
				first = a
			}
			b.receive(a)
		}
		b.cancel(first)
		for _, a := range b.active {
			started = append(started, a.request.id)
		}
		assert.Equal(t, c.running, b.slotsInUse, name)
		want := c.started
		if c.stops {
			want = want[1:]
		}
		assert.Equal(t, want, started, name)
	}
}

func BenchmarkEvents(b *testing.B) {
	s := loadScript(b, "calm", "")
	s.Rate *= 20
	for _, k := range s.Boxes {
		k.Count *= 20
	}
	events := uint64(0)
	for b.Loop() {
		x, err := New(s, 1, nil)
		require.NoError(b, err)
		r, err := x.Run(nil)
		require.NoError(b, err)
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
