package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/decide"
	"weldscale/internal/emulator"
	"weldscale/internal/standin"
)

// twinCmd is the trial of the emulator: the model runs a script in simulated time, and its twin, real schedulers, gets the
// same arrivals and faults on sockets in real time. It compares the worth of the jobs served in time. It must not be used to
// measure speed.
type twinCmd struct {
	Scripts []string `arg:"" help:"Scripts, such as those in deploy/rehearsals. What two processes on one machine can't be (a lost scheduler, a box that stands still, a list service that is down) is refused." type:"existingfile"`
	Within  float64  `help:"Exit with 1 where model and twin differ by more than this." default:"0"`
}

// Run implements the command.
func (c *twinCmd) Run(ctx context.Context, args *cli) error {
	var scripts []*emulator.Script
	for _, path := range c.Scripts {
		script, err := emulator.Read(path)
		if err != nil {
			return err
		}
		for _, t := range script.Troubles {
			if t.Balancer || !slices.Contains([]string{"vanish", "slow", "heavy_tail", "zone_loss", "drain", "restart", "flapping"}, t.Kind) {
				return fmt.Errorf("%s: the twin can't play the fault %s with these terms", path, t.Kind)
			}
		}
		scripts = append(scripts, script)
	}
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.SetTitle("the model and real schedulers, the same arrivals and troubles")
	out.AppendHeader(table.Row{"script", "jobs", "worth in time: model", "twin", "twin has more", "model refused", "twin refused", "model late", "twin late", "twin failed"})
	differing := 0
	for i, script := range scripts {
		model, twin, err := c.runScript(ctx, args, script)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Scripts[i], err)
		}
		if diff := twin.worthShare - model.InTime; c.Within > 0 && max(diff, -diff) > c.Within {
			differing++
		}
		out.AppendRow(table.Row{strings.TrimSuffix(filepath.Base(c.Scripts[i]), ".hcl"), model.Tries, fmt.Sprintf("%.3f", model.InTime), fmt.Sprintf("%.3f", twin.worthShare),
			fmt.Sprintf("%+.3f", twin.worthShare-model.InTime), model.Refused, twin.refused, model.Late, twin.late, twin.failed})
	}
	out.Render()
	if differing > 0 {
		return fmt.Errorf("twin: %d scripts differ by more than %v", differing, c.Within)
	}
	return nil
}

// twinTally counts how the jobs of the twin ended.
type twinTally struct {
	mu                                  sync.Mutex
	totalWorth, worthInTime, worthShare float64 // worthShare: worthInTime / totalWorth, set at the end
	late, refused, failed               int
}

