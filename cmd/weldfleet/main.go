// Command weldfleet is the operator's command line tool for a fleet of routers: it checks, reads, sends and compares
// configurations and shows the state of the fleet's controllers.
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
	exitOK            = 0
	exitFailed        = 1 // the command failed, the configuration is invalid, or two configurations differ
	exitUsage         = 2 // the command line is invalid
	exitConflict      = 3 // the current version is not the base version of the change
	exitIndeterminate = 4 // no conclusive reply before the timeout; a change may have been applied
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := execute(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// errDiffers is returned by a comparison that found differences. It sets the exit code, but no error message is printed for it.
var errDiffers = errors.New("the configurations differ")

// usageError reports an invalid command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// execute runs one command and returns its exit code. It prints an error in one line to stderr.
func execute(ctx context.Context, arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	err := newCommand(stdin, stdout, stderr).Run(ctx, arguments)
	if err != nil && !errors.Is(err, errDiffers) {
		_, _ = fmt.Fprintf(stderr, "weldfleet: %v\n", err)
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
		return exitIndeterminate
	}
	return exitFailed
}

func newCommand(stdin io.Reader, stdout, stderr io.Writer) *cli.Command {
	command := &cli.Command{
		Name:           "weldfleet",
		Usage:          "operate a fleet of routers",
		Reader:         stdin,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // execute prints errors
		OnUsageError:   returnUsageError,
		Flags:          fleetFlags(),
		Commands: []*cli.Command{
			configCommand(),
			statusCommand(),
			membersCommand(),
			replicasCommand(),
			demoCommand(),
		},
		Action: rejectUnknownCommand,
	}
	setUsageErrorHandlers(command)
	return command
}

// setUsageErrorHandlers makes a command and its subcommands return flag errors instead of printing their help.
func setUsageErrorHandlers(command *cli.Command) {
	command.OnUsageError = returnUsageError
	for _, subcommand := range command.Commands {
		setUsageErrorHandlers(subcommand)
	}
}

func returnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}

// rejectUnknownCommand is the action of a command that only has subcommands. It prints the help, or fails if there is an
// argument, which then names no subcommand.
func rejectUnknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError{fmt.Sprintf("unknown command %q", command.Args().First())}
	}
	return cli.ShowSubcommandHelp(command)
}

// arguments returns the positional arguments of a command. It fails with the command's usage unless there are at least minimum
// and at most maximum of them.
func arguments(command *cli.Command, minimum, maximum int) ([]string, error) {
	args := command.Args().Slice()
	if len(args) < minimum || len(args) > maximum {
		return nil, usageError{fmt.Sprintf("usage: %s %s", command.FullName(), command.ArgsUsage)}
	}
	return args, nil
}
