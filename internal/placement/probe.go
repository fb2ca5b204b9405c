package placement

import (
	"context"
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

// Prober gets the current load report of a worker. Probe may be called concurrently.
type Prober interface {
	// Probe returns an error that wraps ErrNoReport if the worker answers without a report, or ErrMalformedReport.
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
	body, err := transport.ReadBody(response, maxReportBytes)
	if err != nil {
		return Report{}, eris.Wrap(err, "read report")
	}
	if response.StatusCode != http.StatusOK {
		return Report{}, eris.Wrapf(ErrNoReport, "status %d", response.StatusCode)
	}
	return decodeReport(body)
}
