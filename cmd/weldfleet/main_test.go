package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetclient"
	"weldscale/internal/fleetconfig"
	"weldscale/internal/fleetwire"
	"weldscale/internal/settings"
)

const (
	firstConfig = `{"Version":3,"Routes":[{"Name":"r","Hostname":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":800,` +
		`"Service":"s"}],"Services":[{"Name":"s"}]}`
	invalidConfig = `{"Version":3,"Routes":[{"Name":"r","TimeoutMs":0,"Service":"s"}],"Services":[{"Name":"s"}]}`
)

var secondConfig = strings.NewReplacer(`"Version":3`, `"Version":8`, `800`, `900`).Replace(firstConfig)

// fakeController is a control plane with a single controller. It accepts any valid configuration whose base is the current
// version.
type fakeController struct {
	address string
	current string
	version int64
}

func newFakeController(t *testing.T) *fakeController {
	t.Helper()
	c := new(fakeController)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/read", c.read)
	mux.HandleFunc("POST /config/replace", c.replace)
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(c.status))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func (c *fakeController) read(w http.ResponseWriter, _ *http.Request) {
	if c.current == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, c.current)
}

func (c *fakeController) replace(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	config, err := fleetconfig.Parse(body)
	if err != nil {
		w.WriteHeader(fleetconfig.StatusOf(err))
		return
	}
	if base, _ := json.Number(r.Header.Get("Base-Version")).Int64(); base != c.version {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	c.current, c.version = string(body), config.Version
}

func (c *fakeController) status(context.Context, struct{}) (fleetclient.ControllerStatus, error) {
	return fleetclient.ControllerStatus{
		Member:      fleetwire.Member{Name: "core-1", Zone: "north", Region: "region"},
		Revision:    9,
		Version:     c.version,
		Replicas:    []string{c.address, "127.0.0.1:1"},
		Live:        []string{c.address},
		Held:        []string{"reader"},
		List:        fleetwire.ListVersion{Token: 2, Sequence: 41},
		Instances:   18,
		ListAgeMs:   250,
		QuorumAgeMs: int64(365 * 24 * time.Hour / time.Millisecond),
		Routers:     9,
	}, nil
}

// run executes one command and returns its exit code and what it wrote to standard output and standard error.
func run(t *testing.T, input string, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	var outBuffer, errBuffer bytes.Buffer
	code = execute(t.Context(), append([]string{"weldfleet"}, arguments...), strings.NewReader(input), &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

func writeTempFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestConfigCheckRunsWithoutController(t *testing.T) {
	code, stdout, _ := run(t, "", "config", "check", writeTempFile(t, firstConfig))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3: 1 routes, 1 services\n", stdout)

	code, stdout, _ = run(t, secondConfig, "config", "check", "-")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 8: 1 routes, 1 services\n", stdout)

	code, stdout, stderr := run(t, "", "config", "check", writeTempFile(t, invalidConfig))
	assert.Equal(t, exitFailed, code)
	assert.Empty(t, stdout)
	assert.Contains(t, stderr, `route "r": TimeoutMs: missing or not above 0`)
	assert.Equal(t, 1, strings.Count(stderr, "\n"))
}

// TestConfigCheckRefusesWhatIsTooLarge guards against a check that passes a configuration which controllers refuse for its size.
func TestConfigCheckRefusesWhatIsTooLarge(t *testing.T) {
	padded := firstConfig + strings.Repeat(" ", fleetconfig.MaxBytes-len(firstConfig))
	code, _, _ := run(t, padded, "config", "check", "-")
	assert.Equal(t, exitOK, code)
	for _, arguments := range [][]string{{"config", "check", "-"}, {"config", "check", writeTempFile(t, padded+" ")}} {
		code, _, stderr := run(t, padded+" ", arguments...)
		assert.Equal(t, exitFailed, code)
		assert.Contains(t, stderr, "too-large")
	}
}

func TestConfigPutGetAndDiff(t *testing.T) {
	fake := newFakeController(t)
	controlFlag := "--control=" + fake.address
	code, _, stderr := run(t, "", controlFlag, "config", "get")
	assert.Equal(t, exitFailed, code)
	assert.Equal(t, "weldfleet: there is no configuration\n", stderr)

	code, stdout, _ := run(t, "", controlFlag, "config", "put", writeTempFile(t, firstConfig))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3 is taken, on top of 0\n", stdout)

	code, stdout, _ = run(t, "", controlFlag, "config", "put", writeTempFile(t, firstConfig))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3 is the current one already\n", stdout)

	code, stdout, _ = run(t, "", controlFlag, "config", "get")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, firstConfig, stdout)

	code, stdout, stderr = run(t, "", controlFlag, "config", "diff", writeTempFile(t, secondConfig))
	assert.Equal(t, exitFailed, code)
	assert.Empty(t, stderr, "differences must not be reported as an error")
	assert.Equal(t, []string{"route", "a.example/x/", "TimeoutMs", "800", "900"}, strings.Fields(lastLine(stdout)))

	code, _, stderr = run(t, "", controlFlag, "config", "put", "--base", "1", writeTempFile(t, secondConfig))
	assert.Equal(t, exitConflict, code)
	assert.Equal(t, "weldfleet: status 412: another version is current\n", stderr)

	code, stdout, _ = run(t, secondConfig, controlFlag, "config", "put", "-")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 8 is taken, on top of 3\n", stdout)

	code, _, stderr = run(t, "", controlFlag, "config", "put", writeTempFile(t, firstConfig))
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "not above the current one")
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func TestConfigDiffOfFiles(t *testing.T) {
	code, stdout, _ := run(t, "", "config", "diff", writeTempFile(t, firstConfig), writeTempFile(t, firstConfig))
	assert.Equal(t, exitOK, code)
	assert.Empty(t, stdout)
	code, stdout, _ = run(t, "", "--json", "config", "diff", writeTempFile(t, firstConfig), writeTempFile(t, secondConfig))
	assert.Equal(t, exitFailed, code)
	var differences []fleetconfig.Difference
	require.NoError(t, json.Unmarshal([]byte(stdout), &differences))
	assert.Len(t, differences, 2)
}

func TestStatusMembersAndReplicasOutput(t *testing.T) {
	fake := newFakeController(t)
	internalFlag := "--internal=" + fake.address
	code, stdout, _ := run(t, "", internalFlag, "status")
	assert.Equal(t, exitOK, code)
	lines := strings.Split(stdout, "\n")
	assert.Contains(t, lines[1], "unreachable: ", "the second replica does not answer")
	assert.Equal(t, []string{fake.address, "core-1", "north", "0", "9", "never", "reader", "2.41", "18", "250ms", "9"},
		strings.Fields(lines[2]))

	code, stdout, _ = run(t, "", internalFlag, "members")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, []string{fake.address, "core-1", "north", "region", "yes", fake.address, "yes"}, strings.Fields(lastLine(stdout)))

	code, stdout, _ = run(t, "", internalFlag, "replicas")
	assert.Equal(t, exitOK, code)
	lines = strings.Split(stdout, "\n")
	assert.Equal(t, []string{fake.address, "core-1", "north", "yes", "9", "0", "never"}, strings.Fields(lines[1]))
	assert.Equal(t, []string{"127.0.0.1:1", "-", "-", "no", "-", "-", "-"}, strings.Fields(lines[2]))

	code, stdout, _ = run(t, "", internalFlag, "--json", "status")
	assert.Equal(t, exitOK, code)
	var probes []probeJSON
	require.NoError(t, json.Unmarshal([]byte(stdout), &probes))
	require.Len(t, probes, 2)
	assert.NotEmpty(t, probes[0].Error)
	assert.Equal(t, 18, probes[1].Status.Instances)
}

func TestExitCodeIfNoControllerAnswers(t *testing.T) {
	code, _, stderr := run(t, "", "--internal=127.0.0.1:1", "status")
	assert.Equal(t, exitIndeterminate, code)
	assert.Contains(t, stderr, "no controller answered")
	code, _, _ = run(t, "", "--control=127.0.0.1:1", "--timeout=10ms", "config", "get")
	assert.Equal(t, exitIndeterminate, code)
}

func TestAddressesDefaultToSettingsFile(t *testing.T) {
	fake := newFakeController(t)
	fake.current = firstConfig
	settingsJSON := `{"NodeName":"n","Ip":"127.0.0.1","Zone":"z","InternalPorts":[1,2],"Seeds":["` + fake.address + `"]}`
	t.Setenv(settings.EnvVariable, writeTempFile(t, settingsJSON))
	code, stdout, _ := run(t, "", "config", "get")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, firstConfig, stdout)
}

