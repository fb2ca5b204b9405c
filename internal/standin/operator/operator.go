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
	callTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	maxRejections  = 3 // attempts that end in a 4xx status that is neither conclusive nor retried
	maxRedirects   = 2 // redirects that are followed
)

// ErrInconclusive is returned when no conclusive answer came in time. The change may or may not have been applied.
var ErrInconclusive = errors.New("no conclusive answer")

// Operator calls the controllers in round-robin order.
type Operator struct {
	controllers    func() []string
	transport      *http.Transport
	nextController atomic.Int64
	answersToDrop  atomic.Int64
	calls          atomic.Int64
}

// New returns an operator that calls the controllers whose Control addresses (IP:PORT) the function controllers returns.
func New(controllers func() []string) *Operator {
	return &Operator{controllers: controllers, transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
}

// DropAnswers discards the next n answers of controllers.
func (o *Operator) DropAnswers(n int) { o.answersToDrop.Store(int64(n)) }

// Calls returns the number of calls sent.
func (o *Operator) Calls() int { return int(o.calls.Load()) }

// Replace sends a configuration based on version base until it gets a conclusive answer, and returns its status.
func (o *Operator) Replace(ctx context.Context, base int64, config Config) (int, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	return o.ReplaceRaw(ctx, base, body)
}

// ReplaceRaw is like Replace but sends body as it is.
func (o *Operator) ReplaceRaw(ctx context.Context, base int64, body []byte) (int, error) {
	header := http.Header{"Base-Version": {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}}
	status, _, err := o.callUntilConclusive(ctx, http.MethodPost, "/config/replace", header, body)
	return status, err
}

// Read returns the newest configuration.
func (o *Operator) Read(ctx context.Context) (Config, error) {
	var config Config
	status, body, err := o.callUntilConclusive(ctx, http.MethodGet, "/config/read", nil, nil)
	switch {
	case err != nil:
		return config, err
	case status != http.StatusOK:
		return config, fmt.Errorf("read: status %d", status)
	}
	return config, json.Unmarshal(body, &config)
}

// callUntilConclusive calls one controller after the other, with backoff, until an answer is conclusive or ctx is done.
// Errors and the statuses 408, 429 and 5xx are retried without limit.
func (o *Operator) callUntilConclusive(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	rejections := 0
	for wait := initialBackoff; ; wait = min(maxBackoff, wait*2) {
		status, answer, err := o.call(ctx, method, path, header, body)
		switch {
		case err != nil, status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
		case status < 300, slices.Contains([]int{400, 409, 412, 413, 422}, status):
			return status, answer, nil
		default:
			if rejections++; rejections >= maxRejections {
				return status, answer, nil
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return status, answer, errors.Join(ErrInconclusive, err)
		case <-timer.C:
		}
	}
}

// call sends one call to the next controller and follows redirects.
func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.calls.Add(1)
	controllers := o.controllers()
	if len(controllers) == 0 {
		return 0, nil, errors.New("no controller is known")
	}
	url := "http://" + controllers[int(o.nextController.Add(1))%len(controllers)] + path
	for hop := 0; ; hop++ {
		status, location, answer, err := o.exchange(ctx, method, url, header, body)
		if err == nil && o.answersToDrop.Add(-1) >= 0 {
			return 0, nil, errors.New("the answer was lost")
		}
		if status != http.StatusTemporaryRedirect || hop == maxRedirects {
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
