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
	first = `{"Version":3,"Routes":[{"Name":"r","Hostname":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":800,` +
		`"Service":"s"}],"Services":[{"Name":"s"}]}`
	invalid = `{"Version":3,"Routes":[{"Name":"r","TimeoutMs":0,"Service":"s"}],"Services":[{"Name":"s"}]}`
)

var second = strings.NewReplacer(`"Version":3`, `"Version":8`, `800`, `900`).Replace(first)

// controller is a control plane of one: it takes every configuration on top of the current one.
type controller struct {
	address string
	current string
	version int64
}

func newController(t *testing.T) *controller {
	t.Helper()
	c := new(controller)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/read", c.read)
	mux.HandleFunc("POST /config/replace", c.replace)
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(c.status))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func (c *controller) read(w http.ResponseWriter, _ *http.Request) {
	if c.current == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, c.current)
}

func (c *controller) replace(w http.ResponseWriter, r *http.Request) {
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

func (c *controller) status(context.Context, struct{}) (fleetclient.ControllerStatus, error) {
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

// run executes one command and returns its exit code and what it printed.
func run(t *testing.T, input string, arguments ...string) (code int, out, complaints string) {
	t.Helper()
	var printed, complained bytes.Buffer
	code = execute(t.Context(), append([]string{"weldfleet"}, arguments...), strings.NewReader(input), &printed, &complained)
	return code, printed.String(), complained.String()
}

func file(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestCheckNeedsNoFleet(t *testing.T) {
	code, out, _ := run(t, "", "config", "check", file(t, first))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3: 1 routes, 1 services\n", out)

	code, out, _ = run(t, second, "config", "check", "-")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 8: 1 routes, 1 services\n", out)

	code, out, complaints := run(t, "", "config", "check", file(t, invalid))
	assert.Equal(t, exitFailed, code)
	assert.Empty(t, out)
	assert.Contains(t, complaints, `route "r": TimeoutMs: missing or not above 0`)
	assert.Equal(t, 1, strings.Count(complaints, "\n"))
}

func TestPutGetAndDiff(t *testing.T) {
	fleet := newController(t)
	at := "--control=" + fleet.address
	code, _, complaints := run(t, "", at, "config", "get")
	assert.Equal(t, exitFailed, code)
	assert.Equal(t, "weldfleet: there is no configuration\n", complaints)

	code, out, _ := run(t, "", at, "config", "put", file(t, first))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3 is taken, on top of 0\n", out)

	code, out, _ = run(t, "", at, "config", "put", file(t, first))
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 3 is the current one already\n", out)

	code, out, _ = run(t, "", at, "config", "get")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, first, out)

	code, out, complaints = run(t, "", at, "config", "diff", file(t, second))
	assert.Equal(t, exitFailed, code)
	assert.Empty(t, complaints, "a difference is no fault")
	assert.Equal(t, []string{"route", "a.example/x/", "TimeoutMs", "800", "900"}, strings.Fields(lastLine(out)))

	code, _, complaints = run(t, "", at, "config", "put", "--base", "1", file(t, second))
	assert.Equal(t, exitConflict, code)
	assert.Equal(t, "weldfleet: status 412: another version is current\n", complaints)

	code, out, _ = run(t, second, at, "config", "put", "-")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, "version 8 is taken, on top of 3\n", out)

	code, _, complaints = run(t, "", at, "config", "put", file(t, first))
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, complaints, "not above the current one")
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func TestDiffOfFiles(t *testing.T) {
	code, out, _ := run(t, "", "config", "diff", file(t, first), file(t, first))
	assert.Equal(t, exitOK, code)
	assert.Empty(t, out)
	code, out, _ = run(t, "", "--json", "config", "diff", file(t, first), file(t, second))
	assert.Equal(t, exitFailed, code)
	var differences []fleetconfig.Difference
	require.NoError(t, json.Unmarshal([]byte(out), &differences))
	assert.Len(t, differences, 2)
}

func TestTablesOfTheFleet(t *testing.T) {
	fleet := newController(t)
	at := "--internal=" + fleet.address
	code, out, _ := run(t, "", at, "status")
	assert.Equal(t, exitOK, code)
	lines := strings.Split(out, "\n")
	assert.Contains(t, lines[1], "unreachable: ", "the other replica")
	assert.Equal(t, []string{fleet.address, "core-1", "north", "0", "9", "never", "reader", "2.41", "18", "250ms", "9"},
		strings.Fields(lines[2]))

	code, out, _ = run(t, "", at, "members")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, []string{fleet.address, "core-1", "north", "region", "yes", fleet.address, "yes"}, strings.Fields(lastLine(out)))

	code, out, _ = run(t, "", at, "replicas")
	assert.Equal(t, exitOK, code)
	lines = strings.Split(out, "\n")
	assert.Equal(t, []string{fleet.address, "core-1", "north", "yes", "9", "0", "never"}, strings.Fields(lines[1]))
	assert.Equal(t, []string{"127.0.0.1:1", "-", "-", "no", "-", "-", "-"}, strings.Fields(lines[2]))

	code, out, _ = run(t, "", at, "--json", "status")
	assert.Equal(t, exitOK, code)
	var probes []probeLine
	require.NoError(t, json.Unmarshal([]byte(out), &probes))
	require.Len(t, probes, 2)
	assert.NotEmpty(t, probes[0].Error)
	assert.Equal(t, 18, probes[1].Status.Instances)
}

func TestNobodyAnswers(t *testing.T) {
	code, _, complaints := run(t, "", "--internal=127.0.0.1:1", "status")
	assert.Equal(t, exitUnclear, code)
	assert.Contains(t, complaints, "no controller answered")
	code, _, _ = run(t, "", "--control=127.0.0.1:1", "--timeout=10ms", "config", "get")
	assert.Equal(t, exitUnclear, code)
}

func TestAddressesComeFromTheSettingsFile(t *testing.T) {
	fleet := newController(t)
	fleet.current = first
	known := `{"NodeName":"n","Ip":"127.0.0.1","Zone":"z","InternalPorts":[1,2],"Seeds":["` + fleet.address + `"]}`
	t.Setenv(settings.EnvVariable, file(t, known))
	code, out, _ := run(t, "", "config", "get")
	assert.Equal(t, exitOK, code)
	assert.Equal(t, first, out)
}

func TestFaultsOfTheCommandLine(t *testing.T) {
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
		{"--control", "127.0.0.1:1", "config", "put", "--base", "-1", file(t, first)},
	} {
		code, out, complaints := run(t, "", arguments...)
		assert.Equal(t, exitUsage, code, arguments)
		assert.Empty(t, out, arguments)
		assert.Equal(t, 1, strings.Count(complaints, "\n"), "%v: %s", arguments, complaints)
	}
}

func TestHelp(t *testing.T) {
	for _, arguments := range [][]string{{}, {"--help"}, {"config"}, {"config", "put", "--help"}} {
		code, out, complaints := run(t, "", arguments...)
		assert.Equal(t, exitOK, code, arguments)
		assert.Contains(t, out, "USAGE", arguments)
		assert.Empty(t, complaints)
	}
}
