package mgmt

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFeed(t *testing.T) {
	for name, c := range map[string]struct {
		in     string
		want   Request
		status string // of an error response that Feed returns itself
	}{
		"ready":              {in: "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"},
		"counters":           {in: "GET /control/counters?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", want: Request{Kind: Counters}},
		"offline":            {in: "POST /control/workers/s-1/offline HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", want: Request{Offline, "s-1"}},
		"online, escaped":    {in: "POST /control/workers/s%2D1/online HTTP/1.1\r\nHost: x\r\n\r\n", want: Request{Online, "s-1"}},
		"unknown path":       {in: "GET /control/else HTTP/1.1\r\nHost: x\r\n\r\n", status: "404"},
		"no worker":          {in: "POST /control/workers//offline HTTP/1.1\r\nHost: x\r\n\r\n", status: "404"},
		"unknown verb":       {in: "POST /control/workers/s/away HTTP/1.1\r\nHost: x\r\n\r\n", status: "404"},
		"wrong method":       {in: "GET /control/workers/s/offline HTTP/1.1\r\nHost: x\r\n\r\n", status: "405"},
		"counters with POST": {in: "POST /control/counters HTTP/1.1\r\nHost: x\r\n\r\n", status: "405"},
		"garbage":            {in: "hello\r\n\r\n", status: "400"},
		"endless header":     {in: "GET /control/ready HTTP/1.1\r\nX: " + strings.Repeat("y", 1<<15), status: "431"},
		"body too large":     {in: "POST /control/workers/s/offline HTTP/1.1\r\nHost: x\r\nContent-Length: 8192\r\n\r\n" + strings.Repeat("y", 5000), status: "413"},
	} {
		for _, size := range []int{len(c.in), 1} {
			call := NewCall()
			var got *Request
			var answer []byte
			for rest := c.in; rest != "" && got == nil && answer == nil; {
				n := min(size, len(rest))
				got, answer = call.Feed([]byte(rest[:n]))
				rest = rest[n:]
			}
			if c.status != "" {
				assert.Contains(t, string(answer), "HTTP/1.1 "+c.status, name)
				assert.Nil(t, got, name)
				continue
			}
			require.NotNil(t, got, name)
			assert.Equal(t, c.want, *got, name)
		}
	}
}

type fakeControl struct {
	err     error
	offline map[string]bool
}

func (f fakeControl) Ready() (bool, error) { return f.err == nil, nil }
func (f fakeControl) Figures() (Figures, error) {
	return Figures{Served: map[string]int{"view": 0}, InFlight: 2}, f.err
}
func (f fakeControl) SetOffline(worker string, offline bool) error {
	f.offline[worker] = offline
	return f.err
}

func TestReplies(t *testing.T) {
	for err, status := range map[error]string{nil: "200", ErrUnknownWorker: "404", ErrTimeout: "503"} {
		f := fakeControl{err, map[string]bool{}}
		for _, kind := range []Kind{Offline, Online} {
			answer := string((&Request{kind, "w"}).Do(f).Bytes())
			assert.Contains(t, answer, "HTTP/1.1 "+status)
			assert.Contains(t, answer, "Connection: close")
			assert.Equal(t, kind == Offline, f.offline["w"])
		}
	}
	assert.Contains(t, string((&Request{Kind: Ready}).Do(fakeControl{err: ErrTimeout}).Bytes()), "HTTP/1.1 503")
	text := string((&Request{Kind: Counters}).Do(fakeControl{}).Bytes())
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	var in map[string]any
	require.NoError(t, json.Unmarshal([]byte(body), &in))
	assert.Equal(t, map[string]any{"view": 0.0}, in["served"], "a class without jobs is listed too")
	assert.Equal(t, 2.0, in["in_flight"])
}
