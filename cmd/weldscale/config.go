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

// This file owns the reading of the configuration. The settings are one type, read by one parser: the nested
// JSON is flattened into the lines that the simulator sends. It must fail with one plain line.

type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"` // the second address; "": none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	file           operator.File // the operator's
	passed         int           // descriptor of the clients' listening socket; -1: we open our own
	engine         engine.Config
	classes        []string
	reports        *jobs.LoadReportParser
	connectTimeout time.Duration
	idleLimit      time.Duration
}

// load reads the file that GW_CONFIG names. The other variables stand in for what it leaves out and never win
// over it: the file can be replaced while the program runs, its environment can't.
func load(getenv func(string) string) (*config, error) {
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
	c.passed = -1
	if text := getenv("GW_PASSED_SOCKET"); text != "" {
		if c.passed, err = strconv.Atoi(text); err != nil || c.passed < 3 {
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
	if err := c.engine.Settings.Check(); err != nil { // said with the other faults, before anything starts
		return fmt.Errorf("config: %w", err)
	}
	// Names that requests, lists and reports bear are taken as they stand: the simulator's form has other letters for some.
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
		if !ok && word(v) != "" { // in one word, as the simulator has it
			return strings.Split(word(v), ",")
		}
		for _, v := range list {
			out = append(out, word(v))
		}
		return out
	}
	c.engine.Zones, c.engine.Kinds = names(named.Zones), names(named.Kinds)
	for i := range c.engine.Settings.Classes {
		key := "classes." + strconv.Itoa(i) + ".name"
		switch name := word(named.Classes[i].Name); {
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
		if err != nil || us <= 0 || us > maxSpan.Microseconds() {
			return fmt.Errorf("config: settings: %s: %q is no span in microseconds from 1 to %d", key, values[key], maxSpan.Microseconds())
		}
		*to = time.Duration(us) * time.Microsecond
	}
	c.reports = &jobs.LoadReportParser{Fields: names(named.Report.Fields), Make: layout.Report}
	return nil
}

// maxSpan bounds the spans of the settings that are ours to keep.
const maxSpan = 24 * time.Hour

// flatten turns nested JSON into the path=value form of the simulator's settings.
func flatten(text []byte) (map[string]string, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber() // figures keep the form they have
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	out := map[string]string{}
	flattenInto(out, "", v)
	return out, nil
}

var plain = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, item := range v {
			flattenInto(out, path+key, item)
		}
	case []any:
		if slices.ContainsFunc(v, func(item any) bool { _, ok := item.(map[string]any); return ok }) {
			out[path+".count"] = strconv.Itoa(len(v))
			for i, item := range v {
				flattenInto(out, path+"."+strconv.Itoa(i), item)
			}
			return
		}
		words := make([]string, len(v))
		for i, item := range v {
			words[i] = scalar(item)
		}
		out[path] = strings.Join(words, ",")
	default:
		out[path] = scalar(v)
	}
}

func scalar(v any) string { return plain.Replace(word(v)) }

// word is a value as it stands.
func word(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// nobody is a class that no request can name: where the operator's file stands alone, the platform's service is there
// and has no workers, no route and no jobs.
var nobody = decide.Settings{Nodes: 1, Zones: 1, MaxAttempts: 1, ColdFrom: 1, OverloadMultiple: 1, OverloadSpan: 1,
	Classes: []decide.Class{{Aim: 1e6, Deadline: 1e6, Kind: -1}}}

// fromFile makes a configuration of an operator's file alone, by its scheduler block.
func fromFile(path string) (*config, error) {
	f, err := operator.Read(path, 192<<20)
	if err == nil && f.Scheduler != nil { // once more, for the memory that it has
		f, err = operator.Read(path, f.Scheduler.MemoryMB<<20)
	}
	if err != nil {
		return nil, err
	}
	if f.Scheduler == nil {
		return nil, fmt.Errorf("config: GW_CONFIG is not set, and %s has no scheduler block to stand in for it", path)
	}
	c := &config{Name: f.Scheduler.Name, Listen: f.Scheduler.Listen, Known: json.RawMessage("{}"), file: f, passed: -1,
		engine: engine.Config{Settings: nobody, Seed: rand.Uint64()}, connectTimeout: time.Second, idleLimit: 10 * time.Second, reports: reports}
	c.Limits.MemoryMB, c.Limits.Sockets = f.Scheduler.MemoryMB, f.Scheduler.Sockets
	return c, nil
}
