package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"weldscale/internal/fleetclient"
	"weldscale/internal/fleetconfig"
	"weldscale/internal/fleetwire"
)

const (
	flagBase = "base"

	// stdinPath given as a file name means standard input.
	stdinPath = "-"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:   "config",
		Usage:  "check, read, send and compare configurations",
		Action: rejectUnknownCommand,
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a configuration as the controllers would, without a fleet",
				ArgsUsage: "FILE",
				Action:    checkConfig,
			},
			{
				Name:   "get",
				Usage:  "print the newest configuration as it was sent",
				Action: getConfig,
			},
			{
				Name:      "put",
				Usage:     "send a configuration",
				ArgsUsage: "FILE",
				Flags: []cli.Flag{&cli.Int64Flag{
					Name:  flagBase,
					Usage: "`VERSION` that it builds on, 0 for the first; by default the current one",
					Value: -1, HideDefault: true,
				}},
				Action: putConfig,
			},
			{
				Name:      "diff",
				Usage:     "compare two configurations, or the current one with a file; exits 1 if they differ",
				ArgsUsage: "[OLD] NEW",
				Action:    diffConfigs,
			},
		},
	}
}

func checkConfig(_ context.Context, command *cli.Command) error {
	args, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	_, config, err := readConfig(command, args[0])
	if err != nil {
		return err
	}
	return printLine(command, "version %d: %d routes, %d services", config.Version, len(config.Routes), len(config.Services))
}

func getConfig(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, command)
	defer cancel()
	body, _, err := currentConfig(ctx, command)
	if err != nil {
		return err
	}
	_, err = command.Root().Writer.Write(body)
	return err
}

func putConfig(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	body, config, err := readConfig(command, args[0])
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, command)
	defer cancel()
	client, err := newClient(command)
	if err != nil {
		return err
	}
	defer client.Close()
	base, currentBody, err := baseVersion(ctx, command, client)
	if err != nil {
		return err
	}
	if bytes.Equal(currentBody, body) {
		return printLine(command, "version %d is the current one already", config.Version)
	}
	if err := fleetconfig.CheckVersion(config, base); err != nil {
		return err
	}
	if err := client.Replace(ctx, base, body); err != nil {
		return err
	}
	return printLine(command, "version %d is taken, on top of %d", config.Version, base)
}

// baseVersion returns the version that a change builds on. Without the --base flag it is the current version, which is read
// from the fleet and returned together with its body.
func baseVersion(ctx context.Context, command *cli.Command, client *fleetclient.Client) (int64, []byte, error) {
	if command.IsSet(flagBase) {
		base := command.Int64(flagBase)
		if base < 0 {
			return 0, nil, usageError{"--" + flagBase + ": must not be negative"}
		}
		return base, nil, nil
	}
	body, err := client.Read(ctx)
	if errors.Is(err, fleetclient.ErrNoConfig) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	current, err := fleetconfig.Parse(body)
	if err != nil {
		return 0, nil, eris.Wrap(err, "parsing the current configuration")
	}
	return current.Version, body, nil
}

func diffConfigs(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, 1, 2)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, command)
	defer cancel()
	old, err := loadOldConfig(ctx, command, args)
	if err != nil {
		return err
	}
	_, next, err := readConfig(command, args[len(args)-1])
	if err != nil {
		return err
	}
	differences := fleetconfig.Diff(old, next)
	if err := printDifferences(command, differences); err != nil {
		return err
	}
	if len(differences) > 0 {
		return errDiffers
	}
	return nil
}

// loadOldConfig returns the configuration that the last argument is compared with: the first of two files, or the fleet's
// current configuration if only one file is given.
func loadOldConfig(ctx context.Context, command *cli.Command, args []string) (*fleetwire.Config, error) {
	if len(args) == 1 {
		_, config, err := currentConfig(ctx, command)
		return config, err
	}
	_, config, err := readConfig(command, args[0])
	return config, err
}

func printDifferences(command *cli.Command, differences []fleetconfig.Difference) error {
	if command.Bool(flagJSON) {
		return printJSON(command, differences)
	}
	if len(differences) == 0 {
		return nil
	}
	rows := newTable("PART", "NAME", "WHAT", "OLD", "NEW")
	for _, difference := range differences {
		rows.add(difference.Part, difference.Name, difference.What, difference.Old, difference.New)
	}
	return rows.print(command.Root().Writer)
}

// currentConfig reads the newest configuration from the fleet and returns its body and its parsed form.
func currentConfig(ctx context.Context, command *cli.Command) ([]byte, *fleetwire.Config, error) {
	client, err := newClient(command)
	if err != nil {
		return nil, nil, err
	}
	defer client.Close()
	body, err := client.Read(ctx)
	if err != nil {
		return nil, nil, err
	}
	config, err := fleetconfig.Parse(body)
	return body, config, eris.Wrap(err, "parsing the current configuration")
}

// readConfig reads and validates a configuration from a file, or from standard input if path is stdinPath. It returns the body
// and the parsed configuration.
func readConfig(command *cli.Command, path string) ([]byte, *fleetwire.Config, error) {
	body, err := readFile(command, path)
	if err != nil {
		return nil, nil, err
	}
	config, err := fleetconfig.Parse(body)
	return body, config, eris.Wrap(err, path)
}

func readFile(command *cli.Command, path string) ([]byte, error) {
	if path != stdinPath {
		return os.ReadFile(path)
	}
	return io.ReadAll(io.LimitReader(command.Root().Reader, fleetconfig.MaxBytes+1))
}

func printLine(command *cli.Command, format string, values ...any) error {
	_, err := fmt.Fprintf(command.Root().Writer, format+"\n", values...)
	return err
}

func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
