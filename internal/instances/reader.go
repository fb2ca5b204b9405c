package instances

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

const (
	path         = "/instances"
	pageTimeout  = 700 * time.Millisecond // a platform that is slower than this is in trouble
	dialTimeout  = 400 * time.Millisecond
	idleTimeout  = 10 * time.Second
	maxPageBytes = 8 << 20
	maxPages     = 200 // a list that never ends is a fault of the platform
)

// Errors of a reading.
var (
	// ErrRateLimited means that the platform refused a call over its rate.
	ErrRateLimited = eris.New("over the platform's rate")
	// ErrPlatform means that the platform answered with another failure.
	ErrPlatform = eris.New("the platform failed")
)

// Reader reads the list from the platform.
type Reader struct {
	address func() string
	http    http.RoundTripper
}

// NewReader returns a reader of the platform at the address (IP:PORT) that the function gives at each reading.
func NewReader(address func() string) *Reader { return NewReaderWithDial(address, transport.TCPDial()) }

// NewReaderWithDial returns a reader whose connections a function opens.
func NewReaderWithDial(address func() string, dial transport.DialFunc) *Reader {
	return &Reader{address: address, http: &http.Transport{
		DialContext:         dial.WithTimeout(dialTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Read returns the whole list. Each page has a deadline of its own.
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
	return nil, eris.Wrap(ErrPlatform, "the list does not end")
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
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
