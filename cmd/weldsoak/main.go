// Command weldsoak runs the fleet's programs through overlapping series of signals, restarts and changes, by package soak.
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

// The flags.
const (
	flagFirst       = "first-seed"
	flagSeeds       = "seeds"
	flagLength      = "length"
	flagRouters     = "routers"
	flagControllers = "controllers"
	flagKills       = "kills"
	flagQuota       = "quota"
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
			&cli.Uint64Flag{Name: flagFirst, Usage: "the first seed", Value: 1},
			&cli.IntFlag{Name: flagSeeds, Usage: "how many seeds are played", Value: 1},
			&cli.DurationFlag{Name: flagLength, Usage: "of the load of each seed", Value: 20 * time.Second},
			&cli.IntFlag{Name: flagRouters, Usage: "frontend machines, of two processes each", Value: 4},
			&cli.IntFlag{Name: flagControllers, Usage: "core machines", Value: 3},
			&cli.BoolFlag{Name: flagKills, Usage: "kill processes as well"},
			&cli.FloatFlag{Name: flagQuota, Usage: "`SHARE` of a core for each process, full speed until it is spent; 0: none"},
			&cli.IntFlag{Name: flagAtOnce, Usage: "seeds that are played side by side", Value: 1},
			&cli.StringFlag{Name: flagPrograms, Usage: "`DIRECTORY` of the fleet's programs; by default they are built"},
			&cli.BoolFlag{Name: flagLog, Usage: "show the programs' logs"},
		},
	}
}

// errFailed says that a rule was broken.
var errFailed = errors.New("a rule was broken")

func run(ctx context.Context, command *cli.Command) error {
	options := soak.Options{
		Programs: command.String(flagPrograms), Length: command.Duration(flagLength), Routers: command.Int(flagRouters),
		Controllers: command.Int(flagControllers), Kills: command.Bool(flagKills), Quota: command.Float(flagQuota), Log: command.Bool(flagLog),
	}
	if options.Programs == "" {
		directory, err := os.MkdirTemp("", "weldsoak-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(directory) }()
		if err := fleet.Build(directory); err != nil {
			return err
		}
		options.Programs = directory
	}
	first := command.Uint64(flagFirst)
	return playAll(ctx, options, first, first+uint64(command.Int(flagSeeds)), command.Int(flagAtOnce))
}

// playAll plays the seeds from first to before last, some side by side, and prints a line for each.
func playAll(ctx context.Context, options soak.Options, first, last uint64, atOnce int) error {
	var (
		playing  sync.WaitGroup
		printing sync.Mutex
		failures []error
	)
	places := make(chan struct{}, max(1, atOnce))
	for seed := first; seed < last && ctx.Err() == nil; seed++ {
		places <- struct{}{}
		playing.Go(func() {
			defer func() { <-places }()
			own := options
			own.Seed = seed
			report, err := soak.Run(ctx, own)
			printing.Lock()
			defer printing.Unlock()
			if err != nil {
				failures = append(failures, fmt.Errorf("seed %d: %w", seed, err))
				return
			}
			fmt.Println(report)
			if !report.Passed() {
				failures = append(failures, fmt.Errorf("seed %d: %w", seed, errFailed))
			}
		})
	}
	playing.Wait()
	return errors.Join(failures...)
}
