// Command weldhollow measures what the fleet's control plane costs as the number of members grows. It runs hollow members
// against real controllers; package hollow does the measuring.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"weldscale/internal/hollow"
	"weldscale/internal/standin/fleet"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "weldhollow:", err)
		os.Exit(1)
	}
}

// Names of the flags.
const (
	flagSchedulers  = "schedulers"
	flagControllers = "controllers"
	flagSamples     = "samples"
	flagFull        = "full"
	flagWorkers     = "workers"
	flagModels      = "models"
	flagTenants     = "tenants"
	flagPhase       = "phase"
	flagConfigs     = "config-every"
	flagLists       = "list-every"
	flagRestarts    = "restart-every"
	flagPrograms    = "programs"
	flagReport      = "report"
)

func command() *cli.Command {
	defaults := hollow.DefaultOptions()
	return &cli.Command{
		Name:   "weldhollow",
		Usage:  "measure the control of a fleet by members without traffic; ends by itself",
		Action: run,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: flagSchedulers, Usage: "a round for each `NUMBER`", Value: defaults.Schedulers},
			&cli.IntFlag{Name: flagControllers, Usage: "processes, 3 to 9", Value: defaults.Controllers},
			&cli.IntFlag{Name: flagSamples, Usage: "schedulers that are processes of their own", Value: defaults.Samples},
			&cli.IntFlag{Name: flagFull, Usage: "hollow members that decode what they are given", Value: defaults.Full},
			&cli.IntFlag{Name: flagWorkers, Usage: "on the platform's list", Value: defaults.Workers},
			&cli.IntFlag{Name: flagModels, Usage: "services of the configuration", Value: defaults.Models},
			&cli.IntFlag{Name: flagTenants, Usage: "routes of the configuration", Value: defaults.Tenants},
			&cli.DurationFlag{Name: flagPhase, Usage: "span of each phase", Value: defaults.Phase},
			&cli.DurationFlag{Name: flagConfigs, Usage: "between configurations", Value: defaults.ConfigEvery},
			&cli.DurationFlag{Name: flagLists, Usage: "between changes of the list", Value: defaults.ListEvery},
			&cli.DurationFlag{Name: flagRestarts, Usage: "between restarts of members", Value: defaults.RestartEvery},
			&cli.StringFlag{Name: flagPrograms, Usage: "`DIRECTORY` of the fleet's programs; by default they are built"},
			&cli.StringFlag{Name: flagReport, Usage: "write a page with plots to `FILE`"},
		},
	}
}

func run(ctx context.Context, command *cli.Command) error {
	options := hollow.Options{
		Schedulers: command.IntSlice(flagSchedulers), Controllers: command.Int(flagControllers), Samples: command.Int(flagSamples),
		Full: command.Int(flagFull), Workers: command.Int(flagWorkers), Models: command.Int(flagModels), Tenants: command.Int(flagTenants),
		Phase: command.Duration(flagPhase), ConfigEvery: command.Duration(flagConfigs), ListEvery: command.Duration(flagLists),
		RestartEvery: command.Duration(flagRestarts), Programs: command.String(flagPrograms), Progress: os.Stderr,
	}
	programs, remove, err := fleet.ProgramsIn(options.Programs)
	if err != nil {
		return err
	}
	defer remove()
	options.Programs = programs
	results, err := hollow.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := hollow.NewTable(results.Rounds).Write(os.Stdout); err != nil {
		return err
	}
	return writeReport(command.String(flagReport), results)
}

func writeReport(path string, results *hollow.Results) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := hollow.Report(file, results); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
