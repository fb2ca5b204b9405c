package handover

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Decoding an encoded message must return the same message. Truncated packets, other versions and messages without the
// fields that their kind requires must return an error, and arbitrary bytes must not cause a panic.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z"\\<é]{1,9}`)
		m := Message{Kind: rapid.SampledFrom([]Kind{KindHello, KindOffline, KindApplied, KindList, KindIdleClient, KindJob}).Draw(t, "kind"),
			Number: rapid.Uint64().Draw(t, "number"), Worker: text.Draw(t, "worker"), Away: rapid.Bool().Draw(t, "away"),
			Job:   json.RawMessage(`{"id":"x"}`),
			Hello: &Hello{Process: text.Draw(t, "process"), Started: rapid.Int64().Draw(t, "started"), Out: rapid.SliceOfN(text, 1, 4).Draw(t, "out"), List: json.RawMessage(`{}`), Learnt: json.RawMessage(`{}`)}}
		b, err := Encode(m)
		require.NoError(t, err)
		got, err := Decode(b)
		require.NoError(t, err)
		m.Version = Version
		require.Equal(t, m, got)
		_, err = Decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])
		require.Error(t, err)
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
	for _, text := range []string{`{"v":2,"kind":"done"}`, `{"v":1,"kind":"hello"}`, `{"v":1,"kind":"hello","hello":{}}`, `{"v":1,"kind":"out"}`,
		`{"v":1,"kind":"job"}`, `[]`, ``} {
		_, err := Decode([]byte(text))
		assert.Error(t, err, text)
	}
	_, err := Encode(Message{Kind: KindList, List: json.RawMessage(`"` + string(make([]byte, 0)) + string(slices.Repeat([]byte("x"), MaxMessage)) + `"`)})
	assert.Error(t, err, "the message exceeds MaxMessage")
}

func TestOfflineFile(t *testing.T) {
	dir := t.TempDir()
	out, err := LoadOffline(dir, "n0")
	assert.NoError(t, err, "a missing file is not an error")
	assert.Empty(t, out)
	for _, want := range [][]string{{"a", "b"}, {}} {
		require.NoError(t, SaveOffline(dir, "n0", want))
		out, err = LoadOffline(dir, "n0")
		assert.NoError(t, err)
		assert.Equal(t, want, out)
	}
	assert.Error(t, SaveOffline(filepath.Join(dir, "nowhere"), "n0", nil))
}

// recorder is a Handler that records all events.
type recorder struct {
	hello    Hello
	mu       sync.Mutex
	links    []*Link
	messages []Message
	fds      []int
	closed   int
}

func (r *recorder) Hello() Hello { return r.hello }
func (r *recorder) LinkUp(l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = append(r.links, l)
}
func (r *recorder) Message(_ *Link, m Message, fds []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages, r.fds = append(r.messages, m), append(r.fds, fds...)
}
func (r *recorder) LinkDown(*Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed++
}

func (r *recorder) has(links, messages, closed int) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.links) == links && len(r.messages) >= messages && r.closed == closed
	}
}

// A process must link to every running process. A descriptor must arrive with its packet. Processes that do not accept or
// use another version must not be linked, and the socket file of an ended process must be removed.
func TestLinksBetweenProcesses(t *testing.T) {
	const timeout = 20 * time.Second
	dir := t.TempDir()
	stale := filepath.Join(dir, "weldscale-n0-dead.sock")
	require.NoError(t, os.WriteFile(stale, nil, 0o600))
	hung, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, "weldscale-n0-hung.sock"), Net: "unixpacket"})
	require.NoError(t, err)
	defer hung.Close() // never accepts a connection
	olderHandler, newerHandler := &recorder{hello: Hello{Started: 1, Out: []string{"w"}}}, &recorder{hello: Hello{Started: 2}}
	older, err := Open(dir, "n0", olderHandler)
	require.NoError(t, err)
	defer older.Close()
	assert.NoFileExists(t, stale)
	assert.True(t, olderHandler.has(0, 0, 0)())
	otherVersion, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: older.path, Net: "unixpacket"})
	require.NoError(t, err)
	_, err = otherVersion.Write([]byte(`{"v":99,"kind":"hello","hello":{"process":"x"}}`))
	require.NoError(t, err)
	newer, err := Open(dir, "n0", newerHandler)
	require.NoError(t, err)
	defer newer.Close()
	require.Len(t, newerHandler.links, 1)
	assert.Equal(t, []string{"w"}, newerHandler.links[0].Peer.Out)
	require.Eventually(t, olderHandler.has(1, 0, 0), timeout, time.Millisecond, "the process of another version must not be linked")
	assert.Equal(t, newer.Process, olderHandler.links[0].Peer.Process)

	file, err := os.Open(dir)
	require.NoError(t, err)
	defer file.Close()
	require.NoError(t, newerHandler.links[0].SendFDs(Message{Kind: KindIdleClient}, int(file.Fd())))
	for i := range 50 {
		newerHandler.links[0].Send(Message{Kind: KindApplied, Number: uint64(i)})
	}
	require.Eventually(t, olderHandler.has(1, 51, 0), timeout, time.Millisecond)
	require.Len(t, olderHandler.fds, 1)
	received := os.NewFile(uintptr(olderHandler.fds[0]), "passed")
	receivedInfo, err := received.Stat()
	require.NoError(t, err)
	info, err := file.Stat()
	require.NoError(t, err)
	assert.True(t, os.SameFile(info, receivedInfo))
	received.Close()
	newerHandler.links[0].Close()
	require.Eventually(t, olderHandler.has(1, 51, 1), timeout, time.Millisecond)
	assert.Error(t, newerHandler.links[0].SendFDs(Message{Kind: KindIdleClient}), "the link is closed")
}

// blockingHandler blocks LinkUp until the test releases it.
type blockingHandler struct {
	recorder
	entered, release chan struct{}
}

func (h *blockingHandler) LinkUp(l *Link) {
	close(h.entered)
	<-h.release
	h.recorder.LinkUp(l)
}

// Open must not return before the running process has registered the link. The new process reports that it is ready once
// Open returns, and the running process may then be asked to stop at once: it must know the process that takes its jobs.
func TestOpenWaitsUntilPeerRegistersLink(t *testing.T) {
	dir := t.TempDir()
	olderHandler := &blockingHandler{recorder{hello: Hello{Started: 1}}, make(chan struct{}), make(chan struct{})}
	older, err := Open(dir, "n0", olderHandler)
	require.NoError(t, err)
	defer older.Close()
	newerHandler, opened := &recorder{hello: Hello{Started: 2}}, make(chan *Node, 1)
	go func() { n, _ := Open(dir, "n0", newerHandler); opened <- n }()
	<-olderHandler.entered
	select { // an Open that does not wait for the link would return within this time
	case n := <-opened:
		assert.Fail(t, "Open returned before the peer had registered the link")
		opened <- n
	case <-time.After(helloTimeout / 5):
	}
	close(olderHandler.release)
	newer := <-opened
	require.NotNil(t, newer)
	defer newer.Close()
	require.Len(t, newerHandler.links, 1)
	require.Eventually(t, olderHandler.has(1, 0, 0), 20*time.Second, time.Millisecond)
}
