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

// twin is the trial of the emulator: a script is played by the model in simulated time, and the same arrivals and troubles
// by real schedulers on sockets in real time. It must never be a measure of speed: what is held against one another is the
// worth in time.
type twin struct {
	Scripts []string `arg:"" help:"Scripts, such as those in deploy/rehearsals. What two processes on one machine can't be (a lost scheduler, a box that stands still, a list service that is down) is refused." type:"existingfile"`
	Within  float64  `help:"Exit with 1 where model and twin differ by more than this." default:"0"`
}

// Run implements the command.
func (p *twin) Run(ctx context.Context, args *cli) error {
	var scripts []*emulator.Script
	for _, path := range p.Scripts {
		s, err := emulator.Read(path)
		if err != nil {
			return err
		}
		for _, t := range s.Troubles {
			if t.Balancer || !slices.Contains([]string{"vanish", "slow", "heavy_tail", "zone_loss", "drain", "restart", "flapping"}, t.Kind) {
				return fmt.Errorf("%s: the twin can't play %s with these terms", path, t.Kind)
			}
		}
		scripts = append(scripts, s)
	}
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetStyle(table.StyleLight)
	out.SetTitle("the model and real schedulers, the same arrivals and troubles")
	out.AppendHeader(table.Row{"script", "jobs", "worth in time: model", "twin", "twin has more", "model refused", "twin refused", "model late", "twin late", "twin failed"})
	far := 0
	for i, s := range scripts {
		m, t, err := p.play(ctx, args, s)
		if err != nil {
			return fmt.Errorf("%s: %w", p.Scripts[i], err)
		}
		if diff := t.worth - m.InTime; p.Within > 0 && max(diff, -diff) > p.Within {
			far++
		}
		out.AppendRow(table.Row{strings.TrimSuffix(filepath.Base(p.Scripts[i]), ".hcl"), m.Tries, fmt.Sprintf("%.3f", m.InTime), fmt.Sprintf("%.3f", t.worth),
			fmt.Sprintf("%+.3f", t.worth-m.InTime), m.Refused, t.refused, m.Late, t.late, t.failed})
	}
	out.Render()
	if far > 0 {
		return fmt.Errorf("twin: %d scripts differ by more than %v", far, p.Within)
	}
	return nil
}

// twinTally is how the twin's jobs ended.
type twinTally struct {
	mu                    sync.Mutex
	asked, reached, worth float64
	late, refused, failed int
}

// play plays one script both ways.
func (p *twin) play(ctx context.Context, args *cli, s *emulator.Script) (*emulator.Result, *twinTally, error) {
	x, err := emulator.New(s, args.Seed, nil)
	if err != nil {
		return nil, nil, err
	}
	var plan []emulator.ExternalEvent
	x.OnExternalEvent = func(h emulator.ExternalEvent) { plan = append(plan, h) }
	model, err := x.Run(nil)
	if err != nil {
		return nil, nil, err
	}
	boxes, discovery, err := startBoxes(s)
	if err != nil {
		return nil, nil, err
	}
	defer discovery.Close()
	for _, b := range boxes {
		defer b.Close()
	}
	site := standin.SchedulerConfig{Discovery: discovery.Addr(), Known: discovery.Known(), Zones: s.Zones, Nodes: s.Schedulers,
		ColdSpan: time.Duration(s.ColdSpan) * time.Microsecond}
	for _, c := range s.Classes {
		effect := "read_like" // keyed ones too: boxes here remember no keys
		if c.Terms.Effect == decide.Unsafe {
			effect = "non_idempotent"
		}
		site.Classes = append(site.Classes, standin.Class{Name: c.Name, Effect: effect, Aim: time.Duration(c.Terms.Aim) * time.Microsecond,
			Deadline: time.Duration(c.Terms.Deadline) * time.Microsecond, Worth: c.Terms.Worth, Stretch: c.Terms.Stretch})
	}
	var nodes []*scheduler
	for i := range s.Schedulers {
		site.Name, site.Zone = fmt.Sprint("n", i), i%len(s.Zones)
		n, err := args.start(ctx, site, "")
		if err != nil {
			return nil, nil, err
		}
		defer n.stop()
		nodes = append(nodes, n)
	}
	t := &twinTally{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	var jobs sync.WaitGroup
	began := time.Now()
	for i, h := range plan {
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(time.Until(began.Add(time.Duration(h.At) * time.Microsecond))):
		}
		b := boxes[h.Box]
		switch h.Kind {
		case emulator.Arrival:
			jobs.Go(func() { t.ask(client, nodes[h.Node].addr, fmt.Sprint("t", i), s, h) })
		case emulator.BoxSilent, emulator.BoxStopped:
			b.Silence()
		case emulator.BoxRestarted:
			b.Restart()
		case emulator.BoxSlowed:
			b.SetSlowdown(h.Slowdown)
		case emulator.BoxListed:
			status := map[decide.State]string{decide.Ready: "SERVING", decide.Draining: "DRAINING", decide.Gone: "DELETED"}[h.State]
			time.AfterFunc(time.Duration(s.ListDelay)*5/4*time.Microsecond, func() { discovery.Set(b.Entry(status)) })
		}
	}
	jobs.Wait()
	t.worth = t.reached / max(t.asked, 1e-9)
	return model, t, nil
}

// startBoxes starts the script's boxes and the list service that names them.
func startBoxes(s *emulator.Script) ([]*standin.Worker, *standin.Discovery, error) {
	var boxes []*standin.Worker
	var list []standin.Entry
	for _, kind := range s.Boxes {
		for range kind.Count {
			w, err := standin.StartWorker(standin.WorkerConfig{Name: fmt.Sprint("b", len(boxes)), Zone: s.Zones[len(boxes)%len(s.Zones)],
				Slots: kind.Slots, Queue: kind.Queue, Speed: kind.Speed, Cold: s.ColdFrom, Warms: time.Duration(s.ColdSpan) * time.Microsecond,
				Refresh: time.Duration(s.ReportInterval) * time.Microsecond, TellsStart: true})
			if err != nil {
				return nil, nil, err
			}
			boxes, list = append(boxes, w), append(list, w.Entry("SERVING"))
		}
	}
	d, err := standin.StartDiscovery(list...)
	return boxes, d, err
}

// ask sends one wish and what the client tries again of it, and books how it ended.
func (t *twinTally) ask(client *http.Client, addr, id string, s *emulator.Script, h emulator.ExternalEvent) {
	c := &s.Classes[h.Class]
	aim := time.Duration(c.Terms.Aim+decide.Time(c.Terms.Stretch*float64(h.Work))) * time.Microsecond
	k := &standin.JobKind{Class: c.Name, Budget: time.Duration(c.Terms.Deadline) * time.Microsecond, Body: 200,
		Task: standin.Task{Run: time.Duration(h.Work) * time.Microsecond, Slots: h.Slots}}
	worth := c.Terms.Worth * float64(h.Work) / 1e6
	began := time.Now()
	status := 0
	for try := 0; try <= s.Retries; try++ {
		status, _, _ = standin.SendJob(client, addr, "", fmt.Sprint(id, "-", try), k)
		if status == 200 || time.Since(began) > aim {
			break
		}
		if try < s.Retries {
			time.Sleep(time.Duration(s.RetryWait) * time.Microsecond)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked += worth
	switch {
	case status == 200 && time.Since(began) <= aim:
		t.reached += worth
	case status == 200:
		t.late++
	case status == 503:
		t.refused++
	default:
		t.failed++
	}
}
