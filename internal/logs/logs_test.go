package logs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A flood of one message must not drop other messages, and dropped messages must be counted.
func TestSampling(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Setup(&out, "info", "json"))
	before := Dropped()
	for range 500 {
		slog.Warn("bad request", "status", 400)
	}
	slog.Warn("slow peer cut", "phase", "sending")
	slog.Debug("attempt")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Less(t, len(lines), 20)
	assert.Equal(t, int64(501-len(lines)), Dropped()-before)
	var last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &last))
	assert.Equal(t, "slow peer cut", last["msg"])
	assert.Equal(t, "sending", last["phase"])
	assert.Equal(t, "warn", last["level"])
}

func TestLevel(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Setup(&out, "info", "text"))
	assert.False(t, Debug())
	require.NoError(t, SetLevel("debug"))
	assert.True(t, Debug())
	slog.Debug("attempt", "request", 7)
	assert.Contains(t, out.String(), `attempt	{"request": 7}`)
	out.Reset()
	for range 500 {
		slog.Debug("attempt")
	}
	assert.Equal(t, 500, strings.Count(out.String(), "attempt"), "debug messages are not sampled")
	for _, bad := range []string{"loud", "panic", "fatal"} {
		assert.ErrorContains(t, SetLevel(bad), "allowed: debug, info, warn, error")
	}
	assert.True(t, Debug(), "an invalid level leaves the level unchanged")
	require.NoError(t, SetLevel("info"))
}
