package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin"
)

// slowPeersCmd is the trial of slow senders and readers beside normal traffic. Clients on three honest slow lines, at the
// minimum rate and somewhat above it, run in every row: none of their requests may be cut.
type slowPeersCmd struct {
	Senders  int           `help:"Clients that send a request slowly." default:"300"`
	Readers  int           `help:"Clients that read an answer slowly." default:"300"`
	Send     float64       `help:"Bytes a second that those send." default:"20"`
	Read     float64       `help:"Bytes a second that those read." default:"200"`
	Answer   int           `help:"Bytes of the answers that those read." default:"60000"`
	Rate     float64       `help:"Normal requests a second." default:"150"`
	Job      time.Duration `help:"Running time of a normal job." default:"20ms"`
	Within   time.Duration `help:"A normal answer is in time within this." default:"500ms"`
	MemoryMB int           `help:"Memory limit of the scheduler." default:"64"`
	Over     time.Duration `help:"The slow peers come within this; 0: all at once, with their jobs." default:"1s"`
	Again    time.Duration `help:"How long a slow peer that was cut waits before it comes again; 0: it does not." default:"0s"`
}

// linkBlock is the operator's file: clients of 127.0.3.0/24 are on a line that is known to be slow.
const linkBlock = `link "murun" {
  prefixes   = ["127.0.3.0/24"]
  least_rate = "1KiB"
}
`

// Run implements the command.
func (c *slowPeersCmd) Run(ctx context.Context, args *cli) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d slow senders at %.0f B/s and %d slow readers at %.0f B/s beside %.0f normal requests/s, %v each row",
		c.Senders, c.Send, c.Readers, c.Read, c.Rate, args.For))
	out.AppendHeader(table.Row{"row", "descriptors", "normal sent", "in time", "p50 ms", "p99 ms", "refused", "broken",
		"cpu us/request", "of clean", "MiB", "goroutines", "slow cut", "let go", "honest served", "honest cut"})
	cleanCPU := 0.0
	var reasons []string
	for _, row := range []struct {
		name        string
		descriptors int
		slow        bool
	}{{"clean", 1024, false}, {"slow peers", 1024, true}, {"clean, few descriptors", 256, false}, {"slow peers, few descriptors", 256, true}} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r, err := c.runRow(ctx, args, row.descriptors, row.slow)
		if err != nil {
			return err
		}
		cpu := float64(r.cpu.Microseconds()) / float64(max(1, r.normal.Sent))
		if cleanCPU == 0 {
			cleanCPU = cpu
		}
		for text, n := range r.normal.Why {
			reasons = append(reasons, fmt.Sprintf("%s: %d normal requests ended as: %s", row.name, n, text))
		}
		out.AppendRow(table.Row{row.name, row.descriptors, r.normal.Sent, fmt.Sprintf("%.3f", r.normal.InTimeShare()),
			fmt.Sprintf("%.1f", r.normal.Quantile(50).Seconds()*1e3), fmt.Sprintf("%.1f", r.normal.Quantile(99).Seconds()*1e3),
			r.normal.Refused, r.normal.Broken, fmt.Sprintf("%.0f", cpu), fmt.Sprintf("%.2f", cpu/cleanCPU), fmt.Sprintf("%.0f", r.memory),
			r.counters["goroutines"], r.counters["cut_senders"] + "+" + r.counters["cut_readers"] + "+" + r.counters["cut_crowd"],
			r.counters["given_up"], r.honest.Served, r.honest.Cut})
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	for _, reason := range reasons {
		fmt.Println(reason)
	}
	fmt.Println("slow cut: senders + readers + of a crowd that grew too large. let go: slow or idle, as descriptors or memory ran short.")
	return nil
}

// rowResult is what one row measured.
type rowResult struct {
	normal   *standin.Tally
	honest   standin.SlowTally
	cpu      time.Duration
	memory   float64 // MiB
	counters map[string]string
}

// runRow runs one row.
func (c *slowPeersCmd) runRow(ctx context.Context, args *cli, descriptors int, slow bool) (*rowResult, error) {
	fleet, err := standin.StartFleet(8, standin.WorkerConfig{Queue: 16, TellsStart: true})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	scheduler, err := args.startScheduler(ctx, standin.SchedulerConfig{Discovery: fleet.Discovery.Addr(), Known: fleet.Discovery.Known(), Sockets: descriptors,
		MemoryMB: c.MemoryMB}, linkBlock)
	if err != nil {
		return nil, err
	}
	defer scheduler.stop()
	result := &rowResult{}
	var clients sync.WaitGroup
	rowCtx, stop := context.WithTimeout(ctx, args.For)
	defer stop()
	normal := standin.JobKind{Class: "view", Share: 1, Task: standin.Task{Run: c.Job}, Budget: 5 * time.Second, Within: c.Within, Body: 200}
	if slow {
		reader := normal
		reader.Task = standin.Task{Run: time.Millisecond, Size: c.Answer} // running time is negligible: the cost is the slow reading
		sender := normal
		sender.Body = 60000
		slowGroups := []standin.SlowClients{
			{Name: "s", From: "127.0.9.1", Peers: c.Senders, Kind: sender, Send: c.Send, Again: c.Again},
			{Name: "r", From: "127.0.10.1", Peers: c.Readers, Kind: reader, Read: c.Read, Again: c.Again}}
		for _, group := range slowGroups {
			group.Target, group.Over = scheduler.addr, c.Over
			clients.Go(func() { group.Run(rowCtx) })
		}
	}
	// Honest lines: 10 KB/s both ways, just above the default minimum rate, and a line configured as slow.
	small := normal
	small.Body, small.Task.Size = 8000, 8000
	honest := []standin.SlowClients{{From: "127.0.4.1", Send: 10000, Read: 10000}, {From: "127.0.5.1", Send: 4200, Read: 4200},
		{From: "127.0.3.1", Send: 1100, Read: 1100}}
	var mu sync.Mutex
	for i, group := range honest {
		group.Target, group.Name, group.Peers, group.Kind = scheduler.addr, fmt.Sprint("h", i), 2, small
		clients.Go(func() {
			t := group.Run(rowCtx)
			mu.Lock()
			defer mu.Unlock()
			result.honest.Served += t.Served
			result.honest.Cut += t.Cut + t.Refused + t.Answered[408] + t.Answered[503]
		})
	}
	before := scheduler.cpu()
	result.normal = standin.Load{Target: scheduler.addr, From: "127.0.1.1", Name: "n", Seed: args.Seed, Kinds: []standin.JobKind{normal},
		For: args.For, Rate: c.Rate}.Run(ctx)
	result.cpu = scheduler.cpu() - before
	result.memory = scheduler.peakMemory()
	result.counters = scheduler.counters()
	stop()
	clients.Wait()
	return result, nil
}
