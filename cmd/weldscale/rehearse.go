package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/emulator"
)

// This file implements the rehearse command, which runs scripts in simulated time and reports the results.

// rehearseCmd runs scripts in the emulator.
type rehearseCmd struct {
	Scripts []string `arg:"" help:"Scripts, such as those in deploy/rehearsals." placeholder:"SCRIPT" type:"existingfile"`
	Seed    uint64   `help:"The same script and seed give the same run." default:"1"`
	Policy  string   `help:"Who decides: module, or a plain policy to hold it against, or all." enum:"module,random,round_robin,least_outstanding,oracle,all" default:"module"`
	Seeds   int      `help:"How many runs of each script, with this seed and the next ones." default:"1"`
	Log     string   `help:"Write the event log there; for one script and one seed." placeholder:"FILE" type:"path"`
	JSON    string   `help:"Write the results there; weldreport makes a page with plots of them." placeholder:"FILE" type:"path"`
	Windows bool     `help:"Show each run in windows of five seconds."`
}

// rehearsal is one run of a script, with the rule violations that the checker found in its log.
type rehearsal struct {
	Script string           `json:"script"`
	Policy string           `json:"policy"`
	Seed   uint64           `json:"seed"`
	Result *emulator.Result `json:"result"`
	// Troubles are the faults of the script, for plots.
	Troubles []emulator.Trouble  `json:"troubles"`
	Found    emulator.Violations `json:"found"`
	Took     time.Duration       `json:"took_ns"`
	err      error
}

// samples is the number of samples of a run in the JSON.
const samples = 240

// Run implements the command.
func (c rehearseCmd) Run(ctx context.Context) error {
	policies := []string{c.Policy}
	if c.Policy == "all" {
		policies = emulator.Policies
	}
	if c.Seeds < 1 || c.Log != "" && len(c.Scripts)*c.Seeds*len(policies) > 1 {
		return errors.New("rehearse: --seeds must be at least 1, and --log takes one script, one seed and one policy")
	}
	var scripts []*emulator.Script
	for _, path := range c.Scripts { // all are read first, so that a bad script is found before any run starts
		s, err := emulator.Read(path)
		if err != nil {
			return err
		}
		scripts = append(scripts, s)
	}
	runsPerScript := c.Seeds * len(policies)
	runs := make([]rehearsal, len(scripts)*runsPerScript)
	var all sync.WaitGroup
	cores := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range runs {
		r := &runs[i]
		r.Script, r.Policy = strings.TrimSuffix(filepath.Base(c.Scripts[i/runsPerScript]), ".hcl"), policies[i%len(policies)]
		r.Seed = c.Seed + uint64(i%runsPerScript/len(policies))
		all.Go(func() {
			cores <- struct{}{}
			defer func() { <-cores }()
			if r.err = ctx.Err(); r.err == nil {
				c.run(r, scripts[i/runsPerScript])
			}
		})
	}
	all.Wait()
	broken := 0
	for _, r := range runs {
		if r.err != nil {
			return fmt.Errorf("%s, seed %d: %w", r.Script, r.Seed, r.err)
		}
		if r.Policy == "module" { // the other policies serve only for comparison
			broken += len(r.Found)
		}
	}
	c.show(runs)
	if c.JSON != "" {
		text, err := json.MarshalIndent(runs, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("rehearse: rules were broken %d times", broken)
	}
	return nil
}

// run executes one run. The checker reads its event log while it is written.
func (c rehearseCmd) run(r *rehearsal, s *emulator.Script) {
	began := time.Now()
	read, write := io.Pipe()
	var out io.Writer = write
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			r.err = err
			return
		}
		defer file.Close()
		out = io.MultiWriter(write, file)
	}
	checked := make(chan error, 1)
	go func() {
		var err error
		r.Found, err = emulator.Check(s, read)
		read.CloseWithError(err) // after an error of the checker, the run must not block on writes
		checked <- err
	}()
	simulation, err := emulator.NewWithPolicy(r.Policy, s, r.Seed, out)
	r.Troubles = s.Troubles
	if err == nil {
		if c.JSON != "" {
			simulation.SampleEvery = s.Duration / samples
		}
		r.Result, err = simulation.Run(nil)
	}
	write.Close()
	r.err = errors.Join(err, <-checked)
	r.Took = time.Since(began)
}

// show prints the results of all runs, the windows if asked for, and the first violations of each run.
func (c rehearseCmd) show(runs []rehearsal) {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"script", "seed", "policy", "jobs", "worth in time", "late", "refused", "failed", "probes a job", "pushes a job",
		"cross %", "fallen", "rules", "events", "s"})
	for _, r := range runs {
		rules := "kept"
		if len(r.Found) > 0 {
			rules = fmt.Sprintf("%d broken", len(r.Found))
		}
		jobs := float64(max(1, r.Result.Tries))
		out.AppendRow(table.Row{r.Script, r.Seed, r.Policy, r.Result.Tries, fmt.Sprintf("%.3f", r.Result.InTime), r.Result.Late, r.Result.Refused,
			r.Result.Failed, fmt.Sprintf("%.2f", float64(r.Result.Probes)/jobs), fmt.Sprintf("%.2f", float64(r.Result.Pushes)/jobs),
			fmt.Sprintf("%.0f", 100*r.Result.Cross), r.Result.Fallen, rules, r.Result.Events, fmt.Sprintf("%.2f", r.Took.Seconds())})
	}
	out.Render()
	for _, r := range runs {
		if c.Windows {
			out = table.NewWriter()
			out.SetOutputMirror(os.Stdout)
			out.SetStyle(table.StyleLight)
			out.SetTitle(fmt.Sprintf("%s, seed %d", r.Script, r.Seed))
			out.AppendHeader(table.Row{"from s", "jobs", "in time", "worth in time"})
			for _, w := range r.Result.Windows {
				out.AppendRow(table.Row{w.From / 1e6, w.Tries, w.InTime, fmt.Sprintf("%.3f", w.Reached/max(w.Worth, 1e-9))})
			}
			out.Render()
		}
		for _, f := range r.Found[:min(len(r.Found), 5)] {
			fmt.Printf("%s, seed %d, %s: %s\n", r.Script, r.Seed, r.Policy, f)
		}
	}
}
