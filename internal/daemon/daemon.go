// Package daemon is the common main function of the fleet's programs: it handles flags, settings, logging and signals. The
// programs differ only in the settings that they check and in what they run.
//
// Flags are parsed with the standard library. Many daemons run on small machines, and the flag library of the operator's
// tool costs each process 2 MB.
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
	exitFailed = 1 // invalid settings, or an error of the program
	exitUsage  = 2 // invalid command line
)

// Program is one of the fleet's programs.
type Program struct {
	Name  string // name of the command
	About string // one-line description for the help text
	// Check validates the settings that only this program needs; nil: none.
	Check func(*settings.Settings) error
	// Run runs the program until the context is done. It then shuts down within the grace period of the settings.
	Run func(context.Context, *settings.Settings, *zap.Logger) error
}

// Main runs the program and exits the process with its exit code.
func Main(program Program) {
	// SIGHUP announces a change of the settings file. It must not terminate the process before the settings watcher handles
	// the signal.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := program.execute(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// options holds the parsed command line.
type options struct {
	check    bool
	version  bool
	logLevel zapcore.Level
}

// execute runs the program and returns its exit code. It writes an error as one line to stderr. The log goes to stderr too.
func (p Program) execute(ctx context.Context, arguments []string, stderr io.Writer) int {
	parsed, err := p.parse(arguments, stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case parsed.version:
		_, _ = fmt.Fprintln(stderr, p.Name, revision())
		return exitOK
	}
	if err := p.serve(ctx, parsed, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return exitFailed
	}
	return exitOK
}

func (p Program) parse(arguments []string, stderr io.Writer) (options, error) {
	parsed := options{logLevel: zapcore.InfoLevel}
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.BoolVar(&parsed.check, "check", false, "read and check the settings, and end")
	flags.BoolVar(&parsed.version, "version", false, "print the version, and end")
	flags.TextVar(&parsed.logLevel, "log-level", parsed.logLevel, "what the log holds: debug, info, warn or error")
	flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "%s: %s\nThe settings file is the one that %s names.\n", p.Name, p.About, settings.EnvVariable)
		flags.PrintDefaults()
	}
	if err := flags.Parse(arguments); err != nil {
		return parsed, err
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "%s: unexpected argument %q\n", p.Name, flags.Arg(0))
		return parsed, errors.New("unexpected argument")
	}
	return parsed, nil
}

// serve loads and checks the settings and runs the program. With -check it only checks them.
func (p Program) serve(ctx context.Context, parsed options, stderr io.Writer) error {
	current, err := settings.Load()
	if err != nil {
		return err
	}
	if p.Check != nil {
		if err := p.Check(current); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	if parsed.check {
		return nil
	}
	limitMemory(current)
	log := newLogger(stderr, parsed.logLevel).With(zap.String("node", current.NodeName))
	err = p.Run(ctx, current, log)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil // regular shutdown
	}
	return err
}

// memoryShare is the share of the machine's memory that is set as the soft memory limit of the Go runtime, above which the
// garbage collector works harder. Unread data in the socket buffers counts towards the machine's memory too and must fit in the
// rest.
const memoryShare = 0.7

func limitMemory(current *settings.Settings) {
	if current.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(current.Limits.MemoryMb * memoryShare * (1 << 20)))
	}
}

// revision returns the version control revision of the build, or the module version without one.
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
