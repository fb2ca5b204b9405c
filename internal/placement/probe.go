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
	probeTimeout     = 300 * time.Millisecond // a report that comes later says nothing of the present load
	maxReportBytes   = 64 << 10
	probeConnections = 2 // kept to each worker
)

// Report is the load that a worker tells of itself.
type Report struct {
	Stage      string
	Busy       bool
	Sequence   uint64
	Queued     int
	Running    int
	KvUsed     int64
	KvCapacity int64
	KvHandles  int
}

// Load is what a worker tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
}

// ErrNoReport is returned for a worker that answers but has no report.
var ErrNoReport = eris.New("the worker has no report")

// Prober asks a worker for its present load.
type Prober interface {
	Probe(ctx context.Context, target fleetwire.Instance) (Report, error)
}

// httpProber asks by GET /report over connections of its own.
type httpProber struct{ transport *http.Transport }

// NewHTTPProber returns a prober over net/http.
func NewHTTPProber() Prober { return NewHTTPProberDialing(transport.TCPDial()) }

// NewHTTPProberDialing returns a prober over net/http whose connections a function opens.
func NewHTTPProberDialing(dial transport.DialFunc) Prober {
	return &httpProber{transport: &http.Transport{
		DialContext:         dial.WithTimeout(probeTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: probeConnections,
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
		return Report{}, eris.Wrap(err, "make probe")
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
