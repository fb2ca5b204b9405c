// Package harness holds what the review's cases share: the record of a run and the exit codes of their scripts.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"

	"weldscale/internal/standin/fleet"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{began: time.Now(), file: file}, err
}

// Line adds a line with the seconds since the start of the run. Lines are also printed.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// Trouble reports whether the run includes the disruption. TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case with the record and a fleet of the programs in the folder of the deploy file's build, and ends the process
// with the code that the case returns. Arguments: the folder of the programs, the path of the record.
func Main(options fleet.Options, run func(*Record, *fleet.Fleet) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case PROGRAMS RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	options.Programs = os.Args[1]
	record.Line("disruption: %v", Trouble())
	started, err := fleet.Start(options)
	if err != nil {
		record.Line("the fleet does not start: %v", err)
		os.Exit(NotRun)
	}
	code, err := run(record, started)
	started.Close()
	if err != nil {
		record.Line("the case could not run: %v", err)
		code = NotRun
	}
	record.Line("exit %d", code)
	os.Exit(code)
}
