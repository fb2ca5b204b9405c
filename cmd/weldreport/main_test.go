package main

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/emulator"
)

// Each run of a shipped script gets a section with three plots, the intervals of its faults are shaded in the plots over time,
// and markup in a script's name is escaped.
func TestReport(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/rehearsals/*.hcl")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var runs []run
	troubleCount := 0
	for _, path := range paths {
		script, err := emulator.Read(path)
		require.NoError(t, err)
		sim, err := emulator.New(script, 1, nil)
		require.NoError(t, err)
		sim.SampleEvery = script.Duration / 30
		result, err := sim.Run(nil)
		require.NoError(t, err)
		require.Len(t, result.Samples, 31)
		runs = append(runs, run{Script: "<b>" + filepath.Base(path), Policy: "module", Seed: 1, Result: result, Troubles: script.Troubles})
		troubleCount += len(script.Troubles)
	}
	text, err := json.Marshal(runs)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, writeReport(&out, text))
	page := out.String()
	assert.Equal(t, 3*len(paths), strings.Count(page, "<svg"))
	assert.Equal(t, 2*troubleCount, strings.Count(page, "fill-opacity"), "each fault is shaded in both plots over time")
	assert.NotContains(t, page, "<b>")
	for _, invalid := range []string{"", "{", `[{"script":"x"}]`} {
		assert.Error(t, writeReport(&out, []byte(invalid)), invalid)
	}
}
