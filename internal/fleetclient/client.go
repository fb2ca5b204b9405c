// Package fleetclient is the operator's client of a running fleet. It reads and replaces the configuration at the controllers'
// Control addresses and queries the controllers for their status.
package fleetclient

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/transport"
	"weldscale/internal/pause"
)

// Errors that callers distinguish.
var (
	// ErrConflict is wrapped by errors for a change whose base is not the current version.
	ErrConflict = eris.New("another version is current")
	// ErrRefused is wrapped by errors for a call that was rejected and is not worth a retry.
	ErrRefused = eris.New("refused")
	// ErrNoConfig is returned by Read if the fleet has no configuration yet.
	ErrNoConfig = eris.New("there is no configuration")
	// ErrIndeterminate is wrapped by errors for a call without a conclusive reply in time. A change may have been applied.
	ErrIndeterminate = eris.New("no clear answer")
)

const (
	pathReplace = "/config/replace"
	pathRead    = "/config/read"
	headerBase  = "Base-Version"

	maxRedirects  = 2
	maxReplyBytes = 64 << 20
	// attemptTimeout bounds one attempt, so that enough time is left for the next controller.
	attemptTimeout = 4 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Client calls the controllers in turn until one gives a conclusive reply or the context is done.
type Client struct {
	addresses []string
	transport *http.Transport
}

// New returns a client of the controllers at the given Control addresses, IP:PORT.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, transport: &http.Transport{DisableCompression: true}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the current configuration, byte for byte as the operator sent it.
func (c *Client) Read(ctx context.Context) ([]byte, error) {
	reply, err := c.do(ctx, call{method: http.MethodGet, path: pathRead})
	if err != nil {
		return nil, err
	}
	switch {
	case reply.status == http.StatusOK:
		return reply.body, nil
	case reply.status == http.StatusNotFound:
		return nil, ErrNoConfig
	}
	return nil, reply.refusal()
}

// Replace replaces the configuration whose version is base. It repeats the same request until a reply is conclusive.
func (c *Client) Replace(ctx context.Context, base int64, body []byte) error {
	reply, err := c.do(ctx, call{
		method: http.MethodPost,
		path:   pathReplace,
		header: http.Header{headerBase: {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}},
		body:   body,
	})
	if err != nil {
		return err
	}
	switch {
	case reply.status == http.StatusOK:
		return nil
	case reply.status == http.StatusPreconditionFailed || reply.status == http.StatusConflict:
		return eris.Wrapf(ErrConflict, "status %d", reply.status)
	}
	return reply.refusal()
}

// call is a request to any of the controllers.
type call struct {
	method, path string
	header       http.Header
	body         []byte
}

// reply is a controller's response to a call.
type reply struct {
	status   int
	location string
	body     []byte
}

// conclusive reports whether the reply decides the call, so that asking another controller is of no use.
func (r reply) conclusive() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return r.status < http.StatusInternalServerError
}

// text returns the first line of the body.
func (r reply) text() string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(r.body)), "\n")
	return line
}

func (r reply) refusal() error { return eris.Wrapf(ErrRefused, "status %d: %s", r.status, r.text()) }

// do sends the call to one controller after the other, with exponential backoff, until a reply is conclusive.
func (c *Client) do(ctx context.Context, outgoing call) (reply, error) {
	if len(c.addresses) == 0 {
		return reply{}, eris.New("no controller is known")
	}
	lastFailure := "no controller answered"
	backoff := initialBackoff
	for i := 0; ; i++ {
		address := c.addresses[i%len(c.addresses)]
		answer, err := c.attempt(ctx, address, outgoing)
		switch {
		case err != nil:
			lastFailure = err.Error()
		case answer.conclusive():
			return answer, nil
		default:
			lastFailure = address + ": status " + strconv.Itoa(answer.status) + ": " + answer.text()
		}
		if !pause.For(ctx, backoff) {
			return reply{}, eris.Wrap(ErrIndeterminate, lastFailure)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt sends the call to one controller and follows its redirects.
func (c *Client) attempt(ctx context.Context, address string, outgoing call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	target := "http://" + address + outgoing.path
	for redirects := 0; ; redirects++ {
		answer, err := c.send(ctx, target, outgoing)
		if err != nil || answer.status != http.StatusTemporaryRedirect {
			return answer, err
		}
		if redirects == maxRedirects || answer.location == "" {
			return reply{}, eris.Errorf("%s: too many redirects", address)
		}
		target = answer.location
	}
}

func (c *Client) send(ctx context.Context, target string, outgoing call) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, outgoing.method, target, bytes.NewReader(outgoing.body))
	if err != nil {
		return reply{}, eris.Wrap(err, "make request")
	}
	for name, values := range outgoing.header {
		request.Header[name] = values
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, eris.Wrap(err, target)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := transport.ReadBody(response, maxReplyBytes)
	if err != nil {
		return reply{}, eris.Wrap(err, target)
	}
	return reply{status: response.StatusCode, location: response.Header.Get("Location"), body: body}, nil
}
