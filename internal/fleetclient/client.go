// Package fleetclient speaks to a running fleet as its operator does: it sends and reads configurations at the controllers'
// Control addresses and asks processes for their status.
package fleetclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/internal/pause"
)

// Errors that callers tell apart.
var (
	// ErrConflict is the root of errors for a change on top of a version that is not the current one.
	ErrConflict = eris.New("another version is current")
	// ErrRefused is the root of errors for a call that the fleet refused for good.
	ErrRefused = eris.New("refused")
	// ErrNoConfig is the root of errors for a fleet that has no configuration yet.
	ErrNoConfig = eris.New("there is no configuration")
	// ErrIndeterminate is the root of errors for a call that got no clear answer in time. A change may have been taken.
	ErrIndeterminate = eris.New("no clear answer")
)

const (
	pathReplace = "/config/replace"
	pathRead    = "/config/read"
	headerBase  = "Base-Version"

	maxRedirects   = 2
	maxAnswerBytes = 64 << 20
	// tryTimeout bounds one call, so that the next controller is asked in time.
	tryTimeout = 4 * time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Client calls the controllers in turn until one gives a clear answer or the context is done.
type Client struct {
	controls  []string
	transport *http.Transport
}

// New returns a client of the controllers at these Control addresses, IP:PORT.
func New(controls []string) *Client {
	return &Client{controls: controls, transport: &http.Transport{DisableCompression: true}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the newest configuration as it was sent.
func (c *Client) Read(ctx context.Context) ([]byte, error) {
	reply, err := c.ask(ctx, call{method: http.MethodGet, path: pathRead})
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

// Replace sends a configuration that builds on the version base. It is sent again, unchanged, until the answer is clear.
func (c *Client) Replace(ctx context.Context, base int64, body []byte) error {
	reply, err := c.ask(ctx, call{
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

type call struct {
	method, path string
	header       http.Header
	body         []byte
}

type reply struct {
	status   int
	location string
	body     []byte
}

// clear reports whether the answer settles the call: another controller would not answer otherwise.
func (r reply) clear() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return r.status < http.StatusInternalServerError
}

// text returns the first line of the answer.
func (r reply) text() string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(r.body)), "\n")
	return line
}

func (r reply) refusal() error { return eris.Wrapf(ErrRefused, "status %d: %s", r.status, r.text()) }

// ask makes the call at one controller after the other until an answer is clear.
func (c *Client) ask(ctx context.Context, wanted call) (reply, error) {
	if len(c.controls) == 0 {
		return reply{}, eris.New("no controller is known")
	}
	last := "no controller answered"
	wait := firstPause
	for turn := 0; ; turn++ {
		address := c.controls[turn%len(c.controls)]
		answer, err := c.try(ctx, address, wanted)
		switch {
		case err != nil:
			last = err.Error()
		case answer.clear():
			return answer, nil
		default:
			last = address + ": status " + strconv.Itoa(answer.status) + ": " + answer.text()
		}
		if !pause.For(ctx, wait) {
			return reply{}, eris.Wrap(ErrIndeterminate, last)
		}
		wait = min(2*wait, maxPause)
	}
}

// try makes the call at one controller and follows where it points.
func (c *Client) try(ctx context.Context, address string, wanted call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	target := "http://" + address + wanted.path
	for redirects := 0; ; redirects++ {
		answer, err := c.send(ctx, target, wanted)
		if err != nil || answer.status != http.StatusTemporaryRedirect {
			return answer, err
		}
		if redirects == maxRedirects || answer.location == "" {
			return reply{}, eris.Errorf("%s: too many redirects", address)
		}
		target = answer.location
	}
}

func (c *Client) send(ctx context.Context, target string, wanted call) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, wanted.method, target, bytes.NewReader(wanted.body))
	if err != nil {
		return reply{}, eris.Wrap(err, "make request")
	}
	for name, values := range wanted.header {
		request.Header[name] = values
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, eris.Wrap(err, target)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, eris.Wrap(err, target)
	}
	return reply{status: response.StatusCode, location: response.Header.Get("Location"), body: body}, nil
}
