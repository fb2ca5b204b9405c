package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"weldscale/internal/eventstream"
)

// counters counts what became of workers' responses. It is safe for concurrent use.
type counters struct {
	streams map[streamEnd]*atomic.Int64          // the keys are fixed
	defects map[eventstream.Defect]*atomic.Int64 // of malformed streams; the keys are fixed
	// malformedHandles counts successful prefill responses without a usable KV handle.
	malformedHandles atomic.Int64
}

func newCounters() *counters {
	c := &counters{streams: map[streamEnd]*atomic.Int64{}, defects: map[eventstream.Defect]*atomic.Int64{}}
	for _, end := range streamEnds {
		c.streams[end] = new(atomic.Int64)
	}
	for _, defect := range eventstream.Defects() {
		c.defects[defect] = new(atomic.Int64)
	}
	return c
}

// countStream counts a stream that ended with err.
func (c *counters) countStream(end streamEnd, err error) {
	c.streams[end].Add(1)
	var malformed *eventstream.MalformedError
	if errors.As(err, &malformed) {
		c.defects[malformed.Defect].Add(1)
	}
}

// write writes the counters in the Prometheus text format.
func (c *counters) write(to io.Writer) {
	_, _ = fmt.Fprintln(to, "# TYPE weldrouter_worker_streams_total counter")
	for _, end := range streamEnds {
		_, _ = fmt.Fprintf(to, "weldrouter_worker_streams_total{end=%q} %d\n", end, c.streams[end].Load())
	}
	_, _ = fmt.Fprintln(to, "# TYPE weldrouter_malformed_streams_total counter")
	for _, defect := range eventstream.Defects() {
		_, _ = fmt.Fprintf(to, "weldrouter_malformed_streams_total{defect=%q} %d\n", defect, c.defects[defect].Load())
	}
	_, _ = fmt.Fprintln(to, "# TYPE weldrouter_malformed_handles_total counter")
	_, _ = fmt.Fprintf(to, "weldrouter_malformed_handles_total %d\n", c.malformedHandles.Load())
}

// metricsPath is where the readiness address serves the counters.
const metricsPath = "/metrics"

func (r *Router) serveMetrics(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Header()["Date"] = nil
	r.counters.write(w)
}
