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

// This file owns the demo: a scheduler in a process of its own between stand-ins, troubles on the way, and what came of
// it. Everything is on loopback addresses and ends with it.

// demoCmd is the command.
type demoCmd struct {
	For  time.Duration `help:"How long the clients come." default:"20s"`
	Rate float64       `help:"Jobs a second." default:"200"`
	Seed uint64        `help:"The same seed gives the same jobs at the same times." default:"1"`
	Log  bool          `help:"Show the scheduler's log."`
}

// demoClass is a class of the demo's jobs.
type demoClass struct {
	standin.Class
	share float64
	run   time.Duration
	body  int
}

func (c demoClass) within() time.Duration { return c.Aim + time.Duration(c.Stretch*float64(c.run)) }

var demoClasses = []demoClass{
	{standin.Class{Name: "proof-view", Effect: "read_like", Aim: 150 * time.Millisecond, Deadline: 5 * time.Second, Worth: 3, Stretch: 2}, 0.5, 40 * time.Millisecond, 300},
	{standin.Class{Name: "page-raster", Effect: "read_like", Aim: 500 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1, Stretch: 2}, 0.4, 150 * time.Millisecond, 2000},
	{standin.Class{Name: "press-send", Effect: "non_idempotent", Aim: 500 * time.Millisecond, Deadline: 10 * time.Second, Worth: 8, Stretch: 1.75}, 0.1, 150 * time.Millisecond, 500},
}

// demoSpeeds are those of the dozen workers, as a print shop's fleet may be.
var demoSpeeds = []float64{2, 2, 2, 1.9, 1.3, 1.2, 1.1, 0.9, 0.9, 0.8, 0.8, 0.7}

const (
	demoSlots = 4
	demoWarms = 6 * time.Second
	drainSlot = 300*time.Millisecond + 50*time.Millisecond // after the word of it nothing new may come
	coldSpan  = 1500 * time.Millisecond
	coldTimes = 4.0 // sent more than this many times what it can do for coldSpan, a cold worker falls over
)

// demo is one that runs.
type demo struct {
	demoCmd
	workers []*standin.Worker
	list    *standin.Discovery
	addr    string
	drained time.Time // when discovery had told of it
	cold    time.Time // when a worker began anew
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
			Cold: 0.3, Warms: demoWarms, Refresh: 20 * time.Millisecond, TellsStart: true})
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
	stop, err := d.scheduler(ctx)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("A scheduler at %s, %d workers, %.0f jobs a second for %v. Try it yourself meanwhile:\n\n", d.addr, len(d.workers), c.Rate, c.For)
	fmt.Printf("  curl -i -d sheet -H 'X-Call-Id: mine-1' -H 'X-Call-Class: proof-view' -H 'X-Budget: 2000m' 'http://%s/api/1?run=40ms'\n\n", d.addr)
	tallies := d.play(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.report(tallies)
}

