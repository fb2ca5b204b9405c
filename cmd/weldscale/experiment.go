package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/hcl/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	settings "weldscale/internal/config"
	"weldscale/internal/emulator"
)

// This file implements the experiment command. It runs a matrix of scripts, sizes, report intervals, policies and seeds on all
// cores and compares the policies. Each result is stored when its run ends, so that an interrupted experiment continues with
// the remaining cells.

// experimentCmd runs an experiment.
type experimentCmd struct {
	File string `arg:"" help:"The experiment, such as deploy/experiments/sizes.hcl." type:"existingfile" placeholder:"FILE"`
	Out  string `help:"Where each cell's result is written as it is done; those that are there already are not played again. By default beside FILE, ending in .jsonl." placeholder:"FILE" type:"path"`
}

// matrix is the content of an experiment file.
type matrix struct {
	scripts    map[string]*emulator.Script
	names      []string
	policies   []string
	scales     []float64
	schedulers []float64
	refresh    []float64 // ms
	seeds      int
}

// cell identifies one run.
type cell struct {
	Script     string  `json:"script"`
	Scale      float64 `json:"scale"`
	Schedulers int     `json:"schedulers"`
	RefreshMS  float64 `json:"refresh_ms"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
}

// outcome is the result of a cell, as stored in the output file.
type outcome struct {
	cell
	Boxes  int     `json:"boxes"`
	InTime float64 `json:"in_time"`
	Probes float64 `json:"probes_a_job"`
	Cross  float64 `json:"cross"`
	Events uint64  `json:"events"`
	Broken int     `json:"rules_broken"`
	Took   float64 `json:"took_s"`
}

// readMatrix reads an experiment file. The paths of scripts are relative to its directory.
func readMatrix(path string) (*matrix, error) {
	var file struct {
		Experiment *struct {
			Body hcl.Body `hcl:",remain"`
		} `hcl:"experiment,block"`
	}
	r, err := settings.Open(path, &file)
	if err != nil {
		return nil, err
	}
	if !r.Valid() {
		return nil, r.Err()
	}
	if file.Experiment == nil {
		return nil, fmt.Errorf("%s:1:1: an experiment block is missing", path)
	}
	parsed := &matrix{scripts: map[string]*emulator.Script{}, seeds: 3}
	body := file.Experiment.Body
	scripts, policies, scales, schedulers, refresh := "", "module", "1", "0", "0"
	r.Fields(body, settings.Field{Name: "scripts", Unit: settings.Word, To: &scripts}, settings.Field{Name: "policies", Unit: settings.Word, To: &policies},
		settings.Field{Name: "scale", Unit: settings.Word, To: &scales}, settings.Field{Name: "schedulers", Unit: settings.Word, To: &schedulers},
		settings.Field{Name: "refresh_ms", Unit: settings.Word, To: &refresh},
		settings.Field{Name: "seeds", Unit: settings.Count, Min: 1, Max: 1000, To: &parsed.seeds})
	numbers := func(name, text string, highest float64) (out []float64) {
		for _, word := range strings.Fields(text) {
			v, err := strconv.ParseFloat(word, 64)
			if err != nil || !(v >= 0 && v <= highest) {
				r.AddError(body, "%s: %q; allowed are numbers from 0 to %g with spaces between", name, word, highest)
			}
			out = append(out, v)
		}
		return out
	}
	parsed.scales, parsed.schedulers, parsed.refresh = numbers("scale", scales, 10000), numbers("schedulers", schedulers, 5000), numbers("refresh_ms", refresh, 60000)
	for _, p := range strings.Fields(policies) {
		if !slices.Contains(emulator.Policies, p) {
			r.AddError(body, "policies: no %q; allowed: %s", p, strings.Join(emulator.Policies, ", "))
		}
		parsed.policies = append(parsed.policies, p)
	}
	var errs []error
	for _, name := range strings.Fields(scripts) {
		script, err := emulator.Read(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		short := strings.TrimSuffix(filepath.Base(name), ".hcl")
		parsed.scripts[short] = script
		parsed.names = append(parsed.names, short)
	}
	if len(strings.Fields(scripts)) == 0 {
		r.AddError(body, "scripts: allowed are paths from this file, with spaces between")
	}
	return parsed, errors.Join(r.Err(), errors.Join(errs...))
}

// cells returns all cells of the matrix, ordered by scale as in the file.
func (m *matrix) cells() (out []cell) {
	for _, scale := range m.scales {
		for _, schedulers := range m.schedulers {
			for _, name := range m.names {
				for _, refresh := range m.refresh {
					for _, policy := range m.policies {
						for seed := range m.seeds {
							out = append(out, cell{name, scale, int(schedulers), refresh, policy, uint64(seed + 1)})
						}
					}
				}
			}
		}
	}
	return out
}

// script returns a cell's script. The number of boxes and the rate are multiplied by the scale; the number of schedulers and
// the report interval are replaced if the cell sets them.
func (m *matrix) script(c cell) *emulator.Script {
	s := *m.scripts[c.Script]
	s.Boxes = nil
	for _, k := range m.scripts[c.Script].Boxes {
		scaled := *k
		scaled.Count = max(1, int(float64(k.Count)*c.Scale+0.5))
		s.Boxes = append(s.Boxes, &scaled)
	}
	s.Rate *= c.Scale
	if c.Schedulers > 0 {
		s.Schedulers = c.Schedulers
	}
	if c.RefreshMS > 0 {
		s.ReportInterval = emulator.Time(c.RefreshMS * 1000)
	}
	return &s
}

// Run implements the command.
func (c experimentCmd) Run(ctx context.Context) error {
	matrix, err := readMatrix(c.File)
	if err != nil {
		return err
	}
	path := cmp.Or(c.Out, strings.TrimSuffix(c.File, ".hcl")+".jsonl")
	done, err := readOutcomes(path)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := terminateLastLine(file); err != nil {
		return err
	}
	var remaining []cell
	for _, x := range matrix.cells() {
		if _, ok := done[x]; !ok {
			remaining = append(remaining, x)
		}
	}
	fmt.Printf("%d cells, %d of them done before\n", len(matrix.cells()), len(matrix.cells())-len(remaining))
	var mu sync.Mutex
	var errs []error
	var all sync.WaitGroup
	next := make(chan cell)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for x := range next {
				result, err := matrix.run(x)
				mu.Lock()
				if err == nil {
					done[x] = result
					text, _ := json.Marshal(result)
					_, err = file.Write(append(text, '\n'))
				}
				if err != nil {
					errs = append(errs, err)
				}
				mu.Unlock()
			}
		})
	}
	for _, x := range remaining {
		select {
		case next <- x:
		case <-ctx.Done():
		}
	}
	close(next)
	all.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return err
	}
	rows := matrix.rows(done)
	showRows(rows)
	return nil
}

// terminateLastLine appends a newline if an interrupted run has left the last line incomplete. Otherwise the next result would
// be appended to that line.
func terminateLastLine(f *os.File) error {
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	last := make([]byte, 1)
	if _, err := f.ReadAt(last, info.Size()-1); err != nil {
		return err
	}
	if last[0] != '\n' {
		_, err = f.Write([]byte("\n"))
	}
	return err
}

// readOutcomes reads the stored results. A missing file has none.
func readOutcomes(path string) (map[cell]outcome, error) {
	done := map[cell]outcome{}
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return done, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var o outcome
		if json.Unmarshal(lines.Bytes(), &o) == nil { // an interrupted run may leave an incomplete line; its cell runs again
			done[o.cell] = o
		}
	}
	return done, lines.Err()
}

// run executes a cell and checks its event log.
func (m *matrix) run(c cell) (outcome, error) {
	r := rehearsal{Script: c.Script, Policy: c.Policy, Seed: c.Seed}
	s := m.script(c)
	rehearseCmd{}.run(&r, s)
	if r.err != nil {
		return outcome{}, fmt.Errorf("%+v: %w", c, r.err)
	}
	boxes := 0
	for _, k := range s.Boxes {
		boxes += k.Count
	}
	return outcome{c, boxes, r.Result.InTime, float64(r.Result.Probes) / float64(max(1, r.Result.Tries)), r.Result.Cross, r.Result.Events,
		len(r.Found), r.Took.Seconds()}, nil
}

// row aggregates the cells that differ only by their seed.
type row struct {
	cell
	boxes                int
	mean, half           float64 // mean worth in time and half of its 95% confidence interval
	probes, cross, took  float64
	broken               int
	deficit, deficitHalf float64 // mean paired difference to the module and half of its interval; NaN for the module
}

// confidenceInterval returns the mean and half of its 95% confidence interval by Student's t-distribution. With fewer than two
// values, half is NaN.
func confidenceInterval(v []float64) (mean, half float64) {
	mean = stat.Mean(v, nil)
	if len(v) < 2 {
		return mean, math.NaN()
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}
	return mean, t.Quantile(0.975) * stat.StdDev(v, nil) / math.Sqrt(float64(len(v)))
}

// rows aggregates the results in the order of cells.
func (m *matrix) rows(done map[cell]outcome) (out []row) {
	for _, c := range m.cells() {
		if c.Seed != 1 {
			continue
		}
		r := row{cell: c}
		var worth, deficits []float64
		for seed := range m.seeds {
			key := c
			key.Seed = uint64(seed + 1)
			result := done[key]
			worth = append(worth, result.InTime)
			r.boxes, r.probes, r.cross, r.took = result.Boxes, r.probes+result.Probes/float64(m.seeds), r.cross+result.Cross/float64(m.seeds), r.took+result.Took/float64(m.seeds)
			r.broken += result.Broken
			key.Policy = "module"
			if own, ok := done[key]; ok && c.Policy != "module" {
				deficits = append(deficits, own.InTime-result.InTime)
			}
		}
		r.mean, r.half = confidenceInterval(worth)
		r.deficit, r.deficitHalf = math.NaN(), math.NaN()
		if len(deficits) > 0 {
			r.deficit, r.deficitHalf = confidenceInterval(deficits)
		}
		out = append(out, r)
	}
	return out
}

// showRows prints the rows as a table.
func showRows(rows []row) {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"script", "boxes", "schedulers", "reports ms", "policy", "worth in time", "module has more", "probes a job", "cross %",
		"rules broken", "s a run"})
	formatInterval := func(v, half float64) string {
		switch {
		case math.IsNaN(v):
			return ""
		case math.IsNaN(half):
			return fmt.Sprintf("%.3f", v)
		}
		return fmt.Sprintf("%.3f ± %.3f", v, half)
	}
	for _, r := range rows {
		out.AppendRow(table.Row{r.Script, r.boxes, r.Schedulers, r.RefreshMS, r.Policy, formatInterval(r.mean, r.half), formatInterval(r.deficit, r.deficitHalf),
			fmt.Sprintf("%.2f", r.probes), fmt.Sprintf("%.0f", 100*r.cross), r.broken, fmt.Sprintf("%.2f", r.took)})
	}
	out.Render()
	fmt.Println("± is half of the 95% interval over the seeds. 0 schedulers or ms: as the script has it.")
}
