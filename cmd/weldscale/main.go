// Command weldscale is a job scheduler. It accepts jobs from clients over HTTP and pushes each to a worker that package
// decide chooses. Without a command it runs "serve". This file defines the command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"weldscale/internal/logs"
)

// cli holds the flags and commands of the command line.
type cli struct {
	LogLevel  string `help:"What the log holds: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	LogFormat string `help:"auto is text on a terminal and json elsewhere." enum:"auto,text,json" default:"auto"`

	Serve      serveCmd      `cmd:"" default:"withargs" help:"Serve, by the configuration that GW_CONFIG names; what runs where no command is given."`
	Check      checkCmd      `cmd:"" help:"Read a file as serve would, and say what holds, or every fault."`
	Demo       demoCmd       `cmd:"" help:"Play a scheduler with workers, troubles and clients on this machine, and show how it went."`
	Rehearse   rehearseCmd   `cmd:"" help:"Play scripts of a fleet and its troubles in simulated time, and show what came of them."`
	Experiment experimentCmd `cmd:"" help:"Play a matrix of scripts, sizes, policies and seeds over all cores, and compare."`
	Load       loadCmd       `cmd:"" help:"Drive a running scheduler with jobs, and show how they ended."`
	Stats      statsCmd      `cmd:"" help:"Print the counters of a running scheduler."`
	Reload     reloadCmd     `cmd:"" help:"Have a running scheduler read its files anew; says what is wrong with them."`
	Drain      drainCmd      `cmd:"" help:"Have a running scheduler answer what it has and end."`
	Ready      readyCmd      `cmd:"" help:"Ask a running scheduler whether it is ready to serve."`
	Counters   countersCmd   `cmd:"" help:"Print the figures of a running scheduler, as JSON."`
	Offline    offlineCmd    `cmd:"" help:"Have a running scheduler send nothing more to a worker."`
	Online     onlineCmd     `cmd:"" help:"Put a worker back that was taken out."`
	Fleet      fleetCmd      `cmd:"" help:"Print the members of a running scheduler's fleet, and its parts of the budgets."`
	Level      levelCmd      `cmd:"" help:"Change the log level of a running scheduler."`

	Reference  referenceCmd                 `cmd:"" hidden:"" help:"Print the reference page."`
	Version    versionCmd                   `cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what makes the shell complete commands."`
}

type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("the binary contains no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("weldscale %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}

// newParser returns the parser of the command line.
func newParser(args *cli) *kong.Kong {
	return kong.Must(args, kong.Name("weldscale"), kong.Description("A job scheduler. Without a command it serves, by the "+
		"configuration that GW_CONFIG names."), kong.ShortUsageOnError())
}

func main() {
	var args cli
	k := newParser(&args)
	kongplete.Complete(k)
	parsed, err := k.Parse(os.Args[1:])
	if err != nil {
		fail(err)
	}
	if err := logs.Setup(os.Stderr, args.LogLevel, args.LogFormat); err != nil {
		fail(err)
	}
	ctx := context.Background()
	if name := parsed.Command(); name != "serve" { // serve installs its own signal handlers
		var stop func()
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fail(err)
	}
}

// fail prints err to standard error, one line per error, and exits with status 1.
func fail(err error) {
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintln(os.Stderr, "weldscale:", strings.TrimSuffix(line, "\n"))
	}
	os.Exit(1)
}
