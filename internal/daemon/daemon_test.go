package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/internal/settings"
)

const usable = `{"NodeName": "a-1", "Ip": "10.0.0.1", "Zone": "a", "InternalPorts": [7000, 7010]}`

// useSettings writes a settings file and names it as the platform does.
func useSettings(t *testing.T, content string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	t.Setenv(settings.EnvVariable, path)
}

// testProgram notes whether it ran, and ends with err.
type testProgram struct {
	err   error
	check error
	ran   bool
}

// execute runs the program with these arguments and returns its exit code and what it printed.
func (p *testProgram) execute(ctx context.Context, arguments ...string) (int, string) {
	var printed bytes.Buffer
	program := Program{
		Name:  "weldtest",
		About: "is tested",
		Check: func(*settings.Settings) error { return p.check },
		Run: func(_ context.Context, _ *settings.Settings, log *zap.Logger) error {
			p.ran = true
			log.Info("running")
			return p.err
		},
	}
	code := program.execute(ctx, arguments, &printed)
	return code, printed.String()
}

func TestProgramRunsWithItsSettings(t *testing.T) {
	useSettings(t, usable)
	var program testProgram
	code, printed := program.execute(t.Context())
	assert.Equal(t, exitOK, code)
	assert.True(t, program.ran)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(printed), &line), "the log is one JSON object a line")
	assert.Equal(t, "running", line["msg"])
	assert.Equal(t, "a-1", line["node"])
}

func TestErrorsAreLoggedWithoutTheirStacks(t *testing.T) {
	var printed bytes.Buffer
	fault := eris.Wrap(eris.New("refused"), "dial")
	newLogger(&printed, zap.InfoLevel).With(zap.Error(fault)).Warn("no answer", zap.NamedError("cause", fault), zap.Int("tries", 2))
	var line map[string]any
	require.NoError(t, json.Unmarshal(printed.Bytes(), &line))
	delete(line, "ts")
	want := map[string]any{"level": "warn", "msg": "no answer", "error": "dial: refused", "cause": "dial: refused", "tries": 2.0}
	assert.Equal(t, want, line)
}

func TestLogLevel(t *testing.T) {
	useSettings(t, usable)
	var program testProgram
	code, printed := program.execute(t.Context(), "-log-level", "warn")
	assert.Equal(t, exitOK, code)
	assert.Empty(t, printed)
}

func TestFaultsAreToldInOneLine(t *testing.T) {
	for _, test := range []struct {
		name, content, want string
		program             testProgram
		ran                 bool
	}{
		{name: "a missing key", content: `{"NodeName": "a-1"}`, want: ": Ip: missing\n"},
		{name: "not JSON", content: `{`, want: ": not valid JSON: unexpected end of JSON input\n"},
		{name: "a key that only this program needs", content: usable, program: testProgram{check: errors.New("Listen: missing")},
			want: "weldtest: settings: Listen: missing\n"},
		{name: "a program that can't go on", content: usable, program: testProgram{err: errors.New("address in use")}, ran: true,
			want: "weldtest: address in use\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			useSettings(t, test.content)
			code, printed := test.program.execute(t.Context(), "-log-level", "error")
			assert.Equal(t, exitFailed, code)
			assert.Equal(t, test.ran, test.program.ran)
			assert.True(t, strings.HasPrefix(printed, "weldtest: "), printed)
			assert.True(t, strings.HasSuffix(printed, test.want), printed)
			assert.Equal(t, 1, strings.Count(printed, "\n"))
		})
	}
}

func TestWithoutSettings(t *testing.T) {
	t.Setenv(settings.EnvVariable, "")
	var program testProgram
	code, printed := program.execute(t.Context())
	assert.Equal(t, exitFailed, code)
	assert.Equal(t, "weldtest: WELDSCALE_CONFIG is not set\n", printed)
}

func TestCheckDoesNotRun(t *testing.T) {
	useSettings(t, usable)
	var program testProgram
	code, printed := program.execute(t.Context(), "-check")
	assert.Equal(t, exitOK, code)
	assert.Empty(t, printed)
	assert.False(t, program.ran)
}

func TestAProgramThatWasAskedToEndHasNotFailed(t *testing.T) {
	useSettings(t, usable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	program := testProgram{err: context.Canceled}
	code, _ := program.execute(ctx)
	assert.Equal(t, exitOK, code)

	program.err = errors.New("could not write")
	code, _ = program.execute(ctx)
	assert.Equal(t, exitFailed, code)
}

func TestUsage(t *testing.T) {
	useSettings(t, usable)
	var program testProgram
	code, printed := program.execute(t.Context(), "-help")
	assert.Equal(t, exitOK, code)
	assert.Contains(t, printed, "-log-level")
	code, _ = program.execute(t.Context(), "-unknown")
	assert.Equal(t, exitUsage, code)
	code, printed = program.execute(t.Context(), "serve")
	assert.Equal(t, exitUsage, code)
	assert.Equal(t, "weldtest: unexpected argument \"serve\"\n", printed)
	code, printed = program.execute(t.Context(), "-version")
	assert.Equal(t, exitOK, code)
	assert.True(t, strings.HasPrefix(printed, "weldtest "), printed)
	assert.False(t, program.ran)
}
