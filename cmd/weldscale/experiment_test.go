package main

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An interrupted experiment continues: cells in the output are not run again, and one with an incomplete line is.
func TestExperimentGoesOn(t *testing.T) {
	dir := t.TempDir()
	script, err := os.ReadFile("../../deploy/rehearsals/calm.hcl")
	require.NoError(t, err)
	shortScript := strings.Replace(string(script), `for        = "60s"`, `for        = "5s"`, 1)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short.hcl"), []byte(shortScript), 0o600))
	file, out := filepath.Join(dir, "e.hcl"), filepath.Join(dir, "out.jsonl")
	require.NoError(t, os.WriteFile(file, []byte("experiment {\n  scripts = \"short.hcl\"\n  policies = \"module random\"\n  scale = \"0.5 1\"\n  seeds = 2\n}\n"), 0o600))
	c := experimentCmd{File: file, Out: out}
	require.NoError(t, c.Run(context.Background()))
	text, err := os.ReadFile(out)
	require.NoError(t, err)
	lines := strings.SplitAfter(strings.TrimSpace(string(text)), "\n")
	require.Len(t, lines, 8)
	require.NoError(t, os.WriteFile(out, []byte(strings.Join(lines[:5], "")+lines[5][:20]), 0o600))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, c.Run(canceled), context.Canceled)
	require.NoError(t, c.Run(context.Background()))
	done, err := readOutcomes(out)
	require.NoError(t, err)
	assert.Len(t, done, 8)
	matrix, err := readMatrix(file)
	require.NoError(t, err)
	rows := matrix.rows(done)
	require.Len(t, rows, 4)
	assert.Equal(t, 8, rows[0].boxes)
	assert.Equal(t, 15, rows[2].boxes)
	assert.True(t, math.IsNaN(rows[0].deficit) && !math.IsNaN(rows[1].deficit))
}

func TestConfidenceInterval(t *testing.T) {
	mean, half := confidenceInterval([]float64{1, 2, 3})
	assert.InDelta(t, 2, mean, 1e-9)
	assert.InDelta(t, 4.3027/math.Sqrt(3), half, 1e-3)
	_, half = confidenceInterval([]float64{1})
	assert.True(t, math.IsNaN(half))
}

// An invalid experiment file is rejected with an error that names the setting.
func TestExperimentFileErrors(t *testing.T) {
	for text, want := range map[string]string{
		"":                                       "an experiment block is missing",
		"experiment {}":                          "scripts: allowed are paths",
		"experiment {\n scripts = \"no.hcl\"\n}": "no such file",
		"experiment {\n scripts = \"a\"\n policies = \"luck\"\n}": `policies: no "luck"; allowed: module, random`,
		"experiment {\n scripts = \"a\"\n scale = \"1 many\"\n}":  `scale: "many"; allowed are numbers`,
		"experiment {\n scripts = \"a\"\n seeds = 0\n}":           "out of range",
	} {
		path := filepath.Join(t.TempDir(), "e.hcl")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := readMatrix(path)
		assert.ErrorContains(t, err, want, text)
	}
}
