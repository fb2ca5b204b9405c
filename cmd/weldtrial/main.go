// Command weldtrial runs trials of real schedulers on this machine and prints a table for each. Stand-in workers, discovery
// and clients run in this process, each scheduler in a process of its own, all on loopback addresses. This file implements
// the command line and what all trials share. Since figures depend on the machine, no trial may judge by them alone: each
// compares its rows with its own first row.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sys/unix"

	"weldscale/internal/standin"
)

type cli struct {
	Scheduler string        `help:"The scheduler's program; by default the weldscale beside this one." placeholder:"FILE"`
	For       time.Duration `help:"How long each row plays." default:"10s"`
	Seed      uint64        `help:"Of the clients' jobs and their times." default:"1"`
	Logs      bool          `help:"Show the scheduler's log."`

	SlowPeers slowPeersCmd `cmd:"" name:"slow-peers" help:"Normal traffic alone, beside slow senders and readers, and with few descriptors."`
	Twin      twinCmd      `cmd:"" name:"twin" help:"Scripts of the emulator, played by the model and by real schedulers."`
	Upgrades  upgradesCmd  `cmd:"" name:"upgrades" help:"A scheduler that is replaced again and again under a steady load."`
	Shared    sharedCmd    `cmd:"" name:"shared" help:"Many schedulers that share one rate, a fifth of them stopped or cut off for a while, or a script of faults."`
	Judged    judgedCmd    `cmd:"" name:"judged" help:"Many schedulers and a worker that fails most jobs at once, with and without shared evidence."`
	Services  servicesCmd  `cmd:"" name:"services" help:"Three services in one process, one of them drowned or without workers."`
}

func main() {
	var args cli
	parsed := kong.Parse(&args, kong.Name("weldtrial"), kong.Description("Trials of a real scheduler on this machine."))
	if args.Scheduler == "" {
		self, err := os.Executable()
		parsed.FatalIfErrorf(err)
		args.Scheduler = filepath.Join(filepath.Dir(self), "weldscale")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(&args))
}

// scheduler is a scheduler in a process of its own.
type scheduler struct {
	addr string
	cmd  *exec.Cmd
	dir  string
}

// startScheduler starts a scheduler and waits until it is ready. file is the content of the operator's file; "": none.
func (a *cli) startScheduler(ctx context.Context, config standin.SchedulerConfig, file string) (*scheduler, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &scheduler{addr: ln.Addr().String()}
	ln.Close()
	config.Listen = s.addr
	if s.dir, err = os.MkdirTemp("", "weldtrial"); err != nil {
		return nil, err
	}
	configPath := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(configPath, config.JSON(), 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.Command(a.Scheduler)
	if file != "" {
		filePath := filepath.Join(s.dir, "weldscale.hcl")
		if err := os.WriteFile(filePath, []byte(file), 0o600); err != nil {
			return nil, err
		}
		s.cmd.Args = append(s.cmd.Args, "--config", filePath)
	}
	s.cmd.Env = append(os.Environ(), "GW_CONFIG="+configPath)
	if a.Logs {
		s.cmd.Stderr = os.Stderr
	}
	if err := s.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w (go build -o bin/ ./cmd/... builds both programs)", err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + s.addr + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return s, nil
			}
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			s.stop()
			return nil, fmt.Errorf("the scheduler did not become ready")
		}
	}
}

func (s *scheduler) stop() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	_ = os.RemoveAll(s.dir)
}

// cpu returns the CPU time that the scheduler has used.
func (s *scheduler) cpu() time.Duration { return processCPU(s.cmd.Process.Pid) }

// processCPU returns the CPU time that a process has used, or 0 if it can't be read.
func processCPU(pid int) time.Duration {
	var clock unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|2), &clock) != nil { // the id of its CPU clock, as clock_getcpuclockid(3) computes it
		return 0
	}
	return time.Duration(clock.Nano())
}

// peakMemory returns the scheduler's peak resident memory in MiB.
func (s *scheduler) peakMemory() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(fields[0], 64)
	return kb / 1024
}

// counters returns the counters in the scheduler's statistics.
func (s *scheduler) counters() map[string]string {
	out := map[string]string{}
	resp, err := http.Get("http://" + s.addr + "/-/stats")
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, word := range strings.Fields(string(text)) {
		if name, value, ok := strings.Cut(word, "="); ok {
			out[name] = value
		}
	}
	return out
}
