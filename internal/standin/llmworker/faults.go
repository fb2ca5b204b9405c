package llmworker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
)

// Fault is a fault of a worker in serving one request.
type Fault uint8

// The faults.
const (
	FaultNone            Fault = iota
	FaultTruncate              // runs, and closes the connection within the second event or within the body
	FaultMalformed             // runs, and sends bytes that are not an HTTP answer
	FaultDuplicateAnswer       // answers with a length, and sends the same answer to the next request on that connection
	FaultSilent                // runs, and never answers
	FaultReset                 // runs, and resets the connection before its answer
	FaultServerError           // runs, and answers 500
	FaultReject                // doesn't run; answers 503 with Not-Executed

	// The following faults spoil the second event of a stream, or the answer of a prefill, within a sound framing. They change
	// nothing at a plain worker.

	FaultForeignEnd    // sends bytes that are no event, and ends the answer as if it were complete
	FaultForeignBreak  // sends bytes that are no event, and closes the connection
	FaultUnfinishedEnd // ends the answer within the event, as if it were complete
	FaultLostID        // sends the event without its ID, and goes on
	FaultRepeatedEvent // sends the event twice, and goes on
)

// AnswerFaults are the faults that break off, spoil or repeat an answer.
var AnswerFaults = []Fault{FaultTruncate, FaultMalformed, FaultReset, FaultDuplicateAnswer, FaultForeignEnd, FaultForeignBreak, FaultUnfinishedEnd,
	FaultLostID, FaultRepeatedEvent}

// spoilsAnswer reports whether the fault spoils an answer within a sound framing.
func (f Fault) spoilsAnswer() bool { return f >= FaultForeignEnd }

// abortsAnswer reports whether the fault prevents a complete answer of every request. Faults that spoil an answer may come to
// nothing; they are reported to the judge when they take effect.
func (f Fault) abortsAnswer() bool {
	return f == FaultTruncate || f == FaultMalformed || f == FaultSilent || f == FaultReset
}

// faultPlan holds the planned faults.
type faultPlan struct {
	mu     sync.Mutex
	next   []Fault
	always Fault
	random *randomFaults // nil: none
}

// randomFaults draws faults for a share of the requests.
type randomFaults struct {
	rng    *rand.Rand
	share  float64
	faults []Fault
}

func (r *randomFaults) draw() Fault {
	if r == nil || r.rng.Float64() >= r.share {
		return FaultNone
	}
	return r.faults[r.rng.IntN(len(r.faults))]
}

// FailNext plans faults for the next requests, one for each.
func (w *Worker) FailNext(faults ...Fault) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.next = append(w.faults.next, faults...)
}

// FailAlways plans a fault for every request; FaultNone ends that.
func (w *Worker) FailAlways(fault Fault) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.always = fault
}

// FailRandomly plans one of the faults for a share of the requests that have no other fault. The seed determines which.
func (w *Worker) FailRandomly(share float64, seed uint64, faults ...Fault) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.random = &randomFaults{rng: rand.New(rand.NewPCG(seed, 0)), share: share, faults: faults}
}

func (p *faultPlan) nextFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.next) == 0 && p.always == FaultNone {
		return p.random.draw()
	}
	if len(p.next) == 0 {
		return p.always
	}
	fault := p.next[0]
	p.next = p.next[1:]
	return fault
}

// applyFault applies a fault that shows after the request has started to run and before its answer. It reports whether fault
// is one of these.
func (w *Worker) applyFault(rw http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault {
	case FaultMalformed:
		w.sendRaw(rw, "\x00\x01 no answer at all\r\n\r\n")
	case FaultReset:
		w.sendRaw(rw, "")
	case FaultSilent:
		select {
		case <-r.Context().Done():
		case <-w.ended:
		}
		panic(http.ErrAbortHandler)
	case FaultServerError:
		rw.Header().Set("Content-Type", "text/plain")
		rw.WriteHeader(http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// sendRaw hijacks the connection, writes text and closes it. If text is empty, it resets the connection.
func (w *Worker) sendRaw(rw http.ResponseWriter, text string) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if text != "" {
		_, _ = buffered.WriteString(text)
		_ = buffered.Flush()
		_ = conn.Close()
		return
	}
	reset(conn)
}

// answerTwice sends a complete answer, and sends it again in place of the answer to the next request on the connection.
func (w *Worker) answerTwice(rw http.ResponseWriter, header http.Header, body []byte) {
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	write := func() {
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
		for name := range header {
			_, _ = fmt.Fprintf(buffered, "%s: %s\r\n", name, header.Get(name))
		}
		_, _ = fmt.Fprintf(buffered, "\r\n%s", body)
		_ = buffered.Flush()
	}
	write()
	if _, err := buffered.ReadByte(); err == nil {
		write()
	}
}
