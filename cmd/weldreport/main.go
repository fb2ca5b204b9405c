// Command weldreport renders the results written by weldscale rehearse --json as a single HTML page with embedded plots. It is
// a separate program because linking the plot library would raise the scheduler's memory use. It must never run a rehearsal
// itself.
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

// run is one rehearsal run in the results file.
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
	if err := writeReport(&page, text); err != nil {
		return fmt.Errorf("%s: %w", c.Results, err)
	}
	return os.WriteFile(c.Out, page.Bytes(), 0o644)
}

// writeReport writes the HTML page for the JSON results in text. It fails if a run has no result.
func writeReport(w io.Writer, text []byte) error {
	var runs []run
	if err := json.Unmarshal(text, &runs); err != nil {
		return err
	}
	type section struct {
		run
		Plots []template.HTML
	}
	var sections []section
	for i, r := range runs {
		if r.Result == nil {
			return fmt.Errorf("run %d has no result", i)
		}
		s := section{run: r}
		for _, newPlot := range []func(run) (*plot.Plot, error){plotWorth, plotQueues, plotHeld} {
			chart, err := newPlot(r)
			if err != nil {
				return fmt.Errorf("run %d: %w", i, err)
			}
			if chart != nil {
				svg, err := plots.Render(chart)
				if err != nil {
					return err
				}
				s.Plots = append(s.Plots, svg)
			}
		}
		sections = append(sections, s)
	}
	return pageTemplate.Execute(w, sections)
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
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

// microsecondsPerSecond converts emulator times, which are in microseconds, to seconds.
const microsecondsPerSecond = 1e6

// newTimePlot returns an empty plot over the time of a run, with a vertical axis from 0 to yMax. The intervals of the run's
// faults are shaded.
func newTimePlot(r run, title, y string, yMax float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", y
	p.Y.Min, p.Y.Max, p.X.Min = 0, yMax, 0
	for _, t := range r.Troubles {
		from, to := float64(t.From)/microsecondsPerSecond, float64(t.To)/microsecondsPerSecond
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: yMax}, {X: from, Y: yMax}})
		if err != nil {
			return nil, err
		}
		area.Color = color.NRGBA{R: 220, G: 60, B: 40, A: 40}
		area.LineStyle.Width = 0
		p.Add(area)
	}
	return p, nil
}

// plotWorth plots, for each time window of five seconds, the share of the requested worth that was reached in time. Each point
// lies in the middle of its window. Windows without worth are left out.
func plotWorth(r run) (*plot.Plot, error) {
	p, err := newTimePlot(r, "Worth in time, of what was asked for in five seconds", "share", 1)
	if err != nil {
		return nil, err
	}
	var points plotter.XYs
	for _, w := range r.Result.Windows {
		if w.Worth > 0 {
			points = append(points, plotter.XY{X: float64(w.From)/microsecondsPerSecond + 2.5, Y: w.Reached / w.Worth})
		}
	}
	return p, plots.Line(p, "", points, color.NRGBA{B: 160, A: 255})
}

// plotQueues plots the number of attempts queued at the boxes and the number of free slots. It returns nil if there are no
// samples.
func plotQueues(r run) (*plot.Plot, error) {
	var queue, free plotter.XYs
	yMax := 1.0
	for _, s := range r.Result.Samples {
		queue = append(queue, plotter.XY{X: float64(s.At) / microsecondsPerSecond, Y: float64(s.Queue)})
		free = append(free, plotter.XY{X: float64(s.At) / microsecondsPerSecond, Y: float64(s.Free)})
		yMax = max(yMax, float64(s.Queue), float64(s.Free))
	}
	if len(queue) == 0 {
		return nil, nil
	}
	p, err := newTimePlot(r, "Attempts that wait at boxes, and free slots", "", yMax)
	if err != nil {
		return nil, err
	}
	p.Legend.Top = true
	if err := plots.Line(p, "waiting", queue, color.NRGBA{R: 180, A: 255}); err != nil {
		return nil, err
	}
	return p, plots.Line(p, "free slots", free, color.NRGBA{G: 130, A: 255})
}

// heldGrid is the number of attempts held by each box (rows) in each sample (columns). It implements plotter.GridXYZ.
type heldGrid []emulator.Sample

func (g heldGrid) Dims() (c, r int)   { return len(g), len(g[0].Held) }
func (g heldGrid) Z(c, r int) float64 { return float64(g[c].Held[r]) }
func (g heldGrid) X(c int) float64    { return float64(g[c].At) / microsecondsPerSecond }
func (g heldGrid) Y(r int) float64    { return float64(r) }

// plotHeld plots the number of attempts held by each box over time as a heat map. It returns nil if there are fewer than two
// samples or boxes, or if no box ever held an attempt, and an error if the samples differ in their number of boxes.
func plotHeld(r run) (*plot.Plot, error) {
	g := heldGrid(r.Result.Samples)
	if len(g) < 2 || len(g[0].Held) < 2 {
		return nil, nil
	}
	maxHeld := 0
	for _, s := range g {
		if len(s.Held) != len(g[0].Held) {
			return nil, fmt.Errorf("samples differ in the number of boxes: %d and %d", len(g[0].Held), len(s.Held))
		}
		for _, n := range s.Held {
			maxHeld = max(maxHeld, n)
		}
	}
	if maxHeld == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("What each box holds, up to %d", maxHeld), "s", "box"
	p.Add(plotter.NewHeatMap(g, moreland.ExtendedBlackBody().Palette(32)))
	return p, nil
}