// scheduler starts this program once more, as a scheduler.
func (d *demo) scheduler(ctx context.Context) (stop func(), err error) {
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
	site := standin.Site{Name: "demo", Listen: d.addr, Discovery: d.list.Addr(), Known: d.list.Known(), ColdSpan: demoWarms}
	for _, c := range demoClasses {
		site.Classes = append(site.Classes, c.Class)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, site.Config(), 0o600); err != nil {
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

// trouble is something that happens to a worker.
type trouble struct {
	at   float64 // of the whole time
	what string
	do   func()
}

// troubles of the demo: one drains, one falls silent and comes back, one runs slowly, one begins anew and cold.
func (d *demo) troubles() []trouble {
	cold, drains, silent, slow := d.workers[0], d.workers[4], d.workers[1], d.workers[7]
	return []trouble{
		{0.25, "box01 begins anew, cold", func() { d.cold = time.Now(); cold.Restart(); d.list.Set(cold.Entry("SERVING")) }},
		{0.40, "box05 drains", func() { d.list.Set(drains.Entry("DRAINING")); d.drained = time.Now() }},
		{0.50, "box02 falls silent", silent.Silence},
		{0.60, "box08 runs five times slower", func() { slow.Slow(5) }},
		{0.75, "box02 is back, cold, and box08 quick again", func() { silent.Restart(); d.list.Set(silent.Entry("SERVING")); slow.Slow(1) }},
	}
}

// play sends the jobs of each class and lets the troubles come.
func (d *demo) play(ctx context.Context) []*standin.Tally {
	tallies := make([]*standin.Tally, len(demoClasses))
	var all sync.WaitGroup
	for i, c := range demoClasses {
		all.Go(func() {
			tallies[i] = standin.Load{Target: d.addr, Seed: d.Seed + uint64(i), Name: c.Name, For: d.For, Rate: d.Rate * c.share,
				Kinds: []standin.Kind{{Class: c.Name, Share: 1, Task: standin.Task{Run: c.run}, Body: c.body, Budget: c.Deadline,
					Within: c.within()}}}.Run(ctx)
		})
	}
	say := func(text string) { fmt.Println(text) }
	var bar *progressbar.ProgressBar
	if term.IsTerminal(int(os.Stderr.Fd())) {
		bar = progressbar.NewOptions64(d.For.Milliseconds(), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(30),
			progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())
		say = func(text string) { bar.Describe(text) }
	}
	began, next := time.Now(), d.troubles()
	for range time.Tick(100 * time.Millisecond) {
		past := time.Since(began)
		if bar != nil {
			_ = bar.Set64(min(past, d.For).Milliseconds())
		}
		for len(next) > 0 && past.Seconds() >= next[0].at*d.For.Seconds() {
			next[0].do()
			say(fmt.Sprintf("%5.1f s  %s", past.Seconds(), next[0].what))
			next = next[1:]
		}
		if past >= d.For || ctx.Err() != nil {
			break
		}
	}
	if bar != nil {
		_ = bar.Finish()
	}
	all.Wait()
	return tallies
}

// report prints how it went, by class, by worker and by rule. A rule that was broken is an error.
func (d *demo) report(tallies []*standin.Tally) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"class", "jobs", "in time", "worth in time", "served", "tried again", "refused", "failed", "broken", "p50 ms", "p99 ms"})
	again := d.again()
	asked, earned := 0.0, 0.0
	for i, t := range tallies {
		c := demoClasses[i]
		worth := c.Worth * c.run.Seconds()
		asked += worth * float64(t.Sent)
		earned += worth * float64(t.InTime)
		out.AppendRow(table.Row{c.Name, t.Sent, fmt.Sprintf("%.3f", t.InTimeShare()), fmt.Sprintf("%.0f of %.0f", worth*float64(t.InTime), worth*float64(t.Sent)),
			t.Served, again[c.Name], t.Refused, t.Failed, t.Broken, fmt.Sprintf("%.1f", t.Quantile(50).Seconds()*1e3), fmt.Sprintf("%.1f", t.Quantile(99).Seconds()*1e3)})
	}
	out.AppendFooter(table.Row{"all", "", "", fmt.Sprintf("%.3f", earned/max(asked, 1e-9))})
	out.Render()

	out = table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"worker", "speed", "jobs", "turned away", "probes"})
	for i, w := range d.workers {
		full, seen := 0, w.Seen()
		for _, s := range seen {
			if s.Full {
				full++
			}
		}
		out.AppendRow(table.Row{w.Name(), demoSpeeds[i], len(seen), full, w.Probes()})
	}
	out.Render()
	return d.rules(tallies)
}

// again is how many jobs of each class reached a further worker.
func (d *demo) again() map[string]int {
	reached := map[string]int{}
	again := map[string]int{}
	for _, w := range d.workers {
		for _, s := range w.Seen() {
			if reached[s.ID]++; reached[s.ID] == 2 {
				for _, c := range demoClasses {
					if strings.HasPrefix(s.ID, c.Name) {
						again[c.Name]++
					}
				}
			}
		}
	}
	return again
}

// rules says what each rule saw.
func (d *demo) rules(tallies []*standin.Tally) error {
	lost, wrong, jobs := 0, 0, 0
	for _, t := range tallies {
		lost += t.Broken
		wrong += t.Wrong
		jobs += t.Sent
	}
	ran := map[string]int{}
	for _, w := range d.workers {
		for _, s := range w.Seen() {
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
	for _, s := range d.workers[4].Seen() {
		if !d.drained.IsZero() && s.At.After(d.drained.Add(drainSlot)) {
			late++
		}
	}
	most := d.coldMost()
	fmt.Printf("no request lost:      %d jobs, %d without an answer, %d with another's\n", jobs, lost, wrong)
	fmt.Printf("no effect twice:      %d press-send jobs reached a worker, %d of them more than once\n", once, twice)
	fmt.Printf("drains obeyed:        %d jobs came to box05 later than %v after the word\n", late, drainSlot)
	fmt.Printf("cold workers spared:  box01 got at most %.1f times what it could do, over %v (%.0f allowed)\n", most, coldSpan, coldTimes)
	if lost+wrong+twice+late > 0 || most > coldTimes {
		return errors.New("demo: a rule was broken")
	}
	return nil
}

// coldMost is how many times its present capacity the worker that began anew was sent, at most, over coldSpan.
func (d *demo) coldMost() float64 {
	most := 0.0
	seen := d.workers[0].Seen()
	work := func(id string) float64 {
		for _, c := range demoClasses {
			if len(id) > len(c.Name) && id[:len(c.Name)] == c.Name {
				return c.run.Seconds()
			}
		}
		return 0
	}
	for i, first := range seen {
		age := first.At.Sub(d.cold)
		if d.cold.IsZero() || age < 0 || age > demoWarms {
			continue
		}
		sent := 0.0
		for _, s := range seen[i:] {
			if s.At.Sub(first.At) < coldSpan {
				sent += work(s.ID)
			}
		}
		warmth := 0.3 + 0.7*age.Seconds()/demoWarms.Seconds()
		most = max(most, sent/(warmth*demoSpeeds[0]*demoSlots*coldSpan.Seconds()))
	}
	return most
}
