// Command simhost runs instances of package decide for an external simulator. It reads batches of events
// from standard input and writes one reply for each to standard output. Instances share no state.
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
	// The CPU time of a garbage collection is charged to the request in progress. Live state is small, so
	// collecting less often costs little memory.
	debug.SetGCPercent(400)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance is one dispatcher with the layout of its site's load reports.
type instance struct {
	*decide.Dispatcher
	layout wire.Layout
}

type server struct {
	decoder   *wire.Decoder
	encoder   *wire.Encoder
	instances map[uint32]instance // by instance number; never iterated, so that map order has no effect
}

// serve replies to batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	s := &server{
		decoder:   wire.NewDecoder(bufio.NewReaderSize(in, 1<<16)),
		encoder:   wire.NewEncoder(),
		instances: make(map[uint32]instance),
	}
	for {
		if err := s.decoder.Read(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		for {
			ev, err := s.decoder.Next()
			if err != nil {
				return err
			}
			if ev == nil {
				break
			}
			s.encoder.SetInstance(ev.Instance)
			s.handleRecovering(ev)
		}
		if err := s.encoder.Flush(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// handleRecovering handles one event. If the decision module panics, it reports the panic in the reply
// and removes the instance.
func (s *server) handleRecovering(ev *wire.Event) {
	defer func() {
		if r := recover(); r != nil {
			s.encoder.BailOut(fmt.Sprint("panic: ", r))
			fmt.Fprintf(os.Stderr, "simhost: instance %d: panic: %v\n%s", ev.Instance, r, debug.Stack())
			delete(s.instances, ev.Instance)
		}
	}()
	s.handle(ev)
}

func (s *server) handle(ev *wire.Event) {
	switch ev.Code {
	case wire.CodeInstanceBegin:
		s.createInstance(ev)
		return
	case wire.CodeInstanceEnd:
		delete(s.instances, ev.Instance)
		return
	}
	instance, ok := s.instances[ev.Instance]
	if !ok {
		return
	}
	now := s.decoder.Now()
	switch ev.Code {
	case wire.CodeAnnounce:
		workers, _ := s.decoder.Workers(ev.Page)
		if ev.ListKind == decide.ListFailed {
			workers = nil
		}
		instance.Announce(now, ev.ListKind, workers)
	case wire.CodeRequest:
		instance.Arrive(now, ev.Job)
	case wire.CodeStreamStarted:
		instance.StreamStarted(now, ev.Job.ID, ev.Outcome.Attempt)
	case wire.CodeNote:
		instance.Note(now, ev.Job.ID, ev.Outcome.Attempt, ev.Note, ev.Value)
	case wire.CodeOutcome:
		ev.Outcome.Report = instance.layout.Report(ev.Values[:ev.ValueCount])
		instance.Outcome(now, ev.Outcome)
	case wire.CodeProbeResult:
		instance.ProbeResult(now, ev.Worker, ev.Status, ev.Latency, instance.layout.Report(ev.Values[:ev.ValueCount]))
	case wire.CodeTimer:
		instance.Wake(now, ev.Token)
	case wire.CodeHangup:
		instance.Hangup(now, ev.Job.ID)
	case wire.CodePeerMessage:
		instance.PeerMessage(now, ev.From, ev.Data)
	}
}

func (s *server) createInstance(ev *wire.Event) {
	delete(s.instances, ev.Instance)
	settings, layout, err := wire.ParseSettings(ev.Params)
	var d *decide.Dispatcher
	if err == nil {
		d, err = decide.New(settings, ev.Seed, s.encoder)
	}
	if err != nil {
		s.encoder.BailOut(err.Error())
		fmt.Fprintf(os.Stderr, "simhost: instance %d: %v\n", ev.Instance, err)
		return
	}
	s.instances[ev.Instance] = instance{d, layout}
}
