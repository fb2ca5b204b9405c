package fleetdemo

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin/client"
)

// report prints the table of request outcomes and the violated invariants. It returns ErrRuleBroken if there are any.
func (d *demo) report() error {
	rows := table.NewWriter()
	rows.SetOutputMirror(d.out)
	rows.SetStyle(table.StyleLight)
	rows.AppendHeader(table.Row{"kind", "sent", "in time", "late", "refused", "failed", "cut", "tried again", "p50 ms", "p99 ms"})
	for _, kind := range d.books.Kinds() {
		row := d.books.ByKind(kind)
		rows.AppendRow(append(countCells(kind, row), formatPercentile(row, 50), formatPercentile(row, 99)))
	}
	rows.AppendFooter(append(countCells("all", d.books.Total()), "", ""))
	rows.Render()
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

func countCells(name string, row client.Tally) table.Row {
	return table.Row{name, row.Sent, row.Served, row.Late, row.Refused, row.Failed, row.Cut, row.Retries}
}

// formatPercentile formats a percentile of the row's latency, which is recorded in microseconds, in milliseconds.
func formatPercentile(row client.Tally, percent float64) string {
	return fmt.Sprintf("%.1f", float64(row.Latency.ValueAtQuantile(percent))/1000)
}
