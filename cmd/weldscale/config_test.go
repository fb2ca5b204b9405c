package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/engine"
	"weldscale/internal/standin"
)

// The flattened settings have the form of WIRE section 12.
func TestFlatten(t *testing.T) {
	for in, want := range map[string]map[string]string{
		`{"a":{"b":1.0,"c":true},"d":"x y,z"}`:            {"a.b": "1.0", "a.c": "true", "d": "x_y_z"},
		`{"zones":["u","d e"],"empty":[],"n":null}`:       {"zones": "u,d_e", "empty": "", "n": ""},
		`{"classes":[{"name":"a"},{"name":"b","x":[1]}]}`: {"classes.count": "2", "classes.0.name": "a", "classes.1.name": "b", "classes.1.x": "1"},
		`{"big":25000000}`:                                {"big": "25000000"},
	} {
		got, err := flatten([]byte(in))
		assert.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

// A configuration that can't be used is refused with one line that names the fault.
func TestBadConfig(t *testing.T) {
	good := string(standin.SchedulerConfig{Name: "n", Discovery: "127.0.0.1:1"}.JSON())
	for name, c := range map[string]struct{ old, new, want string }{
		"good":             {"", "", ""},
		"no name":          {`"name":"n",`, "", "-"},
		"not JSON":         {"{", "[", "config"},
		"no listen":        {`"listen":"127.0.0.1:0",`, "", "listen"},
		"bad seed":         {`"seed":"1"`, `"seed":"wxyz"`, "seed"},
		"few sockets":      {"1024", "10", "sockets"},
		"no settings":      {`"settings"`, `"sittings"`, "settings"},
		"a setting lacks":  {`"max_attempts":4,`, "", "max_attempts"},
		"no port":          {"127.0.0.1:1\"", "127.0.0.1\"", "discovery"},
		"unknown effect":   {"read_like", "harmless", "effect"},
		"a figure is text": {`"balancers":1`, `"balancers":"many"`, "balancers"},
		"no connect time":  {`"connect_timeout_us":250000,`, "", "limits.connect_timeout_us"},
		"no time at all":   {`"connect_timeout_us":250000`, `"connect_timeout_us":0`, "limits.connect_timeout_us"},
		"no idle time":     {`"conn_idle_us":10000000,`, "", "limits.conn_idle_us"},
		"idle before now":  {`"conn_idle_us":10000000`, `"conn_idle_us":-5`, "limits.conn_idle_us"},
		"a nameless class": {`"name":"view",`, "", "classes.0.name"},
		"a class twice":    {`"name":"send"`, `"name":"view"`, "classes.1.name"},
		"no classes":       {`"classes":[`, `"classes_":[`, "classes.count"},
		"no deadline":      {`"deadline_us":9000000`, `"deadline_us":0`, "classes.0"},
		"no attempt":       {`"max_attempts":4`, `"max_attempts":0`, "max_attempts"},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, c.old, c.new, 1)), 0o600))
		conf, err := loadConfig(func(key string) string {
			return map[string]string{"GW_CONFIG": path, "GW_NAME": "other", "GW_DISCOVERY": "127.0.0.1:2"}[key]
		})
		if c.want == "-" {
			require.NoError(t, err, name)
			assert.Equal(t, "other", conf.Name, "the variable stands in")
			continue
		}
		if c.want == "" {
			require.NoError(t, err, name)
			assert.Equal(t, "n", conf.Name, "the file wins")
			assert.Equal(t, "127.0.0.1:1", conf.Discovery, "a restart must not go back to where discovery once was")
			assert.Equal(t, []string{"view", "send"}, conf.classes)
			assert.EqualValues(t, 2000000, conf.engine.Settings.MaxRetryAfter)
			assert.Equal(t, "10s", conf.idleLimit.String())
			continue
		}
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
	}
	_, err := loadConfig(func(string) string { return "" })
	assert.EqualError(t, err, "config: GW_CONFIG is not set")
}

// Whatever is wrong with any one figure of the settings - it is not there, has another type, is below or beyond all sense - the
// program either has no need of it or says so in one line that names it; and what it takes it can start with.
func TestEveryFigureOfTheSettings(t *testing.T) {
	var site map[string]any
	require.NoError(t, json.Unmarshal(standin.SchedulerConfig{Name: "n", Discovery: "127.0.0.1:1"}.JSON(), &site))
	path := filepath.Join(t.TempDir(), "config.json")
	judge := func(name, key string, value any) {
		text, err := json.Marshal(site)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		c, err := loadConfig(func(env string) string { return map[string]string{"GW_CONFIG": path}[env] })
		if err != nil {
			assert.NotContains(t, err.Error(), "\n", name)
			assert.Contains(t, err.Error(), strings.TrimSuffix(key, "_us"), "%s: %v", name, value)
			return
		}
		e, err := engine.New(engine.NewLoop(), c.engine)
		require.NoError(t, err, "%s: %v", name, value)
		assert.Positive(t, e.LongestDeadline(), "%s: %v", name, value)
	}
	var walk func(path string, v any, set func(any), remove func())
	walk = func(path string, v any, set func(any), remove func()) {
		switch v := v.(type) {
		case map[string]any:
			for key, item := range maps.Clone(v) {
				walk(path+"."+key, item, func(x any) { v[key] = x }, func() { delete(v, key) })
			}
		case []any:
			for i, item := range v {
				walk(fmt.Sprint(path, ".", i), item, func(x any) { v[i] = x }, nil)
			}
		default:
			key := path[strings.LastIndexByte(path, '.')+1:]
			if _, err := strconv.Atoi(key); err == nil { // one of a list: the list is named
				key = ""
			}
			if remove != nil {
				remove()
				judge(path, key, "nothing")
			}
			for _, bad := range []any{nil, "soon", "", -1, -1e18, 0, 0.5, 1e30, 9e18, true, []any{}, map[string]any{}} {
				set(bad)
				judge(path, key, bad)
			}
			set(v)
		}
	}
	settings := site["settings"]
	walk("settings", settings, nil, nil)
}
