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

// received is a call as a controller got it.
type received struct{ method, path, base, body string }

// control is a controller that answers each call by the next of its answers, and by the last one from then on.
type control struct {
	address string

	mutex   sync.Mutex
	answers []http.HandlerFunc
	calls   []received
}

func newControl(t *testing.T, answers ...http.HandlerFunc) *control {
	t.Helper()
	c := &control{answers: answers}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// received returns the calls so far. A client whose answer is cut returns while its call is still being served.
func (c *control) received() []received {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.calls)
}

func status(code int, body string) http.HandlerFunc {
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

// unused returns an address at which nobody listens.
func unused(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestReplaceSendsTheConfigurationUnchanged(t *testing.T) {
	controller := newControl(t, status(http.StatusOK, ""))
	require.NoError(t, New([]string{controller.address}).Replace(t.Context(), 5, []byte("{ }\n")))
	assert.Equal(t, []received{{http.MethodPost, "/config/replace", "5", "{ }\n"}}, controller.received())
}

func TestReplaceGoesOnToTheNextControllerUntilTheAnswerIsClear(t *testing.T) {
	for name, unclear := range map[string]http.HandlerFunc{
		"503": status(http.StatusServiceUnavailable, "no majority"),
		"408": status(http.StatusRequestTimeout, ""),
		"429": status(http.StatusTooManyRequests, ""),
		"cut": cutOff,
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newControl(t, unclear), newControl(t, status(http.StatusOK, ""))
			client := New([]string{unused(t), first.address, second.address})
			require.NoError(t, client.Replace(t.Context(), 0, []byte("body")))
			assert.Len(t, first.received(), 1)
			assert.Equal(t, first.received(), second.received(), "the same call")
		})
	}
}

func TestReplaceTellsAConflictFromARefusal(t *testing.T) {
	conflict := newControl(t, status(http.StatusPreconditionFailed, "another version is current"))
	assert.ErrorIs(t, New([]string{conflict.address}).Replace(t.Context(), 1, nil), ErrConflict)
	invalid := newControl(t, status(http.StatusBadRequest, "TimeoutMs: 0\nmore\n"))
	err := New([]string{invalid.address}).Replace(t.Context(), 1, nil)
	assert.ErrorIs(t, err, ErrRefused)
	assert.Contains(t, err.Error(), "status 400: TimeoutMs: 0")
	assert.NotContains(t, err.Error(), "more")
	assert.Len(t, invalid.received(), 1, "a refusal is final")
}

func TestRedirectsAreFollowedTwice(t *testing.T) {
	last := newControl(t, status(http.StatusOK, "{}"))
	second := newControl(t, redirect(func() string { return last.address }))
	first := newControl(t, redirect(func() string { return second.address }))
	body, err := New([]string{first.address}).Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "{}", string(body))

	var loop *control
	loop = newControl(t, redirect(func() string { return loop.address }))
	client := New([]string{loop.address, last.address})
	_, err = client.Read(t.Context())
	require.NoError(t, err, "the next controller is asked")
	assert.Len(t, loop.received(), 3)
}

func TestReadOfAFleetWithoutConfiguration(t *testing.T) {
	controller := newControl(t, status(http.StatusNotFound, ""))
	_, err := New([]string{controller.address}).Read(t.Context())
	assert.ErrorIs(t, err, ErrNoConfig)
}

func TestNoClearAnswerInTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	controller := newControl(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		cancel()
	})
	_, err := New([]string{controller.address}).Read(ctx)
	assert.ErrorIs(t, err, ErrIndeterminate)
	assert.Error(t, New(nil).Replace(t.Context(), 0, nil))
}

// internal is a controller that answers calls for its status.
func internal(t *testing.T, answer func(self string) (ControllerStatus, error)) string {
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

func TestSurveyAsksWhomTheControllersName(t *testing.T) {
	named := internal(t, func(self string) (ControllerStatus, error) {
		return ControllerStatus{Member: fleetwire.Member{Name: "named"}, Replicas: []string{self}}, nil
	})
	gone := unused(t)
	failing := internal(t, func(string) (ControllerStatus, error) { return ControllerStatus{}, eris.New("not yet") })
	first := internal(t, func(self string) (ControllerStatus, error) {
		return ControllerStatus{Replicas: []string{self, gone}, Live: []string{named, failing}, Revision: 7}, nil
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
	assert.Equal(t, "named", byAddress[named].Status.Member.Name)
	assert.Error(t, byAddress[gone].Err)
	assert.Error(t, byAddress[failing].Err)
	for i := 1; i < len(probes); i++ {
		assert.Negative(t, compareAddresses(probes[i-1].Address, probes[i].Address), "in order")
	}
}

func TestAddressesAreOrderedByNumber(t *testing.T) {
	assert.Negative(t, compareAddresses("10.0.0.9:80", "10.0.0.10:80"))
	assert.Positive(t, compareAddresses("10.0.0.9:81", "10.0.0.9:80"))
	assert.Negative(t, compareAddresses("a", "b"))
}
