package fleetdemo

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin/client"
)

// report prints the table and what the rules saw.
func (d *demo) report() error {
	out := table.NewWriter()
	out.SetOutputMirror(d.out)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"kind", "sent", "in time", "late", "refused", "failed", "cut", "tried again", "p50 ms", "p99 ms"})
	for _, kind := range d.books.Kinds() {
		row := d.books.Row(kind)
		out.AppendRow(append(counts(kind, row), percentile(row, 50), percentile(row, 99)))
	}
	out.AppendFooter(append(counts("all", d.books.Total()), "", ""))
	out.Render()
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

func counts(name string, row client.Row) table.Row {
	return table.Row{name, row.Sent, row.Served, row.Late, row.Refused, row.Failed, row.Cut, row.Again}
}

func percentile(row client.Row, q float64) string {
	return fmt.Sprintf("%.1f", float64(row.First.ValueAtQuantile(q))/1000)
}
