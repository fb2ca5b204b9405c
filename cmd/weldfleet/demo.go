package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"weldscale/internal/fleetdemo"
)

const (
	flagPrograms = "programs"
	flagRouters  = "routers"
	flagFor      = "for"
	flagLoad     = "load"
	flagLog      = "log"
)

// Defaults of the demo. With its start-up it takes about 15 s.
const (
	demoRouters = 3
	demoFor     = 12 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a fleet between stand-ins on this machine, trouble it, and show what was served",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPrograms, Usage: "`DIR` of the fleet's programs; by default that of this one"},
			&cli.IntFlag{Name: flagRouters, Usage: "`NUMBER` of routers", Value: demoRouters},
			&cli.DurationFlag{Name: flagFor, Usage: "`SPAN` for which clients come", Value: demoFor},
			&cli.FloatFlag{Name: flagLoad, Usage: "`TIMES` the usual load of 62 requests a second", Value: 1},
			&cli.BoolFlag{Name: flagLog, Usage: "show the programs' logs"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	return fleetdemo.Run(ctx, fleetdemo.Options{
		Programs: command.String(flagPrograms),
		Routers:  command.Int(flagRouters),
		For:      command.Duration(flagFor),
		Load:     command.Float(flagLoad),
		Log:      command.Bool(flagLog),
	}, command.Root().Writer)
}
