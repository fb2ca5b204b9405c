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
	retryPause = 20 * time.Millisecond
	// formingTimeout is how long a fresh fleet's first acknowledgement waits for the whole set of replicas, in all and per
	// call.
	formingTimeout     = 5 * time.Second
	formingCallTimeout = 700 * time.Millisecond
	// unansweredPause separates lines of the log about changes without an answer: an operator that reaches only a controller
	// cut off from the others sends again many times a second.
	unansweredLogInterval = time.Second
)

// operatorAPI serves the operator's calls.
type operatorAPI struct {
	node    stateRegister
	started time.Time
	log     *zap.Logger
	// ending is done once the process is about to end: calls in hand are answered as they stand.
	shutdown    context.Context
	cancelCalls context.CancelFunc

	unansweredMutex sync.Mutex
	unansweredCount int       // changes since the last line about them
	loggedAt        time.Time // zero: never
}

func newOperatorAPI(node stateRegister, log *zap.Logger) *operatorAPI {
	shutdown, cancelCalls := context.WithCancel(context.Background())
	return &operatorAPI{node: node, started: time.Now(), log: log, shutdown: shutdown, cancelCalls: cancelCalls}
}

func (a *operatorAPI) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathReplace, a.replace)
	mux.HandleFunc("GET "+pathRead, a.read)
}

// replace takes a configuration.
func (a *operatorAPI) replace(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.Header.Get(headerBase), 10, 64)
	if err != nil || base < 0 {
		writeError(w, http.StatusBadRequest, headerBase+" is not a version")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeError(w, bodyStatus(err), "the configuration could not be read whole")
		return
	}
	config, err := fleetconfig.Parse(body)
	if err != nil {
		writeError(w, fleetconfig.StatusOf(err), err.Error())
		return
	}
	// The change goes on when the operator leaves: sent again, it is known.
	ctx, cancel := a.callContext(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	a.writeOutcome(w, a.commitChange(ctx, newChange(base, config.Version, body)))
}

// callContext bounds the work for one call by time and by the end of the process.
func (a *operatorAPI) callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	stop := context.AfterFunc(a.shutdown, cancel)
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
func (a *operatorAPI) commitChange(ctx context.Context, requested change) error {
	if err := a.waitFormed(ctx); err != nil {
		return err
	}
	inDoubt := false
	for {
		err := a.attemptChange(ctx, requested)
		inDoubt = inDoubt || errors.Is(err, register.ErrInDoubt)
		if err == nil || isRejection(err) || !inDoubt {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return err
		}
	}
}

func (a *operatorAPI) attemptChange(ctx context.Context, requested change) error {
	if !hasQuorum(a.node) {
		return register.ErrNoQuorum
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return updateState(ctx, a.node, func(state controlState) (controlState, error) { return applyChange(state, requested) })
}

// isVerdict reports whether an error was found on a state that proves it.
func isRejection(err error) bool {
	return errors.Is(err, errAlreadyApplied) || errors.Is(err, errBaseMismatch) || errors.Is(err, errVersionNotIncreased)
}

// waitForming holds a change back while a fresh fleet gathers its replicas: an acknowledgement must be able to outlive
// the loss of some. It gives up for good after a while, since a replica may be missing from the start.
func (a *operatorAPI) waitFormed(ctx context.Context) error {
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

func (a *operatorAPI) writeOutcome(w http.ResponseWriter, err error) {
	switch {
	case err == nil || errors.Is(err, errAlreadyApplied):
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, errBaseMismatch):
		writeError(w, http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, errVersionNotIncreased):
		writeError(w, http.StatusBadRequest, err.Error())
	default:
		a.logUnanswered(err)
		writeError(w, http.StatusServiceUnavailable, "the outcome is not known here")
	}
}

// logUnanswered notes a change that is left without an answer.
func (a *operatorAPI) logUnanswered(err error) {
	a.unansweredMutex.Lock()
	defer a.unansweredMutex.Unlock()
	a.unansweredCount++
	if !a.loggedAt.IsZero() && time.Since(a.loggedAt) < unansweredLogInterval {
		return
	}
	a.log.Warn("a change is left without an answer", zap.Int("changes", a.unansweredCount), zap.String("cause", err.Error()))
	a.unansweredCount = 0
	a.loggedAt = time.Now()
}

// read returns the newest configuration as it was sent.
func (a *operatorAPI) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := a.callContext(r.Context(), readTimeout)
	defer cancel()
	state, err := a.readState(ctx)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "no majority answers")
	case state.Version == 0:
		writeError(w, http.StatusNotFound, "there is no configuration")
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
		if !hasQuorum(a.node) || !pause.For(ctx, retryPause) {
			return controlState{}, err
		}
	}
}

func writeError(w http.ResponseWriter, status int, message string) { http.Error(w, message, status) }
