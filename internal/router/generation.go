package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// handle names the memory of a read prompt at the worker that read it.
type handle struct {
	address string
	id      string
	zone    string
	version int64
	expires time.Time
	offers  int  // workers that were sent it
	offered bool // the present push carries it
	taken   bool // a worker that was sent it has begun its answer
}

// Bounds of hand-overs.
const (
	handleAnswerBytes = 4 << 10
	handleOffers      = 2 // a second worker that can't have the memory says that it is gone, not that it is full itself
	handleFreeTimeout = 500 * time.Millisecond
	defaultHandleTTL  = 2 * time.Second
	leastUrgent       = 9
	handlePathPrefix  = "/kv-handle/"
	handleTTLReserve  = 100 * time.Millisecond // for the way to the worker that takes it
)

// generate runs a request of an engine: its prompt is read by a prefill worker, then a decode worker takes the memory of
// it and streams. Where no prefill worker can read it, the decode worker does.
func (q *request) generate(ctx context.Context) placement.JobOutcome {
	q.header.Set(headerPriority, strconv.Itoa(min(max(q.route.Priority, 0), leastUrgent)))
	decode := q.job(fleetwire.StageDecode)
	decode.RunsPrefill = q.direct()
	if !decode.RunsPrefill {
		verdict := q.prefill(ctx)
		if verdict.Decision == placement.DecisionRefused {
			return verdict
		}
		if ctx.Err() != nil {
			q.freeHandle()
			return verdict
		}
		// The first reading is no attempt of its own, further ones are. None of them is a run.
		decode.MaxRuns = max(1, decode.MaxRuns-max(0, verdict.Runs-1))
		// A reading that no worker took up is an arrival like any other, and was the request's first.
		decode.FirstPushFree = verdict.Decision == placement.DecisionServed || verdict.Arrivals == 0
	}
	if q.handle != nil {
		decode.PreferredZone = q.handle.zone
	}
	verdict := q.router.options.Placer.Place(ctx, decode, q.observed(q.pushAnswer(q.prepareDecode)))
	q.freeHandle()
	return verdict
}

// direct reports whether the decode worker is to read the prompt.
func (q *request) direct() bool {
	return !q.view.prefill[q.service.Name] || q.prompt.input == 0
}

// prefill has the prompt read.
func (q *request) prefill(ctx context.Context) placement.JobOutcome {
	job := q.job(fleetwire.StagePrefill)
	job.Repeatable = true
	return q.router.options.Placer.Place(ctx, job, q.observed(q.pushPrefill))
}

// pushPrefill sends the prompt to one prefill worker and notes the handle of its memory.
func (q *request) pushPrefill(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
	header := q.header.Clone()
	header.Set(headerServingStage, fleetwire.StagePrefill)
	ranBefore := q.mayHaveRun
	defer func() { q.mayHaveRun = ranBefore }() // reading a prompt is no run
	received, result := q.exchange(ctx, &target, header, ready)
	if received == nil {
		return result
	}
	body, err := io.ReadAll(io.LimitReader(received.response.Body, handleAnswerBytes))
	if err != nil || len(body) == handleAnswerBytes {
		received.discard()
		return q.broken(ctx)
	}
	received.conn.Release()
	if received.response.StatusCode != http.StatusOK {
		return placement.ResultFailed
	}
	var told struct {
		KvHandle string
		Version  int64
	}
	if json.Unmarshal(body, &told) != nil || told.KvHandle == "" {
		return placement.ResultFailed
	}
	q.handle = &handle{
		address: target.Address,
		id:      told.KvHandle,
		zone:    target.Zone,
		version: told.Version,
		expires: time.Now().Add(q.handleTTL() - handleTTLReserve),
	}
	return placement.ResultServed
}

func (q *request) handleTTL() time.Duration {
	if q.service.Engine.HandleTTLS <= 0 {
		return defaultHandleTTL
	}
	return time.Duration(q.service.Engine.HandleTTLS * float64(time.Second))
}

// prepareDecode names the memory to a decode worker, while it can be had there.
func (q *request) prepareDecode(target *fleetwire.Instance, header http.Header) {
	held := q.handle
	if held == nil || held.taken {
		return
	}
	held.offered = false
	if q.mayHaveRun || held.offers >= handleOffers || time.Now().After(held.expires) || !held.fits(target, header.Get(headerModel)) {
		return
	}
	held.offers++
	held.offered = true
	header.Set(headerKvFrom, held.address+"/"+held.id)
	header.Set(headerExpectVersion, strconv.FormatInt(held.version, 10))
}

// fits reports whether the worker's weights are those that the memory was made with, as far as it is known.
func (h *handle) fits(target *fleetwire.Instance, model string) bool {
	for _, loaded := range target.Models {
		if loaded.Name == model {
			return loaded.Version == h.version
		}
	}
	return true
}

// freeHandle gives the memory back to the prefill worker, unless a decode worker has taken it.
func (q *request) freeHandle() {
	held := q.handle
	if held == nil || held.taken {
		return
	}
	q.handle = nil
	if time.Now().After(held.expires) {
		return
	}
	go q.router.free(held, q.view.connectionLimit(q.service))
}

// free calls the prefill worker, unless it drains by now or another stands at its address.
func (r *Router) free(held *handle, limit int) {
	instance, ready := r.view.Load().ready[held.address]
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handleFreeTimeout)
	defer cancel()
	conn, err := r.options.Pool.Acquire(ctx, held.address, limit, unsafeRestedAtMost)
	if err != nil {
		return
	}
	outgoing := (&http.Request{
		Method: http.MethodDelete,
		URL:    workerURL(held.address, handlePathPrefix+held.id),
		Header: http.Header{headerExpectedInstance: {instance.id}, "User-Agent": nil},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	response, err := conn.RoundTrip(outgoing)
	if err != nil {
		conn.Discard()
		return
	}
	(&answer{conn: conn, response: response}).reject()
}
