package hollow

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// usage holds the resources that a process has used since its start.
type usage struct {
	CPU      time.Duration
	Read     int64 // bytes from read calls on sockets and files
	Written  int64 // bytes from write calls, likewise
	Resident int64 // current resident memory in bytes
}

// minus returns the usage since an earlier measurement. Resident is that of the later one.
func (u usage) minus(before usage) usage {
	return usage{CPU: u.CPU - before.CPU, Read: u.Read - before.Read, Written: u.Written - before.Written, Resident: u.Resident}
}

// readUsage reads the usage of a process from /proc. CPU time is the sum over its live threads in nanoseconds, because the
// clock ticks of /proc/PID/stat are too coarse for an agent.
func readUsage(pid int) (usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	threads, err := filepath.Glob(filepath.Join(directory, "task", "*", "schedstat"))
	if err != nil {
		return usage{}, err
	}
	var out usage
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has just ended
		}
		if err != nil {
			return usage{}, err
		}
		ran, err := strconv.ParseInt(firstField(string(text)), 10, 64)
		if err != nil {
			return usage{}, fmt.Errorf("%s: %w", path, err)
		}
		out.CPU += time.Duration(ran)
	}
	counts, err := readKeys(filepath.Join(directory, "io"))
	if err != nil {
		return usage{}, err
	}
	out.Read, out.Written = counts["rchar"], counts["wchar"]
	memory, err := readKeys(filepath.Join(directory, "status"))
	if err != nil {
		return usage{}, err
	}
	out.Resident = memory["VmRSS"] << 10
	return out, nil
}

// readKeys reads the numbers of a file with lines of the form "key: number unit". Other lines are skipped.
func readKeys(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseKeys(string(text)), nil
}

func parseKeys(text string) map[string]int64 {
	out := map[string]int64{}
	for line := range strings.Lines(text) {
		key, value, found := strings.Cut(line, ":")
		if !found {
			continue
		}
		if number, err := strconv.ParseInt(firstField(value), 10, 64); err == nil {
			out[key] = number
		}
	}
	return out
}

func firstField(text string) string {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}
