package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/register"
	"weldscale/internal/fleetconfig"
)

// fakeRegister is an in-memory register. A test sets the outcomes of its updates.
type fakeRegister struct {
	mutex   sync.Mutex
	state   register.State
	changed chan struct{}
	// outcomes are those of the next updates, in order. Further updates succeed.
	outcomes  []outcome
	updates   int
	readError error
	quorumAge time.Duration
	formed    bool
}

// outcome says what one update of a fakeRegister does and returns.
type outcome struct {
	runFirst func(f *fakeRegister) // runs before the update, if set
	chosen   bool                  // whether the change is chosen
	err      error                 // error returned to the caller
}

func newFakeRegister() *fakeRegister {
	return &fakeRegister{changed: make(chan struct{}), formed: true}
}

func (f *fakeRegister) Update(_ context.Context, change func(data []byte) ([]byte, error)) (register.State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.updates++
	next := outcome{chosen: true}
	if len(f.outcomes) > 0 {
		next, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	if next.runFirst != nil {
		next.runFirst(f)
	}
	if eris.Is(next.err, register.ErrNoQuorum) {
		return register.State{}, next.err
	}
	data, err := change(f.state.Data)
	if err != nil {
		return f.state, err
	}
	if next.chosen {
		f.setChosen(data)
	}
	return f.state, next.err
}

// setChosen stores the data as the next chosen revision.
func (f *fakeRegister) setChosen(data []byte) {
	f.state.Revision++
	f.state.Data = data
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeRegister) Read(context.Context) (register.State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state, f.readError
}

func (f *fakeRegister) Latest() register.State {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state
}

func (f *fakeRegister) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func (f *fakeRegister) QuorumAge() time.Duration { return f.quorumAge }

func (f *fakeRegister) StateAge() time.Duration { return f.quorumAge }

func (f *fakeRegister) ReplicaSetInDoubt() bool { return false }

func (f *fakeRegister) Close(context.Context) {}

func (f *fakeRegister) WaitFormed(ctx context.Context) error {
	if f.formed {
		return nil
	}
	<-ctx.Done()
	return register.ErrNotFormed
}

func (f *fakeRegister) Leave(context.Context) error { return nil }

func (f *fakeRegister) Register(*http.ServeMux) {}

// newRegisterWith returns a register in which the changes were applied.
func newRegisterWith(t *testing.T, changes ...change) *fakeRegister {
	fake := newFakeRegister()
	for _, each := range changes {
		applyElsewhere(t, each)(fake)
	}
	return fake
}

// applyElsewhere returns a function that applies a change as another controller would.
func applyElsewhere(t *testing.T, applied change) func(f *fakeRegister) {
	return func(f *fakeRegister) {
		state, err := decodeState(f.state.Data)
		require.NoError(t, err)
		state, err = applyChange(state, applied)
		require.NoError(t, err)
		data, err := state.encode()
		require.NoError(t, err)
		f.setChosen(data)
	}
}

// testChange returns a change with the configuration that configBody makes.
func testChange(base, version int64) change {
	return newChange(base, version, []byte(configBody(version)))
}

// sendChange sends a change to a new API on the register.
func sendChange(node stateRegister, base, body string) *httptest.ResponseRecorder {
	return sendChangeTo(newOperatorAPI(node, zap.NewNop()), base, body)
}

// sendChangeTo sends a change to the API. An empty base omits the header.
func sendChangeTo(api *operatorAPI, base, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	api.registerHandlers(mux)
	request := httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(body))
	if base != "" {
		request.Header.Set(headerBase, base)
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder
}

// timeoutBody is a request body whose read fails by timeout.
type timeoutBody struct{}

func (timeoutBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// Guards against rejecting a change for good when its body arrives too slowly over a bad connection: the operator has to retry
// it with another controller.
func TestReplaceAnswersSlowBodyWithRequestTimeout(t *testing.T) {
	mux := http.NewServeMux()
	newOperatorAPI(newFakeRegister(), zap.NewNop()).registerHandlers(mux)
	request := httptest.NewRequest(http.MethodPost, pathReplace, timeoutBody{})
	request.Header.Set(headerBase, "0")
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusRequestTimeout, recorder.Code)
}

// readConfig reads the configuration from a new API on the register.
func readConfig(node stateRegister) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	newOperatorAPI(node, zap.NewNop()).registerHandlers(mux)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, pathRead, nil))
	return recorder
}

