package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/faults"
	"weldscale/internal/standin"
)

// shared is the trial of a rate that many schedulers share.
type shared struct {
	Schedulers int           `help:"How many, each a process of its own." default:"100"`
	Rate       float64       `help:"Jobs a second that all may begin together." default:"400"`
	Demand     float64       `help:"Jobs a second that clients ask for; half of them of one scheduler in twenty." default:"800"`
	Burst      float64       `help:"Seconds of the rate that may begin at once." default:"1"`
	Term       time.Duration `help:"How long a part holds unheard." default:"2s"`
	Settle     time.Duration `help:"Before the first row, after all are up." default:"15s"`
	Script     string        `help:"Faults, in HCL, to play in place of the usual ones; docs/FLEET.md has the words." placeholder:"FILE"`
	Log        string        `help:"Where to leave the log of all events, a JSON object a line." placeholder:"FILE"`
}

// usual is what goes wrong where no script is given: each trouble with a row of its own, one for the first 3 s after it,
// and one for later.
var usual = []faults.Trouble{
	{Kind: "stall", Fraction: 0.2, To: 6 * time.Second},
	{Kind: "split", Fraction: 0.2, To: 6 * time.Second, Fault: faults.Fault{Blackhole: true}},
}

// Run implements the command.
func (p *shared) Run(ctx context.Context, args *cli) error {
	workers, err := standin.StartFleet(8, standin.WorkerConfig{Slots: 1024, Queue: 1024, TellsStart: true})
	if err != nil {
		return err
	}
	defer workers.Close()
	dir, err := os.MkdirTemp("", "weldtrial")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var scripts []*faults.Script
	for _, t := range usual {
		scripts = append(scripts, &faults.Script{Troubles: []faults.Trouble{t}})
	}
	if p.Script != "" {
		script, err := faults.ReadScript(p.Script)
		if err != nil {
			return err
		}
		scripts = []*faults.Script{script}
	}
	links, log := faults.NewLinks(args.Seed), faults.NewLog(1<<22)
	hub, err := startHub(links, p.Schedulers)
	if err != nil {
		return err
	}
	defer hub.Close()
	all, err := startMembers(ctx, args, dir, p.Schedulers, hub.Addr(), fmt.Sprintf(" term = %q\n burst = %g\n", p.Term, p.Burst),
		fmt.Sprintf(" limits { fleet_rate = %g }\n class \"view\" { effect = \"safe\" }\n", p.Rate), workers.Workers, log)
	defer func() {
		for _, s := range all {
			s.Kill()
		}
	}()
	if err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	static, hot := 0.0, max(1, len(all)/20)
	for i := range all {
		demand := p.Demand / 2 / float64(hot)
		if i%20 != 0 || i/20 >= hot {
			demand = p.Demand / 2 / float64(len(all)-hot)
		}
		static += min(demand, p.Rate/float64(len(all)))
		load.Go(func() { p.ask(loading, i, host(i, 7400), demand, log) })
	}
	time.Sleep(p.Settle)
	bound := p.Rate*p.Burst + float64(len(all))
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d schedulers, %.0f jobs/s between them, %.0f/s asked for, half of it of %d; parts for good, one as large as the "+
		"other, would serve %.2f of the rate", len(all), p.Rate, p.Demand, hot, static/p.Rate))
	out.AppendHeader(table.Row{"row", "served/s", "of the rate", "CPU of one, cores", "KB/s sent by one", "by a keeper"})
	row := func(name string, span func()) {
		from, began, cpu, sent, kept := time.Now(), log.Now(), time.Duration(0), int64(0), int64(0)
		sum := func(sign int64) {
			for _, s := range all {
				if pid := s.PID(); pid != 0 {
					cpu += time.Duration(sign) * cpuOf(pid)
				}
				n := links.TrafficFrom(s.Name).Bytes
				sent += sign * n
				if s.Name == "s1" {
					kept += sign * n
				}
			}
		}
		sum(-1)
		span()
		sum(1)
		events, _ := log.Events()
		mean, took, n := faults.EventRate(events, "begun", began, log.Now()), time.Since(from).Seconds(), float64(len(all))
		out.AppendRow(table.Row{name, fmt.Sprintf("%.1f", mean), fmt.Sprintf("%.3f", mean/p.Rate), fmt.Sprintf("%.3f", cpu.Seconds()/took/n),
			fmt.Sprintf("%.1f", float64(sent)/1e3/took/n), fmt.Sprintf("%.1f", float64(kept)/1e3/took)})
	}
	wait := func(span time.Duration) func() {
		return func() {
			select {
			case <-time.After(span):
			case <-ctx.Done():
			}
		}
	}
	row("calm", wait(args.For))
	for _, s := range scripts {
		name := "the script"
		if p.Script == "" {
			name = s.Troubles[0].Kind + " of a fifth"
		}
		row(name, func() { err = s.Play(ctx, args.Seed, all, links, log) })
		if err != nil {
			return err
		}
		row("the first 3 s after", wait(3*time.Second))
		row("later", wait(args.For))
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	events, lost := log.Events()
	over, at := faults.CheckRate(events, "begun", p.Rate, bound)
	fmt.Printf("worst span: %.0f jobs beyond rate x span + burst (%.0f), ending at %.1f s; below 0 is within it; %d events lost\n", over, bound, at.Seconds(), lost)
	if p.Log == "" {
		return nil
	}
	f, err := os.Create(p.Log)
	if err != nil {
		return err
	}
	return errors.Join(log.Write(f), f.Close())
}

