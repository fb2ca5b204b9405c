package fleetdemo

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin/client"
)

// report prints the table of request outcomes and the broken rules. It returns ErrRuleBroken if there are any.
func (d *demo) report() error {
	writer := table.NewWriter()
	writer.SetOutputMirror(d.out)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(table.Row{"kind", "sent", "in time", "late", "refused", "failed", "cut", "tried again", "p50 ms", "p99 ms"})
	for _, kind := range d.tallies.Kinds() {
		tally := d.tallies.ByKind(kind)
		writer.AppendRow(append(countCells(kind, tally), formatPercentile(tally, 50), formatPercentile(tally, 99)))
	}
	writer.AppendFooter(append(countCells("all", d.tallies.Total()), "", ""))
	writer.Render()
	d.printf("\nThe latency is that of the first event or the whole answer. Version %d of the configuration is in force.\n", d.version)
	violations := d.fleet.Judge.Violations()
	if len(violations) == 0 {
		d.printf("No rule was broken, as clients, workers and platform saw it.\n")
		return nil
	}
	for _, violation := range violations {
		d.printf("%v\n", violation)
	}
	return ErrRuleBroken
}

func countCells(name string, tally client.Tally) table.Row {
	return table.Row{name, tally.Sent, tally.Served, tally.Late, tally.Refused, tally.Failed, tally.Cut, tally.Retries}
}

// formatPercentile formats a percentile of the tally's latency in milliseconds. The histogram holds microseconds.
func formatPercentile(tally client.Tally, percent float64) string {
	return fmt.Sprintf("%.1f", float64(tally.Latency.ValueAtQuantile(percent))/1000)
}
