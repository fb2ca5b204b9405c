package hollow

import (
	"fmt"
	"io"
	"time"
)

// Row holds the values of one metric at each number of schedulers, and the line fitted to them.
type Row struct {
	Name   string
	Unit   string
	Values []float64
	Fit    Fit
}

// Table holds the measurements of all rounds, one row for each metric.
type Table struct {
	Schedulers []int
	Rows       []Row
}

// NewTable computes the rows from the rounds. All rounds must have recorded the same failures in the same order.
func NewTable(rounds []Round) Table {
	var table Table
	for _, round := range rounds {
		table.Schedulers = append(table.Schedulers, round.Schedulers)
	}
	for _, metric := range metrics {
		table.Rows = append(table.Rows, newRow(metric, rounds))
	}
	for i := range recoveriesOf(rounds) {
		table.Rows = append(table.Rows, recoveryRows(rounds, i)...)
	}
	return table
}

func newRow(metric metric, rounds []Round) Row {
	row := Row{Name: metric.name, Unit: metric.unit}
	var xs []float64
	for i := range rounds {
		xs = append(xs, float64(rounds[i].Schedulers))
		row.Values = append(row.Values, metric.value(&rounds[i]))
	}
	row.Fit = fitLine(xs, row.Values)
	return row
}

func recoveriesOf(rounds []Round) []Recovery {
	if len(rounds) == 0 {
		return nil
	}
	return rounds[0].Recoveries
}

func recoveryRows(rounds []Round, i int) []Row {
	failure := rounds[0].Recoveries[i].Failure
	return []Row{
		newRow(metric{failure + ", p50", "ms", func(r *Round) float64 { return milliseconds(r.Recoveries[i].Took.P50) }}, rounds),
		newRow(metric{failure + ", worst", "ms", func(r *Round) float64 { return milliseconds(r.Recoveries[i].Took.Worst) }}, rounds),
	}
}

// metric names one row of the table and computes its value for a round.
type metric struct {
	name, unit string
	value      func(*Round) float64
}

var metrics = []metric{
	{"agent, idle: processor", "% of a core", func(r *Round) float64 { return 100 * r.phase(phaseIdle).Agent.CPU }},
	{"agent, idle: from controllers", "B/s", func(r *Round) float64 { return r.phase(phaseIdle).Member.In }},
	{"agent, idle: to controllers", "B/s", func(r *Round) float64 { return r.phase(phaseIdle).Member.Out }},
	{"agent: memory", "MB", func(r *Round) float64 { return megabytes(r.phase(phaseAll).Agent.Memory) }},
	{"router, idle: processor", "% of a core", func(r *Round) float64 { return 100 * r.phase(phaseIdle).Router.CPU }},
	{"router: memory", "MB", func(r *Round) float64 { return megabytes(r.phase(phaseAll).Router.Memory) }},
	{"controller, idle: processor", "% of a core", func(r *Round) float64 { return 100 * r.phase(phaseIdle).Controller.CPU }},
	{"controller, idle: in", "B/s", func(r *Round) float64 { return r.phase(phaseIdle).Controller.In }},
	{"controller, idle: out", "B/s", func(r *Round) float64 { return r.phase(phaseIdle).Controller.Out }},
	{"controller: memory", "MB", func(r *Round) float64 { return megabytes(r.phase(phaseAll).Controller.Memory) }},
	{"reader, idle: processor", "% of a core", func(r *Round) float64 { return 100 * r.phase(phaseIdle).Reader.CPU }},
	{"reader, idle: in", "B/s", func(r *Round) float64 { return r.phase(phaseIdle).Reader.In }},
	{"reader: memory", "MB", func(r *Round) float64 { return megabytes(r.phase(phaseAll).Reader.Memory) }},
	{"agent, a configuration: processor", "ms", perConfig(func(p Phase) float64 { return 1000 * p.Agent.CPU })},
	{"agent, a configuration: from controllers", "B", perConfig(func(p Phase) float64 { return p.Member.In })},
	{"router, a configuration: processor", "ms", perConfig(func(p Phase) float64 { return 1000 * p.Router.CPU })},
	{"controller, a configuration: processor", "ms", perConfig(func(p Phase) float64 { return 1000 * p.Controller.CPU })},
	{"controller, a configuration: out", "B", perConfig(func(p Phase) float64 { return p.Controller.Out })},
	{"agent, a list: processor", "ms", perList(func(p Phase) float64 { return 1000 * p.Agent.CPU })},
	{"agent, a list: from controllers", "B", perList(func(p Phase) float64 { return p.Member.In })},
	{"router, a list: processor", "ms", perList(func(p Phase) float64 { return 1000 * p.Router.CPU })},
	{"controller, a list: processor", "ms", perList(func(p Phase) float64 { return 1000 * p.Controller.CPU })},
	{"controller, a list: out", "B", perList(func(p Phase) float64 { return p.Controller.Out })},
	{"reader, a list: processor", "ms", perList(func(p Phase) float64 { return 1000 * p.Reader.CPU })},
	{"reader, a list: out", "B", perList(func(p Phase) float64 { return p.Reader.Out })},
	{"all, with restarts: agent's processor", "% of a core",
		func(r *Round) float64 { return 100 * r.phase(phaseAll).Agent.CPU }},
	{"all, with restarts: controller's processor", "% of a core",
		func(r *Round) float64 { return 100 * r.phase(phaseAll).Controller.CPU }},
	{"all, with restarts: controller out", "B/s", func(r *Round) float64 { return r.phase(phaseAll).Controller.Out }},
	{"platform's list, idle: calls", "1/s", func(r *Round) float64 { return r.phase(phaseIdle).Calls }},
	{"platform's list, changing: calls", "1/s", func(r *Round) float64 { return r.phase(phaseLists).Calls }},
	{"platform's list, changing: refused as too many", "1/s", func(r *Round) float64 { return r.phase(phaseLists).Limited }},
	{"roles that moved in all phases", "", func(r *Round) float64 { return float64(r.rolesMoved()) }},
	{"harness, a member: processor, idle", "% of a core", func(r *Round) float64 { return 100 * r.phase(phaseIdle).Member.CPU }},
	{"harness, a member: memory", "MB", func(r *Round) float64 { return megabytes(r.phase(phaseAll).Member.Memory) }},
	{"start of all at once, to the first message: p50", "ms", func(r *Round) float64 { return milliseconds(r.Start.P50) }},
	{"start of all at once, to the first message: worst", "ms", func(r *Round) float64 { return milliseconds(r.Start.Worst) }},
	{"configuration, acknowledged to in force: p50", "ms", func(r *Round) float64 { return milliseconds(r.Config.P50) }},
	{"configuration, acknowledged to in force: p99", "ms", func(r *Round) float64 { return milliseconds(r.Config.P99) }},
	{"configuration, acknowledged to in force: worst", "ms", func(r *Round) float64 { return milliseconds(r.Config.Worst) }},
	{"list, platform to full router: p50", "ms", func(r *Round) float64 { return milliseconds(r.List.P50) }},
	{"list, platform to full router: p99", "ms", func(r *Round) float64 { return milliseconds(r.List.P99) }},
	{"list, platform to full router: worst", "ms", func(r *Round) float64 { return milliseconds(r.List.Worst) }},
	{"changes that a router never had", "", func(r *Round) float64 { return float64(r.Missed) }},
}

