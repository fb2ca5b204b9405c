package instances

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

const (
	path         = "/instances"
	pageTimeout  = 700 * time.Millisecond // a healthy platform answers faster
	dialTimeout  = 400 * time.Millisecond
	idleTimeout  = 10 * time.Second
	maxPageBytes = 8 << 20
	maxPages     = 200 // a longer list is treated as a fault of the platform
)

// Errors of Read that callers distinguish.
var (
	// ErrRateLimited means that the platform refused a call above its rate limit.
	ErrRateLimited = eris.New("above the platform's rate limit")
	// ErrPlatform means that the platform answered with another error status, or with a list that does not end.
	ErrPlatform = eris.New("platform error")
)

// Reader reads the list of workers from the platform over HTTP.
type Reader struct {
	address func() string
	http    http.RoundTripper
}

// NewReader returns a reader that calls address before each page for the platform's address (IP:PORT).
func NewReader(address func() string) *Reader { return NewReaderWithDial(address, transport.TCPDial()) }

// NewReaderWithDial is like NewReader but opens connections with the given function.
func NewReaderWithDial(address func() string, dial transport.DialFunc) *Reader {
	return &Reader{address: address, http: &http.Transport{
		DialContext:         dial.WithTimeout(dialTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Read returns the complete list. Each page has a deadline of its own.
func (r *Reader) Read(ctx context.Context) ([]fleetwire.Instance, error) {
	var pages [][]fleetwire.Instance
	token := ""
	for range maxPages {
		list, next, err := r.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		pages = append(pages, list)
		if next == "" {
			return Merge(pages), nil
		}
		token = next
	}
	return nil, eris.Wrap(ErrPlatform, "the list has too many pages")
}

func (r *Reader) readPage(ctx context.Context, token string) ([]fleetwire.Instance, string, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: r.address(), Path: path}
	if token != "" {
		target.RawQuery = url.Values{"PageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, "", eris.Wrap(err, "make request")
	}
	response, err := r.http.RoundTrip(request)
	if err != nil {
		return nil, "", eris.Wrap(err, "call the platform")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := transport.ReadBody(response, maxPageBytes)
	if err != nil {
		return nil, "", eris.Wrap(err, "read page of instances")
	}
	if err := statusError(response.StatusCode); err != nil {
		return nil, "", err
	}
	return decodePage(body)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return eris.Wrapf(ErrPlatform, "status %d", status)
	}
}
