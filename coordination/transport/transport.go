// Package transport carries typed messages between processes as msgpack bodies of HTTP POST requests. Each call has its own
// deadline. A call that exceeds it closes its connection, so that an unreachable peer is detected at once.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is the media type of message bodies.
const ContentType = "application/msgpack"

const (
	maxMessageBytes     = 16 << 20
	dialTimeout         = 400 * time.Millisecond
	idleTimeout         = 30 * time.Second
	idleConnsPerAddress = 4
)

// ErrStatus is the root of the errors of calls whose response has a status other than 200.
var ErrStatus = eris.New("unexpected status")

// ErrMalformed is the root of the errors of bodies that are not one message.
var ErrMalformed = eris.New("malformed message")

// Client sends calls over its own pool of connections. It is safe for use by several goroutines.
type Client struct {
	http *http.Transport
}

// DialFunc opens a connection in the same way as net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCPDial returns a DialFunc that opens TCP connections. It disables keep-alive probes because they cause wake-ups, and calls
// have their own deadlines.
func TCPDial() DialFunc {
	dialer := &net.Dialer{KeepAlive: -1}
	return dialer.DialContext
}

// WithTimeout returns a DialFunc that fails after the timeout. It is needed because net/http continues to open a connection after
// the request that started it was canceled.
func (d DialFunc) WithTimeout(timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}

// NewClient returns a client that connects over TCP.
func NewClient() *Client { return NewClientWithDial(TCPDial()) }

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{http: &http.Transport{
		DialContext:         dial.WithTimeout(dialTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnsPerAddress,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Call posts request to path at address (IP:PORT) and decodes the response into reply. It returns at the latest when ctx is done.
func (c *Client) Call(ctx context.Context, address, path string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	httpRequest.Header.Set("Content-Type", ContentType)
	response, err := c.http.RoundTrip(httpRequest)
	if err != nil {
		return eris.Wrapf(err, "call %s%s", address, path)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := ReadBody(response, maxMessageBytes)
	if err != nil {
		return eris.Wrapf(err, "read response of %s%s", address, path)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrStatus, "%s%s: %d", address, path, response.StatusCode)
	}
	if response.Header.Get("Content-Type") != ContentType {
		return eris.Wrapf(ErrMalformed, "%s%s: media type %q", address, path, response.Header.Get("Content-Type"))
	}
	return eris.Wrapf(decode(responseBody, reply), "decode response of %s%s", address, path)
}

// ReadBody reads the whole body of a response. It returns ErrMalformed for a body above the limit and for status 101: such a body is
// the connection itself, of which the reading would not end with the request's context.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, eris.Wrap(ErrMalformed, "it switches protocols")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = eris.Wrapf(ErrMalformed, "more than %d bytes", limit)
	}
	return body, err
}

// decode decodes a message that must fill the whole body.
func decode(body []byte, message any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := decoder.Decode(message); err != nil {
		return eris.Wrapf(ErrMalformed, "%v", err)
	}
	if reader.Len() > 0 {
		return eris.Wrapf(ErrMalformed, "%d bytes after the message", reader.Len())
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Handle returns an HTTP handler that decodes a request, calls serve and encodes its reply. If serve returns an error, the
// handler responds with status 503 and the error text.
func Handle[Request, Reply any](serve func(ctx context.Context, request Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, "body", http.StatusBadRequest)
			return
		}
		var request Request
		if err := decode(body, &request); err != nil {
			http.Error(w, "decode", http.StatusBadRequest)
			return
		}
		reply, err := serve(r.Context(), request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		encoded, err := msgpack.Marshal(reply)
		if err != nil {
			http.Error(w, "encode", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", ContentType)
		_, _ = w.Write(encoded)
	})
}
