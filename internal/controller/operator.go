package controller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/register"
	"weldscale/internal/fleetconfig"
	"weldscale/internal/pause"
)

const (
	pathReplace = "/config/replace"
	pathRead    = "/config/read"

	headerBase = "Base-Version"

	maxConfigBytes = 4 << 20
	// changeTimeout bounds the work for one change: within AckMs, and long enough to get over a replica that hangs.
	changeTimeout = 3 * time.Second
	// attemptTimeout bounds one try of a change or a read. It is above the time-out of a round of the register.
	attemptTimeout = 1500 * time.Millisecond
	readTimeout    = 2 * time.Second
	// doubtPause separates the tries of a change whose outcome is not known.
	doubtPause = 20 * time.Millisecond
	// formingTimeout is how long a fresh fleet's first acknowledgement waits for the whole set of replicas, in all and per
	// call.
	formingTimeout     = 5 * time.Second
	formingCallTimeout = 700 * time.Millisecond
	// unansweredPause separates lines of the log about changes without an answer: an operator that reaches only a controller
	// cut off from the others sends again many times a second.
	unansweredPause = time.Second
)

// operatorAPI serves the operator's calls.
type operatorAPI struct {
	node    stateRegister
	started time.Time
	log     *zap.Logger
	// ending is done once the process is about to end: calls in hand are answered as they stand.
	ending context.Context
	end    context.CancelFunc

	counting   sync.Mutex
	unanswered int       // changes since the last line about them
	loggedAt   time.Time // zero: never
}

func newOperatorAPI(node stateRegister, log *zap.Logger) *operatorAPI {
	ending, end := context.WithCancel(context.Background())
	return &operatorAPI{node: node, started: time.Now(), log: log, ending: ending, end: end}
}

func (a *operatorAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathReplace, a.replace)
	mux.HandleFunc("GET "+pathRead, a.read)
}

// replace takes a configuration.
func (a *operatorAPI) replace(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.Header.Get(headerBase), 10, 64)
	if err != nil || base < 0 {
		refuse(w, http.StatusBadRequest, headerBase+" is not a version")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		refuse(w, bodyStatus(err), "the configuration could not be read whole")
		return
	}
	config, err := fleetconfig.Parse(body)
	if err != nil {
		refuse(w, fleetconfig.StatusOf(err), err.Error())
		return
	}
	// The change goes on when the operator leaves: sent again, it is known.
	ctx, cancel := a.callContext(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	a.answer(w, a.take(ctx, newChange(base, config.Version, body)))
}

// callContext bounds the work for one call by time and by the end of the process.
func (a *operatorAPI) callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	stop := context.AfterFunc(a.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout // the path may be at fault, and another controller's good
	}
	return http.StatusBadRequest
}

// take has a change taken, or returns why it was not: a verdict, or an error that leaves the outcome open.
func (a *operatorAPI) take(ctx context.Context, wanted change) error {
	if err := a.waitForming(ctx); err != nil {
		return err
	}
	doubtful := false
	for {
		err := a.try(ctx, wanted)
		doubtful = doubtful || errors.Is(err, register.ErrInDoubt)
		if err == nil || isVerdict(err) || !doubtful {
			return err
		}
		if !pause.For(ctx, doubtPause) {
			return err
		}
	}
}

func (a *operatorAPI) try(ctx context.Context, wanted change) error {
	if !inTouch(a.node) {
		return register.ErrNoQuorum
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return update(ctx, a.node, func(state controlState) (controlState, error) { return applyChange(state, wanted) })
}

// isVerdict reports whether an error was found on a state that proves it.
func isVerdict(err error) bool {
	return errors.Is(err, errAlreadyTaken) || errors.Is(err, errOtherBase) || errors.Is(err, errNotAbove)
}

// waitForming holds a change back while a fresh fleet gathers its replicas: an acknowledgement must be able to outlive
// the loss of some. It gives up for good after a while, since a replica may be missing from the start.
func (a *operatorAPI) waitForming(ctx context.Context) error {
	span := min(formingCallTimeout, formingTimeout-time.Since(a.started))
	if span <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	err := a.node.WaitFormed(ctx)
	if err != nil && time.Since(a.started) >= formingTimeout {
		return nil
	}
	return err
}

func (a *operatorAPI) answer(w http.ResponseWriter, err error) {
	switch {
	case err == nil || errors.Is(err, errAlreadyTaken):
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, errOtherBase):
		refuse(w, http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, errNotAbove):
		refuse(w, http.StatusBadRequest, err.Error())
	default:
		a.logUnanswered(err)
		refuse(w, http.StatusServiceUnavailable, "the outcome is not known here")
	}
}

// logUnanswered notes a change that is left without an answer.
func (a *operatorAPI) logUnanswered(err error) {
	a.counting.Lock()
	defer a.counting.Unlock()
	a.unanswered++
	if !a.loggedAt.IsZero() && time.Since(a.loggedAt) < unansweredPause {
		return
	}
	a.log.Warn("a change is left without an answer", zap.Int("changes", a.unanswered), zap.String("cause", err.Error()))
	a.unanswered = 0
	a.loggedAt = time.Now()
}

// read returns the newest configuration as it was sent.
func (a *operatorAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := a.callContext(r.Context(), readTimeout)
	defer cancel()
	state, err := a.readState(ctx)
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, "no majority answers")
	case state.Version == 0:
		refuse(w, http.StatusNotFound, "there is no configuration")
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(state.Config)))
		_, _ = w.Write(state.Config)
	}
}

func (a *operatorAPI) readState(ctx context.Context) (controlState, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		current, err := a.node.Read(attempt)
		cancel()
		if err == nil {
			return decodeState(current.Data)
		}
		if !inTouch(a.node) || !pause.For(ctx, doubtPause) {
			return controlState{}, err
		}
	}
}

func refuse(w http.ResponseWriter, status int, text string) { http.Error(w, text, status) }