func TestReplace(t *testing.T) {
	inDoubt := outcome{err: register.ErrInDoubt}
	inDoubtButChosen := outcome{err: register.ErrInDoubt, chosen: true}
	noQuorum := outcome{err: register.ErrNoQuorum}
	other := newChange(3, 9, []byte(configBody(9)))
	cases := map[string]struct {
		before   []change
		outcomes []outcome
		base     string
		body     string
		status   int
		version  int64 // current version afterwards
	}{
		"first change":                              {nil, nil, "0", configBody(3), 200, 3},
		"next change":                               {[]change{testChange(0, 3)}, nil, "3", configBody(7), 200, 7},
		"resent change":                             {[]change{testChange(0, 3)}, nil, "0", configBody(3), 200, 3},
		"resent after newer changes":                {[]change{testChange(0, 3), testChange(3, 7)}, nil, "0", configBody(3), 200, 7},
		"outdated base":                             {[]change{testChange(0, 3)}, nil, "0", configBody(7), 412, 3},
		"same version as the current one":           {[]change{testChange(0, 3)}, nil, "3", configBody(3), 400, 3},
		"missing base":                              {nil, nil, "", configBody(3), 400, 0},
		"base is not a number":                      {nil, nil, "x", configBody(3), 400, 0},
		"truncated body":                            {nil, nil, "0", configBody(3)[:40], 400, 0},
		"no quorum":                                 {nil, []outcome{noQuorum}, "0", configBody(3), 503, 0},
		"in doubt, then already applied":            {nil, []outcome{inDoubtButChosen}, "0", configBody(3), 200, 3},
		"in doubt twice, then applied":              {nil, []outcome{inDoubt, inDoubt}, "0", configBody(3), 200, 3},
		"in doubt, no quorum, then already applied": {nil, []outcome{inDoubtButChosen, noQuorum}, "0", configBody(3), 200, 3},
		"in doubt, then base taken by another change": {
			[]change{testChange(0, 3)}, []outcome{inDoubt, {runFirst: applyElsewhere(t, other), chosen: true}}, "3", configBody(7), 412, 9,
		},
		"in doubt but chosen, then another change on top": {
			[]change{testChange(0, 3)},
			[]outcome{inDoubtButChosen, {runFirst: applyElsewhere(t, newChange(7, 11, []byte(configBody(11))))}},
			"3", configBody(7), 200, 11,
		},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newRegisterWith(t, each.before...)
			fake.outcomes = each.outcomes
			require.Equal(t, each.status, sendChange(fake, each.base, each.body).Code)
			state, err := decodeState(fake.state.Data)
			require.NoError(t, err)
			require.Equal(t, each.version, state.Version)
		})
	}
}

func TestReplaceGivesUpWhenTheOutcomeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeRegister()
		for range 10_000 {
			fake.outcomes = append(fake.outcomes, outcome{err: register.ErrInDoubt})
		}
		begun := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, sendChange(fake, "0", configBody(3)).Code)
		require.LessOrEqual(t, time.Since(begun), changeTimeout)
	})
}

func TestReplaceRejectsTooLargeBody(t *testing.T) {
	body := configBody(3) + strings.Repeat(" ", fleetconfig.MaxBytes)
	require.Equal(t, http.StatusRequestEntityTooLarge, sendChange(newFakeRegister(), "0", body).Code)
}

func TestReplaceFailsAtOnceWithoutQuorum(t *testing.T) {
	fake := newFakeRegister()
	fake.quorumAge = 2 * maxQuorumAge
	require.Equal(t, http.StatusServiceUnavailable, sendChange(fake, "0", configBody(3)).Code)
	require.Zero(t, fake.updates)
}

func TestFirstAcknowledgementWaitsForReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeRegister()
		fake.formed = false
		api := newOperatorAPI(fake, zap.NewNop())
		begun := time.Now()
		for time.Since(begun) < formingTimeout-formingCallTimeout {
			called := time.Now()
			require.Equal(t, http.StatusServiceUnavailable, sendChangeTo(api, "0", configBody(3)).Code)
			require.LessOrEqual(t, time.Since(called), formingCallTimeout)
		}
		time.Sleep(formingCallTimeout) // virtual time
		require.Equal(t, http.StatusOK, sendChangeTo(api, "0", configBody(3)).Code)
	})
}

func TestConcurrentChangesOnOneBase(t *testing.T) {
	fake := newRegisterWith(t, testChange(0, 1))
	api := newOperatorAPI(fake, zap.NewNop())
	statuses := make(chan int)
	const operators = 8
	for i := range operators {
		go func() { statuses <- sendChangeTo(api, "1", configBody(int64(2+i))).Code }()
	}
	counts := make(map[int]int)
	for range operators {
		counts[<-statuses]++
	}
	require.Equal(t, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: operators - 1}, counts)
}

func TestRead(t *testing.T) {
	fake := newFakeRegister()
	require.Equal(t, http.StatusNotFound, readConfig(fake).Code)
	applyElsewhere(t, testChange(0, 3))(fake)
	answer := readConfig(fake)
	require.Equal(t, http.StatusOK, answer.Code)
	require.Equal(t, configBody(3), answer.Body.String())
	require.Equal(t, "application/json", answer.Header().Get("Content-Type"))
	require.Equal(t, strconv.Itoa(len(configBody(3))), answer.Header().Get("Content-Length"))
	fake.readError = register.ErrNoQuorum
	fake.quorumAge = 2 * maxQuorumAge
	require.Equal(t, http.StatusServiceUnavailable, readConfig(fake).Code)
}
