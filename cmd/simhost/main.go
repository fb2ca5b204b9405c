// Command simhost hosts instances of the decision module on the simulator's wire: batches of events on
// standard input, one reply each on standard output. Instances share nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"weldscale/decide"
	"weldscale/internal/wire"
)

func main() {
	// A collection costs CPU that is booked to whatever request is at hand; live state is small.
	debug.SetGCPercent(400)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// node is one instance with the layout of its site's load reports.
type node struct {
	*decide.Dispatcher
	layout wire.Layout
}

type host struct {
	dec   *wire.Decoder
	enc   *wire.Encoder
	nodes map[uint32]node // looked up by number only, never walked
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := &host{
		dec:   wire.NewDecoder(bufio.NewReaderSize(in, 1<<16)),
		enc:   wire.NewEncoder(),
		nodes: make(map[uint32]node),
	}
	for {
		if err := h.dec.Read(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		for {
			ev, err := h.dec.Next()
			if err != nil {
				return err
			}
			if ev == nil {
				break
			}
			h.enc.SetInstance(ev.Instance)
			h.guarded(ev)
		}
		if err := h.enc.Flush(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// guarded hands on one event; a panic of the decision module is reported on the wire for its instance.
func (h *host) guarded(ev *wire.Event) {
	defer func() {
		if r := recover(); r != nil {
			h.enc.BailOut(fmt.Sprint("panic: ", r))
			fmt.Fprintf(os.Stderr, "simhost: instance %d: panic: %v\n%s", ev.Instance, r, debug.Stack())
			delete(h.nodes, ev.Instance)
		}
	}()
	h.handle(ev)
}

func (h *host) handle(ev *wire.Event) {
	switch ev.Code {
	case wire.CodeInstanceBegin:
		h.begin(ev)
		return
	case wire.CodeInstanceEnd:
		delete(h.nodes, ev.Instance)
		return
	}
	n, ok := h.nodes[ev.Instance]
	if !ok {
		return
	}
	now := h.dec.Now()
	switch ev.Code {
	case wire.CodeAnnounce:
		workers, _ := h.dec.Workers(ev.Page)
		if ev.ListKind == decide.ListFailed {
			workers = nil
		}
		n.Announce(now, ev.ListKind, workers)
	case wire.CodeRequest:
		n.Arrive(now, ev.Job)
	case wire.CodeStreamStarted:
		n.StreamStarted(now, ev.Job.ID, ev.Outcome.Attempt)
	case wire.CodeNote:
		n.Note(now, ev.Job.ID, ev.Outcome.Attempt, ev.Note, ev.Value)
	case wire.CodeOutcome:
		ev.Outcome.Report = n.layout.Report(ev.Values[:ev.ValueCount])
		n.Outcome(now, ev.Outcome)
	case wire.CodeProbeResult:
		n.ProbeResult(now, ev.Worker, ev.Status, ev.Latency, n.layout.Report(ev.Values[:ev.ValueCount]))
	case wire.CodeTimer:
		n.Wake(now, ev.Token)
	case wire.CodeHangup:
		n.Hangup(now, ev.Job.ID)
	case wire.CodePeerMessage:
		n.PeerMessage(now, ev.From, ev.Data)
	}
}

func (h *host) begin(ev *wire.Event) {
	delete(h.nodes, ev.Instance)
	settings, layout, err := wire.ParseSettings(ev.Params)
	var d *decide.Dispatcher
	if err == nil {
		d, err = decide.New(settings, ev.Seed, h.enc)
	}
	if err != nil {
		h.enc.BailOut(err.Error())
		fmt.Fprintf(os.Stderr, "simhost: instance %d: %v\n", ev.Instance, err)
		return
	}
	h.nodes[ev.Instance] = node{d, layout}
}
