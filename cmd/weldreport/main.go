// Command weldreport makes a page with plots of what weldscale rehearse --json wrote: one file that needs nothing else. It is
// a program of its own, since the plot library alone would cost the scheduler memory. It must never play anything.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"

	"weldscale/internal/emulator"
	"weldscale/internal/plots"
)

type cli struct {
	Results string `arg:"" help:"What weldscale rehearse --json wrote." placeholder:"FILE" type:"existingfile"`
	Out     string `help:"Write the page there." default:"report.html" placeholder:"FILE" type:"path"`
}

// run is one run of the results.
type run struct {
	Script   string             `json:"script"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Result   *emulator.Result   `json:"result"`
	Troubles []emulator.Trouble `json:"troubles"`
	Found    []any              `json:"found"`
}

func main() {
	var args cli
	parsed := kong.Parse(&args, kong.Name("weldreport"), kong.Description("A page with plots of rehearsals."))
	parsed.FatalIfErrorf(args.run())
}

func (c *cli) run() error {
	text, err := os.ReadFile(c.Results)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := report(&page, text); err != nil {
		return fmt.Errorf("%s: %w", c.Results, err)
	}
	return os.WriteFile(c.Out, page.Bytes(), 0o644)
}

// report writes the page of some results.
func report(w io.Writer, text []byte) error {
	var runs []run
	if err := json.Unmarshal(text, &runs); err != nil {
		return err
	}
	type section struct {
		run
		Plots []template.HTML
	}
	var all []section
	for i, r := range runs {
		if r.Result == nil {
			return fmt.Errorf("run %d has no result", i)
		}
		s := section{run: r}
		for _, f := range []func(run) (*plot.Plot, error){worth, queues, held} {
			p, err := f(r)
			if err != nil {
				return fmt.Errorf("run %d: %w", i, err)
			}
			if p != nil {
				svg, err := plots.Render(p)
				if err != nil {
					return err
				}
				s.Plots = append(s.Plots, svg)
			}
		}
		all = append(all, s)
	}
	return page.Execute(w, all)
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"per":   func(n, of int) string { return fmt.Sprintf("%.2f", float64(n)/float64(max(1, of))) },
}).Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Rehearsals</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style></head><body>
<h1>Rehearsals</h1>
<table><tr><th>script</th><th>policy</th><th>seed</th><th>jobs</th><th>worth in time</th><th>late</th><th>refused</th><th>failed</th><th>probes a job</th><th>fallen</th><th>rules</th></tr>
{{range .}}<tr><td>{{.Script}}</td><td>{{.Policy}}</td><td>{{.Seed}}</td><td>{{.Result.Tries}}</td><td>{{share .Result.InTime}}</td><td>{{.Result.Late}}</td><td>{{.Result.Refused}}</td><td>{{.Result.Failed}}</td><td>{{per .Result.Probes .Result.Tries}}</td><td>{{.Result.Fallen}}</td><td>{{if .Found}}{{len .Found}} broken{{else}}kept{{end}}</td></tr>
{{end}}</table>
{{range .}}<h2>{{.Script}}, {{.Policy}}, seed {{.Seed}}</h2>
{{if .Troubles}}<p>Shaded:{{range .Troubles}} {{.Kind}}{{with .Zone}} of {{.}}{{end}};{{end}}</p>{{end}}
{{range .Plots}}<div>{{.}}</div>
{{end}}{{end}}</body></html>
`))

const second = 1e6

// base is an empty plot over a run's time, its troubles shaded up to a height.
func base(r run, title, y string, top float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", y
	p.Y.Min, p.Y.Max, p.X.Min = 0, top, 0
	for _, t := range r.Troubles {
		from, to := float64(t.From)/second, float64(t.To)/second
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return nil, err
		}
		area.Color = color.NRGBA{R: 220, G: 60, B: 40, A: 40}
		area.LineStyle.Width = 0
		p.Add(area)
	}
	return p, nil
}

// worth is the worth in time by window.
func worth(r run) (*plot.Plot, error) {
	p, err := base(r, "Worth in time, of what was asked for in five seconds", "share", 1)
	if err != nil {
		return nil, err
	}
	var line plotter.XYs
	for _, w := range r.Result.Windows {
		if w.Worth > 0 {
			line = append(line, plotter.XY{X: float64(w.From)/second + 2.5, Y: w.Reached / w.Worth})
		}
	}
	return p, plots.Line(p, "", line, color.NRGBA{B: 160, A: 255})
}

// queues is what waits at boxes, and what is free.
func queues(r run) (*plot.Plot, error) {
	var queue, free plotter.XYs
	top := 1.0
	for _, s := range r.Result.Samples {
		queue = append(queue, plotter.XY{X: float64(s.At) / second, Y: float64(s.Queue)})
		free = append(free, plotter.XY{X: float64(s.At) / second, Y: float64(s.Free)})
		top = max(top, float64(s.Queue), float64(s.Free))
	}
	if len(queue) == 0 {
		return nil, nil
	}
	p, err := base(r, "Attempts that wait at boxes, and free slots", "", top)
	if err != nil {
		return nil, err
	}
	p.Legend.Top = true
	if err := plots.Line(p, "waiting", queue, color.NRGBA{R: 180, A: 255}); err != nil {
		return nil, err
	}
	return p, plots.Line(p, "free slots", free, color.NRGBA{G: 130, A: 255})
}

// grid is what each box holds over time, as a heat map asks for it.
type grid []emulator.Sample

func (g grid) Dims() (c, r int)   { return len(g), len(g[0].Held) }
func (g grid) Z(c, r int) float64 { return float64(g[c].Held[r]) }
func (g grid) X(c int) float64    { return float64(g[c].At) / second }
func (g grid) Y(r int) float64    { return float64(r) }

// held is what each box holds; nil where there are too few samples or boxes for a map.
func held(r run) (*plot.Plot, error) {
	g := grid(r.Result.Samples)
	if len(g) < 2 || len(g[0].Held) < 2 {
		return nil, nil
	}
	most := 0
	for _, s := range g {
		if len(s.Held) != len(g[0].Held) {
			return nil, fmt.Errorf("samples of %d and %d boxes", len(g[0].Held), len(s.Held))
		}
		for _, n := range s.Held {
			most = max(most, n)
		}
	}
	if most == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("What each box holds, up to %d", most), "s", "box"
	p.Add(plotter.NewHeatMap(g, moreland.ExtendedBlackBody().Palette(32)))
	return p, nil
}
