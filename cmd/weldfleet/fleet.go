package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"weldscale/internal/fleetclient"
	"weldscale/internal/settings"
)

const (
	flagControl  = "control"
	flagInternal = "internal"
	flagTimeout  = "timeout"
	flagJSON     = "json"

	defaultTimeout = 10 * time.Second
)

// fleetFlags say where the fleet is. They hold for all commands.
func fleetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:  flagControl,
			Usage: "Control address `IP:PORT` of a controller, may be repeated; by default the seeds of " + settings.EnvVariable,
		},
		&cli.StringSliceFlag{
			Name:  flagInternal,
			Usage: "internal address `IP:PORT` of a controller, may be repeated; by default from the same seeds",
		},
		&cli.DurationFlag{Name: flagTimeout, Usage: "give up after this time", Value: defaultTimeout},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON instead of tables"},
	}
}

// withTimeout bounds a command by its flag.
func withTimeout(ctx context.Context, command *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, command.Duration(flagTimeout))
}

// controls returns the Control addresses to call.
func controls(command *cli.Command) ([]string, error) {
	return addresses(command, flagControl, func(known *settings.Settings) []string { return known.Seeds })
}

// internals returns the internal addresses to ask.
func internals(command *cli.Command) ([]string, error) {
	return addresses(command, flagInternal, (*settings.Settings).SeedInternalAddresses)
}

// addresses returns those of a flag, or those of the settings file if the flag is not given.
func addresses(command *cli.Command, flag string, fromSettings func(*settings.Settings) []string) ([]string, error) {
	given := command.StringSlice(flag)
	if len(given) == 0 && os.Getenv(settings.EnvVariable) != "" {
		known, err := settings.Load()
		if err != nil {
			return nil, err
		}
		given = fromSettings(known)
	}
	if len(given) == 0 {
		return nil, usageError{"name a controller with --" + flag + ", or a settings file with " + settings.EnvVariable}
	}
	for _, address := range given {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageError{"--" + flag + ": " + address + " is not IP:PORT"}
		}
	}
	return lo.Uniq(given), nil
}

// newClient returns a client of the fleet's controllers.
func newClient(command *cli.Command) (*fleetclient.Client, error) {
	known, err := controls(command)
	if err != nil {
		return nil, err
	}
	return fleetclient.New(known), nil
}
