// Package logs sets up the default slog logger with zap: text or JSON, a level that can be changed at run time, and sampling,
// so that bad input cannot fill the log or hide other faults. Code that runs for every request must log at the debug level
// only.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/exp/zapslog"
	"go.uber.org/zap/zapcore"
	"golang.org/x/term"
)

// Sampling of messages above the debug level: for each level and message, the first SampleFirst of a second are logged, and
// then every SampleThereafter-th.
const (
	SampleFirst      = 5
	SampleThereafter = 1000
)

var (
	level   = zap.NewAtomicLevel()
	dropped atomic.Int64
)

// Formats lists the log formats. auto is text if the output is a terminal and JSON otherwise.
var Formats = []string{"auto", "text", "json"}

// Setup makes the default slog logger write to w with the given level (debug, info, warn or error) and format.
func Setup(w io.Writer, levelName, format string) error {
	if err := SetLevel(levelName); err != nil {
		return err
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.EncodeTime, c.EncodeDuration = "time", zapcore.RFC3339NanoTimeEncoder, zapcore.StringDurationEncoder
	text := format == "text"
	if f, ok := w.(*os.File); ok && format == "auto" {
		text = term.IsTerminal(int(f.Fd()))
	}
	encoder := zapcore.NewJSONEncoder(c)
	if text {
		c.EncodeTime, c.EncodeLevel = zapcore.TimeEncoderOfLayout("15:04:05.000"), zapcore.CapitalColorLevelEncoder
		encoder = zapcore.NewConsoleEncoder(c)
	}
	output := zapcore.Lock(zapcore.AddSync(w))
	// Debug messages are not sampled: they are used to trace requests, and a trace with gaps is useless.
	debug := zapcore.NewCore(encoder, output, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.DebugLevel && level.Enabled(l) }))
	others := zapcore.NewCore(encoder, output, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l > zapcore.DebugLevel && level.Enabled(l) }))
	sampled := zapcore.NewSamplerWithOptions(others, time.Second, SampleFirst, SampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
	slog.SetDefault(slog.New(zapslog.NewHandler(zapcore.NewTee(debug, sampled))))
	return nil
}

// SetLevel changes the level of the log: debug, info, warn or error. It is safe for concurrent use.
func SetLevel(name string) error {
	l, err := zapcore.ParseLevel(name)
	if err != nil || l < zapcore.DebugLevel || l > zapcore.ErrorLevel {
		return fmt.Errorf("log level %q: allowed: debug, info, warn, error", name)
	}
	level.SetLevel(l)
	return nil
}

// Debug reports whether debug messages are logged.
func Debug() bool { return level.Enabled(zapcore.DebugLevel) }

// Dropped returns the number of messages that sampling has dropped.
func Dropped() int64 { return dropped.Load() }
