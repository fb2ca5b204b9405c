package hollow

import (
	"html/template"
	"io"
	"strings"

	"gonum.org/v1/plot/plotter"

	"weldscale/internal/plots"
)

// Report writes an HTML page with the table and, for each row, a plot of its values over the number of schedulers with the
// fitted line.
func Report(w io.Writer, results *Results) error {
	table := NewTable(results.Rounds)
	content := struct {
		*Results
		Table Table
		Text  string
		Plots []template.HTML
	}{Results: results, Table: table}
	var text strings.Builder
	if err := table.Write(&text); err != nil {
		return err
	}
	content.Text = text.String()
	for _, row := range table.Rows {
		plotHTML, err := draw(table.Schedulers, row)
		if err != nil {
			return err
		}
		content.Plots = append(content.Plots, plotHTML)
	}
	return page.Execute(w, content)
}

func draw(schedulers []int, row Row) (template.HTML, error) {
	p := plots.New(row.Name, "schedulers", row.Unit)
	var measured, line plotter.XYs
	for i, count := range schedulers {
		x := float64(count)
		measured = append(measured, plotter.XY{X: x, Y: row.Values[i]})
		line = append(line, plotter.XY{X: x, Y: row.Fit.At(x)})
	}
	if err := plots.Line(p, "", line, plots.Color(0)); err != nil {
		return "", err
	}
	if err := plots.Points(p, measured, plots.Color(1)); err != nil {
		return "", err
	}
	return plots.Render(p)
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Capacity</title>
<style>body{font:15px sans-serif;margin:2em;max-width:80em}pre{font-size:12px}svg{max-width:45em;height:auto}</style></head><body>
<h1>Capacity, by hollow members</h1>
<p>Began {{.Began}}; load averages of the machine then: {{.Load}}.
{{with .Options}}{{.Controllers}} controllers, {{.Workers}} workers, {{.Models}} models, {{.Tenants}} tenants with a route each;
a configuration each {{.ConfigEvery}}, a list each {{.ListEvery}}, a restart each {{.RestartEvery}}, phases of {{.Phase}};
{{.Samples}} of the schedulers were processes of their own.{{end}}</p>
<pre>{{.Text}}</pre>
{{range .Plots}}<div>{{.}}</div>
{{end}}</body></html>
`))
