// Command weldfleet is the operator's tool for a fleet of routers: it checks, reads and sends configurations and shows how
// the fleet stands. This file owns the command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"weldscale/internal/fleetclient"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed, the configuration is invalid, or two configurations differ
	exitUsage    = 2
	exitConflict = 3 // another version is current
	exitUnclear  = 4 // no clear answer in time; a change may have been taken
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := execute(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// errDiffers ends a comparison that found differences. It is not told as a fault.
var errDiffers = errors.New("the configurations differ")

// usageError is a fault of the command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// execute runs one command and returns its exit code. A fault is told in one line on complaints.
func execute(ctx context.Context, arguments []string, in io.Reader, out, complaints io.Writer) int {
	err := newCommand(in, out, complaints).Run(ctx, arguments)
	if err != nil && !errors.Is(err, errDiffers) {
		_, _ = fmt.Fprintf(complaints, "weldfleet: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, fleetclient.ErrConflict):
		return exitConflict
	case errors.Is(err, fleetclient.ErrIndeterminate):
		return exitUnclear
	}
	return exitFailed
}

func newCommand(in io.Reader, out, complaints io.Writer) *cli.Command {
	command := &cli.Command{
		Name:           "weldfleet",
		Usage:          "operate a fleet of routers",
		Reader:         in,
		Writer:         out,
		ErrWriter:      complaints,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // execute tells faults
		OnUsageError:   tellUsage,
		Flags:          fleetFlags(),
		Commands: []*cli.Command{
			configCommand(),
			statusCommand(),
			membersCommand(),
			replicasCommand(),
			demoCommand(),
		},
		Action: refuseUnknown,
	}
	setUsageErrors(command)
	return command
}

// setUsageErrors has each command return faults of its flags instead of printing its help.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = tellUsage
	for _, inner := range command.Commands {
		setUsageErrors(inner)
	}
}

func tellUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}

// refuseUnknown is the action of a command that only holds others.
func refuseUnknown(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError{fmt.Sprintf("there is no command %q", command.Args().First())}
	}
	return cli.ShowSubcommandHelp(command)
}

// arguments returns the arguments of a command if their number is right.
func arguments(command *cli.Command, least, most int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < least || len(given) > most {
		return nil, usageError{fmt.Sprintf("usage: %s %s", command.FullName(), command.ArgsUsage)}
	}
	return given, nil
}