// host gives each its own loopback address: hundreds of ports that are free now would not all be so a second later.
func host(i, port int) string { return fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, port) }

// startHub starts the relay of what schedulers s0, s1 and so on say to each other.
func startHub(links *faults.Links, n int) (*faults.Hub, error) {
	binds := map[string]string{}
	for i := range n {
		binds[host(i, 7401)] = fmt.Sprint("s", i)
	}
	return faults.StartHub(links, binds)
}

// startMembers brings up all schedulers with one service, shop; s0, s1 and s2 are keepers. terms are further lines of the fleet
// block, service of the service's.
func startMembers(ctx context.Context, args *cli, dir string, n int, hub, terms, service string, workers []*standin.Worker,
	log *faults.Log) (all []*faults.Process, err error) {
	var list strings.Builder
	for _, w := range workers {
		fmt.Fprintf(&list, "    worker %q { address = %q }\n", w.Name(), w.Addr())
	}
	for i := range n {
		s := &faults.Process{Name: fmt.Sprint("s", i), Path: args.Scheduler, Dir: filepath.Join(dir, fmt.Sprint("of-s", i)), Env: []string{"GW_CONFIG="},
			Ready: func(context.Context) bool {
				resp, err := http.Get("http://" + host(i, 7400) + "/-/ready")
				if err == nil {
					resp.Body.Close() // it listens; its workers are known from its file
				}
				return err == nil
			}}
		text := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n sockets = 256\n}\nfleet \"trial\" {\n bind = %q\n via = %q\n join = [%q, %q]\n"+
			" members = %d\n keepers = [\"s0\", \"s1\", \"s2\"]\n%s}\nservice \"shop\" {\n match { path = \"/\" }\n workers {\n%s }\n%s}\n",
			s.Name, host(i, 7400), host(i, 7401), hub, host(0, 7401), host(3, 7401), n, terms, &list, service)
		path := filepath.Join(dir, s.Name+".hcl")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return all, err
		}
		s.Args = []string{"serve", "--config", path}
		if err := s.Start(log); err != nil {
			return all, err
		}
		all = append(all, s)
	}
	up, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, s := range all {
		if err := s.AwaitReady(up); err != nil {
			return all, err
		}
	}
	return all, nil
}

// ask asks one scheduler for jobs at an even pace, whatever becomes of the earlier ones.
func (p *shared) ask(ctx context.Context, i int, addr string, rate float64, log *faults.Log) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	kind := &standin.JobKind{Class: "view", Budget: 2 * time.Second, Body: 50}
	slots := make(chan struct{}, 64)
	var out sync.WaitGroup
	defer out.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case slots <- struct{}{}:
			out.Go(func() {
				if status, _, err := standin.SendJob(client, addr, addr, fmt.Sprint("s", i, "-", n), kind); err == nil && status == 200 {
					log.Add(addr, "begun", 1, "")
				}
				<-slots
			})
		default: // it takes nothing just now
		}
	}
}
