package llmworker

import (
	"fmt"
	"net/http"
	"sync"
)

// Fault is something that a worker does wrong with one request.
type Fault uint8

// The faults.
const (
	FaultNone            Fault = iota
	FaultTruncate              // runs, and closes the connection within the second event, or within the body
	FaultMalformed             // runs, and sends bytes that form no answer
	FaultDuplicateAnswer       // answers, and answers once more when the next request comes on that connection
	FaultSilent                // runs, and never answers
	FaultReset                 // runs, and resets the connection before its answer
	FaultServerError           // runs, and answers 500
	FaultReject                // doesn't run it: 503 with Not-Executed
)

// breaksOff reports whether a request gets no whole answer by the fault.
func (f Fault) breaksOff() bool {
	return f == FaultTruncate || f == FaultMalformed || f == FaultSilent || f == FaultReset
}

// faultPlan holds the faults to come.
type faultPlan struct {
	mu     sync.Mutex
	next   []Fault
	always Fault
}

// FailNext plans faults for the requests that come next, one each.
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

func (p *faultPlan) draw() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.next) == 0 {
		return p.always
	}
	fault := p.next[0]
	p.next = p.next[1:]
	return fault
}

// misbehave plays the faults that come once a request runs and before its answer. It reports whether it did.
func (w *Worker) misbehave(rw http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault {
	case FaultMalformed:
		w.raw(rw, "\x00\x01 no answer at all\r\n\r\n")
	case FaultReset:
		w.raw(rw, "")
	case FaultSilent:
		select {
		case <-r.Context().Done():
		case <-w.crashed:
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

// raw takes the connection over, writes text and resets it.
func (w *Worker) raw(rw http.ResponseWriter, text string) {
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

// answerTwice sends a whole answer, and the same once more in the place where the answer to the next request is due.
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
