package daemon

import (
	"io"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes one JSON object a line. Nothing is sampled: the programs write few lines.
func newLogger(out io.Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), level)
	return zap.New(shortErrors{core})
}

// shortErrors is a core that writes errors without their stacks. Stacks make each line ten times as long, and a line costs
// processor time by its length.
type shortErrors struct{ zapcore.Core }

// With returns the core with fields that each line carries.
func (c shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{c.Core.With(shortened(fields))}
}

// Check adds the core to those that write the entry.
func (c shortErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one line.
func (c shortErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, shortened(fields))
}

func shortened(fields []zapcore.Field) []zapcore.Field {
	return lo.Map(fields, func(field zapcore.Field, _ int) zapcore.Field {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			return zap.String(field.Key, err.Error())
		}
		return field
	})
}
