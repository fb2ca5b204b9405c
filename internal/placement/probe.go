package placement

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

const (
	probeTimeout   = 300 * time.Millisecond // a later report would not show the current load
	maxReportBytes = 64 << 10
	probeIdleConns = 2 // idle connections that are kept to each worker
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

// Prober gets the current load report of a worker. Probe may be called concurrently.
type Prober interface {
	// Probe returns an error that wraps ErrNoReport if the worker answers without a report.
	Probe(ctx context.Context, target fleetwire.Instance) (Report, error)
}

// httpProber probes by GET /report over connections of its own.
type httpProber struct{ transport *http.Transport }

// NewHTTPProber returns a prober over net/http.
func NewHTTPProber() Prober { return NewHTTPProberWithDial(transport.TCPDial()) }

// NewHTTPProberWithDial returns a prober over net/http that opens its connections with dial.
func NewHTTPProberWithDial(dial transport.DialFunc) Prober {
	return &httpProber{transport: &http.Transport{
		DialContext:         dial.WithTimeout(probeTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: probeIdleConns,
		IdleConnTimeout:     30 * time.Second,
		ReadBufferSize:      1 << 10,
		WriteBufferSize:     1 << 10,
	}}
}

func (p *httpProber) Probe(ctx context.Context, target fleetwire.Instance) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+"/report", nil)
	if err != nil {
		return Report{}, eris.Wrap(err, "build probe request")
	}
	request.Header["User-Agent"] = nil
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return Report{}, eris.Wrap(err, "probe")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return Report{}, eris.Wrap(err, "read report")
	}
	if response.StatusCode != http.StatusOK {
		return Report{}, eris.Wrapf(ErrNoReport, "status %d", response.StatusCode)
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, eris.Wrap(err, "decode report")
	}
	return report, nil
}
