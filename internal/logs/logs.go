// Package logs sets up the program's log: zap behind log/slog, text for a person at a terminal and JSON for machines, a
// level that can be changed while the program runs, and sampling, so that bad input can't fill the log nor hide other
// faults. It owns the default logger. It must never be asked for a line on a path that every request takes, but at
// the debug level.
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

// Of each kind of line (its level and text) above debug the first few of a second are written, and then one of so many.
const (
	SampleFirst      = 5
	SampleThereafter = 1000
)

var (
	level   = zap.NewAtomicLevel()
	dropped atomic.Int64
)

// Formats are the forms of the log; auto is text where w is a terminal.
var Formats = []string{"auto", "text", "json"}

// Setup makes the default logger write to w. The level is debug, info, warn or error.
func Setup(w io.Writer, to, format string) error {
	if err := SetLevel(to); err != nil {
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
	out := zapcore.Lock(zapcore.AddSync(w))
	// Who asks for debug lines follows requests, and one that lacks lines can't be followed.
	all := zapcore.NewCore(encoder, out, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l == zapcore.DebugLevel && level.Enabled(l) }))
	rest := zapcore.NewCore(encoder, out, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l > zapcore.DebugLevel && level.Enabled(l) }))
	core := zapcore.NewSamplerWithOptions(rest, time.Second, SampleFirst, SampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				dropped.Add(1)
			}
		}))
	slog.SetDefault(slog.New(zapslog.NewHandler(zapcore.NewTee(all, core))))
	return nil
}

// SetLevel changes the level from here on.
func SetLevel(to string) error {
	l, err := zapcore.ParseLevel(to)
	if err != nil || l < zapcore.DebugLevel || l > zapcore.ErrorLevel {
		return fmt.Errorf("log level %q: allowed: debug, info, warn, error", to)
	}
	level.SetLevel(l)
	return nil
}

// Debug reports whether lines of the debug level are written.
func Debug() bool { return level.Enabled(zapcore.DebugLevel) }

// Dropped is how many lines sampling has left out.
func Dropped() int64 { return dropped.Load() }
