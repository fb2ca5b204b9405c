// Command weldsoak runs the fleet's programs under overlapping series of signals, restarts and configuration changes, with
// package soak.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"weldscale/internal/soak"
	"weldscale/internal/standin/fleet"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "weldsoak:", err)
		os.Exit(1)
	}
}

// Names of the command line flags.
const (
	flagFirstSeed   = "first-seed"
	flagSeeds       = "seeds"
	flagLength      = "length"
	flagRouters     = "routers"
	flagControllers = "controllers"
	flagKills       = "kills"
	flagQuota       = "quota"
	flagSpoil       = "spoil"
	flagAtOnce      = "at-once"
	flagPrograms    = "programs"
	flagLog         = "log"
)

func command() *cli.Command {
	return &cli.Command{
		Name:   "weldsoak",
		Usage:  "run the fleet's programs through overlapping series of signals, restarts and changes; ends by itself",
		Action: run,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagFirstSeed, Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: flagSeeds, Usage: "how many seeds are played", Value: 1},
			&cli.DurationFlag{Name: flagLength, Usage: "of the load of each seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: flagRouters, Usage: "frontend machines, of two processes each", Value: 4},
			&cli.IntFlag{Name: flagControllers, Usage: "core machines", Value: 3},
			&cli.BoolFlag{Name: flagKills, Usage: "kill processes as well"},
			&cli.FloatFlag{Name: flagQuota, Usage: "`SHARE` of a core for each process, full speed until it is spent; 0: none"},
			&cli.FloatFlag{Name: flagSpoil, Usage: "`SHARE` of the requests whose answers the workers break off or spoil", Value: 0.02},
			&cli.IntFlag{Name: flagAtOnce, Usage: "seeds that are played side by side", Value: 1},
			&cli.StringFlag{Name: flagPrograms, Usage: "`DIRECTORY` of the fleet's programs; by default they are built"},
			&cli.BoolFlag{Name: flagLog, Usage: "show the programs' logs"},
		},
	}
}

// errRuleBroken reports that a run broke a rule.
var errRuleBroken = errors.New("a rule was broken")

func run(ctx context.Context, command *cli.Command) error {
	options := soak.Options{
		Programs: command.String(flagPrograms), Length: command.Duration(flagLength), Routers: command.Int(flagRouters),
		Controllers: command.Int(flagControllers), Kills: command.Bool(flagKills), Quota: command.Float(flagQuota), Spoil: command.Float(flagSpoil),
		Log: command.Bool(flagLog),
	}
	programs, remove, err := fleet.ProgramsIn(options.Programs)
	if err != nil {
		return err
	}
	defer remove()
	options.Programs = programs
	first := command.Uint64(flagFirstSeed)
	return runSeeds(ctx, options, first, first+uint64(command.Int(flagSeeds)), command.Int(flagAtOnce))
}

// runSeeds executes a run for each seed from first up to but not including end, up to parallel of them at once, and prints
// their reports.
func runSeeds(ctx context.Context, options soak.Options, first, end uint64, parallel int) error {
	var (
		running  sync.WaitGroup
		printing sync.Mutex
		failures []error
	)
	slots := make(chan struct{}, max(1, parallel))
	for seed := first; seed < end && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			runOptions := options
			runOptions.Seed = seed
			report, err := soak.Run(ctx, runOptions)
			printing.Lock()
			defer printing.Unlock()
			if err != nil {
				failures = append(failures, fmt.Errorf("seed %d: %w", seed, err))
				return
			}
			fmt.Println(report)
			if !report.Passed() {
				failures = append(failures, fmt.Errorf("seed %d: %w", seed, errRuleBroken))
			}
		})
	}
	running.Wait()
	return errors.Join(failures...)
}
