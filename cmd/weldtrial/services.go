package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin"
)

// servicesCmd is the trial of one service that is overloaded or has silent workers, beside two others in the same process.
type servicesCmd struct {
	Rate   float64       `help:"Requests a second of each service." default:"60"`
	Job    time.Duration `help:"Running time of a job." default:"20ms"`
	Boxes  int           `help:"Workers of each service, of two slots." default:"2"`
	Times  float64       `help:"How many times its capacity the drowned service is asked for." default:"5"`
	Within time.Duration `help:"An answer is in time within this." default:"200ms"`
	Idle   int           `help:"Idle services beside them in the last row." default:"200"`
}

var serviceNames = []string{"shop", "desks", "proofs"}

// Run implements the command.
func (c *servicesCmd) Run(ctx context.Context, args *cli) error {
	capacity := float64(c.Boxes*2) / c.Job.Seconds()
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("three services of %d workers of 2 slots, %.0f requests/s each, jobs of %v; shop in trouble, %v each row",
		c.Boxes, c.Rate, c.Job, args.For))
	out.AppendHeader(table.Row{"row", "service", "sent", "in time", "p50 ms", "p99 ms", "p99 of clean", "refused", "failed", "broken", "cpu %", "MiB"})
	clean := map[string]float64{}
	for _, row := range []struct {
		name   string
		rate   float64 // of service shop
		silent bool
		idle   int
	}{{"clean", c.Rate, false, 0}, {"shop drowned", c.Times * capacity, false, 0}, {"shop's workers silent", c.Rate, true, 0},
		{"drowned and silent", c.Times * capacity, true, 0}, {fmt.Sprintf("clean, %d idle services", c.Idle), c.Rate, false, c.Idle}} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		tallies, cpu, memory, err := c.runRow(ctx, args, row.rate, row.silent, row.idle)
		if err != nil {
			return err
		}
		for i, name := range serviceNames {
			t := tallies[i]
			p99 := t.Quantile(99).Seconds() * 1e3
			if row.name == "clean" {
				clean[name] = p99
			}
			out.AppendRow(table.Row{row.name, name, t.Sent, fmt.Sprintf("%.3f", t.InTimeShare()), fmt.Sprintf("%.1f", t.Quantile(50).Seconds()*1e3),
				fmt.Sprintf("%.1f", p99), fmt.Sprintf("%.2f", p99/clean[name]), t.Refused, t.Failed, t.Broken, fmt.Sprintf("%.1f", cpu), fmt.Sprintf("%.0f", memory)})
		}
		out.AppendSeparator()
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// runRow runs one row. cpu is in percent of one core, memory in MiB.
func (c *servicesCmd) runRow(ctx context.Context, args *cli, rate float64, silent bool, idle int) (out []*standin.Tally, cpu, memory float64, err error) {
	var file strings.Builder
	var fleets []*standin.Fleet
	for _, name := range serviceNames {
		fleet, err := standin.StartFleet(c.Boxes, standin.WorkerConfig{Slots: 2, Queue: 8, TellsStart: true})
		if err != nil {
			return nil, 0, 0, err
		}
		defer fleet.Close()
		fleets = append(fleets, fleet)
		fmt.Fprintf(&file, "service %q {\n  reserve = 100\n  match { host = \"%s.example.org\" }\n  workers {\n", name, name)
		for _, w := range fleet.Workers {
			fmt.Fprintf(&file, "    worker %q { address = %q }\n", w.Name(), w.Addr())
		}
		fmt.Fprintf(&file, "  }\n  class \"view\" {\n    effect   = \"safe\"\n    aim      = \"200ms\"\n    deadline = \"2s\"\n  }\n}\n")
	}
	for i := range idle {
		fmt.Fprintf(&file, "service \"idle%d\" {\n  match { host = \"idle%d.example.org\" }\n  workers {\n    worker \"w\" { address = \"127.0.0.1:9\" }\n  }\n"+
			"  class \"view\" { effect = \"safe\" }\n}\n", i, i)
	}
	scheduler, err := args.startScheduler(ctx, standin.SchedulerConfig{Discovery: fleets[0].Discovery.Addr(), Known: fleets[0].Discovery.Known()}, file.String())
	if err != nil {
		return nil, 0, 0, err
	}
	defer scheduler.stop()
	if silent {
		for _, w := range fleets[0].Workers {
			w.Silence()
		}
	}
	out = make([]*standin.Tally, len(serviceNames))
	var loads sync.WaitGroup
	before := scheduler.cpu()
	for i, name := range serviceNames {
		load := standin.Load{Target: scheduler.addr, Host: name + ".example.org", Name: name, Seed: args.Seed + uint64(i), For: args.For, Rate: c.Rate,
			From: fmt.Sprintf("127.0.%d.1", i+1), Kinds: []standin.JobKind{{Class: "view", Share: 1, Task: standin.Task{Run: c.Job},
				Budget: 2 * time.Second, Within: c.Within, Body: 200}}}
		if i == 0 {
			load.Rate = rate
		}
		loads.Go(func() { out[i] = load.Run(ctx) })
	}
	loads.Wait()
	cpu = (scheduler.cpu() - before).Seconds() / args.For.Seconds() * 100
	return out, cpu, scheduler.peakMemory(), nil
}
