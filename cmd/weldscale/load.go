package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin"
)

// This file implements the load command, which sends jobs to a running scheduler and reports how they ended.

// loadCmd generates load.
type loadCmd struct {
	Target  string        `arg:"" help:"Where the scheduler listens." placeholder:"HOST:PORT"`
	Host    string        `help:"The Host field, where services go by it." placeholder:"NAME"`
	Rate    float64       `help:"Jobs a second in an open loop, whatever becomes of the earlier ones; 0: a closed loop of --clients."`
	Clients int           `help:"Clients of the closed loop, each with one job at a time." default:"32"`
	For     time.Duration `help:"How long." default:"10s"`
	Seed    uint64        `help:"The same seed gives the same jobs at the same times." default:"1"`
	Class   string        `help:"The jobs' class." default:"view"`
	Job     time.Duration `help:"How long a stand-in worker is to run each; other workers pass it over."`
	Slots   int           `help:"Slots that each takes." default:"1"`
	Body    int           `help:"Bytes of each request's body." default:"200"`
	Answer  int           `help:"Bytes of a stand-in worker's answer."`
	Budget  time.Duration `help:"How long a client waits." default:"5s"`
	Within  time.Duration `help:"An answer is in time within this; 0: within the budget."`
	Senders int           `help:"Beside them, clients that send their request slowly." name:"slow-senders"`
	Readers int           `help:"Beside them, clients that read their answer slowly." name:"slow-readers"`
	Slow    float64       `help:"Bytes a second of the slow ones." name:"slow-rate" default:"200"`
	JSON    string        `help:"Write the figures there too." placeholder:"FILE" type:"path"`
	HDR     string        `help:"Write the latencies there too, as an HdrHistogram log." placeholder:"FILE" type:"path"`
	Against string        `help:"Figures of an earlier run, by --json, to compare with." placeholder:"FILE" type:"path"`
}

// figures holds the results of a run, as written by --json. Latencies are in milliseconds.
type figures struct {
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Broken  int     `json:"broken"`
	Wrong   int     `json:"wrong"`
	InTime  float64 `json:"in_time"`
	Rate    float64 `json:"served_per_s"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Max     float64 `json:"max_ms"`
}

// newFigures returns the results of a tally.
func newFigures(t *standin.Tally) figures {
	ms := func(q float64) float64 { return t.Quantile(q).Seconds() * 1e3 }
	return figures{t.Sent, t.Served, t.Refused, t.Failed, t.Broken, t.Wrong, t.InTimeShare(), float64(t.Served) / t.Took.Seconds(),
		ms(50), ms(90), ms(99), ms(99.9), ms(100)}
}

// Run implements the command.
func (c loadCmd) Run(ctx context.Context) error {
	if c.Rate < 0 || c.Rate == 0 && c.Clients < 1 {
		return errors.New("load: --rate must be above 0, or --clients at least 1")
	}
	if c.Senders < 0 || c.Readers < 0 || c.Senders+c.Readers > 0 && c.Slow <= 0 {
		return errors.New("load: --slow-senders and --slow-readers can't be below 0, and --slow-rate must be above it")
	}
	var previous *figures
	if c.Against != "" { // read before the run, so that an unreadable file does not cost its results
		text, err := os.ReadFile(c.Against)
		if err != nil {
			return err
		}
		previous = new(figures)
		if err := json.Unmarshal(text, previous); err != nil {
			return fmt.Errorf("%s: %w", c.Against, err)
		}
	}
	name := fmt.Sprintf("load%x-", time.Now().UnixNano())
	reportSlow := c.startSlow(ctx, name)
	tally := standin.Load{Target: c.Target, Host: c.Host, Seed: c.Seed, Name: name, For: c.For, Rate: c.Rate,
		Clients: c.Clients, Kinds: []standin.JobKind{{Class: c.Class, Share: 1, Body: c.Body, Budget: c.Budget, Within: c.Within,
			Task: standin.Task{Run: c.Job, Slots: c.Slots, Size: c.Answer}}}}.Run(ctx)
	measured := newFigures(tally)
	showFigures(measured, previous)
	reportSlow()
	for why, n := range tally.Why {
		fmt.Printf("%d ended as: %s\n", n, why)
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(measured, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.HDR != "" {
		return writeHDR(c.HDR, tally.Latency)
	}
	return nil
}

// startSlow starts the slow clients. The returned function waits until they have ended and prints their tallies.
func (c loadCmd) startSlow(ctx context.Context, name string) func() {
	ctx, stop := context.WithTimeout(ctx, c.For)
	kind := standin.JobKind{Class: c.Class, Budget: c.Budget, Body: max(c.Body, 60000), Task: standin.Task{Run: c.Job, Slots: c.Slots, Size: c.Answer}}
	readerKind := kind
	readerKind.Body, readerKind.Task.Size = c.Body, max(c.Answer, 60000)
	groups := []standin.SlowClients{{Name: name + "s", Peers: c.Senders, Kind: kind, Send: c.Slow}, {Name: name + "r", Peers: c.Readers, Kind: readerKind, Read: c.Slow}}
	tallies := make([]*standin.SlowTally, len(groups))
	var all sync.WaitGroup
	for i, s := range groups {
		if s.Peers > 0 {
			s.Target, s.Over = c.Target, time.Second
			all.Go(func() { tallies[i] = s.Run(ctx) })
		}
	}
	return func() {
		all.Wait()
		stop()
		for i, t := range tallies {
			if t != nil {
				fmt.Printf("slow %s: %s\n", []string{"senders", "readers"}[i], t)
			}
		}
	}
}

// showFigures prints the results as a table, with those of a previous run if it is not nil.
func showFigures(f figures, previous *figures) {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	head := table.Row{"", "now"}
	if previous != nil {
		head = append(head, "before", "now / before")
	}
	out.AppendHeader(head)
	row := func(name, format string, now, before float64) {
		r := table.Row{name, fmt.Sprintf(format, now)}
		if previous != nil {
			r = append(r, fmt.Sprintf(format, before))
			if before != 0 {
				r = append(r, fmt.Sprintf("%.2f", now/before))
			}
		}
		out.AppendRow(r)
	}
	before := figures{}
	if previous != nil {
		before = *previous
	}
	row("sent", "%.0f", float64(f.Sent), float64(before.Sent))
	row("served", "%.0f", float64(f.Served), float64(before.Served))
	row("refused", "%.0f", float64(f.Refused), float64(before.Refused))
	row("failed", "%.0f", float64(f.Failed), float64(before.Failed))
	row("broken", "%.0f", float64(f.Broken), float64(before.Broken))
	row("wrong", "%.0f", float64(f.Wrong), float64(before.Wrong))
	row("in time", "%.4f", f.InTime, before.InTime)
	row("served a second", "%.0f", f.Rate, before.Rate)
	row("p50 ms", "%.2f", f.P50, before.P50)
	row("p90 ms", "%.2f", f.P90, before.P90)
	row("p99 ms", "%.2f", f.P99, before.P99)
	row("p99.9 ms", "%.2f", f.P999, before.P999)
	row("max ms", "%.2f", f.Max, before.Max)
	out.Render()
}

// writeHDR writes a histogram as an HdrHistogram log with one interval.
func writeHDR(path string, h *hdrhistogram.Histogram) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w := hdrhistogram.NewHistogramLogWriter(f)
	if err := w.OutputLogFormatVersion(); err != nil {
		return err
	}
	if err := w.OutputLegend(); err != nil {
		return err
	}
	return w.OutputIntervalHistogram(h)
}
