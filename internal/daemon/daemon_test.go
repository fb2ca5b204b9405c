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

const validSettings = `{"NodeName": "a-1", "Ip": "10.0.0.1", "Zone": "a", "InternalPorts": [7000, 7010]}`

// useSettings writes a settings file and sets the environment variable to its path.
func useSettings(t *testing.T, content string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	t.Setenv(settings.EnvVariable, path)
}

// testProgram records whether it ran and returns err.
type testProgram struct {
	err   error
	check error
	ran   bool
}

// execute runs the program with the arguments and returns its exit code and output.
func (p *testProgram) execute(ctx context.Context, arguments ...string) (int, string) {
	var output bytes.Buffer
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
	code := program.execute(ctx, arguments, &output)
	return code, output.String()
}

func TestProgramRunsWithItsSettings(t *testing.T) {
	useSettings(t, validSettings)
	var program testProgram
	code, output := program.execute(t.Context())
	assert.Equal(t, exitOK, code)
	assert.True(t, program.ran)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(output), &line), "the log must be one JSON object per line")
	assert.Equal(t, "running", line["msg"])
	assert.Equal(t, "a-1", line["node"])
}

func TestErrorsAreLoggedWithoutStackTraces(t *testing.T) {
	var output bytes.Buffer
	fault := eris.Wrap(eris.New("refused"), "dial")
	newLogger(&output, zap.InfoLevel).With(zap.Error(fault)).Warn("no answer", zap.NamedError("cause", fault), zap.Int("tries", 2))
	var line map[string]any
	require.NoError(t, json.Unmarshal(output.Bytes(), &line))
	delete(line, "ts")
	want := map[string]any{"level": "warn", "msg": "no answer", "error": "dial: refused", "cause": "dial: refused", "tries": 2.0}
	assert.Equal(t, want, line)
}

func TestLogLevel(t *testing.T) {
	useSettings(t, validSettings)
	var program testProgram
	code, output := program.execute(t.Context(), "-log-level", "warn")
	assert.Equal(t, exitOK, code)
	assert.Empty(t, output)
}

func TestErrorsAreReportedInOneLine(t *testing.T) {
	for _, test := range []struct {
		name, content, want string
		program             testProgram
		ran                 bool
	}{
		{name: "missing key", content: `{"NodeName": "a-1"}`, want: ": Ip: missing\n"},
		{name: "invalid JSON", content: `{`, want: ": not valid JSON: unexpected end of JSON input\n"},
		{name: "failed check of the program", content: validSettings, program: testProgram{check: errors.New("Listen: missing")},
			want: "weldtest: settings: Listen: missing\n"},
		{name: "error of the program", content: validSettings, program: testProgram{err: errors.New("address in use")}, ran: true,
			want: "weldtest: address in use\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			useSettings(t, test.content)
			code, output := test.program.execute(t.Context(), "-log-level", "error")
			assert.Equal(t, exitFailed, code)
			assert.Equal(t, test.ran, test.program.ran)
			assert.True(t, strings.HasPrefix(output, "weldtest: "), output)
			assert.True(t, strings.HasSuffix(output, test.want), output)
			assert.Equal(t, 1, strings.Count(output, "\n"))
		})
	}
}

func TestMissingEnvironmentVariable(t *testing.T) {
	t.Setenv(settings.EnvVariable, "")
	var program testProgram
	code, output := program.execute(t.Context())
	assert.Equal(t, exitFailed, code)
	assert.Equal(t, "weldtest: WELDSCALE_CONFIG is not set\n", output)
}

func TestCheckDoesNotRun(t *testing.T) {
	useSettings(t, validSettings)
	var program testProgram
	code, output := program.execute(t.Context(), "-check")
	assert.Equal(t, exitOK, code)
	assert.Empty(t, output)
	assert.False(t, program.ran)
}

func TestCancellationIsNotAFailure(t *testing.T) {
	useSettings(t, validSettings)
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
	useSettings(t, validSettings)
	var program testProgram
	code, output := program.execute(t.Context(), "-help")
	assert.Equal(t, exitOK, code)
	assert.Contains(t, output, "-log-level")
	code, _ = program.execute(t.Context(), "-unknown")
	assert.Equal(t, exitUsage, code)
	code, output = program.execute(t.Context(), "serve")
	assert.Equal(t, exitUsage, code)
	assert.Equal(t, "weldtest: unexpected argument \"serve\"\n", output)
	code, output = program.execute(t.Context(), "-version")
	assert.Equal(t, exitOK, code)
	assert.True(t, strings.HasPrefix(output, "weldtest "), output)
	assert.False(t, program.ran)
}
