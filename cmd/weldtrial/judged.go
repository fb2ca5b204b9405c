package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/faults"
	"weldscale/internal/standin"
)

// judgedCmd is the trial of shared evidence: one of many workers suddenly fails most jobs, and the schedulers share their
// evidence on workers or don't.
type judgedCmd struct {
	Schedulers int           `help:"How many, each a process of its own." default:"100"`
	Workers    int           `help:"How many, the one that fails included." default:"20"`
	Rate       float64       `help:"Jobs a second of each scheduler; half of them must not run twice." default:"10"`
	Fails      float64       `help:"The part of the jobs that the bad worker fails." default:"0.8"`
	Job        time.Duration `help:"Running time of a job." default:"20ms"`
	Settle     time.Duration `help:"Before the worker begins to fail." default:"8s"`
}

// Run implements the command.
func (c *judgedCmd) Run(ctx context.Context, args *cli) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d schedulers of %.0f jobs/s, half of them once only, %d workers, of which one begins to fail %.0f in a hundred at once; %v each row",
		c.Schedulers, c.Rate, c.Workers, 100*c.Fails, args.For))
	out.AppendHeader(table.Row{"row", "jobs", "lost to it", "attempts failed there", "in its first 2 s", "refused", "in time", "CPU of one, cores", "KB/s sent by one"})
	for _, shareEvidence := range []string{"no", "yes"} {
		if err := c.runRow(ctx, args, out, shareEvidence); err != nil {
			return err
		}
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// runRow runs one row with new processes.
func (c *judgedCmd) runRow(ctx context.Context, args *cli, out table.Writer, shareEvidence string) error {
	var failing atomic.Bool
	var failed, failedEarly atomic.Int64
	var failingSince atomic.Int64
	config := standin.WorkerConfig{Slots: 64, Queue: 64, TellsStart: true}
	workers, err := standin.StartFleet(c.Workers-1, config)
	if err != nil {
		return err
	}
	defer workers.Close()
	config.Name = "bad"
	config.Answer = func(r *http.Request, conn net.Conn) {
		if failing.Load() && rand.Float64() < c.Fails {
			failed.Add(1)
			if time.Now().UnixNano()-failingSince.Load() < int64(2*time.Second) {
				failedEarly.Add(1)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return
		}
		time.Sleep(c.Job)
		standin.WriteAnswer(r, conn)
	}
	bad, err := standin.StartWorker(config)
	if err != nil {
		return err
	}
	defer bad.Close()
	dir, err := os.MkdirTemp("", "weldtrial")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	links, log := faults.NewLinks(args.Seed), faults.NewLog(1<<20)
	hub, err := startHub(links, c.Schedulers)
	if err != nil {
		return err
	}
	defer hub.Close()
	schedulers, err := startSchedulers(ctx, args, dir, c.Schedulers, hub.Addr(), fmt.Sprintf(" evidence = %q\n", shareEvidence),
		" class \"view\" { effect = \"safe\" }\n class \"send\" { effect = \"once\" }\n", append(workers.Workers, bad), log)
	defer func() {
		for _, s := range schedulers {
			s.Kill()
		}
	}()
	if err != nil {
		return err
	}
	var loads sync.WaitGroup
	var mu sync.Mutex
	var total standin.Tally
	runLoad := func(name string, duration time.Duration) {
		for i := range schedulers {
			kind := standin.JobKind{Share: 0.5, Task: standin.Task{Run: c.Job}, Budget: 5 * time.Second, Body: 50, Within: time.Second}
			view, send := kind, kind
			view.Class, send.Class = "view", "send"
			load := standin.Load{Target: loopbackAddr(i, 7400), Seed: args.Seed + uint64(i), Name: fmt.Sprint(name, i, "-"), Rate: c.Rate, For: duration,
				Kinds: []standin.JobKind{view, send}, Idle: 8}
			loads.Go(func() {
				t := load.Run(ctx)
				mu.Lock()
				defer mu.Unlock()
				total.Sent, total.Failed, total.Refused, total.InTime = total.Sent+t.Sent, total.Failed+t.Failed, total.Refused+t.Refused, total.InTime+t.InTime
			})
		}
		loads.Wait()
	}
	runLoad("warm", c.Settle)
	total = standin.Tally{}
	cpu, sentBytes := time.Duration(0), int64(0)
	addUsage := func(sign int64) {
		for _, s := range schedulers {
			cpu += time.Duration(sign) * processCPU(s.PID())
			sentBytes += sign * links.TrafficFrom(s.Name).Bytes
		}
	}
	failingSince.Store(time.Now().UnixNano())
	failing.Store(true)
	addUsage(-1)
	runLoad("row", args.For)
	addUsage(1)
	schedulerSeconds := float64(len(schedulers)) * args.For.Seconds()
	out.AppendRow(table.Row{"evidence shared: " + shareEvidence, total.Sent, total.Failed, failed.Load(), failedEarly.Load(), total.Refused, fmt.Sprintf("%.4f", total.InTimeShare()),
		fmt.Sprintf("%.3f", cpu.Seconds()/schedulerSeconds), fmt.Sprintf("%.1f", float64(sentBytes)/1e3/schedulerSeconds)})
	return nil
}