func TestUsageErrors(t *testing.T) {
	t.Setenv(settings.EnvVariable, "")
	for _, arguments := range [][]string{
		{"bogus"},
		{"config", "bogus"},
		{"config", "check"},
		{"config", "check", "a", "b"},
		{"config", "diff"},
		{"config", "get", "more"},
		{"status", "more"},
		{"status", "--bogus"},
		{"--timeout", "soon", "status"},
		{"status"},
		{"config", "get"},
		{"--internal", "here", "status"},
		{"--control", "here", "config", "get"},
		{"--control", "127.0.0.1:1", "config", "put", "--base", "-1", writeTempFile(t, firstConfig)},
	} {
		code, stdout, stderr := run(t, "", arguments...)
		assert.Equal(t, exitUsage, code, arguments)
		assert.Empty(t, stdout, arguments)
		assert.Equal(t, 1, strings.Count(stderr, "\n"), "%v: %s", arguments, stderr)
	}
}

func TestHelp(t *testing.T) {
	for _, arguments := range [][]string{{}, {"--help"}, {"config"}, {"config", "put", "--help"}} {
		code, stdout, stderr := run(t, "", arguments...)
		assert.Equal(t, exitOK, code, arguments)
		assert.Contains(t, stdout, "USAGE", arguments)
		assert.Empty(t, stderr)
	}
}
