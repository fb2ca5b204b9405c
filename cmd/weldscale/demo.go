package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"weldscale/internal/standin"
)

// This file implements the demo command. It runs a scheduler in a separate process with stand-in workers, discovery and
// clients, injects faults and reports the results. Everything listens on loopback addresses and ends with the command.

// demoCmd runs the demo.
type demoCmd struct {
	For  time.Duration `help:"How long the clients come." default:"20s"`
	Rate float64       `help:"Jobs a second." default:"200"`
	Seed uint64        `help:"The same seed gives the same jobs at the same times." default:"1"`
	Log  bool          `help:"Show the scheduler's log."`
}

// demoClass is a class of jobs in the demo, with its share of the rate and the running time and body size of its jobs.
type demoClass struct {
	standin.Class
	share float64
	run   time.Duration
	body  int
}

// within returns the longest time to an answer that is in time: the aim, plus the stretch times the running time.
func (c demoClass) within() time.Duration { return c.Aim + time.Duration(c.Stretch*float64(c.run)) }

var demoClasses = []demoClass{
	{standin.Class{Name: "proof-view", Effect: "read_like", Aim: 150 * time.Millisecond, Deadline: 5 * time.Second, Worth: 3, Stretch: 2}, 0.5, 40 * time.Millisecond, 300},
	{standin.Class{Name: "page-raster", Effect: "read_like", Aim: 500 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1, Stretch: 2}, 0.4, 150 * time.Millisecond, 2000},
	{standin.Class{Name: "press-send", Effect: "non_idempotent", Aim: 500 * time.Millisecond, Deadline: 10 * time.Second, Worth: 8, Stretch: 1.75}, 0.1, 150 * time.Millisecond, 500},
}

// demoSpeeds are the relative speeds of the twelve workers, similar to a print shop's fleet.
var demoSpeeds = []float64{2, 2, 2, 1.9, 1.3, 1.2, 1.1, 0.9, 0.9, 0.8, 0.8, 0.7}

const (
	demoSlots   = 4
	demoWarmUp  = 6 * time.Second
	drainGrace  = 300*time.Millisecond + 50*time.Millisecond // no new job may reach a worker this long after discovery announced its drain
	coldWindow  = 1500 * time.Millisecond
	maxColdLoad = 4.0 // a cold worker fails if it gets more than this multiple of its capacity over coldWindow
)

// demo is a running demo.
type demo struct {
	demoCmd
	workers   []*standin.Worker
	list      *standin.Discovery
	addr      string
	drainedAt time.Time // when discovery announced the drain
	coldSince time.Time // when a worker restarted cold
}

// Run implements the command.
func (c demoCmd) Run(ctx context.Context) error {
	if c.Rate <= 0 || c.For < 2*time.Second {
		return errors.New("demo: --rate must be above 0, and --for at least 2s")
	}
	d := &demo{demoCmd: c}
	var entries []standin.Entry
	for i, speed := range demoSpeeds {
		w, err := standin.StartWorker(standin.WorkerConfig{Name: fmt.Sprintf("box%02d", i+1), Slots: demoSlots, Queue: 8, Speed: speed,
			Cold: 0.3, Warms: demoWarmUp, Refresh: 20 * time.Millisecond, TellsStart: true})
		if err != nil {
			return err
		}
		defer w.Close()
		d.workers = append(d.workers, w)
		entries = append(entries, w.Entry("SERVING"))
	}
	var err error
	if d.list, err = standin.StartDiscovery(entries...); err != nil {
		return err
	}
	defer d.list.Close()
	stop, err := d.startScheduler(ctx)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("A scheduler at %s, %d workers, %.0f jobs a second for %v. Try it yourself meanwhile:\n\n", d.addr, len(d.workers), c.Rate, c.For)
	fmt.Printf("  curl -i -d sheet -H 'X-Call-Id: mine-1' -H 'X-Call-Class: proof-view' -H 'X-Budget: 2000m' 'http://%s/api/1?run=40ms'\n\n", d.addr)
	tallies := d.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.report(tallies)
}

