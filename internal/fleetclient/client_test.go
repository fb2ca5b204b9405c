package fleetclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

// received is a request that a controller received.
type received struct{ method, path, base, body string }

// fakeController answers each request with the next of its answers, and repeats the last one.
type fakeController struct {
	address string

	mutex   sync.Mutex
	answers []http.HandlerFunc
	calls   []received
}

func newFakeController(t *testing.T, answers ...http.HandlerFunc) *fakeController {
	t.Helper()
	c := &fakeController{answers: answers}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mutex.Lock()
	c.calls = append(c.calls, received{r.Method, r.URL.Path, r.Header.Get("Base-Version"), string(body)})
	answer := c.answers[0]
	if len(c.answers) > 1 {
		c.answers = c.answers[1:]
	}
	c.mutex.Unlock()
	answer(w, r)
}

// received returns the requests so far. It locks, because a client whose reply is cut returns while its request is still
// served.
func (c *fakeController) received() []received {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.calls)
}

func respond(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func redirect(address func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "http://"+address()+r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

func cutOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestReplaceSendsTheConfigurationUnchanged(t *testing.T) {
	controller := newFakeController(t, respond(http.StatusOK, ""))
	require.NoError(t, New([]string{controller.address}).Replace(t.Context(), 5, []byte("{ }\n")))
	assert.Equal(t, []received{{http.MethodPost, "/config/replace", "5", "{ }\n"}}, controller.received())
}

func TestReplaceTriesTheNextControllerUntilAReplyIsConclusive(t *testing.T) {
	for name, inconclusive := range map[string]http.HandlerFunc{
		"503": respond(http.StatusServiceUnavailable, "no majority"),
		"408": respond(http.StatusRequestTimeout, ""),
		"429": respond(http.StatusTooManyRequests, ""),
		"cut": cutOff,
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeController(t, inconclusive), newFakeController(t, respond(http.StatusOK, ""))
			client := New([]string{unusedAddress(t), first.address, second.address})
			require.NoError(t, client.Replace(t.Context(), 0, []byte("body")))
			assert.Len(t, first.received(), 1)
			assert.Equal(t, first.received(), second.received(), "both requests must be equal")
		})
	}
}

func TestReplaceDistinguishesConflictAndRefusal(t *testing.T) {
	conflict := newFakeController(t, respond(http.StatusPreconditionFailed, "another version is current"))
	assert.ErrorIs(t, New([]string{conflict.address}).Replace(t.Context(), 1, nil), ErrConflict)
	invalid := newFakeController(t, respond(http.StatusBadRequest, "TimeoutMs: 0\nmore\n"))
	err := New([]string{invalid.address}).Replace(t.Context(), 1, nil)
	assert.ErrorIs(t, err, ErrRefused)
	assert.Contains(t, err.Error(), "status 400: TimeoutMs: 0")
	assert.NotContains(t, err.Error(), "more")
	assert.Len(t, invalid.received(), 1, "a refusal must not be retried")
}

func TestAtMostTwoRedirectsAreFollowed(t *testing.T) {
	last := newFakeController(t, respond(http.StatusOK, "{}"))
	second := newFakeController(t, redirect(func() string { return last.address }))
	first := newFakeController(t, redirect(func() string { return second.address }))
	body, err := New([]string{first.address}).Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "{}", string(body))

	var loop *fakeController
	loop = newFakeController(t, redirect(func() string { return loop.address }))
	client := New([]string{loop.address, last.address})
	_, err = client.Read(t.Context())
	require.NoError(t, err, "the next controller must be tried after too many redirects")
	assert.Len(t, loop.received(), 3)
}

func TestReadOfAFleetWithoutConfiguration(t *testing.T) {
	controller := newFakeController(t, respond(http.StatusNotFound, ""))
	_, err := New([]string{controller.address}).Read(t.Context())
	assert.ErrorIs(t, err, ErrNoConfig)
}

func TestNoConclusiveReplyInTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	controller := newFakeController(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		cancel()
	})
	_, err := New([]string{controller.address}).Read(ctx)
	assert.ErrorIs(t, err, ErrIndeterminate)
	assert.Error(t, New(nil).Replace(t.Context(), 0, nil))
}

// startStatusServer starts a controller that answers status requests, and returns its address.
func startStatusServer(t *testing.T, answer func(self string) (ControllerStatus, error)) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	self := server.Listener.Addr().String()
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(func(context.Context, struct{}) (ControllerStatus, error) {
		return answer(self)
	}))
	return self
}

func TestSurveyProbesListedControllers(t *testing.T) {
	listed := startStatusServer(t, func(self string) (ControllerStatus, error) {
		return ControllerStatus{Member: fleetwire.Member{Name: "named"}, Replicas: []string{self}}, nil
	})
	stopped := unusedAddress(t)
	failing := startStatusServer(t, func(string) (ControllerStatus, error) { return ControllerStatus{}, eris.New("not yet") })
	first := startStatusServer(t, func(self string) (ControllerStatus, error) {
		return ControllerStatus{Replicas: []string{self, stopped}, Live: []string{listed, failing}, Revision: 7}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	probes := Survey(ctx, []string{first, first})
	byAddress := make(map[string]Probe, len(probes))
	for _, probe := range probes {
		byAddress[probe.Address] = probe
	}
	require.Len(t, probes, 4)
	assert.Equal(t, uint64(7), byAddress[first].Status.Revision)
	assert.Equal(t, "named", byAddress[listed].Status.Member.Name)
	assert.Error(t, byAddress[stopped].Err)
	assert.Error(t, byAddress[failing].Err)
	for i := 1; i < len(probes); i++ {
		assert.Negative(t, compareAddresses(probes[i-1].Address, probes[i].Address), "in order")
	}
}

func TestAddressesAreOrderedNumerically(t *testing.T) {
	assert.Negative(t, compareAddresses("10.0.0.9:80", "10.0.0.10:80"))
	assert.Positive(t, compareAddresses("10.0.0.9:81", "10.0.0.9:80"))
	assert.Negative(t, compareAddresses("a", "b"))
}
