package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	callTimeout  = time.Second
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
	mostRefusals = 3 // tries that end in another 4xx
	mostHops     = 2 // redirections that are followed
)

// ErrUnclear is returned when no clear answer came in time. The change may have been taken or not.
var ErrUnclear = errors.New("no clear answer")

// Operator calls the controllers in turn.
type Operator struct {
	controllers func() []string
	transport   *http.Transport
	turn        atomic.Int64
	lose        atomic.Int64
	calls       atomic.Int64
}

// New returns an operator that chooses among controllers (Control addresses, IP:PORT).
func New(controllers func() []string) *Operator {
	return &Operator{controllers: controllers, transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
}

// DropAnswers lets the next n answers of controllers be lost on their way.
func (o *Operator) DropAnswers(n int) { o.lose.Store(int64(n)) }

// Calls is how many calls were sent.
func (o *Operator) Calls() int { return int(o.calls.Load()) }

// Replace sends a configuration on top of base until it gets a clear answer, and returns its status.
func (o *Operator) Replace(ctx context.Context, base int64, config Config) (int, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	return o.ReplaceRaw(ctx, base, body)
}

// ReplaceRaw is Replace for any bytes.
func (o *Operator) ReplaceRaw(ctx context.Context, base int64, body []byte) (int, error) {
	header := http.Header{"Base-Version": {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}}
	status, _, err := o.untilClear(ctx, http.MethodPost, "/config/replace", header, body)
	return status, err
}

// Read returns the newest configuration.
func (o *Operator) Read(ctx context.Context) (Config, error) {
	var config Config
	status, body, err := o.untilClear(ctx, http.MethodGet, "/config/read", nil, nil)
	switch {
	case err != nil:
		return config, err
	case status != http.StatusOK:
		return config, fmt.Errorf("read: status %d", status)
	}
	return config, json.Unmarshal(body, &config)
}

// untilClear calls one controller after the other until an answer is clear.
func (o *Operator) untilClear(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	refusals := 0
	for wait := firstPause; ; wait = min(longestPause, wait*2) {
		status, answer, err := o.call(ctx, method, path, header, body)
		switch {
		case err != nil, status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
		case status < 300, slices.Contains([]int{400, 409, 412, 413, 422}, status):
			return status, answer, nil
		default:
			if refusals++; refusals >= mostRefusals {
				return status, answer, nil
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return status, answer, errors.Join(ErrUnclear, err)
		case <-timer.C:
		}
	}
}

// call sends one call to the controller whose turn it is.
func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.calls.Add(1)
	controllers := o.controllers()
	if len(controllers) == 0 {
		return 0, nil, errors.New("no controller is known")
	}
	url := "http://" + controllers[int(o.turn.Add(1))%len(controllers)] + path
	for hop := 0; ; hop++ {
		status, location, answer, err := o.exchange(ctx, method, url, header, body)
		if err == nil && o.lose.Add(-1) >= 0 {
			return 0, nil, errors.New("the answer was lost")
		}
		if status != http.StatusTemporaryRedirect || hop == mostHops {
			return status, answer, err
		}
		url = location
	}
}

func (o *Operator) exchange(ctx context.Context, method, url string, header http.Header, body []byte) (status int,
	location string, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	response, err := o.transport.RoundTrip(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Location"), answer, err
}
