package hollow

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sampleRounds returns synthetic rounds: an idle agent uses 0.1% of a core, and each of four configurations in two seconds
// costs 5 ms more.
func sampleRounds() []Round {
	var out []Round
	for _, schedulers := range []int{50, 100} {
		out = append(out, Round{
			Schedulers: schedulers,
			Phases: []Phase{
				{Name: phaseIdle, Span: 2 * time.Second, Agent: Cost{CPU: 0.001}, Controller: Cost{Out: float64(1000 * schedulers)}},
				{Name: phaseConfigs, Span: 2 * time.Second, Configs: 4, Agent: Cost{CPU: 0.011}},
			},
			Config:     DurationStats{Count: 1, P50: time.Millisecond, P99: 2 * time.Millisecond, Worst: 3 * time.Millisecond},
			Recoveries: []Recovery{{Failure: failureKilled, Took: DurationStats{P50: time.Second, Worst: 2 * time.Second}}},
		})
	}
	return out
}

func findRow(t *testing.T, table Table, name string) Row {
	t.Helper()
	for _, row := range table.Rows {
		if row.Name == name {
			return row
		}
	}
	t.Fatalf("the table has no row %q", name)
	return Row{}
}

func TestTable(t *testing.T) {
	table := NewTable(sampleRounds())
	assert.Equal(t, []int{50, 100}, table.Schedulers)
	assert.InDeltaSlice(t, []float64{0.1, 0.1}, findRow(t, table, "agent, idle: processor").Values, 1e-9)
	assert.InDeltaSlice(t, []float64{5, 5}, findRow(t, table, "agent, a configuration: processor").Values, 1e-9)
	out := findRow(t, table, "controller, idle: out")
	assert.InDelta(t, 1000, out.Fit.Slope, 1e-6)
	assert.InDelta(t, 410_000, out.Fit.At(410), 1e-6)
	assert.Equal(t, []float64{2000, 2000}, findRow(t, table, failureKilled+", worst").Values)
	assert.Equal(t, []float64{0, 0}, findRow(t, table, "agent, a list: processor").Values, "a phase that was not run must count as 0")

	var text strings.Builder
	require.NoError(t, table.Write(&text))
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Len(t, lines, 1+len(table.Rows))
	assert.Contains(t, lines[0], "        50        100")
	assert.NotContains(t, text.String(), "NaN")
}

func TestTableWithoutRounds(t *testing.T) {
	assert.Len(t, NewTable(nil).Rows, len(metrics))
}

func TestReport(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Report(&out, &Results{Options: DefaultOptions(), Load: "<b>", Rounds: sampleRounds()}))
	page := out.String()
	assert.Equal(t, len(NewTable(sampleRounds()).Rows), strings.Count(page, "<svg"))
	assert.NotContains(t, page, "<b>")
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 0.12345: "0.123", 12.345: "12.3", 1234.5: "1234", -5000.4: "-5000"} {
		assert.Equal(t, want, formatNumber(value))
	}
}

func TestOptions(t *testing.T) {
	defaults := DefaultOptions()
	require.NoError(t, defaults.check())
	for name, modify := range map[string]func(*Options){
		"no size":         func(o *Options) { o.Schedulers = nil },
		"small":           func(o *Options) { o.Schedulers = []int{4} },
		"large":           func(o *Options) { o.Schedulers = []int{50, 2000} },
		"few controllers": func(o *Options) { o.Controllers = 2 },
		"no samples":      func(o *Options) { o.Samples = 0 },
		"no span":         func(o *Options) { o.Phase = 0 },
	} {
		modified := defaults
		modify(&modified)
		assert.ErrorIs(t, modified.check(), errInvalidOptions, name)
	}
}
