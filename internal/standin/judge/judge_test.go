package judge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is an arbitrary time.
var start = time.Now()

func request(id string) Request {
	return Request{ID: id, Services: []string{"s"}, MaxAttempts: 1, Fingerprint: "f", At: start}
}

func run(id, worker string) Run {
	return Run{ID: id, Service: "s", Worker: worker, Stamp: id + "@" + worker, Fingerprint: "f", At: start}
}

func pieces(c *Checker, stamp string, total int, ends ...int) []Piece {
	var out []Piece
	from := 1
	for _, to := range ends {
		piece := Piece{Stamp: stamp, From: from, To: to, Total: total}
		c.MadePiece(piece)
		out = append(out, piece)
		from = to + 1
	}
	return out
}

// TestEachRuleCanFail checks that each rule reports its violations.
func TestEachRuleCanFail(t *testing.T) {
	stream := func(unparsed string, pieces ...Piece) Answer {
		return Answer{ID: "a", Status: 200, Stamp: "a@w", Complete: true, Stream: true, Pieces: pieces, Unparsed: unparsed}
	}
	for name, testCase := range map[string]struct {
		rule    Rule
		observe func(c *Checker)
	}{
		"forwarded, then cut": {LostRequest, func(c *Checker) {
			c.Arrived(Arrival{ID: "a", Worker: "w", At: start})
			c.ConnectionCut(Cut{ID: "a", Sent: start, Closed: start, DeadlineAt: start.Add(time.Second)})
		}},
		"not forwarded, cut after the loss slack": {LostRequest, func(c *Checker) {
			c.ConnectionCut(Cut{ID: "a", Sent: start, Closed: start.Add(300 * time.Millisecond), DeadlineAt: start.Add(time.Second)})
		}},
		"runs twice":      {DuplicateRun, func(c *Checker) { c.Ran(run("a", "w")); c.Ran(run("a", "v")) }},
		"unknown request": {UnknownRun, func(c *Checker) { c.Ran(run("b", "w")) }},
		"another body":    {UnknownRun, func(c *Checker) { r := run("a", "w"); r.Fingerprint = "g"; c.Ran(r) }},
		"another service": {WrongService, func(c *Checker) { r := run("a", "w"); r.Service = "t"; c.Ran(r) }},
		"rejected after run": {FalseRejection, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(Answer{ID: "a", Status: 503,
				Complete: true})
		}},
		"run after rejection": {FalseRejection, func(c *Checker) {
			c.Answered(Answer{ID: "a", Status: 429,
				Complete: true})
			c.Ran(run("a", "w"))
		}},
		"no stamp": {WrongAnswer, func(c *Checker) { c.Answered(Answer{ID: "a", Status: 200, Complete: true}) }},
		"another's answer": {WrongAnswer, func(c *Checker) {
			c.MadeAnswer(WorkerAnswer{ID: "b", Stamp: "x", Status: 200, Digest: "d"})
			c.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "d", Complete: true})
		}},
		"a complete body that differs": {WrongAnswer, func(c *Checker) {
			c.MadeAnswer(WorkerAnswer{ID: "a", Stamp: "x", Status: 200, Digest: "d"})
			c.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "e", Complete: true})
		}},
		"failure under a stamp of success": {WrongAnswer, func(c *Checker) {
			c.MadeAnswer(WorkerAnswer{ID: "a", Stamp: "x", Status: 200})
			c.Answered(Answer{ID: "a", Status: 502, Stamp: "x"})
		}},
		"another's handle": {WrongAnswer, func(c *Checker) { c.HandleUsed("b", "a") }},
		"stream with a gap": {StreamOrder, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream("", pieces(c, "a@w", 3, 1, 2, 3)[1:]...))
		}},
		"stream ends early": {StreamOrder, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream("", pieces(c, "a@w", 3, 1, 2)...))
		}},
		"resumed stream ends early without a piece": {StreamOrder, func(c *Checker) {
			resumed := request("a")
			resumed.ResumeAfter, resumed.ResumeTotal = 2, 3
			c.Sent(resumed)
			c.Ran(run("a", "w"))
			c.Answered(stream(""))
		}},
		"stream without a piece": {StreamOrder, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream(""))
		}},
		"a piece that no run generated": {WrongAnswer, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream("", Piece{Stamp: "a@w", From: 1, To: 1, Total: 1}))
		}},
		"bytes outside of events": {WrongAnswer, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream("da", pieces(c, "a@w", 1, 1)...))
		}},
		"an event that no worker makes, in a stream that is cut": {StreamOrder, func(c *Checker) {
			c.Ran(run("a", "w"))
			answer := stream("", pieces(c, "a@w", 2, 1)...)
			answer.Foreign, answer.Complete = "other bytes", false
			c.Answered(answer)
		}},
		"two runs are joined": {StreamOrder, func(c *Checker) {
			c.Ran(run("a", "w"))
			c.Answered(stream("", append(pieces(c, "a@w", 2, 1), pieces(c, "a@v", 2, 1, 2)[1:]...)...))
		}},
		"sent to a draining worker": {LateDrain, func(c *Checker) {
			c.ListedDraining("w", start)
			c.Arrived(Arrival{ID: "a", Worker: "w", At: start.Add(DefaultBounds.DrainWithin + time.Millisecond)})
		}},
		"two holders": {SingleHolder, func(c *Checker) {
			c.Ordered("w", "n", 1, true, start)
			c.Ordered("w", "m", 1, true, start)
		}},
		"an older token": {SingleHolder, func(c *Checker) {
			c.Ordered("w", "n", 2, false, start)
			c.Ordered("w", "m", 1, false, start.Add(time.Hour))
		}},
		"alternating holders": {SingleHolder, func(c *Checker) {
			c.Ordered("w", "n", 1, true, start)
			c.Ordered("w", "m", 2, true, start)
			c.Ordered("w", "n", 3, true, start)
		}},
		"too many workers": {RetryBudget, func(c *Checker) {
			for i := range 4 {
				id := fmt.Sprint(i)
				r := request(id)
				r.Idempotent = true
				c.Sent(r)
				c.Ran(run(id, "w"))
				c.Ran(run(id, "v"))
			}
		}},
		"too many retries": {RetryBudget, func(c *Checker) {
			for range DefaultBounds.RetrySlack + 3 {
				c.Arrived(Arrival{ID: "a", Service: "s", Worker: "w", At: start})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultBounds)
			c.Sent(request("a"))
			testCase.observe(c)
			require.NotEmpty(t, c.Violations())
			require.Equal(t, testCase.rule, c.Violations()[0].Rule, c.Report())
		})
	}
}

