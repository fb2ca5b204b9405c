package faults

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleet"
)

const waitTimeout = 20 * time.Second

func anyDirection(string, string) bool { return true }

// A fault affects one direction of a link only, faults add up, and a direction without faults is healthy again.
func TestFaultsApplyPerDirection(t *testing.T) {
	l := NewLinks(1)
	end := l.Inject(Fault{Blackhole: true}, func(from, _ string) bool { return from == "a" })
	assert.Empty(t, l.deliveries("a", "b", 9))
	assert.Len(t, l.deliveries("b", "a", 9), 1)
	second := l.Inject(Fault{Delay: time.Second, Loss: 0.5}, anyDirection)
	f, changed := l.FaultOn("a", "b")
	assert.Equal(t, Fault{Blackhole: true, Delay: time.Second, Loss: 0.5}, f, "faults add up")
	end()
	<-changed
	second()
	f, _ = l.FaultOn("a", "b")
	assert.Equal(t, Fault{}, f)
	assert.Equal(t, Traffic{1, 9, 1}, l.TrafficFrom("a"))
}

// The seed alone determines what becomes of each datagram of a direction; traffic of other links doesn't change it.
func TestSeedDeterminesDeliveries(t *testing.T) {
	play := func(seed uint64, noise int) (out []int) {
		l := NewLinks(seed)
		defer l.Inject(Fault{Loss: 0.3, Duplicate: 0.3}, anyDirection)()
		for range 200 {
			for range noise {
				l.deliveries("c", "d", 1)
			}
			out = append(out, len(l.deliveries("a", "b", 1)))
		}
		return out
	}
	first := play(1, 0)
	assert.Equal(t, first, play(1, 3))
	assert.NotEqual(t, first, play(2, 0))
	for _, n := range []int{0, 1, 2} {
		assert.Contains(t, first, n)
	}
}

// startEchoServer starts a TCP server that echoes what it reads, and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// A stream stalls on a blackholed link and continues without loss when the fault ends. A cut resets the connection, and new
// connections are reset as well.
func TestTCPRelay(t *testing.T) {
	links := NewLinks(1)
	relay, err := StartTCPRelay(links, "a", "b", startEchoServer(t))
	require.NoError(t, err)
	defer relay.Close()
	c, err := net.Dial("tcp", relay.Addr())
	require.NoError(t, err)
	defer c.Close()
	exchange := func(text string) string {
		_, err := c.Write([]byte(text))
		require.NoError(t, err)
		b := make([]byte, len(text))
		c.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = io.ReadFull(c, b)
		require.NoError(t, err)
		return string(b)
	}
	assert.Equal(t, "one", exchange("one"))
	end := links.Inject(Fault{Blackhole: true}, func(from, _ string) bool { return from == "b" })
	_, err = c.Write([]byte("two"))
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "no bytes pass from b to a")
	end()
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	b := make([]byte, 3)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	assert.Equal(t, "two", string(b), "no bytes are lost")
	defer links.Inject(Fault{Cut: true}, anyDirection)()
	_, err = c.Read(b)
	assert.Error(t, err)
	second, err := net.Dial("tcp", relay.Addr())
	if err == nil {
		second.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = second.Read(b)
		second.Close()
	}
	assert.Error(t, err)
}

