package daemon

import (
	"io"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes one JSON object per line. It does not sample, because the programs write few lines.
func newLogger(out io.Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), level)
	return zap.New(stacklessCore{core})
}

// stacklessCore is a core that writes errors without their stack traces. Stack traces make a line ten times as long, and the
// CPU time of a line grows with its length.
type stacklessCore struct{ zapcore.Core }

// With returns a core that adds the fields to each line.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(fields))}
}

// Check adds the core to the checked entry if the level is enabled.
func (c stacklessCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one line with errors reduced to their messages.
func (c stacklessCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStacks(fields))
}

// withoutStacks replaces each error field by a string field with the error's message.
func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	return lo.Map(fields, func(field zapcore.Field, _ int) zapcore.Field {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			return zap.String(field.Key, err.Error())
		}
		return field
	})
}