func TestExternalRequestsAreAllowed(t *testing.T) {
	c := New(DefaultBounds)
	c.AllowExternal("mine-")
	c.Ran(run("mine-1", "w"))
	require.Empty(t, c.Report())
	c.Ran(run("yours-1", "w"))
	require.NotEmpty(t, c.Report())
}

func TestAllowedRunHasNoViolations(t *testing.T) {
	c := New(DefaultBounds)
	resumable := request("r")
	resumable.Idempotent, resumable.Resumable, resumable.MaxAttempts = true, true, 2
	c.Sent(resumable)
	c.Arrived(Arrival{ID: "r", Service: "s", Worker: "p", At: start, PrefillOnly: true, Accepted: true})
	c.Ran(run("r", "w"))
	c.Ran(run("r", "v"))
	c.Answered(Answer{ID: "r", Status: 200, Stamp: "r@w", Complete: true, Stream: true,
		Pieces: append(pieces(c, "r@w", 3, 1, 2), pieces(c, "r@v", 3, 1, 2, 3)[2:]...)})

	cut := request("c")
	c.Sent(cut)
	c.Ran(run("c", "w"))
	c.Answered(Answer{ID: "c", Status: 200, Stamp: "c@w", Stream: true, Pieces: pieces(c, "c@w", 3, 1), Unparsed: "da"})

	c.ListedDraining("w", start)
	c.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Second)})
	c.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Hour), Misdirected: true})
	require.Empty(t, c.Report())
}

// A client that was cut after the last event of a stream asks for what follows, which is nothing.
func TestStreamResumedAfterItsLastPieceIsComplete(t *testing.T) {
	c := New(DefaultBounds)
	resumed := request("a")
	resumed.ResumeAfter, resumed.ResumeTotal = 3, 3
	c.Sent(resumed)
	c.Ran(run("a", "w"))
	c.Answered(Answer{ID: "a", Status: 200, Stamp: "a@w", Complete: true, Stream: true})
	require.Empty(t, c.Report())
}