// Members of a fleet discover each other through a hub. If the hub blackholes one direction, messages still pass in the other.
func TestHub(t *testing.T) {
	binds := map[string]string{}
	names := map[string]string{}
	for _, name := range []string{"a", "b"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		binds[name] = ln.Addr().String()
		names[ln.Addr().String()] = name
		ln.Close()
	}
	links := NewLinks(1)
	hub, err := StartHub(links, names)
	require.NoError(t, err)
	defer hub.Close()
	received := make(chan string, 1000)
	var members []*fleet.Link
	for _, name := range []string{"a", "b"} {
		link, err := fleet.Start(fleet.Config{Fleet: "f", Name: name, Bind: binds[name], Join: []string{binds["a"]}, Relay: hub.Addr(), MaxMembers: 2,
			OnMessage: func(from string, data []byte) bool {
				select {
				case received <- from + string(data):
				default:
				}
				return false
			}})
		require.NoError(t, err)
		defer link.Stop()
		members = append(members, link)
	}
	a, b := members[0], members[1]
	require.Eventually(t, func() bool { return len(a.Members()) == 2 && len(b.Members()) == 2 }, waitTimeout, 10*time.Millisecond)
	delivered := func(from *fleet.Link, to, want string) bool {
		for range 20 {
			_ = from.Send(to, []byte("x"))
			select {
			case text := <-received:
				if text == want {
					return true
				}
			case <-time.After(10 * time.Millisecond):
			}
		}
		return false
	}
	require.True(t, delivered(a, "b", "ax"))
	end := links.Inject(Fault{Blackhole: true}, func(from, _ string) bool { return from == "a" })
	time.Sleep(100 * time.Millisecond)
	for len(received) > 0 {
		<-received
	}
	assert.False(t, delivered(a, "b", "ax"))
	assert.True(t, delivered(b, "a", "bx"), "the other direction")
	end()
	assert.Eventually(t, func() bool { return delivered(a, "b", "ax") }, waitTimeout, time.Millisecond)
	assert.Positive(t, b.Traffic().BytesIn)
	assert.Positive(t, links.TrafficFrom("a").Lost)
}

// writeScript writes a script to a temporary file and returns its path.
func writeScript(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "s.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Each mistake in a script is reported with its position.
func TestReadScriptErrors(t *testing.T) {
	for text, want := range map[string]string{
		"trouble \"flood\" {\n}":                                          `no trouble "flood"; allowed: cut, kill, lossy, rolling, silence, split, stall`,
		"trouble \"cut\" {\n way = \"up\"\n}":                             `way: allowed is "out", "in" or "both"`,
		"trouble \"stall\" {\n loss = 0.1\n}":                             `takes no loss; it takes from, for, part, who`,
		"trouble \"kill\" {\n keep = \"maybe\"\n}":                        `keep: allowed is "yes" or "no"`,
		"trouble \"cut\" {\n part = 0.1\n who = \"a\"\n}":                 `part and who: allowed is one of them`,
		"trouble \"lossy\" {\n loss = 2\n}":                               `allowed is 0 to 1`,
		"trouble \"cut\" {\n}\ntrouble \"cut\" {\n from = \"three\"\n}\n": `s.hcl:4:9: `,
	} {
		_, err := ReadScript(writeScript(t, text+"\n"))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.Regexp(t, `s\.hcl:\d+:\d+: `, err.Error())
		}
	}
}

// The targets of a trouble depend on the seed, not on the order of the names. A link fault affects only the directions that
// its kind, way and peers select.
func TestSelectTargets(t *testing.T) {
	s, err := ReadScript(writeScript(t, "trouble \"cut\" {\n from = \"1s\"\n for = \"2s\"\n part = 0.4\n}\ntrouble \"stall\" {\n who = \"b d\"\n}\n"))
	require.NoError(t, err)
	assert.Equal(t, 6*time.Second, s.End())
	one, err := s.SelectTargets(7, []string{"a", "b", "c", "d", "e"})
	require.NoError(t, err)
	other, err := s.SelectTargets(7, []string{"e", "d", "c", "b", "a"})
	require.NoError(t, err)
	assert.Equal(t, one, other)
	assert.Len(t, one[0], 2)
	assert.Equal(t, []string{"b", "d"}, one[1])
	_, err = s.SelectTargets(7, []string{"a"})
	assert.ErrorContains(t, err, `trouble 2, "stall": no process is named "b"`)
	affects := func(text, from, to string) bool {
		s, err := ReadScript(writeScript(t, text))
		require.NoError(t, err)
		return s.Troubles[0].affects(map[string]bool{"a": true, "b": true}, from, to)
	}
	assert.True(t, affects("trouble \"split\" {\n}\n", "a", "c"))
	assert.False(t, affects("trouble \"split\" {\n}\n", "a", "b"))
	assert.True(t, affects("trouble \"cut\" {\n way = \"out\"\n toward = \"c\"\n}\n", "a", "c"))
	assert.False(t, affects("trouble \"cut\" {\n way = \"out\"\n toward = \"c\"\n}\n", "c", "a"))
	assert.False(t, affects("trouble \"cut\" {\n way = \"out\"\n toward = \"c\"\n}\n", "a", "d"))
}

