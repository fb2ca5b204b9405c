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

// What is encoded is read again as it was; anything cut short, of another version or without what its kind needs is an
// error, never a panic.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z"\\<é]{1,9}`)
		m := Message{Kind: rapid.SampledFrom([]Kind{KindHello, KindOffline, KindApplied, KindList, KindIdleClient, KindJob}).Draw(t, "kind"),
			Number: rapid.Uint64().Draw(t, "number"), Worker: word.Draw(t, "worker"), Away: rapid.Bool().Draw(t, "away"),
			Job:   json.RawMessage(`{"id":"x"}`),
			Hello: &Hello{Process: word.Draw(t, "process"), Started: rapid.Int64().Draw(t, "started"), Out: rapid.SliceOfN(word, 1, 4).Draw(t, "out"), List: json.RawMessage(`{}`), Learnt: json.RawMessage(`{}`)}}
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
	assert.Error(t, err, "too long for a packet")
}

func TestSaved(t *testing.T) {
	dir := t.TempDir()
	out, err := LoadOffline(dir, "n0")
	assert.NoError(t, err, "none is no error")
	assert.Empty(t, out)
	for _, want := range [][]string{{"a", "b"}, {}} {
		require.NoError(t, SaveOffline(dir, "n0", want))
		out, err = LoadOffline(dir, "n0")
		assert.NoError(t, err)
		assert.Equal(t, want, out)
	}
	assert.Error(t, SaveOffline(filepath.Join(dir, "nowhere"), "n0", nil))
}

// recorder is a handler that keeps what it hears.
type recorder struct {
	hello Hello
	mu    sync.Mutex
	links []*Link
	heard []Message
	fds   []int
	gone  int
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
	r.heard, r.fds = append(r.heard, m), append(r.fds, fds...)
}
func (r *recorder) LinkDown(*Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone++
}

func (r *recorder) has(links, heard, gone int) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.links) == links && len(r.heard) >= heard && r.gone == gone
	}
}

// Each process links to those that are there, in any order; a packet keeps its descriptor; one that is silent, hangs or
// speaks another version is passed over, and the file of a dead one goes.
func TestLinks(t *testing.T) {
	const soon = 20 * time.Second
	dir := t.TempDir()
	dead := filepath.Join(dir, "weldscale-n0-dead.sock")
	require.NoError(t, os.WriteFile(dead, nil, 0o600))
	hung, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, "weldscale-n0-hung.sock"), Net: "unixpacket"})
	require.NoError(t, err)
	defer hung.Close() // which accepts nothing
	a, b := &recorder{hello: Hello{Started: 1, Out: []string{"w"}}}, &recorder{hello: Hello{Started: 2}}
	first, err := Open(dir, "n0", a)
	require.NoError(t, err)
	defer first.Close()
	assert.NoFileExists(t, dead)
	assert.True(t, a.has(0, 0, 0)())
	stranger, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: first.path, Net: "unixpacket"})
	require.NoError(t, err)
	_, err = stranger.Write([]byte(`{"v":99,"kind":"hello","hello":{"process":"x"}}`))
	require.NoError(t, err)
	second, err := Open(dir, "n0", b)
	require.NoError(t, err)
	defer second.Close()
	require.Len(t, b.links, 1)
	assert.Equal(t, []string{"w"}, b.links[0].Peer.Out)
	require.Eventually(t, a.has(1, 0, 0), soon, time.Millisecond, "and not to the stranger")
	assert.Equal(t, second.Process, a.links[0].Peer.Process)

	file, err := os.Open(dir)
	require.NoError(t, err)
	defer file.Close()
	require.NoError(t, b.links[0].SendFDs(Message{Kind: KindIdleClient}, int(file.Fd())))
	for i := range 50 {
		b.links[0].Send(Message{Kind: KindApplied, Number: uint64(i)})
	}
	require.Eventually(t, a.has(1, 51, 0), soon, time.Millisecond)
	require.Len(t, a.fds, 1)
	passed := os.NewFile(uintptr(a.fds[0]), "passed")
	same, err := passed.Stat()
	require.NoError(t, err)
	info, err := file.Stat()
	require.NoError(t, err)
	assert.True(t, os.SameFile(info, same))
	passed.Close()
	b.links[0].Close()
	require.Eventually(t, a.has(1, 51, 1), soon, time.Millisecond)
	assert.Error(t, b.links[0].SendFDs(Message{Kind: KindIdleClient}), "nobody is there")
}

// heldLinked holds whoever is told of a link.
type heldLinked struct {
	recorder
	at, let chan struct{}
}

func (h *heldLinked) LinkUp(l *Link) {
	close(h.at)
	<-h.let
	h.recorder.LinkUp(l)
}

// Whoever starts is linked only once the process that was there has it in its books: it says that it is ready then, and the
// other may be told to end in the same moment, and must know whom to pass its jobs to.
func TestLinkedOnBothSides(t *testing.T) {
	dir := t.TempDir()
	a := &heldLinked{recorder{hello: Hello{Started: 1}}, make(chan struct{}), make(chan struct{})}
	first, err := Open(dir, "n0", a)
	require.NoError(t, err)
	defer first.Close()
	b, opened := &recorder{hello: Hello{Started: 2}}, make(chan *Node, 1)
	go func() { n, _ := Open(dir, "n0", b); opened <- n }()
	<-a.at
	select { // what is not linked yet may not take long to be so: a fifth of what a hello may
	case n := <-opened:
		assert.Fail(t, "linked on one side alone")
		opened <- n
	case <-time.After(helloWait / 5):
	}
	close(a.let)
	second := <-opened
	require.NotNil(t, second)
	defer second.Close()
	require.Len(t, b.links, 1)
	require.Eventually(t, a.has(1, 0, 0), 20*time.Second, time.Millisecond)
}
