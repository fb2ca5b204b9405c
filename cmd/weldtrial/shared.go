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

// sharedCmd is the trial of a rate limit that many schedulers share.
type sharedCmd struct {
	Schedulers int           `help:"How many, each a process of its own." default:"100"`
	Rate       float64       `help:"Jobs a second that all may begin together." default:"400"`
	Demand     float64       `help:"Jobs a second that clients ask for; half of them of one scheduler in twenty." default:"800"`
	Burst      float64       `help:"Seconds of the rate that may begin at once." default:"1"`
	Term       time.Duration `help:"How long a part holds unheard." default:"2s"`
	Settle     time.Duration `help:"Before the first row, after all are up." default:"15s"`
	Script     string        `help:"Faults, in HCL, to play in place of the usual ones; docs/FLEET.md has the words." placeholder:"FILE"`
	Log        string        `help:"Where to leave the log of all events, a JSON object a line." placeholder:"FILE"`
}

// defaultFaults are the faults without a script. The table has three rows for each: while it lasts, the first 3 s after it,
// and later.
var defaultFaults = []faults.Trouble{
	{Kind: "stall", Fraction: 0.2, To: 6 * time.Second},
	{Kind: "split", Fraction: 0.2, To: 6 * time.Second, Fault: faults.Fault{Blackhole: true}},
}

// Run implements the command.
func (c *sharedCmd) Run(ctx context.Context, args *cli) error {
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
	for _, t := range defaultFaults {
		scripts = append(scripts, &faults.Script{Troubles: []faults.Trouble{t}})
	}
	if c.Script != "" {
		script, err := faults.ReadScript(c.Script)
		if err != nil {
			return err
		}
		scripts = []*faults.Script{script}
	}
	links, log := faults.NewLinks(args.Seed), faults.NewLog(1<<22)
	hub, err := startHub(links, c.Schedulers)
	if err != nil {
		return err
	}
	defer hub.Close()
	schedulers, err := startSchedulers(ctx, args, dir, c.Schedulers, hub.Addr(), fmt.Sprintf(" term = %q\n burst = %g\n", c.Term, c.Burst),
		fmt.Sprintf(" limits { fleet_rate = %g }\n class \"view\" { effect = \"safe\" }\n", c.Rate), workers.Workers, log)
	defer func() {
		for _, s := range schedulers {
			s.Kill()
		}
	}()
	if err != nil {
		return err
	}
	loadCtx, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	defer loads.Wait()
	defer stop()
	// fixedShareRate is what fixed and equal shares would serve. Half of the demand is sent to busyCount schedulers.
	fixedShareRate, busyCount := 0.0, max(1, len(schedulers)/20)
	for i := range schedulers {
		demand := c.Demand / 2 / float64(busyCount)
		if i%20 != 0 || i/20 >= busyCount {
			demand = c.Demand / 2 / float64(len(schedulers)-busyCount)
		}
		fixedShareRate += min(demand, c.Rate/float64(len(schedulers)))
		loads.Go(func() { c.sendSteadily(loadCtx, i, loopbackAddr(i, 7400), demand, log) })
	}
	time.Sleep(c.Settle)
	burstBound := c.Rate*c.Burst + float64(len(schedulers))
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d schedulers, %.0f jobs/s between them, %.0f/s asked for, half of it of %d; parts for good, one as large as the "+
		"other, would serve %.2f of the rate", len(schedulers), c.Rate, c.Demand, busyCount, fixedShareRate/c.Rate))
	out.AppendHeader(table.Row{"row", "served/s", "of the rate", "CPU of one, cores", "KB/s sent by one", "by a keeper"})
	measure := func(name string, during func()) {
		start, offset, cpu, sentBytes, voterBytes := time.Now(), log.Now(), time.Duration(0), int64(0), int64(0)
		addUsage := func(sign int64) {
			for _, s := range schedulers {
				if pid := s.PID(); pid != 0 {
					cpu += time.Duration(sign) * processCPU(pid)
				}
				n := links.TrafficFrom(s.Name).Bytes
				sentBytes += sign * n
				if s.Name == "s1" {
					voterBytes += sign * n
				}
			}
		}
		addUsage(-1)
		during()
		addUsage(1)
		events, _ := log.Events()
		rate, took, n := faults.EventRate(events, "begun", offset, log.Now()), time.Since(start).Seconds(), float64(len(schedulers))
		out.AppendRow(table.Row{name, fmt.Sprintf("%.1f", rate), fmt.Sprintf("%.3f", rate/c.Rate), fmt.Sprintf("%.3f", cpu.Seconds()/took/n),
			fmt.Sprintf("%.1f", float64(sentBytes)/1e3/took/n), fmt.Sprintf("%.1f", float64(voterBytes)/1e3/took)})
	}
	wait := func(duration time.Duration) func() {
		return func() {
			select {
			case <-time.After(duration):
			case <-ctx.Done():
			}
		}
	}
	measure("calm", wait(args.For))
	for _, s := range scripts {
		name := "the script"
		if c.Script == "" {
			name = s.Troubles[0].Kind + " of a fifth"
		}
		measure(name, func() { err = s.Play(ctx, args.Seed, schedulers, links, log) })
		if err != nil {
			return err
		}
		measure("the first 3 s after", wait(3*time.Second))
		measure("later", wait(args.For))
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	events, lost := log.Events()
	excess, end := faults.CheckRate(events, "begun", c.Rate, burstBound)
	fmt.Printf("worst span: %.0f jobs beyond rate x span + burst (%.0f), ending at %.1f s; below 0 is within it; %d events lost\n", excess, burstBound, end.Seconds(), lost)
	if c.Log == "" {
		return nil
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return err
	}
	return errors.Join(log.Write(f), f.Close())
}