// startScheduler starts this program as a scheduler in another process and waits until it is ready.
func (d *demo) startScheduler(ctx context.Context) (stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.addr = ln.Addr().String()
	ln.Close()
	dir, err := os.MkdirTemp("", "weldscale-demo")
	if err != nil {
		return nil, err
	}
	conf := standin.SchedulerConfig{Name: "demo", Listen: d.addr, Discovery: d.list.Addr(), Known: d.list.Known(), ColdSpan: demoWarmUp}
	for _, c := range demoClasses {
		conf.Classes = append(conf.Classes, c.Class)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, conf.JSON(), 0o600); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "serve")
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path)
	if d.Log {
		cmd.Stderr = os.Stderr
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	stop = func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = os.RemoveAll(dir)
	}
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + d.addr + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return stop, nil
			}
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			stop()
			return nil, errors.New("demo: the scheduler is not ready; --log shows why")
		}
	}
}

// fault is a step of the demo that disturbs a worker, or ends earlier disturbances.
type fault struct {
	at          float64 // as a fraction of the demo's duration
	description string
	inject      func()
}

// faults returns the faults of the demo, in order: one worker restarts cold, one drains, one stops responding and is restarted,
// and one runs slowly for a while.
func (d *demo) faults() []fault {
	cold, drains, silent, slow := d.workers[0], d.workers[4], d.workers[1], d.workers[7]
	return []fault{
		{0.25, "box01 begins anew, cold", func() { d.coldSince = time.Now(); cold.Restart(); d.list.Set(cold.Entry("SERVING")) }},
		{0.40, "box05 drains", func() { d.list.Set(drains.Entry("DRAINING")); d.drainedAt = time.Now() }},
		{0.50, "box02 falls silent", silent.Silence},
		{0.60, "box08 runs five times slower", func() { slow.SetSlowdown(5) }},
		{0.75, "box02 is back, cold, and box08 quick again", func() { silent.Restart(); d.list.Set(silent.Entry("SERVING")); slow.SetSlowdown(1) }},
	}
}

// run sends the jobs of each class and injects the faults. It returns the tallies in the order of demoClasses.
func (d *demo) run(ctx context.Context) []*standin.Tally {
	tallies := make([]*standin.Tally, len(demoClasses))
	var all sync.WaitGroup
	for i, c := range demoClasses {
		all.Go(func() {
			tallies[i] = standin.Load{Target: d.addr, Seed: d.Seed + uint64(i), Name: c.Name, For: d.For, Rate: d.Rate * c.share,
				Kinds: []standin.JobKind{{Class: c.Name, Share: 1, Task: standin.Task{Run: c.run}, Body: c.body, Budget: c.Deadline,
					Within: c.within()}}}.Run(ctx)
		})
	}
	report := func(text string) { fmt.Println(text) }
	var bar *progressbar.ProgressBar
	if term.IsTerminal(int(os.Stderr.Fd())) {
		bar = progressbar.NewOptions64(d.For.Milliseconds(), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(30),
			progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())
		report = func(text string) { bar.Describe(text) }
	}
	began, next := time.Now(), d.faults()
	for range time.Tick(100 * time.Millisecond) {
		elapsed := time.Since(began)
		if bar != nil {
			_ = bar.Set64(min(elapsed, d.For).Milliseconds())
		}
		for len(next) > 0 && elapsed.Seconds() >= next[0].at*d.For.Seconds() {
			next[0].inject()
			report(fmt.Sprintf("%5.1f s  %s", elapsed.Seconds(), next[0].description))
			next = next[1:]
		}
		if elapsed >= d.For || ctx.Err() != nil {
			break
		}
	}
	if bar != nil {
		_ = bar.Finish()
	}
	all.Wait()
	return tallies
}

