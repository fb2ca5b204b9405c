package stages

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// leaseRecord is a lease that a test gives and takes.
type leaseRecord struct {
	token uint64
	held  bool
}

func (l *leaseRecord) lease() (uint64, bool) { return l.token, l.held }

// orderedWorker is a stand-in that notes the orders it gets.
type orderedWorker struct {
	mutex  sync.Mutex
	orders []message
	status int
}

func (w *orderedWorker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	var order message
	_ = json.NewDecoder(request.Body).Decode(&order)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.orders = append(w.orders, order)
	answer.WriteHeader(w.status)
}

// silentProber answers no probe: the share stays the usual one.
type silentProber struct{}

func (silentProber) Probe(context.Context, fleetwire.Instance) (placement.Report, error) {
	return placement.Report{}, placement.ErrNoReport
}

func newTestKeeper(t *testing.T, held *leaseRecord, worker *orderedWorker, fresh bool) *Rebalancer {
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	list := workers(2, 16)
	for i := range list {
		list[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	config := &fleetwire.Config{Services: []fleetwire.Service{{Name: "llm", Engine: &fleetwire.Engine{}}, {Name: "plain"}}}
	return NewRebalancer(Options{Holder: "core-1", Lease: held.lease, Bootstrap: fresh, TakeoverDelay: 3 * time.Second, Log: zap.NewNop(),
		Fleet:  func() Fleet { return Fleet{Config: config, Instances: list} },
		Prober: silentProber{}})
}

func TestOrdersCarryHolderAndToken(t *testing.T) {
	worker := &orderedWorker{status: http.StatusAccepted}
	held := &leaseRecord{token: 4, held: true}
	keeper := newTestKeeper(t, held, worker, false)
	keeper.token = 4
	keeper.orderAll(t.Context(), 0)
	require.Len(t, worker.orders, 3)
	require.Equal(t, message{Operation: "Stage", Stage: fleetwire.StagePrefill, Holder: "core-1", FenceToken: 4}, worker.orders[0])
}

func TestNothingIsOrderedUnderATokenThatIsNoLongerHeld(t *testing.T) {
	for name, change := range map[string]func(*leaseRecord){
		"lost":   func(l *leaseRecord) { l.held = false },
		"raised": func(l *leaseRecord) { l.token++ },
	} {
		t.Run(name, func(t *testing.T) {
			worker := &orderedWorker{status: http.StatusAccepted}
			held := &leaseRecord{token: 4, held: true}
			keeper := newTestKeeper(t, held, worker, false)
			keeper.token = 4
			change(held)
			keeper.orderAll(t.Context(), 0)
			require.Empty(t, worker.orders)
		})
	}
}

func TestANewHolderWaitsUntilTheFormerOnesOrdersAreOld(t *testing.T) {
	held := &leaseRecord{token: 2, held: true}
	keeper := newTestKeeper(t, held, &orderedWorker{}, true)
	start := time.Now()
	require.False(t, keeper.mayOrder(start))
	require.False(t, keeper.mayOrder(start.Add(2900*time.Millisecond)))
	require.True(t, keeper.mayOrder(start.Add(3*time.Second)))
	held.held = false
	require.False(t, keeper.mayOrder(start.Add(4*time.Second)))
	held.held = true
	require.False(t, keeper.mayOrder(start.Add(5*time.Second)), "what happened in between is not known")
	require.True(t, keeper.mayOrder(start.Add(8*time.Second)))
}

func TestTheVeryFirstHolderOrdersAtOnce(t *testing.T) {
	held := &leaseRecord{token: 1, held: true}
	require.True(t, newTestKeeper(t, held, &orderedWorker{}, true).mayOrder(time.Now()))
	require.False(t, newTestKeeper(t, held, &orderedWorker{}, false).mayOrder(time.Now()), "a restarted one can't know that it is the first")
}

// Guards against orders that go on under a fencing token that workers refuse.
func TestNothingIsOrderedAgainUnderATokenThatAWorkerRefused(t *testing.T) {
	worker := &orderedWorker{status: http.StatusPreconditionFailed}
	held := &leaseRecord{token: 4, held: true}
	keeper := newTestKeeper(t, held, worker, false)
	var fenced []uint64
	keeper.options.OnFenced = func(token uint64) { fenced = append(fenced, token) }
	start := time.Now()
	later := start.Add(time.Hour)
	require.False(t, keeper.mayOrder(start))
	require.True(t, keeper.mayOrder(later))
	keeper.orderAll(t.Context(), time.Hour)
	require.Len(t, worker.orders, 1, "the first refusal ends it")
	require.Equal(t, []uint64{4}, fenced)
	held.held = false
	require.False(t, keeper.mayOrder(later))
	held.held = true
	require.False(t, keeper.mayOrder(later.Add(time.Hour)))
	require.False(t, keeper.mayOrder(later.Add(2*time.Hour)), "held anew under the same token")
	held.token = 5
	require.False(t, keeper.mayOrder(later.Add(3*time.Hour)))
	require.True(t, keeper.mayOrder(later.Add(4*time.Hour)))
}

func TestRefusedOrdersAreGivenAgainLater(t *testing.T) {
	worker := &orderedWorker{status: http.StatusConflict}
	keeper := newTestKeeper(t, &leaseRecord{token: 4, held: true}, worker, false)
	keeper.token = 4
	keeper.orderAll(t.Context(), 0)
	keeper.orderAll(t.Context(), time.Second)
	require.Len(t, worker.orders, 6)
}
