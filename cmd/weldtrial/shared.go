package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

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
}

// begun keeps when jobs were served, in steps.
type begun struct {
	mu    sync.Mutex
	at    time.Time
	steps []int
}

const step = 50 * time.Millisecond

func (b *begun) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := int(time.Since(b.at) / step)
	for len(b.steps) <= i {
		b.steps = append(b.steps, 0)
	}
	b.steps[i]++
}

// since tells how many there were a second since then, and the most in any second.
func (b *begun) since(from time.Time) (mean float64, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, sum, window := int(from.Sub(b.at)/step), 0, int(time.Second/step)
	for i := first; i < len(b.steps); i++ {
		sum += b.steps[i]
		in := 0
		for k := max(0, i-window+1); k <= i; k++ {
			in += b.steps[k]
		}
		most = max(most, in)
	}
	return float64(sum) / time.Since(from).Seconds(), most
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
	all, err := p.start(ctx, args, dir, workers)
	defer func() {
		for _, s := range all {
			_ = s.cmd.Process.Signal(syscall.SIGCONT)
			_ = s.cmd.Process.Kill()
			_ = s.cmd.Wait()
		}
	}()
	if err != nil {
		return err
	}
	served := &begun{at: time.Now()}
	loading, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	static, hot := 0.0, max(1, len(all)/20)
	for i, s := range all {
		demand := p.Demand / 2 / float64(hot)
		if i%20 != 0 || i/20 >= hot {
			demand = p.Demand / 2 / float64(len(all)-hot)
		}
		static += min(demand, p.Rate/float64(len(all)))
		load.Go(func() { p.ask(loading, i, s.addr, demand, served) })
	}
	time.Sleep(p.Settle)
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%d schedulers, %.0f jobs/s between them, %.0f/s asked for, half of it of %d; a bound of %.0f in a second; "+
		"parts for good, one as large as the other, would serve %.2f of the rate", len(all), p.Rate, p.Demand, hot, p.Rate*(1+p.Burst)+float64(len(all)),
		static/p.Rate))
	out.AppendHeader(table.Row{"row", "served/s", "of the rate", "most in a second", "CPU of one, cores"})
	row := func(name string, span time.Duration) {
		from, cpu := time.Now(), time.Duration(0)
		for _, s := range all {
			cpu -= s.cpu()
		}
		select {
		case <-time.After(span):
		case <-ctx.Done():
		}
		for _, s := range all {
			cpu += s.cpu()
		}
		mean, most := served.since(from)
		out.AppendRow(table.Row{name, fmt.Sprintf("%.1f", mean), fmt.Sprintf("%.3f", mean/p.Rate), most,
			fmt.Sprintf("%.3f", cpu.Seconds()/span.Seconds()/float64(len(all)))})
	}
	row("calm", args.For)
	halt := func(sig syscall.Signal) {
		for i, s := range all {
			if i%5 == 4 {
				_ = s.cmd.Process.Signal(sig)
			}
		}
	}
	halt(syscall.SIGSTOP)
	row("a fifth stopped", 6*time.Second)
	halt(syscall.SIGCONT)
	row("the first 3 s after", 3*time.Second)
	row("later", args.For)
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// start brings up all schedulers. The first three whose numbers do not end in a stop are keepers.
func (p *shared) start(ctx context.Context, args *cli, dir string, workers *standin.Fleet) (all []*scheduler, err error) {
	// Each has a loopback address of its own: hundreds of ports that are free now would not all be so a second later.
	host := func(i, port int) string { return fmt.Sprintf("127.1.%d.%d:%d", i/200, i%200+1, port) }
	var list strings.Builder
	for _, w := range workers.Workers {
		fmt.Fprintf(&list, "    worker %q { address = %q }\n", w.Name(), w.Addr())
	}
	first := host(0, 7401)
	for i := range p.Schedulers {
		s, bind := &scheduler{addr: host(i, 7400)}, host(i, 7401)
		text := fmt.Sprintf("scheduler {\n name = \"s%d\"\n listen = %q\n sockets = 256\n}\nfleet \"trial\" {\n bind = %q\n join = [%q]\n members = %d\n"+
			" keepers = [\"s0\", \"s1\", \"s2\"]\n term = %q\n burst = %g\n}\nservice \"shop\" {\n match { path = \"/\" }\n workers {\n%s }\n"+
			" limits { fleet_rate = %g }\n class \"view\" { effect = \"safe\" }\n}\n", i, s.addr, bind, first, p.Schedulers, p.Term, p.Burst, &list, p.Rate)
		path := filepath.Join(dir, fmt.Sprintf("s%d.hcl", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return all, err
		}
		s.cmd = exec.Command(args.Scheduler, "serve", "--config", path)
		s.cmd.Env = append(os.Environ(), "GW_CONFIG=")
		if args.Logs {
			s.cmd.Stderr = os.Stderr
		}
		if err := s.cmd.Start(); err != nil {
			return all, err
		}
		all = append(all, s)
	}
	for _, s := range all {
		for limit := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if resp, err := http.Get("http://" + s.addr + "/-/ready"); err == nil {
				resp.Body.Close()
				break // it listens; its workers are known from its file
			}
			if time.Now().After(limit) || ctx.Err() != nil {
				return all, fmt.Errorf("a scheduler is not ready")
			}
		}
	}
	return all, nil
}

// ask asks one scheduler for jobs at an even pace, whatever becomes of the earlier ones.
func (p *shared) ask(ctx context.Context, i int, addr string, rate float64, served *begun) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	kind := &standin.Kind{Class: "view", Budget: 2 * time.Second, Body: 50}
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
				if status, _, err := standin.Ask(client, addr, addr, fmt.Sprint("s", i, "-", n), kind); err == nil && status == 200 {
					served.add()
				}
				<-slots
			})
		default: // it takes nothing just now
		}
	}
}