// phase returns the phase with the given name, or an empty phase if it was not run.
func (r *Round) phase(name string) Phase {
	for _, phase := range r.Phases {
		if phase.Name == name {
			return phase
		}
	}
	return Phase{}
}

func (r *Round) rolesMoved() int {
	moved := 0
	for _, phase := range r.Phases {
		moved += phase.RolesTaken
	}
	return moved
}

// perConfig returns a function that computes the amount that one configuration adds to a rate of the idle phase.
func perConfig(rate func(Phase) float64) func(*Round) float64 {
	return func(r *Round) float64 {
		phase := r.phase(phaseConfigs)
		return perChange(rate(phase), rate(r.phase(phaseIdle)), phase.Span, phase.Configs)
	}
}

// perList returns a function that computes the amount that one change of the worker list adds to a rate of the idle phase.
func perList(rate func(Phase) float64) func(*Round) float64 {
	return func(r *Round) float64 {
		phase := r.phase(phaseLists)
		return perChange(rate(phase), rate(r.phase(phaseIdle)), phase.Span, phase.Lists)
	}
}

// perChange returns the amount beyond the idle rate over span, divided by the number of changes; 0 without changes.
func perChange(rate, idle float64, span time.Duration, changes int) float64 {
	if changes == 0 {
		return 0
	}
	return (rate - idle) * span.Seconds() / float64(changes)
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func megabytes(bytes float64) float64 { return bytes / (1 << 20) }

// Write prints the table: a row for each metric, a column for each number of schedulers, then the least-squares line.
func (t Table) Write(w io.Writer) error {
	const name = "%-66s %-12s"
	header := fmt.Sprintf(name, "schedulers", "")
	for _, schedulers := range t.Schedulers {
		header += fmt.Sprintf(" %10d", schedulers)
	}
	if _, err := fmt.Fprintf(w, "%s   line of least squares, R2\n", header); err != nil {
		return err
	}
	for _, row := range t.Rows {
		line := fmt.Sprintf(name, row.Name, row.Unit)
		for _, value := range row.Values {
			line += fmt.Sprintf(" %10s", formatNumber(value))
		}
		fit := fmt.Sprintf("%s + %s n, %.2f", formatNumber(row.Fit.Base), formatNumber(row.Fit.Slope), row.Fit.R2)
		if _, err := fmt.Fprintf(w, "%s   %s\n", line, fit); err != nil {
			return err
		}
	}
	return nil
}

// formatNumber formats a value with three significant digits, or as a whole number if its magnitude is 1000 or more.
func formatNumber(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