// CheckRate finds the same excess as a brute-force search over every span.
func TestCheckRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(1, 50).Draw(t, "rate"), rapid.Float64Range(0, 10).Draw(t, "burst")
		var events []Event
		at := time.Duration(0)
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 40).Draw(t, "gaps") {
			at += time.Duration(gap) * time.Millisecond
			events = append(events, Event{At: at, What: "begun"}, Event{At: at, What: "other"})
		}
		worst := -burst
		for i := range events {
			for k := i; k < len(events); k++ {
				n := 0.0
				for _, e := range events[i : k+1] {
					if e.What == "begun" {
						n++
					}
				}
				worst = max(worst, n-rate*(events[k].At-events[i].At).Seconds()-burst)
			}
		}
		excess, _ := CheckRate(events, "begun", rate, burst)
		if diff := excess - worst; diff > 1e-6 || diff < -1e-6 {
			t.Fatalf("CheckRate: %v, brute force: %v", excess, worst)
		}
	})
}

// A process is stalled, killed, restarted and stopped, and the log holds these events and the lines that it wrote. A full log
// drops further events and counts them.
func TestProcess(t *testing.T) {
	log := NewLog(100)
	process := &Process{Name: "p", Path: "/bin/sh", Args: []string{"-c", "echo here >&2; exec sleep 600"}, Dir: filepath.Join(t.TempDir(), "d")}
	require.NoError(t, process.Start(log))
	assert.Error(t, process.Start(log), "already running")
	script := &Script{Troubles: []Trouble{{Kind: "stall", Targets: []string{"p"}, To: 20 * time.Millisecond},
		{Kind: "kill", Targets: []string{"p"}, From: 50 * time.Millisecond, To: 70 * time.Millisecond}}}
	require.NoError(t, script.Play(context.Background(), 1, []*Process{process}, NewLinks(1), log))
	assert.True(t, process.Running())
	assert.NoDirExists(t, filepath.Join(process.Dir, "x"))
	process.Stop(waitTimeout)
	assert.False(t, process.Running())
	assert.Error(t, process.Signal(0))
	process.Kill() // does nothing, as the process is not running
	events, dropped := log.Events()
	assert.Zero(t, dropped)
	var kinds []string
	for _, e := range events {
		if e.Who == "p" && e.What != "line" {
			kinds = append(kinds, e.What+e.Text)
		}
	}
	assert.Equal(t, []string{"start", "signalstopped (signal)", "signalcontinued", "signalkilled", "endsignal: killed", "forgot", "start",
		"signalterminated", "endsignal: terminated"}, kinds)
	assert.True(t, slices.ContainsFunc(events, func(e Event) bool { return e.What == "line" && e.Text == "here" }))
	var b bytes.Buffer
	require.NoError(t, log.Write(&b))
	decoded, err := ReadLog(&b)
	require.NoError(t, err)
	assert.Equal(t, events, decoded)
	full := NewLog(1)
	full.Add("a", "b", 0, "")
	full.Add("a", "b", 0, "")
	_, dropped = full.Events()
	assert.Equal(t, 1, dropped)
	assert.Error(t, full.Write(&b))
}
