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

// fleetFlags returns the global flags: the controllers' addresses, the timeout and the output format.
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

// withTimeout returns a context that ends after the time set by the timeout flag.
func withTimeout(ctx context.Context, command *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, command.Duration(flagTimeout))
}

// controlAddresses returns the Control addresses of the controllers.
func controlAddresses(command *cli.Command) ([]string, error) {
	return addressesFrom(command, flagControl, func(loaded *settings.Settings) []string { return loaded.Seeds })
}

// internalAddresses returns the internal addresses of the controllers.
func internalAddresses(command *cli.Command) ([]string, error) {
	return addressesFrom(command, flagInternal, (*settings.Settings).SeedInternalAddresses)
}

// addressesFrom returns the distinct addresses listed by a flag. Without the flag it loads the settings file named by the
// environment and takes defaults from it. It fails if there is no address or if one is not IP:PORT.
func addressesFrom(command *cli.Command, flag string, defaults func(*settings.Settings) []string) ([]string, error) {
	given := command.StringSlice(flag)
	if len(given) == 0 && os.Getenv(settings.EnvVariable) != "" {
		loaded, err := settings.Load()
		if err != nil {
			return nil, err
		}
		given = defaults(loaded)
	}
	if len(given) == 0 {
		return nil, usageError{"no controller address: set --" + flag + " or name a settings file in " + settings.EnvVariable}
	}
	for _, address := range given {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageError{"--" + flag + ": " + address + " is not IP:PORT"}
		}
	}
	return lo.Uniq(given), nil
}

// newClient returns a client that calls the controllers at their Control addresses.
func newClient(command *cli.Command) (*fleetclient.Client, error) {
	targets, err := controlAddresses(command)
	if err != nil {
		return nil, err
	}
	return fleetclient.New(targets), nil
}
