package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The script .ci/known-red rejects a list with more than three lines, a line without command, finding or issue, or a test that
// does not exist. It leaves exactly the listed tests out of the verdict, and prints them with their results.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/known-red")
	require.NoError(t, err)
	tests := "package x\nimport \"testing\"\nfunc TestGreen(t *testing.T) {}\nfunc TestRed(t *testing.T) { t.Fail() }\n" +
		"func TestA(t *testing.T) {}\nfunc TestB(t *testing.T) {}\nfunc TestRedder(t *testing.T) { if testing.Short() { t.Fail() } }\n"
	for name, c := range map[string]struct {
		list string
		ok   bool
		want []string
	}{
		"no list":     {"", false, []string{"TestRed"}},
		"the red one": {"TestRed | go test, seed 1 | it is so | 7\n", true, []string{"TestRed is red still", "go test, seed 1", "it is so"}},
		"a green one": {"TestRed | go test | it is so | #7\nTestGreen\tgo test\twas so\t8\n", true,
			[]string{"TestGreen has turned green", "TestRed is red still"}},
		"empty lines, no last line end": {"\nTestRed | go test | it is so | 7", true, []string{"TestRed is red still"}},
		"another is red":                {"TestGreen | go test | was so | 8\n", false, []string{"TestRed"}},
		"no command":                    {"TestRed |  | it is so | 7\n", false, []string{"is not"}},
		"nothing seen":                  {"TestRed | go test |  | 7\n", false, []string{"is not"}},
		"no issue":                      {"TestRed | go test | it is so\n", false, []string{"is not"}},
		"the older form":                {"TestRed | it is so | 7\n", false, []string{"is not"}},
		"a fifth field":                 {"TestRed | go test | it is so | 7 | more\n", false, []string{"is not"}},
		"no such test":                  {"TestRedd | go test | it is so | 7\n", false, []string{"no test TestRedd"}},
		"a fourth line": {"TestRed | a | a | 1\nTestGreen | a | a | 1\nTestA | a | a | 1\nTestB | a | a | 1\n", false,
			[]string{"three at most"}},
		"part of a name": {"TestGreen | a | a | 1\nTestRe | a | a | 1\n", false, []string{"no test TestRe"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for file, text := range map[string]string{"go.mod": "module x\n\ngo 1.26\n", "x_test.go": tests, "KNOWN-RED.txt": c.list} {
				require.NoError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
			}
			cmd := exec.Command("bash", script)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			assert.Equal(t, c.ok, err == nil, string(out))
			for _, want := range c.want {
				assert.Contains(t, string(out), want)
			}
		})
	}
}

// Each test that docs/MOMENTS.md names exists, and each line of its table has a state and, unless it is open, a test.
func TestMomentsAreTested(t *testing.T) {
	page, err := os.ReadFile("../../docs/MOMENTS.md")
	require.NoError(t, err)
	var all strings.Builder
	for _, pattern := range []string{"../../*/*_test.go", "../../*/*/*_test.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			all.Write(text)
		}
	}
	names := regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]+`).FindAllString(string(page), -1)
	assert.Greater(t, len(names), 30)
	for _, name := range names {
		assert.Contains(t, all.String(), "\nfunc "+name+"(t *testing.T)", name)
	}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 6 && !strings.Contains(line, "---") && !strings.Contains(line, "state") {
			assert.Regexp(t, `^ (sound before|mended \([0-9a-f]{7}\)|open)`, cells[4], line)
			assert.True(t, strings.Contains(cells[3], "Test") || strings.HasPrefix(cells[4], " open"), line)
		}
	}
}
