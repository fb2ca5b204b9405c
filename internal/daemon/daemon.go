// Package daemon starts and ends the programs of the fleet: flags, settings, log and signals. The programs differ only in
// what they check and run.
//
// The flags are read by the standard library: the daemons stand many times on small machines, and the library of the
// operator's tool costs each process 2 MB.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"weldscale/internal/settings"
)

// Exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1 // the settings can't be used, or the program could not go on
	exitUsage  = 2 // the command line can't be used
)

// Program is one of the fleet's programs.
type Program struct {
	Name  string // of the command
	About string // one line for the help
	// Check looks at the settings that only this program needs; nil if there are none.
	Check func(*settings.Settings) error
	// Run works until the context is done, and then ends in order within the grace that the settings give.
	Run func(context.Context, *settings.Settings, *zap.Logger) error
}

// Main runs the program as the process's only work and ends the process.
func Main(program Program) {
	// SIGHUP says that the settings file has changed. Until somebody listens it must not end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := program.execute(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// options is the command line.
type options struct {
	check    bool
	version  bool
	logLevel zapcore.Level
}

// execute runs the program and returns its exit code. A fault is told in one line on complaints, which also takes the log.
func (p Program) execute(ctx context.Context, arguments []string, complaints io.Writer) int {
	chosen, err := p.parse(arguments, complaints)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case chosen.version:
		_, _ = fmt.Fprintln(complaints, p.Name, revision())
		return exitOK
	}
	if err := p.serve(ctx, chosen, complaints); err != nil {
		_, _ = fmt.Fprintf(complaints, "%s: %v\n", p.Name, err)
		return exitFailed
	}
	return exitOK
}

func (p Program) parse(arguments []string, complaints io.Writer) (options, error) {
	chosen := options{logLevel: zapcore.InfoLevel}
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(complaints)
	flags.BoolVar(&chosen.check, "check", false, "read and check the settings, and end")
	flags.BoolVar(&chosen.version, "version", false, "print the version, and end")
	flags.TextVar(&chosen.logLevel, "log-level", chosen.logLevel, "what the log holds: debug, info, warn or error")
	flags.Usage = func() {
		_, _ = fmt.Fprintf(complaints, "%s: %s\nThe settings file is the one that %s names.\n", p.Name, p.About, settings.EnvVariable)
		flags.PrintDefaults()
	}
	if err := flags.Parse(arguments); err != nil {
		return chosen, err
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(complaints, "%s: unexpected argument %q\n", p.Name, flags.Arg(0))
		return chosen, errors.New("unexpected argument")
	}
	return chosen, nil
}

// serve reads the settings and runs the program until it ends.
func (p Program) serve(ctx context.Context, chosen options, complaints io.Writer) error {
	current, err := settings.Load()
	if err != nil {
		return err
	}
	if p.Check != nil {
		if err := p.Check(current); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	if chosen.check {
		return nil
	}
	limitMemory(current)
	log := newLogger(complaints, chosen.logLevel).With(zap.String("node", current.NodeName))
	err = p.Run(ctx, current, log)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil // it was asked to end
	}
	return err
}

// memoryShare is the part of the machine's memory from which on the collector works harder. What has arrived at the
// sockets and is not read yet counts as well, and has to fit in the rest.
const memoryShare = 0.7

func limitMemory(current *settings.Settings) {
	if current.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(current.Limits.MemoryMb * memoryShare * (1 << 20)))
	}
}

// revision tells what the program was built from.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
