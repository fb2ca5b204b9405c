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

func pieces(j *Checker, stamp string, total int, ends ...int) []Piece {
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
		return Answer{ID: "a", Status: 200, Stamp: "a@w", Complete: true, Stream: true, Pieces: pieces, Unparsed: foreign}
	}
	for name, breach := range map[string]struct {
		rule Rule
		play func(j *Checker)
	}{
		"cut after it was passed on": {LostRequest, func(j *Checker) {
			j.Arrived(Arrival{ID: "a", Worker: "w", At: start})
			j.ConnectionCut(Cut{ID: "a", Sent: start, Closed: start, DeadlineAt: start.Add(time.Second)})
		}},
		"held and cut": {LostRequest, func(j *Checker) {
			j.ConnectionCut(Cut{ID: "a", Sent: start, Closed: start.Add(300 * time.Millisecond), DeadlineAt: start.Add(time.Second)})
		}},
		"runs twice":      {DuplicateRun, func(j *Checker) { j.Ran(run("a", "w")); j.Ran(run("a", "v")) }},
		"nobody asked":    {UnknownRun, func(j *Checker) { j.Ran(run("b", "w")) }},
		"another body":    {UnknownRun, func(j *Checker) { r := run("a", "w"); r.Fingerprint = "g"; j.Ran(r) }},
		"another service": {WrongService, func(j *Checker) { r := run("a", "w"); r.Service = "t"; j.Ran(r) }},
		"refused after run": {FalseRejection, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(Answer{ID: "a", Status: 503,
				Complete: true})
		}},
		"run after refusal": {FalseRejection, func(j *Checker) {
			j.Answered(Answer{ID: "a", Status: 429,
				Complete: true})
			j.Ran(run("a", "w"))
		}},
		"no stamp": {WrongAnswer, func(j *Checker) { j.Answered(Answer{ID: "a", Status: 200, Complete: true}) }},
		"another's answer": {WrongAnswer, func(j *Checker) {
			j.MadeAnswer(WorkerAnswer{ID: "b", Stamp: "x", Status: 200, Digest: "d"})
			j.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "d", Complete: true})
		}},
		"a short body that looks complete": {WrongAnswer, func(j *Checker) {
			j.MadeAnswer(WorkerAnswer{ID: "a", Stamp: "x", Status: 200, Digest: "d"})
			j.Answered(Answer{ID: "a", Status: 200, Stamp: "x", Digest: "e", Complete: true})
		}},
		"failure under a stamp of success": {WrongAnswer, func(j *Checker) {
			j.MadeAnswer(WorkerAnswer{ID: "a", Stamp: "x", Status: 200})
			j.Answered(Answer{ID: "a", Status: 502, Stamp: "x"})
		}},
		"another's handle": {WrongAnswer, func(j *Checker) { j.HandleUsed("b", "a") }},
		"stream with a hole": {StreamOrder, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", pieces(j, "a@w", 3, 1, 2, 3)[1:]...))
		}},
		"stream ends early": {StreamOrder, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", pieces(j, "a@w", 3, 1, 2)...))
		}},
		"a piece that nobody made": {WrongAnswer, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", Piece{Stamp: "a@w", From: 1, To: 1, Total: 1}))
		}},
		"bytes that are no event": {WrongAnswer, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(stream("da", pieces(j, "a@w", 1, 1)...))
		}},
		"two runs are joined": {StreamOrder, func(j *Checker) {
			j.Ran(run("a", "w"))
			j.Answered(stream("", append(pieces(j, "a@w", 2, 1), pieces(j, "a@v", 2, 1, 2)[1:]...)...))
		}},
		"sent to a draining worker": {LateDrain, func(j *Checker) {
			j.ListedDraining("w", start)
			j.Arrived(Arrival{ID: "a", Worker: "w", At: start.Add(DefaultBounds.DrainWithin + time.Millisecond)})
		}},
		"two holders": {SingleHolder, func(j *Checker) {
			j.Ordered("w", "n", 1, true, start)
			j.Ordered("w", "m", 1, true, start)
		}},
		"an older token": {SingleHolder, func(j *Checker) {
			j.Ordered("w", "n", 2, false, start)
			j.Ordered("w", "m", 1, false, start.Add(time.Hour))
		}},
		"taking turns": {SingleHolder, func(j *Checker) {
			j.Ordered("w", "n", 1, true, start)
			j.Ordered("w", "m", 2, true, start)
			j.Ordered("w", "n", 3, true, start)
		}},
		"too many workers": {RetryBudget, func(j *Checker) {
			for i := range 4 {
				id := fmt.Sprint(i)
				r := request(id)
				r.Idempotent = true
				j.Sent(r)
				j.Ran(run(id, "w"))
				j.Ran(run(id, "v"))
			}
		}},
		"too many repeats": {RetryBudget, func(j *Checker) {
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
	j.AllowExternal("mine-")
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
	j.Arrived(Arrival{ID: "r", Service: "s", Worker: "p", At: start, PrefillOnly: true, Taken: true})
	j.Ran(run("r", "w"))
	j.Ran(run("r", "v"))
	j.Answered(Answer{ID: "r", Status: 200, Stamp: "r@w", Complete: true, Stream: true,
		Pieces: append(pieces(j, "r@w", 3, 1, 2), pieces(j, "r@v", 3, 1, 2, 3)[2:]...)})

	cut := request("c")
	j.Sent(cut)
	j.Ran(run("c", "w"))
	j.Answered(Answer{ID: "c", Status: 200, Stamp: "c@w", Stream: true, Pieces: pieces(j, "c@w", 3, 1), Unparsed: "da"})

	j.ListedDraining("w", start)
	j.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Second)})
	j.Arrived(Arrival{ID: "c", Worker: "w", At: start.Add(time.Hour), Misdirected: true})
	require.Empty(t, j.Report())
}
