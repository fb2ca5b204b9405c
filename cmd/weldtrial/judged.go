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

// judged is the trial of evidence on workers that many schedulers share: one worker of many fails most jobs at once.
type judged struct {
	Schedulers int           `help:"How many, each a process of its own." default:"100"`
	Workers    int           `help:"How many, the one that fails included." default:"20"`
	Rate       float64       `help:"Jobs a second of each scheduler; half of them must not run twice." default:"10"`
	Fails      float64       `help:"The part of the jobs that the bad worker fails." default:"0.8"`
	Job        time.Duration `help:"Running time of a job." default:"20ms"`
	Settle     time.Duration `help:"Before the worker begins to fail." default:"8s"`
}

// Run implements the command.
func (p *judged) Run(ctx context.Context, args *cli) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d schedulers of %.0f jobs/s, half of them once only, %d workers, of which one begins to fail %.0f in a hundred at once; %v each row",
		p.Schedulers, p.Rate, p.Workers, 100*p.Fails, args.For))
	out.AppendHeader(table.Row{"row", "jobs", "lost to it", "attempts failed there", "in its first 2 s", "refused", "in time", "CPU of one, cores", "KB/s sent by one"})
	for _, shares := range []string{"no", "yes"} {
		if err := p.play(ctx, args, out, shares); err != nil {
			return err
		}
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// play plays one row on processes of its own.
func (p *judged) play(ctx context.Context, args *cli, out table.Writer, shares string) error {
	var failing atomic.Bool
	var failed, early atomic.Int64
	var since atomic.Int64
	config := standin.WorkerConfig{Slots: 64, Queue: 64, TellsStart: true}
	workers, err := standin.StartFleet(p.Workers-1, config)
	if err != nil {
		return err
	}
	defer workers.Close()
	config.Name = "bad"
	config.Answer = func(r *http.Request, c net.Conn) {
		if failing.Load() && rand.Float64() < p.Fails {
			failed.Add(1)
			if time.Now().UnixNano()-since.Load() < int64(2*time.Second) {
				early.Add(1)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return
		}
		time.Sleep(p.Job)
		standin.WriteAnswer(r, c)
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
	hub, err := startHub(links, p.Schedulers)
	if err != nil {
		return err
	}
	defer hub.Close()
	all, err := startMembers(ctx, args, dir, p.Schedulers, hub.Addr(), fmt.Sprintf(" evidence = %q\n", shares),
		" class \"view\" { effect = \"safe\" }\n class \"send\" { effect = \"once\" }\n", append(workers.Workers, bad), log)
	defer func() {
		for _, s := range all {
			s.Kill()
		}
	}()
	if err != nil {
		return err
	}
	var load sync.WaitGroup
	var mu sync.Mutex
	var sum standin.Tally
	play := func(name string, span time.Duration) {
		for i := range all {
			kind := standin.JobKind{Share: 0.5, Task: standin.Task{Run: p.Job}, Budget: 5 * time.Second, Body: 50, Within: time.Second}
			view, send := kind, kind
			view.Class, send.Class = "view", "send"
			l := standin.Load{Target: host(i, 7400), Seed: args.Seed + uint64(i), Name: fmt.Sprint(name, i, "-"), Rate: p.Rate, For: span,
				Kinds: []standin.JobKind{view, send}, Idle: 8}
			load.Go(func() {
				t := l.Run(ctx)
				mu.Lock()
				defer mu.Unlock()
				sum.Sent, sum.Failed, sum.Refused, sum.InTime = sum.Sent+t.Sent, sum.Failed+t.Failed, sum.Refused+t.Refused, sum.InTime+t.InTime
			})
		}
		load.Wait()
	}
	play("warm", p.Settle)
	sum = standin.Tally{}
	cpu, sent := time.Duration(0), int64(0)
	figures := func(sign int64) {
		for _, s := range all {
			cpu += time.Duration(sign) * cpuOf(s.PID())
			sent += sign * links.TrafficFrom(s.Name).Bytes
		}
	}
	since.Store(time.Now().UnixNano())
	failing.Store(true)
	figures(-1)
	play("row", args.For)
	figures(1)
	n := float64(len(all)) * args.For.Seconds()
	out.AppendRow(table.Row{"evidence shared: " + shares, sum.Sent, sum.Failed, failed.Load(), early.Load(), sum.Refused, fmt.Sprintf("%.4f", sum.InTimeShare()),
		fmt.Sprintf("%.3f", cpu.Seconds()/n), fmt.Sprintf("%.1f", float64(sent)/1e3/n)})
	return nil
}
