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

// upgradesCmd is the trial of a scheduler that is replaced again and again under a steady load.
type upgradesCmd struct {
	Rate    float64       `help:"Requests a second." default:"200"`
	Job     time.Duration `help:"Running time of most jobs." default:"20ms"`
	Long    time.Duration `help:"Running time of one job in ten, which must not run twice." default:"6s"`
	Workers int           `help:"Workers of 64 slots." default:"8"`
	Every   time.Duration `help:"From one upgrade to the next." default:"4s"`
}

// Run implements the command.
func (c *upgradesCmd) Run(ctx context.Context, args *cli) error {
	out := table.NewWriter()
	out.SetOutputMirror(os.Stdout)
	out.SetTitle(fmt.Sprintf("%.0f requests/s, jobs of %v, one in ten of %v that must not run twice, %d workers; %v each row, an upgrade each %v",
		c.Rate, c.Job, c.Long, c.Workers, args.For, c.Every))
	out.AppendHeader(table.Row{"row", "upgrades", "sent", "served", "refused", "failed", "broken", "wrong", "run twice", "p50 ms", "p99 ms", "exits not 0"})
	for _, row := range []struct {
		name                 string
		upgrade, firstBroken bool
	}{{"no upgrade", false, false}, {"upgrades", true, false}, {"upgrades, the first of them broken", true, true}} {
		if err := c.runRow(ctx, args, out, row.name, row.upgrade, row.firstBroken); err != nil {
			return err
		}
	}
	out.SetStyle(table.StyleLight)
	out.Render()
	return nil
}

// process is one scheduler process; each upgrade starts another.
type process struct {
	cmd  *exec.Cmd
	mgmt string
}

// startProcess starts a process beside the running ones. configPath is its configuration file.
func (c *upgradesCmd) startProcess(args *cli, dir, configPath string, socket *os.File) (*process, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port
	if err != nil {
		return nil, err
	}
	ln.Close()
	p := &process{cmd: exec.Command(args.Scheduler), mgmt: ln.Addr().String()}
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+configPath, "GW_MGMT="+p.mgmt, "TMPDIR="+dir, "GW_PASSED_SOCKET=3")
	p.cmd.ExtraFiles = []*os.File{socket}
	if args.Logs {
		p.cmd.Stderr = os.Stderr
	}
	return p, p.cmd.Start()
}

func (p *process) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + p.mgmt + "/control/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return errors.New("a new scheduler process was not ready within 6 s")
}

// runRow runs one row. If firstBroken is set, the first upgrade starts a process without a configuration, which must fail.
func (c *upgradesCmd) runRow(ctx context.Context, args *cli, out table.Writer, name string, upgrade, firstBroken bool) error {
	fleet, err := standin.StartFleet(c.Workers, standin.WorkerConfig{Slots: 64, Queue: 8, TellsStart: true})
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
	configPath := filepath.Join(dir, "config.json")
	config := standin.SchedulerConfig{Listen: ln.Addr().String(), Discovery: fleet.Discovery.Addr(), Known: fleet.Discovery.Known()}
	if err := os.WriteFile(configPath, config.JSON(), 0o600); err != nil {
		return err
	}
	current, err := c.startProcess(args, dir, configPath, socket)
	if err != nil {
		return err
	}
	defer func() { _ = current.cmd.Process.Kill(); _ = current.cmd.Wait() }()
	if err := current.awaitReady(ctx); err != nil {
		return err
	}
	var tally *standin.Tally
	var load sync.WaitGroup
	load.Go(func() {
		tally = standin.Load{Target: ln.Addr().String(), Name: "u", Seed: args.Seed, For: args.For, Rate: c.Rate, Kinds: []standin.JobKind{
			{Class: "view", Share: 0.9, Task: standin.Task{Run: c.Job}, Budget: 9 * time.Second, Body: 200},
			{Class: "send", Share: 0.1, Task: standin.Task{Run: c.Long}, Budget: 9 * time.Second, Body: 200}}}.Run(ctx)
	})
	upgraded, badExits := 0, 0
	for end := time.Now().Add(args.For - c.Every); upgrade && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(c.Every)
		if firstBroken {
			firstBroken = false
			p, err := c.startProcess(args, dir, filepath.Join(dir, "nowhere.json"), socket)
			if err != nil {
				return err
			}
			if p.cmd.Wait() == nil {
				return errors.New("a process without a configuration exited with 0")
			}
			continue
		}
		next, err := c.startProcess(args, dir, configPath, socket)
		if err != nil {
			return err
		}
		old := current
		current = next // the deferred call kills it
		if err := next.awaitReady(ctx); err != nil {
			_ = old.cmd.Process.Kill()
			_ = old.cmd.Wait()
			return err
		}
		_ = old.cmd.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(3700*time.Millisecond, func() { _ = old.cmd.Process.Kill() })
		if old.cmd.Wait() != nil {
			badExits++
		}
		kill.Stop()
		upgraded++
	}
	load.Wait()
	seen, twice := map[string]bool{}, 0
	for _, w := range fleet.Workers {
		for _, job := range w.ReceivedJobs() {
			if seen[job.ID] && !job.Full {
				twice++
			}
			seen[job.ID] = true
		}
	}
	out.AppendRow(table.Row{name, upgraded, tally.Sent, tally.Served, tally.Refused, tally.Failed, tally.Broken, tally.Wrong, twice,
		fmt.Sprintf("%.1f", tally.Quantile(50).Seconds()*1e3), fmt.Sprintf("%.1f", tally.Quantile(99).Seconds()*1e3), badExits})
	for why, n := range tally.Why {
		out.AppendRow(table.Row{"", "", n, why})
	}
	return nil
}