// report prints the results by class, by worker and by rule. A broken rule is an error.
func (d *demo) report(tallies []*standin.Tally) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"class", "jobs", "in time", "worth in time", "served", "tried again", "refused", "failed", "broken", "p50 ms", "p99 ms"})
	retried := d.retriedJobs()
	offered, earned := 0.0, 0.0
	for i, t := range tallies {
		c := demoClasses[i]
		worth := c.Worth * c.run.Seconds()
		offered += worth * float64(t.Sent)
		earned += worth * float64(t.InTime)
		out.AppendRow(table.Row{c.Name, t.Sent, fmt.Sprintf("%.3f", t.InTimeShare()), fmt.Sprintf("%.0f of %.0f", worth*float64(t.InTime), worth*float64(t.Sent)),
			t.Served, retried[c.Name], t.Refused, t.Failed, t.Broken, fmt.Sprintf("%.1f", t.Quantile(50).Seconds()*1e3), fmt.Sprintf("%.1f", t.Quantile(99).Seconds()*1e3)})
	}
	out.AppendFooter(table.Row{"all", "", "", fmt.Sprintf("%.3f", earned/max(offered, 1e-9))})
	out.Render()

	out = table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"worker", "speed", "jobs", "turned away", "probes"})
	for i, w := range d.workers {
		full, seen := 0, w.ReceivedJobs()
		for _, s := range seen {
			if s.Full {
				full++
			}
		}
		out.AppendRow(table.Row{w.Name(), demoSpeeds[i], len(seen), full, w.Probes()})
	}
	out.Render()
	return d.checkRules(tallies)
}

// retriedJobs returns, by class, the number of jobs that reached a worker more than once.
func (d *demo) retriedJobs() map[string]int {
	reached := map[string]int{}
	retried := map[string]int{}
	for _, w := range d.workers {
		for _, s := range w.ReceivedJobs() {
			if reached[s.ID]++; reached[s.ID] == 2 {
				for _, c := range demoClasses {
					if strings.HasPrefix(s.ID, c.Name) {
						retried[c.Name]++
					}
				}
			}
		}
	}
	return retried
}

// checkRules prints a line for each rule and returns an error if one was broken.
func (d *demo) checkRules(tallies []*standin.Tally) error {
	lost, wrong, jobs := 0, 0, 0
	for _, t := range tallies {
		lost += t.Broken
		wrong += t.Wrong
		jobs += t.Sent
	}
	ran := map[string]int{}
	for _, w := range d.workers {
		for _, s := range w.ReceivedJobs() {
			if !s.Full {
				ran[s.ID]++
			}
		}
	}
	once, twice := 0, 0
	for id, n := range ran {
		if len(id) > 10 && id[:10] == "press-send" {
			once++
			if n > 1 {
				twice++
			}
		}
	}
	late := 0
	for _, s := range d.workers[4].ReceivedJobs() {
		if !d.drainedAt.IsZero() && s.At.After(d.drainedAt.Add(drainGrace)) {
			late++
		}
	}
	coldRatio := d.maxColdRatio()
	fmt.Printf("no request lost:      %d jobs, %d without an answer, %d with another's\n", jobs, lost, wrong)
	fmt.Printf("no effect twice:      %d press-send jobs reached a worker, %d of them more than once\n", once, twice)
	fmt.Printf("drains obeyed:        %d jobs came to box05 later than %v after the word\n", late, drainGrace)
	fmt.Printf("cold workers spared:  box01 got at most %.1f times what it could do, over %v (%.0f allowed)\n", coldRatio, coldWindow, maxColdLoad)
	if lost+wrong+twice+late > 0 || coldRatio > maxColdLoad {
		return errors.New("demo: a rule was broken")
	}
	return nil
}

// maxColdRatio returns the largest ratio, over coldWindow, of the work sent to the restarted worker to its capacity at that
// time.
func (d *demo) maxColdRatio() float64 {
	most := 0.0
	seen := d.workers[0].ReceivedJobs()
	work := func(id string) float64 {
		for _, c := range demoClasses {
			if len(id) > len(c.Name) && id[:len(c.Name)] == c.Name {
				return c.run.Seconds()
			}
		}
		return 0
	}
	for i, first := range seen {
		age := first.At.Sub(d.coldSince)
		if d.coldSince.IsZero() || age < 0 || age > demoWarmUp {
			continue
		}
		sent := 0.0
		for _, s := range seen[i:] {
			if s.At.Sub(first.At) < coldWindow {
				sent += work(s.ID)
			}
		}
		warmth := 0.3 + 0.7*age.Seconds()/demoWarmUp.Seconds()
		most = max(most, sent/(warmth*demoSpeeds[0]*demoSlots*coldWindow.Seconds()))
	}
	return most
}
