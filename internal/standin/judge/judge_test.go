package judge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is any moment.
var start = time.Now()

func request(id string) Request {
	return Request{ID: id, Services: []string{"s"}, MaxAttempts: 1, Fingerprint: "f", At: start}
}

func run(id, worker string) Run {
	return Run{ID: id, Service: "s", Worker: worker, Stamp: id + "@" + worker, Fingerprint: "f", At: start}
}

func pieces(j *Judge, stamp string, total int, ends ...int) []Piece {
	var out []Piece
	from := 1
	for _, to := range ends {
		piece := Piece{Stamp: stamp, From: from, To: to, Total: total}
		j.MadePiece(piece)
		out = append(out, piece)
		from = to + 1
	}
	return out
}

// TestEachRuleCanFail breaks each rule once.
func TestEachRuleCanFail(t *testing.T) {
	stream := func(foreign string, pieces ...Piece) Answer {
		return Answer{ID: "a", Status: 200, Stamp: "a@w", Complete: true, Stream: true, Pieces: pieces, Foreign: foreign}
	}
	for name, breach := range map[string]struct {
		rule Rule
		play func(j *Judge)
	}{
		"cut after it was passed on": {Lost, func(j *Judge) {
			j.Arrived(Arrival{ID: "a", Worker: "w", At: start})
			j.WasCut(Cut{ID: "a", Sent: start, Closed: start, GaveUpAt: start.Add(time.Second)})
		}},
		"held and cut": {Lost, func(j *Judge) {
			j.WasCut(Cut{ID: "a", Sent: start, Closed: start.Add(300 * time.Millisecond), GaveUpAt: start.Add(time.Second)})
		}},
		"runs twice":      {Twice, func(j *Judge) { j.Ran(run("a", "w")); j.Ran(run("a", "v")) }},
		"nobody asked":    {Unasked, func(j *Judge) { j.Ran(run("b", "w")) }},
		"another body":    {Unasked, func(j *Judge) { r := run("a", "w"); r.Fingerprint = "g"; j.Ran(r) }},
		"another service": {RouteTo, func(j *Judge) { r := run("a", "w"); r.Service = "t"; j.Ran(r) }},
		"refused after run": {Refused, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(Answer{ID: "a", Status: 503,
				Complete: true})
		}},
		"run after refusal": {Refused, func(j *Judge) {
			j.Answered(Answer{ID: "a", Status: 429,
				Complete: true})
			j.Ran(run("a", "w"))
		}},
		"no stamp": {Mixed, func(j *Judge) { j.Answered(Answer{ID: "a", Status: 200, Complete: true}) }},
		"another's answer": {Mixed, func(j *Judge) {
			j.MadeAnswer(Made{ID: "b", Stamp: "x", Status: 200, Digest: "d"})
			j.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "d", Complete: true})
		}},
		"a short body that looks complete": {Mixed, func(j *Judge) {
			j.MadeAnswer(Made{ID: "a", Stamp: "x", Status: 200, Digest: "d"})
			j.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "e", Complete: true})
		}},
		"failure under a stamp of success": {Mixed, func(j *Judge) {
			j.MadeAnswer(Made{ID: "a", Stamp: "x", Status: 200})
			j.Answered(Answer{ID: "a", Status: 502, Stamp: "x"})
		}},
		"another's handle": {Mixed, func(j *Judge) { j.HandleUsed("b", "a") }},
		"stream with a hole": {Order, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", pieces(j, "a@w", 3, 1, 2, 3)[1:]...))
		}},
		"stream ends early": {Order, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", pieces(j, "a@w", 3, 1, 2)...))
		}},
		"a piece that nobody made": {Mixed, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", Piece{Stamp: "a@w", From: 1, To: 1, Total: 1}))
		}},
		"bytes that are no event": {Mixed, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(stream("da", pieces(j, "a@w", 1, 1)...))
		}},
		"two runs are joined": {Order, func(j *Judge) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", append(pieces(j, "a@w", 2, 1), pieces(j, "a@v", 2, 1, 2)[1:]...)...))
		}},
		"sent to a draining worker": {Drain, func(j *Judge) {
			j.Listed("w", start)
			j.Arrived(Arrival{ID: "a", Worker: "w", At: start.Add(DefaultBounds.DrainWithin + time.Millisecond)})
		}},
		"two holders": {One, func(j *Judge) {
			j.Ordered("w", "n", 1, true, start)
			j.Ordered("w", "m", 1, true, start)
		}},
		"an older token": {One, func(j *Judge) {
			j.Ordered("w", "n", 2, false, start)
			j.Ordered("w", "m", 1, false, start.Add(time.Hour))
		}},
		"taking turns": {One, func(j *Judge) {
			j.Ordered("w", "n", 1, true, start)
			j.Ordered("w", "m", 2, true, start)
			j.Ordered("w", "n", 3, true, start)
		}},
		"too many workers": {Budget, func(j *Judge) {
			for i := range 4 {
				id := fmt.Sprint(i)
				r := request(id)
				r.Idempotent = true
				j.Sent(r)
				j.Ran(run(id, "w"))
				j.Ran(run(id, "v"))
			}
		}},
		"too many repeats": {Budget, func(j *Judge) {
			for range DefaultBounds.RetrySlack + 3 {
				j.Arrived(Arrival{ID: "a", Service: "s", Worker: "w", At: start})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(DefaultBounds)
			j.Sent(request("a"))
			breach.play(j)
			require.NotEmpty(t, j.Violations())
			require.Equal(t, breach.rule, j.Violations()[0].Rule, j.Report())
		})
	}
}

func TestOutsidersAreLetIn(t *testing.T) {
	j := New(DefaultBounds)
	j.LetOutsiders("mine-")
	j.Ran(run("mine-1", "w"))
	require.Empty(t, j.Report())
	j.Ran(run("yours-1", "w"))
	require.NotEmpty(t, j.Report())
}

func TestWhatIsAllowedIsNotReported(t *testing.T) {
	j := New(DefaultBounds)
	resumable := request("r")
	resumable.Idempotent, resumable.Resumable, resumable.MaxAttempts = true, true, 2
	j.Sent(resumable)
	j.Arrived(Arrival{ID: "r", Service: "s", Worker: "p", At: start, ReadsOnly: true, Taken: true})
	j.Ran(run("r", "w"))
	j.Ran(run("r", "v"))
	j.Answered(Answer{ID: "r", Status: 200, Stamp: "r@w", Complete: true, Stream: true,
		Pieces: append(pieces(j, "r@w", 3, 1, 2), pieces(j, "r@v", 3, 1, 2, 3)[2:]...)})

	cut := request("c")
	j.Sent(cut)
	j.Ran(run("c", "w"))
	j.Answered(Answer{ID: "c", Status: 200, Stamp: "c@w", Stream: true, Pieces: pieces(j, "c@w", 3, 1), Foreign: "da"})

	j.Listed("w", start)
	j.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Second)})
	j.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Hour), Misdirected: true})
	require.Empty(t, j.Report())
}