// runScript runs one script in the model and with real schedulers.
func (c *twinCmd) runScript(ctx context.Context, args *cli, s *emulator.Script) (*emulator.Result, *twinTally, error) {
	emu, err := emulator.New(s, args.Seed, nil)
	if err != nil {
		return nil, nil, err
	}
	var events []emulator.ExternalEvent
	emu.OnExternalEvent = func(event emulator.ExternalEvent) { events = append(events, event) }
	model, err := emu.Run(nil)
	if err != nil {
		return nil, nil, err
	}
	workers, discovery, err := startWorkers(s)
	if err != nil {
		return nil, nil, err
	}
	defer discovery.Close()
	for _, worker := range workers {
		defer worker.Close()
	}
	config := standin.SchedulerConfig{Discovery: discovery.Addr(), Known: discovery.Known(), Zones: s.Zones, Nodes: s.Schedulers,
		ColdSpan: time.Duration(s.ColdSpan) * time.Microsecond}
	for _, class := range s.Classes {
		effect := "read_like" // keyed classes too, since stand-in workers remember no keys
		if class.Terms.Effect == decide.Unsafe {
			effect = "non_idempotent"
		}
		config.Classes = append(config.Classes, standin.Class{Name: class.Name, Effect: effect, Aim: time.Duration(class.Terms.Aim) * time.Microsecond,
			Deadline: time.Duration(class.Terms.Deadline) * time.Microsecond, Worth: class.Terms.Worth, Stretch: class.Terms.Stretch})
	}
	var schedulers []*scheduler
	for i := range s.Schedulers {
		config.Name, config.Zone = fmt.Sprint("n", i), i%len(s.Zones)
		sched, err := args.startScheduler(ctx, config, "")
		if err != nil {
			return nil, nil, err
		}
		defer sched.stop()
		schedulers = append(schedulers, sched)
	}
	tally := &twinTally{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	var jobs sync.WaitGroup
	began := time.Now()
	for i, event := range events {
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(time.Until(began.Add(time.Duration(event.At) * time.Microsecond))):
		}
		worker := workers[event.Box]
		switch event.Kind {
		case emulator.Arrival:
			jobs.Go(func() { tally.runJob(client, schedulers[event.Node].addr, fmt.Sprint("t", i), s, event) })
		case emulator.BoxSilent, emulator.BoxStopped:
			worker.Silence()
		case emulator.BoxRestarted:
			worker.Restart()
		case emulator.BoxSlowed:
			worker.SetSlowdown(event.Slowdown)
		case emulator.BoxListed:
			status := map[decide.State]string{decide.Ready: "SERVING", decide.Draining: "DRAINING", decide.Gone: "DELETED"}[event.State]
			time.AfterFunc(time.Duration(s.ListDelay)*5/4*time.Microsecond, func() { discovery.Set(worker.Entry(status)) })
		}
	}
	jobs.Wait()
	tally.worthShare = tally.worthInTime / max(tally.totalWorth, 1e-9)
	return model, tally, nil
}

// startWorkers starts the script's workers and a discovery service that lists them.
func startWorkers(s *emulator.Script) ([]*standin.Worker, *standin.Discovery, error) {
	var workers []*standin.Worker
	var list []standin.Entry
	for _, kind := range s.Boxes {
		for range kind.Count {
			w, err := standin.StartWorker(standin.WorkerConfig{Name: fmt.Sprint("b", len(workers)), Zone: s.Zones[len(workers)%len(s.Zones)],
				Slots: kind.Slots, Queue: kind.Queue, Speed: kind.Speed, Cold: s.ColdFrom, Warms: time.Duration(s.ColdSpan) * time.Microsecond,
				Refresh: time.Duration(s.ReportInterval) * time.Microsecond, TellsStart: true})
			if err != nil {
				return nil, nil, err
			}
			workers, list = append(workers, w), append(list, w.Entry("SERVING"))
		}
	}
	d, err := standin.StartDiscovery(list...)
	return workers, d, err
}

// runJob sends one job, with the client's retries, and counts how it ended.
func (t *twinTally) runJob(client *http.Client, addr, id string, s *emulator.Script, event emulator.ExternalEvent) {
	c := &s.Classes[event.Class]
	aim := time.Duration(c.Terms.Aim+decide.Time(c.Terms.Stretch*float64(event.Work))) * time.Microsecond
	k := &standin.JobKind{Class: c.Name, Budget: time.Duration(c.Terms.Deadline) * time.Microsecond, Body: 200,
		Task: standin.Task{Run: time.Duration(event.Work) * time.Microsecond, Slots: event.Slots}}
	worth := c.Terms.Worth * float64(event.Work) / 1e6
	began := time.Now()
	status := 0
	for attempt := 0; attempt <= s.Retries; attempt++ {
		status, _, _ = standin.SendJob(client, addr, "", fmt.Sprint(id, "-", attempt), k)
		if status == 200 || time.Since(began) > aim {
			break
		}
		if attempt < s.Retries {
			time.Sleep(time.Duration(s.RetryWait) * time.Microsecond)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totalWorth += worth
	switch {
	case status == 200 && time.Since(began) <= aim:
		t.worthInTime += worth
	case status == 200:
		t.late++
	case status == 503:
		t.refused++
	default:
		t.failed++
	}
}
