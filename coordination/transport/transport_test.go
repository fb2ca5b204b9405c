package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type testMessage struct{ Revision int }

func encoded(t *testing.T, message any) string {
	t.Helper()
	body, err := msgpack.Marshal(message)
	require.NoError(t, err)
	return string(body)
}

// call calls a server with the given handler.
func call(t *testing.T, handler http.Handler) (testMessage, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := NewClient()
	defer client.Close()
	var reply testMessage
	err := client.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/call", testMessage{Revision: 4}, &reply)
	return reply, err
}

func TestCallReturnsTheReply(t *testing.T) {
	reply, err := call(t, Handle(func(_ context.Context, request testMessage) (testMessage, error) {
		return testMessage{Revision: request.Revision + 1}, nil
	}))
	require.NoError(t, err)
	require.Equal(t, testMessage{Revision: 5}, reply)
}

// Guards against a soundly framed body being taken for a message that it is not.
func TestResponseThatIsNotOneMessageIsAnError(t *testing.T) {
	message := encoded(t, testMessage{Revision: 5})
	for name, each := range map[string]struct{ mediaType, body string }{
		"empty":            {ContentType, ""},
		"text":             {ContentType, "garbage"},
		"cut short":        {ContentType, message[:len(message)-1]},
		"bytes behind it":  {ContentType, message + "garbage"},
		"two messages":     {ContentType, message + message},
		"other media type": {"text/plain", message},
		"no media type":    {"", message},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := call(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Content-Type"] = []string{each.mediaType}
				_, _ = w.Write([]byte(each.body))
			}))
			require.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestRequestThatIsNotOneMessageIsRejected(t *testing.T) {
	served := 0
	handler := Handle(func(context.Context, testMessage) (testMessage, error) {
		served++
		return testMessage{}, nil
	})
	message := encoded(t, testMessage{Revision: 5})
	for body, status := range map[string]int{message: http.StatusOK, message + "x": http.StatusBadRequest, "": http.StatusBadRequest} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/call", bytes.NewReader([]byte(body))))
		require.Equal(t, status, recorder.Code, body)
	}
	require.Equal(t, 1, served)
}

func TestCallReportsTheStatus(t *testing.T) {
	_, err := call(t, Handle(func(context.Context, testMessage) (testMessage, error) {
		return testMessage{}, context.DeadlineExceeded
	}))
	require.ErrorIs(t, err, ErrStatus)
}

// Guards against a call that never ends: the context of a request no longer ends the reading after a status 101.
func TestBodyAfterSwitchedProtocolsIsNotRead(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, err := call(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
		_ = buffered.Flush()
		go func() {
			<-release
			_ = conn.Close()
		}()
	}))
	require.ErrorIs(t, err, ErrMalformed)
}

func TestReadBodyRefusesBodiesAboveTheLimit(t *testing.T) {
	for size, want := range map[int]error{4: nil, 5: nil, 6: ErrMalformed} {
		response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size)))}
		_, err := ReadBody(response, 5)
		require.ErrorIs(t, err, want)
	}
}
