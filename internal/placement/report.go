package placement

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Report is the load report of a worker.
type Report struct {
	Stage      string // empty: not stated
	Busy       bool   // it executes an order and accepts no new work
	Sequence   uint64
	Queued     int
	Running    int
	KvUsed     int64 // KV cache in tokens
	KvCapacity int64
	KvHandles  int // processed prompts that wait for a decode worker to fetch their KV cache
}

// Load is the load that a worker states with an answer.
type Load struct {
	Running int
	Queued  int
}

// ErrNoReport is returned for a worker that answers a probe but has no load report.
var ErrNoReport = eris.New("the worker has no report")

// ErrMalformedReport is the root of the errors of reports that are not what the protocol allows.
var ErrMalformedReport = eris.New("malformed report")

// decodeReport decodes the body of a report. Jobs waiting and running must be stated: a report without them would make its worker
// look idle.
func decodeReport(body []byte) (Report, error) {
	var stated struct {
		Running *int
		Queued  *int
	}
	var report Report
	if err := json.Unmarshal(body, &stated); err != nil {
		return Report{}, eris.Wrapf(ErrMalformedReport, "decode: %v", err)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, eris.Wrapf(ErrMalformedReport, "decode: %v", err)
	}
	if stated.Running == nil || stated.Queued == nil {
		return Report{}, eris.Wrap(ErrMalformedReport, "it does not state the jobs that wait and run")
	}
	if min(report.Running, report.Queued, report.KvHandles) < 0 || min(report.KvUsed, report.KvCapacity) < 0 {
		return Report{}, eris.Wrap(ErrMalformedReport, "a figure is negative")
	}
	return report, nil
}
