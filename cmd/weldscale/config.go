package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"weldscale/decide"
	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/wire"
)

// This file reads the platform's configuration. The settings use the parser of the simulator's settings: the nested JSON is
// flattened into the simulator's path=value lines. An error in it is reported as a single line.

// config is the platform's configuration, or its replacement from the scheduler block of the operator's file.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"` // the management address, or "" for none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	file           operator.File // the operator's file, or its defaults
	listenFD       int           // descriptor of the clients' listening socket, or -1 to open one
	engine         engine.Config
	classes        []string
	reports        *jobs.LoadReportParser
	connectTimeout time.Duration
	idleLimit      time.Duration
}

// loadConfig reads the file that GW_CONFIG names. The other environment variables supply values that the file omits. They
// never override the file, because the file can be replaced while the program runs and the environment can't.
func loadConfig(getenv func(string) string) (*config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("config: GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := new(config)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	for name, field := range map[string]*string{"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_MGMT": &c.Mgmt} {
		if *field == "" {
			*field = getenv(name)
		}
	}
	c.listenFD = -1
	if text := getenv("GW_PASSED_SOCKET"); text != "" {
		if c.listenFD, err = strconv.Atoi(text); err != nil || c.listenFD < 3 {
			return nil, fmt.Errorf("config: GW_PASSED_SOCKET: %q is not the number of a passed descriptor", text)
		}
	}
	if c.Listen == "" || c.Discovery == "" {
		return nil, errors.New("config: listen or discovery is missing")
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("config: discovery: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Mgmt); c.Mgmt != "" && err != nil {
		return nil, fmt.Errorf("config: mgmt: %w", err)
	}
	if c.Limits.Sockets < 64 || c.Limits.MemoryMB < 16 {
		return nil, errors.New("config: limits: sockets or memory_mb is missing or too small")
	}
	if c.engine.Seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is not a hexadecimal number", c.Seed)
	}
	if len(c.Known) == 0 {
		c.Known = json.RawMessage("{}")
	}
	return c, c.readSettings()
}

// readSettings parses the settings and the values that the simulator's settings do not contain.
func (c *config) readSettings() error {
	values, err := flatten(c.Settings)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	var text strings.Builder
	for key, value := range values {
		fmt.Fprintf(&text, "%s=%s\n", key, value)
	}
	var layout wire.Layout
	if c.engine.Settings, layout, err = wire.ParseSettings([]byte(text.String())); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := c.engine.Settings.Check(); err != nil { // reported before any component starts
		return fmt.Errorf("config: %w", err)
	}
	// Names that occur in requests, worker lists and load reports are taken from the JSON unchanged, because flattening
	// replaces some of their characters.
	var named struct {
		Zones   any
		Kinds   any
		Report  struct{ Fields any }
		Classes []struct{ Name any }
	}
	if err := json.Unmarshal(c.Settings, &named); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	names := func(v any) (out []string) {
		list, ok := v.([]any)
		if !ok && valueText(v) != "" { // one string, in the form of the simulator
			return strings.Split(valueText(v), ",")
		}
		for _, v := range list {
			out = append(out, valueText(v))
		}
		return out
	}
	c.engine.Zones, c.engine.Kinds = names(named.Zones), names(named.Kinds)
	for i := range c.engine.Settings.Classes {
		key := "classes." + strconv.Itoa(i) + ".name"
		switch name := valueText(named.Classes[i].Name); {
		case name == "":
			return fmt.Errorf("config: settings: %s: missing", key)
		case slices.Contains(c.classes, name):
			return fmt.Errorf("config: settings: %s: %q is the name of another class", key, name)
		default:
			c.classes = append(c.classes, name)
		}
	}
	for key, to := range map[string]*time.Duration{"limits.connect_timeout_us": &c.connectTimeout, "limits.conn_idle_us": &c.idleLimit} {
		us, err := strconv.ParseInt(values[key], 10, 64)
		if err != nil || us <= 0 || us > maxTimeout.Microseconds() {
			return fmt.Errorf("config: settings: %s: %q is not a number of microseconds from 1 to %d", key, values[key], maxTimeout.Microseconds())
		}
		*to = time.Duration(us) * time.Microsecond
	}
	c.reports = &jobs.LoadReportParser{Fields: names(named.Report.Fields), Make: layout.Report}
	return nil
}

// maxTimeout bounds the timeouts among the settings that this package enforces.
const maxTimeout = 24 * time.Hour

// flatten converts nested JSON into the paths and values of the simulator's settings.
func flatten(text []byte) (map[string]string, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // numbers keep their notation
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	out := map[string]string{}
	flattenInto(out, "", v)
	return out, nil
}

// separatorReplacer replaces the separators of the simulator's settings.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// flattenInto adds a value to out under path. A list of objects becomes numbered paths and a count, any other list one value.
func flattenInto(out map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, item := range value {
			flattenInto(out, path+key, item)
		}
	case []any:
		if slices.ContainsFunc(value, func(item any) bool { _, ok := item.(map[string]any); return ok }) {
			out[path+".count"] = strconv.Itoa(len(value))
			for i, item := range value {
				flattenInto(out, path+"."+strconv.Itoa(i), item)
			}
			return
		}
		words := make([]string, len(value))
		for i, item := range value {
			words[i] = scalar(item)
		}
		out[path] = strings.Join(words, ",")
	default:
		out[path] = scalar(value)
	}
}

// scalar returns the text of a value, without separators.
func scalar(v any) string { return separatorReplacer.Replace(valueText(v)) }

// valueText returns the text of a JSON value, or "" for null.
func valueText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// placeholderSettings configures the platform's service if the scheduler runs from the operator's file alone. That service
// then has no workers and no route. Its only class has no name, so no request can select it.
var placeholderSettings = decide.Settings{Nodes: 1, Zones: 1, MaxAttempts: 1, ColdFrom: 1, OverloadMultiple: 1, OverloadSpan: 1,
	Classes: []decide.Class{{Aim: 1e6, Deadline: 1e6, Kind: -1}}}

// loadOperatorFile returns a configuration from an operator's file with a scheduler block, without a platform.
func loadOperatorFile(path string) (*config, error) {
	f, err := operator.Read(path, 192<<20)
	if err == nil && f.Scheduler != nil { // read again, because defaults depend on the configured memory
		f, err = operator.Read(path, f.Scheduler.MemoryMB<<20)
	}
	if err != nil {
		return nil, err
	}
	if f.Scheduler == nil {
		return nil, fmt.Errorf("config: GW_CONFIG is not set, and %s has no scheduler block to stand in for it", path)
	}
	c := &config{Name: f.Scheduler.Name, Listen: f.Scheduler.Listen, Known: json.RawMessage("{}"), file: f, listenFD: -1,
		engine: engine.Config{Settings: placeholderSettings, Seed: rand.Uint64()}, connectTimeout: time.Second, idleLimit: 10 * time.Second, reports: serviceReports}
	c.Limits.MemoryMB, c.Limits.Sockets = f.Scheduler.MemoryMB, f.Scheduler.Sockets
	return c, nil
}
