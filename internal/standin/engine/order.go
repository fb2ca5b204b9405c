package engine

import (
	"net/http"
	"slices"
	"time"
)

// OperationStage is the operation that changes a worker's stage, the only one that is supported.
const OperationStage = "Stage"

// Order is a request to change a worker's stage.
type Order struct {
	Operation  string
	Stage      string
	Holder     string
	FenceToken *uint64
	IfRevision *int
}

type orderState struct {
	stage    string
	busy     bool
	next     string        // the stage after the switch
	switchAt time.Duration // 0: running jobs have not ended yet
	sequence int
	fence    uint64
}

// Order executes an order and returns the HTTP status of the answer.
func (e *Engine) Order(now time.Duration, order Order) int {
	e.Advance(now)
	switch {
	case order.Operation != OperationStage || order.Stage != StagePrefill && order.Stage != StageDecode,
		e.config.Stage == "", order.Holder == "", order.FenceToken == nil:
		return http.StatusBadRequest
	case e.config.Fencing && *order.FenceToken < e.order.fence:
		return http.StatusPreconditionFailed
	}
	e.order.fence = max(e.order.fence, *order.FenceToken)
	switch {
	case order.IfRevision != nil && *order.IfRevision != e.order.sequence, e.order.busy:
		return http.StatusConflict
	case order.Stage == e.order.stage:
		return http.StatusOK
	}
	e.order.busy, e.order.next = true, order.Stage
	e.order.sequence++
	e.rejectQueued()
	e.advanceOrder()
	e.record()
	return http.StatusAccepted
}

// rejectQueued ends the queued jobs that have not started with KindNotExecuted.
func (e *Engine) rejectQueued() {
	for _, t := range slices.Clone(e.tasks) {
		if t.phase == phaseQueued && !t.started {
			e.emit(Event{Job: t.ID, Kind: KindNotExecuted})
			e.remove(t)
		}
	}
}

// advanceOrder continues an order: the switch begins when no job is left and ends Config.StageSwitch later.
func (e *Engine) advanceOrder() {
	if !e.order.busy {
		return
	}
	if e.order.switchAt == 0 && len(e.tasks) == 0 {
		e.order.switchAt = e.now + e.config.StageSwitch
	}
	if e.order.switchAt > 0 && e.order.switchAt <= e.now {
		e.order.stage, e.order.busy, e.order.switchAt = e.order.next, false, 0
	}
}

// Stage returns the current stage.
func (e *Engine) Stage() string { return e.order.stage }
