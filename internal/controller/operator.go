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

	// changeTimeout bounds the work for one change. It is within AckMs and long enough to tolerate a replica that hangs.
	changeTimeout = 3 * time.Second
	// attemptTimeout bounds one attempt of a change or a read. It is above the timeout of a round of the register.
	attemptTimeout = 1500 * time.Millisecond
	readTimeout    = 2 * time.Second
	// retryPause is the pause between attempts of a read, or of a change whose outcome is unknown.
	retryPause = 20 * time.Millisecond
	// formingTimeout is how long after the start a change still waits for the full set of replicas, and formingCallTimeout
	// bounds that wait for one call.
	formingTimeout     = 5 * time.Second
	formingCallTimeout = 700 * time.Millisecond
	// unansweredLogInterval limits the log messages about changes without a definite answer. An operator that reaches only a
	// controller that is cut off from the others resends many times a second.
	unansweredLogInterval = time.Second
)

// operatorAPI serves the calls of the operator.
type operatorAPI struct {
	node    stateRegister
	started time.Time
	log     *zap.Logger
	// shutdown is done shortly before the process ends, so that calls in flight are answered with what is known by then.
	shutdown    context.Context
	cancelCalls context.CancelFunc

	unansweredMutex sync.Mutex
	unansweredCount int       // changes since the last log message about them
	loggedAt        time.Time // zero if there was no such message
}

func newOperatorAPI(node stateRegister, log *zap.Logger) *operatorAPI {
	shutdown, cancelCalls := context.WithCancel(context.Background())
	return &operatorAPI{node: node, started: time.Now(), log: log, shutdown: shutdown, cancelCalls: cancelCalls}
}

// registerHandlers mounts the operator's calls.
func (a *operatorAPI) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathReplace, a.replace)
	mux.HandleFunc("GET "+pathRead, a.read)
}

// replace handles a request to replace the configuration.
func (a *operatorAPI) replace(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.Header.Get(headerBase), 10, 64)
	if err != nil || base < 0 {
		writeError(w, http.StatusBadRequest, headerBase+" is not a version")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleetconfig.MaxBytes))
	if err != nil {
		writeError(w, bodyStatus(err), "the configuration could not be read whole")
		return
	}
	config, err := fleetconfig.Parse(body)
	if err != nil {
		writeError(w, fleetconfig.StatusOf(err), err.Error())
		return
	}
	// The change continues when the operator disconnects. If the operator resends it, it is recognized by its digest.
	ctx, cancel := a.callContext(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	a.writeOutcome(w, a.commitChange(ctx, newChange(base, config.Version, body)))
}

// callContext returns a context that ends after timeout or when the process shuts down.
func (a *operatorAPI) callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	stop := context.AfterFunc(a.shutdown, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// bodyStatus returns the HTTP status for an error that occurred while a request's body was read.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout // the path to this controller may be at fault, and that to another one may work
	}
	return http.StatusBadRequest
}

// commitChange commits a change. It returns nil, an error that settles the outcome, or one that leaves the outcome unknown.
// Once an attempt has left the outcome in doubt, it retries until the outcome is known or ctx is done.
func (a *operatorAPI) commitChange(ctx context.Context, requested change) error {
	if err := a.waitFormed(ctx); err != nil {
		return err
	}
	inDoubt := false
	for {
		err := a.attemptChange(ctx, requested)
		inDoubt = inDoubt || errors.Is(err, register.ErrInDoubt)
		if err == nil || isDefinite(err) || !inDoubt {
			return err
		}
		if !pause.For(ctx, retryPause) {
			return err
		}
	}
}

// attemptChange makes one attempt to commit a change.
func (a *operatorAPI) attemptChange(ctx context.Context, requested change) error {
	if !hasQuorum(a.node) {
		return register.ErrNoQuorum
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return updateState(ctx, a.node, func(state controlState) (controlState, error) { return applyChange(state, requested) })
}

// isDefinite reports whether an error settles the outcome of a change: the examined state proves that the change was applied
// before or must be rejected.
func isDefinite(err error) bool {
	return errors.Is(err, errAlreadyApplied) || errors.Is(err, errBaseMismatch) || errors.Is(err, errVersionNotIncreased)
}

// waitFormed delays a change until a new fleet has its full set of replicas, because an acknowledged change must survive the
// loss of some of them. From formingTimeout after the start it no longer waits, since a replica may be missing from the
// beginning.
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

// writeOutcome answers a request with the outcome of its change.
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

// logUnanswered logs a change whose outcome is unknown, at most once per unansweredLogInterval.
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

// read handles a request for the current configuration and returns the body that the operator sent.
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

// readState reads the control state, with retries while a majority is in contact and ctx is not done.
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