// loopbackAddr returns an address with a loopback IP of its own for each scheduler. With one IP, hundreds of free ports
// would have to be found first, and some could be taken before the schedulers listen on them.
func loopbackAddr(i, port int) string { return fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, port) }

// startHub starts the relay for the messages between schedulers s0, s1 and so on.
func startHub(links *faults.Links, n int) (*faults.Hub, error) {
	binds := map[string]string{}
	for i := range n {
		binds[loopbackAddr(i, 7401)] = fmt.Sprint("s", i)
	}
	return faults.StartHub(links, binds)
}

// startSchedulers starts all schedulers with one service, shop, and waits until they are ready; s0, s1 and s2 are the voters.
// fleetLines and serviceLines are additional lines of the fleet block and the service block.
func startSchedulers(ctx context.Context, args *cli, dir string, n int, hub, fleetLines, serviceLines string, workers []*standin.Worker,
	log *faults.Log) (schedulers []*faults.Process, err error) {
	var workerBlocks strings.Builder
	for _, w := range workers {
		fmt.Fprintf(&workerBlocks, "    worker %q { address = %q }\n", w.Name(), w.Addr())
	}
	for i := range n {
		scheduler := &faults.Process{Name: fmt.Sprint("s", i), Path: args.Scheduler, Dir: filepath.Join(dir, fmt.Sprint("of-s", i)), Env: []string{"GW_CONFIG="},
			Ready: func(context.Context) bool {
				resp, err := http.Get("http://" + loopbackAddr(i, 7400) + "/-/ready")
				if err == nil {
					resp.Body.Close() // any answer will do: the scheduler listens, and has its workers from its file
				}
				return err == nil
			}}
		file := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n sockets = 256\n}\nfleet \"trial\" {\n bind = %q\n via = %q\n join = [%q, %q]\n"+
			" members = %d\n keepers = [\"s0\", \"s1\", \"s2\"]\n%s}\nservice \"shop\" {\n match { path = \"/\" }\n workers {\n%s }\n%s}\n",
			scheduler.Name, loopbackAddr(i, 7400), loopbackAddr(i, 7401), hub, loopbackAddr(0, 7401), loopbackAddr(3, 7401), n, fleetLines, &workerBlocks, serviceLines)
		path := filepath.Join(dir, scheduler.Name+".hcl")
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			return schedulers, err
		}
		scheduler.Args = []string{"serve", "--config", path}
		if err := scheduler.Start(log); err != nil {
			return schedulers, err
		}
		schedulers = append(schedulers, scheduler)
	}
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, s := range schedulers {
		if err := s.AwaitReady(readyCtx); err != nil {
			return schedulers, err
		}
	}
	return schedulers, nil
}

// sendSteadily sends jobs to one scheduler at a constant rate that does not depend on how earlier jobs end.
func (c *sharedCmd) sendSteadily(ctx context.Context, i int, addr string, rate float64, log *faults.Log) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	kind := &standin.JobKind{Class: "view", Budget: 2 * time.Second, Body: 50}
	slots := make(chan struct{}, 64)
	var jobs sync.WaitGroup
	defer jobs.Wait()
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
			jobs.Go(func() {
				if status, _, err := standin.SendJob(client, addr, addr, fmt.Sprint("s", i, "-", n), kind); err == nil && status == 200 {
					log.Add(addr, "begun", 1, "")
				}
				<-slots
			})
		default: // 64 jobs are unanswered: this one is skipped
		}
	}
}
