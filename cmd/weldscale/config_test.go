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

// An invalid configuration is rejected with a single line that names the invalid setting.
func TestBadConfig(t *testing.T) {
	valid := string(standin.SchedulerConfig{Name: "n", Discovery: "127.0.0.1:1"}.JSON())
	for name, c := range map[string]struct{ old, new, want string }{
		"good":                 {"", "", ""},
		"no name":              {`"name":"n",`, "", "-"},
		"not JSON":             {"{", "[", "config"},
		"no listen":            {`"listen":"127.0.0.1:0",`, "", "listen"},
		"bad seed":             {`"seed":"1"`, `"seed":"wxyz"`, "seed"},
		"few sockets":          {"1024", "10", "sockets"},
		"no settings":          {`"settings"`, `"sittings"`, "settings"},
		"a missing setting":    {`"max_attempts":4,`, "", "max_attempts"},
		"no port":              {"127.0.0.1:1\"", "127.0.0.1\"", "discovery"},
		"unknown effect":       {"read_like", "harmless", "effect"},
		"text for a number":    {`"balancers":1`, `"balancers":"many"`, "balancers"},
		"no connect timeout":   {`"connect_timeout_us":250000,`, "", "limits.connect_timeout_us"},
		"connect timeout 0":    {`"connect_timeout_us":250000`, `"connect_timeout_us":0`, "limits.connect_timeout_us"},
		"no idle time":         {`"conn_idle_us":10000000,`, "", "limits.conn_idle_us"},
		"negative idle time":   {`"conn_idle_us":10000000`, `"conn_idle_us":-5`, "limits.conn_idle_us"},
		"a class without name": {`"name":"view",`, "", "classes.0.name"},
		"a duplicate class":    {`"name":"send"`, `"name":"view"`, "classes.1.name"},
		"no classes":           {`"classes":[`, `"classes_":[`, "classes.count"},
		"deadline 0":           {`"deadline_us":9000000`, `"deadline_us":0`, "classes.0"},
		"no attempts":          {`"max_attempts":4`, `"max_attempts":0`, "max_attempts"},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(valid, c.old, c.new, 1)), 0o600))
		conf, err := loadConfig(func(key string) string {
			return map[string]string{"GW_CONFIG": path, "GW_NAME": "other", "GW_DISCOVERY": "127.0.0.1:2"}[key]
		})
		if c.want == "-" {
			require.NoError(t, err, name)
			assert.Equal(t, "other", conf.Name, "the environment variable is used")
			continue
		}
		if c.want == "" {
			require.NoError(t, err, name)
			assert.Equal(t, "n", conf.Name, "the file has precedence")
			assert.Equal(t, "127.0.0.1:1", conf.Discovery, "a restart must not return to an earlier address of discovery")
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

// Each setting in turn is missing, of the wrong type, too small or too large. The program either accepts the configuration, and
// then an engine can start with it, or rejects it with a single line that names the setting.
func TestEachSettingInvalid(t *testing.T) {
	var configObject map[string]any
	require.NoError(t, json.Unmarshal(standin.SchedulerConfig{Name: "n", Discovery: "127.0.0.1:1"}.JSON(), &configObject))
	path := filepath.Join(t.TempDir(), "config.json")
	check := func(name, key string, value any) {
		text, err := json.Marshal(configObject)
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
	walk = func(path string, value any, set func(any), remove func()) {
		switch value := value.(type) {
		case map[string]any:
			for key, item := range maps.Clone(value) {
				walk(path+"."+key, item, func(x any) { value[key] = x }, func() { delete(value, key) })
			}
		case []any:
			for i, item := range value {
				walk(fmt.Sprint(path, ".", i), item, func(x any) { value[i] = x }, nil)
			}
		default:
			key := path[strings.LastIndexByte(path, '.')+1:]
			if _, err := strconv.Atoi(key); err == nil { // for an element of a list, the error names the list
				key = ""
			}
			if remove != nil {
				remove()
				check(path, key, "nothing")
			}
			for _, bad := range []any{nil, "soon", "", -1, -1e18, 0, 0.5, 1e30, 9e18, true, []any{}, map[string]any{}} {
				set(bad)
				check(path, key, bad)
			}
			set(value)
		}
	}
	settings := configObject["settings"]
	walk("settings", settings, nil, nil)
}
