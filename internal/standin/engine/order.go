package engine

import (
	"net/http"
	"slices"
	"time"
)

// OperationStage is the only operation of these engines.
const OperationStage = "Stage"

// Order asks a worker to change.
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
	next     string        // the stage to come
	switchAt time.Duration // 0: still waits for runs to end
	sequence int
	fence    uint64
}

// Order takes an order and returns the status of its answer.
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
	e.settleOrder()
	e.record()
	return http.StatusAccepted
}

// rejectQueued answers what has not begun.
func (e *Engine) rejectQueued() {
	for _, t := range slices.Clone(e.tasks) {
		if t.phase == phaseQueued && !t.started {
			e.emit(Event{Job: t.ID, Kind: KindNotExecuted})
			e.remove(t)
		}
	}
}

// settleOrder carries an order on: once nothing runs the switch begins, and ends a while later.
func (e *Engine) settleOrder() {
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

// Stage is the present stage.
func (e *Engine) Stage() string { return e.order.stage }
