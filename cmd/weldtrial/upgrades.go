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
	"sync"
	"syscall"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"weldscale/internal/standin"
)

// upgrades is the trial of a scheduler that is replaced again and again under a steady load.
type upgrades struct {
	Rate    float64       `help:"Requests a second." default:"200"`
	Job     time.Duration `help:"Running time of most jobs." default:"20ms"`
	Long    time.Duration `help:"Running time of one job in ten, which must not run twice." default:"6s"`
	Workers int           `help:"Workers of 64 slots." default:"8"`
	Every   time.Duration `help:"From one upgrade to the next." default:"4s"`
}

// Run implements the command.
func (p *upgrades) Run(ctx context.Context, args *cli) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%.0f requests/s, jobs of %v, one in ten of %v that must not run twice, %d workers; %v each row, an upgrade each %v",
		p.Rate, p.Job, p.Long, p.Workers, args.For, p.Every))
	out.AppendHeader(table.Row{"row", "upgrades", "sent", "served", "refused", "failed", "broken", "wrong", "run twice", "p50 ms", "p99 ms", "exits not 0"})
	for _, row := range []struct {
		name             string
		upgrade, broken1 bool
	}{{"no upgrade", false, false}, {"upgrades", true, false}, {"upgrades, the first of them broken", true, true}} {
		if err := p.play(ctx, args, out, row.name, row.upgrade, row.broken1); err != nil {
			return err
		}
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// generation is one process in its time.
type generation struct {
	cmd  *exec.Cmd
	mgmt string
}

// run starts a process beside those that are there; config names its file.
func (p *upgrades) run(args *cli, dir, config string, socket *os.File) (*generation, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	if err != nil {
		return nil, err
	}
	ln.Close()
	g := &generation{cmd: exec.Command(args.Scheduler), mgmt: ln.Addr().String()}
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_MGMT="+g.mgmt, "TMPDIR="+dir, "GW_PASSED_SOCKET=3")
	g.cmd.ExtraFiles = []*os.File{socket}
	if args.Logs {
		g.cmd.Stderr = os.Stderr
	}
	return g, g.cmd.Start()
}

func (g *generation) ready(ctx context.Context) error {
	for limit := time.Now().Add(6 * time.Second); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + g.mgmt + "/control/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return errors.New("a process was not ready within 6 s")
}

// play plays one row.
func (p *upgrades) play(ctx context.Context, args *cli, out table.Writer, name string, upgrade, broken bool) error {
	fleet, err := standin.StartFleet(p.Workers, standin.WorkerConfig{Slots: 64, Queue: 8, TellsStart: true})
	if err != nil {
		return err
	}
	defer fleet.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	socket, err := ln.(*net.TCPListener).File()
	ln.Close()
	if err != nil {
		return err
	}
	defer socket.Close()
	dir, err := os.MkdirTemp("", "weldtrial")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config := filepath.Join(dir, "config.json")
	site := standin.SchedulerConfig{Listen: ln.Addr().String(), Discovery: fleet.Discovery.Addr(), Known: fleet.Discovery.Known()}
	if err := os.WriteFile(config, site.JSON(), 0o600); err != nil {
		return err
	}
	now, err := p.run(args, dir, config, socket)
	if err != nil {
		return err
	}
	defer func() { _ = now.cmd.Process.Kill(); _ = now.cmd.Wait() }()
	if err := now.ready(ctx); err != nil {
		return err
	}
	var tally *standin.Tally
	var load sync.WaitGroup
	load.Go(func() {
		tally = standin.Load{Target: ln.Addr().String(), Name: "u", Seed: args.Seed, For: args.For, Rate: p.Rate, Kinds: []standin.JobKind{
			{Class: "view", Share: 0.9, Task: standin.Task{Run: p.Job}, Budget: 9 * time.Second, Body: 200},
			{Class: "send", Share: 0.1, Task: standin.Task{Run: p.Long}, Budget: 9 * time.Second, Body: 200}}}.Run(ctx)
	})
	done, bad := 0, 0
	for end := time.Now().Add(args.For - p.Every); upgrade && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(p.Every)
		if broken {
			broken = false
			g, err := p.run(args, dir, filepath.Join(dir, "nowhere.json"), socket)
			if err != nil {
				return err
			}
			if g.cmd.Wait() == nil {
				return errors.New("a process with no configuration ended well")
			}
			continue
		}
		next, err := p.run(args, dir, config, socket)
		if err != nil {
			return err
		}
		old := now
		now = next // which the end kills
		if err := next.ready(ctx); err != nil {
			_ = old.cmd.Process.Kill()
			_ = old.cmd.Wait()
			return err
		}
		_ = old.cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(3700*time.Millisecond, func() { _ = old.cmd.Process.Kill() })
		if old.cmd.Wait() != nil {
			bad++
		}
		kill.Stop()
		done++
	}
	load.Wait()
	seen, twice := map[string]bool{}, 0
	for _, w := range fleet.Workers {
		for _, s := range w.ReceivedJobs() {
			if seen[s.ID] && !s.Full {
				twice++
			}
			seen[s.ID] = true
		}
	}
	out.AppendRow(table.Row{name, done, tally.Sent, tally.Served, tally.Refused, tally.Failed, tally.Broken, tally.Wrong, twice,
		fmt.Sprintf("%.1f", tally.Quantile(50).Seconds()*1e3), fmt.Sprintf("%.1f", tally.Quantile(99).Seconds()*1e3), bad})
	for why, n := range tally.Why {
		out.AppendRow(table.Row{"", "", n, why})
	}
	return nil
}
