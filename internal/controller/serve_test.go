package controller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/register"
)

// hangingRegister is a register whose calls return only when their contexts end.
type hangingRegister struct {
	*fakeRegister
	called chan struct{}
}

func (h hangingRegister) Update(ctx context.Context, _ func(data []byte) ([]byte, error)) (register.State, error) {
	return h.hang(ctx)
}

func (h hangingRegister) Read(ctx context.Context) (register.State, error) { return h.hang(ctx) }

func (h hangingRegister) hang(ctx context.Context) (register.State, error) {
	h.called <- struct{}{}
	<-ctx.Done()
	return register.State{}, register.ErrInDoubt
}

// Guards against dropping an operator's call without an answer when its controller shuts down.
func TestCallsInFlightAreAnsweredBeforeShutdown(t *testing.T) {
	for name, request := range map[string]*http.Request{
		"replace": httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(configBody(2))),
		"read":    httptest.NewRequest(http.MethodGet, pathRead, nil),
	} {
		t.Run(name, func(t *testing.T) {
			node := hangingRegister{newFakeRegister(), make(chan struct{}, 1)}
			api := newOperatorAPI(node, zap.NewNop())
			mux := http.NewServeMux()
			api.registerHandlers(mux)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			serving := &servers{control: newServer(mux), internal: newServer(http.NewServeMux())}
			go func() { _ = serving.control.Serve(listener) }()
			request.RequestURI, request.URL.Scheme, request.URL.Host = "", "http", listener.Addr().String()
			request.Header.Set(headerBase, "0")
			statuses := make(chan int, 1)
			go func() {
				status := 0
				if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
					status = response.StatusCode
					_ = response.Body.Close()
				}
				statuses <- status
			}()
			<-node.called
			serving.shutdown(api.cancelCalls)
			require.Equal(t, http.StatusServiceUnavailable, <-statuses)
		})
	}
}
