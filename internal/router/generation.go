package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// kvHandle identifies the KV cache of a prompt on the prefill worker that processed the prompt.
type kvHandle struct {
	address    string
	id         string
	zone       string
	version    int64
	expires    time.Time
	offerCount int  // number of decode workers that it was sent to
	offeredNow bool // the current push carries it
	taken      bool // a decode worker that it was sent to has started its response
}

// Constants of the engine protocol and limits of handing a KV cache over from a prefill worker to a decode worker.
const (
	maxHandleResponseBytes = 4 << 10
	maxHandleOffers        = 2 // one worker that does not take it may be full; after a second one, the KV cache counts as gone
	handleFreeTimeout      = 500 * time.Millisecond
	defaultHandleTTL       = 2 * time.Second
	lowestPriority         = 9
	handlePathPrefix       = "/kv-handle/"
	handleTTLMargin        = 100 * time.Millisecond // time for the request to reach the decode worker
)

// generate runs a request of an engine service in two stages: a prefill worker processes the prompt, then a decode worker
// fetches the KV cache and streams the output. If no prefill worker can process the prompt, the decode worker does.
func (q *request) generate(ctx context.Context) placement.JobOutcome {
	q.header.Set(headerPriority, strconv.Itoa(min(max(q.route.Priority, 0), lowestPriority)))
	decodeJob := q.placementJob(fleetwire.StageDecode)
	decodeJob.RunsPrefill = q.decodeReadsPrompt()
	if !decodeJob.RunsPrefill {
		outcome := q.runPrefill(ctx)
		if outcome.Decision == placement.DecisionRefused {
			return outcome
		}
		if ctx.Err() != nil {
			q.releaseHandle()
			return outcome
		}
		// No prefill attempt is a run of the request. The first one does not count against MaxRuns, further ones do.
		decodeJob.MaxRuns = max(1, decodeJob.MaxRuns-max(0, outcome.Runs-1))
		// The first arrival at a worker is free of the retry budget. A failed prefill that reached a worker has used it up.
		decodeJob.FirstPushFree = outcome.Decision == placement.DecisionServed || outcome.Arrivals == 0
	}
	if q.handle != nil {
		decodeJob.Continues = true
		decodeJob.PreferredZone = q.handle.zone
	}
	outcome := q.router.options.Placer.Place(ctx, decodeJob, q.recordResults(q.pushAndRelay(q.offerHandle)))
	q.releaseHandle()
	return outcome
}

// decodeReadsPrompt reports whether the decode worker processes the prompt itself: the service has no ready prefill worker, or
// the size of the prompt is unknown.
func (q *request) decodeReadsPrompt() bool {
	return !q.view.hasPrefill[q.service.Name] || q.prompt.inputTokens == 0
}

// runPrefill places the prefill stage. It may be repeated, because it produces no output.
func (q *request) runPrefill(ctx context.Context) placement.JobOutcome {
	job := q.placementJob(fleetwire.StagePrefill)
	job.Repeatable = true
	return q.router.options.Placer.Place(ctx, job, q.recordResults(q.pushPrefill))
}

// pushPrefill sends the prompt to one prefill worker and stores the handle of its KV cache.
func (q *request) pushPrefill(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
	header := q.header.Clone()
	header.Set(headerServingStage, fleetwire.StagePrefill)
	ranBefore := q.mayHaveRun
	defer func() { q.mayHaveRun = ranBefore }() // prefill does not count as a run of the request
	received, result := q.roundTrip(ctx, &target, header, ready)
	if received == nil {
		return result
	}
	body, err := io.ReadAll(io.LimitReader(received.response.Body, maxHandleResponseBytes))
	if err != nil || len(body) == maxHandleResponseBytes {
		received.discard()
		return q.brokenResult(ctx)
	}
	received.conn.Release()
	if received.response.StatusCode != http.StatusOK {
		return placement.ResultFailed
	}
	parsed, err := parseHandleResponse(body)
	if err != nil {
		q.recordMalformedHandle(target.ID, body, err)
		return placement.ResultMalformed
	}
	q.handle = &kvHandle{
		address: target.Address,
		id:      parsed.KvHandle,
		zone:    target.Zone,
		version: *parsed.Version,
		expires: time.Now().Add(q.handleTTL() - handleTTLMargin),
	}
	return placement.ResultServed
}

func (q *request) handleTTL() time.Duration {
	if q.service.Engine.HandleTTLS <= 0 {
		return defaultHandleTTL
	}
	return time.Duration(q.service.Engine.HandleTTLS * float64(time.Second))
}

// offerHandle adds the KV handle to the header for a decode worker, if the KV cache is still available and fits the worker's
// model version.
func (q *request) offerHandle(target *fleetwire.Instance, header http.Header) {
	handle := q.handle
	if handle == nil || handle.taken {
		return
	}
	handle.offeredNow = false
	if q.mayHaveRun || handle.offerCount >= maxHandleOffers || time.Now().After(handle.expires) ||
		!handle.matchesVersion(target, header.Get(headerModel)) {
		return
	}
	handle.offerCount++
	handle.offeredNow = true
	header.Set(headerKvFrom, handle.address+"/"+handle.id)
	header.Set(headerExpectVersion, strconv.FormatInt(handle.version, 10))
}

// matchesVersion reports whether the worker runs the version of the model that the KV cache was made with. It returns true if
// the worker's version of the model is unknown.
func (h *kvHandle) matchesVersion(target *fleetwire.Instance, model string) bool {
	for _, loaded := range target.Models {
		if loaded.Name == model {
			return loaded.Version == h.version
		}
	}
	return true
}

// releaseHandle has the prefill worker free the KV cache in the background, unless a decode worker has fetched it or it has
// expired.
func (q *request) releaseHandle() {
	handle := q.handle
	if handle == nil || handle.taken {
		return
	}
	q.handle = nil
	if time.Now().After(handle.expires) {
		return
	}
	go q.router.deleteHandle(handle, q.view.connectionLimit(q.service))
}

// deleteHandle asks the prefill worker to free the KV cache, unless the worker is no longer ready. The request names the
// instance listed at the address, so that a different instance rejects it.
func (r *Router) deleteHandle(handle *kvHandle, limit int) {
	instance, ready := r.view.Load().ready[handle.address]
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handleFreeTimeout)
	defer cancel()
	conn, err := r.options.Pool.Acquire(ctx, handle.address, limit, nonRepeatableMaxIdle)
	if err != nil {
		return
	}
	outgoing := (&http.Request{
		Method: http.MethodDelete,
		URL:    workerURL(handle.address, handlePathPrefix+handle.id),
		Header: http.Header{headerExpectedInstance: {instance.id}, "User-Agent": nil},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	response, err := conn.RoundTrip(outgoing)
	if err != nil {
		conn.Discard()
		return
	}
	(&workerResponse{conn: conn, response: response}).reject()
}
