package engine

import "time"

// Report is the state of a worker as served under /report.
type Report struct {
	Stage      string
	Models     []Model
	Busy       bool
	Sequence   int
	Queued     int
	Running    int
	KvUsed     int
	KvCapacity int
	KvHandles  int
}

// Model is a loaded model as listed in a report and in the platform's instance list.
type Model struct {
	Name     string
	Version  int
	Adapters []string
}

type timedReport struct {
	at time.Duration
	Report
}

// Report returns the state as of ReportLag before now.
func (e *Engine) Report(now time.Duration) Report {
	e.Advance(now)
	lag := max(0, e.config.ReportLag)
	shown := e.history[0].Report
	for _, past := range e.history {
		if past.at <= now-lag {
			shown = past.Report
		}
	}
	return shown
}

// State returns the current state.
func (e *Engine) State() Report {
	return Report{
		Stage: e.order.stage, Busy: e.order.busy, Sequence: e.order.sequence,
		Queued: e.queued(), Running: e.runningCount(),
		KvUsed: e.cache.used() * e.config.Block, KvCapacity: e.cache.total * e.config.Block, KvHandles: len(e.handles),
	}
}

// record adds the current state to the history and drops entries that are too old for any report.
func (e *Engine) record() {
	e.history = append(e.history, timedReport{e.now, e.State()})
	for len(e.history) > 1 && e.history[1].at <= e.now-max(0, e.config.ReportLag) {
		e.history = e.history[1:]
	}
}
