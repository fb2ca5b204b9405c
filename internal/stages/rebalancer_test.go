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

// fakeLease is a lease that tests grant and revoke.
type fakeLease struct {
	token uint64
	held  bool
}

func (l *fakeLease) current() (uint64, bool) { return l.token, l.held }

// orderRecorder is a worker that records its orders and answers them with a fixed status.
type orderRecorder struct {
	mutex  sync.Mutex
	orders []orderRequest
	status int
}

func (w *orderRecorder) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	var order orderRequest
	_ = json.NewDecoder(request.Body).Decode(&order)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.orders = append(w.orders, order)
	answer.WriteHeader(w.status)
}

// failingProber answers no probe, so the share stays the default one.
type failingProber struct{}

func (failingProber) Probe(context.Context, fleetwire.Instance) (placement.Report, error) {
	return placement.Report{}, placement.ErrNoReport
}

// newTestRebalancer returns a rebalancer of 18 workers, which all have the address of one recorder.
func newTestRebalancer(t *testing.T, lease *fakeLease, worker *orderRecorder, bootstrap bool) *Rebalancer {
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	instances := workers(2, 16)
	for i := range instances {
		instances[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	config := &fleetwire.Config{Services: []fleetwire.Service{{Name: "llm", Engine: &fleetwire.Engine{}}, {Name: "plain"}}}
	return NewRebalancer(Options{Holder: "core-1", Lease: lease.current, Bootstrap: bootstrap, TakeoverDelay: 3 * time.Second, Log: zap.NewNop(),
		Fleet:  func() Fleet { return Fleet{Config: config, Instances: instances} },
		Prober: failingProber{}})
}

func TestOrdersCarryHolderAndToken(t *testing.T) {
	worker := &orderRecorder{status: http.StatusAccepted}
	lease := &fakeLease{token: 4, held: true}
	rebalancer := newTestRebalancer(t, lease, worker, false)
	rebalancer.token = 4
	rebalancer.issueOrders(t.Context(), 0)
	require.Len(t, worker.orders, 3)
	require.Equal(t, orderRequest{Operation: "Stage", Stage: fleetwire.StagePrefill, Holder: "core-1", FenceToken: 4}, worker.orders[0])
}

func TestNoOrdersUnderLostToken(t *testing.T) {
	for name, change := range map[string]func(*fakeLease){
		"lost":   func(l *fakeLease) { l.held = false },
		"raised": func(l *fakeLease) { l.token++ },
	} {
		t.Run(name, func(t *testing.T) {
			worker := &orderRecorder{status: http.StatusAccepted}
			lease := &fakeLease{token: 4, held: true}
			rebalancer := newTestRebalancer(t, lease, worker, false)
			rebalancer.token = 4
			change(lease)
			rebalancer.issueOrders(t.Context(), 0)
			require.Empty(t, worker.orders)
		})
	}
}

func TestNewLeaseHolderWaitsForTakeoverDelay(t *testing.T) {
	lease := &fakeLease{token: 2, held: true}
	rebalancer := newTestRebalancer(t, lease, &orderRecorder{}, true)
	start := time.Now()
	require.False(t, rebalancer.mayIssueOrders(start))
	require.False(t, rebalancer.mayIssueOrders(start.Add(2900*time.Millisecond)))
	require.True(t, rebalancer.mayIssueOrders(start.Add(3*time.Second)))
	lease.held = false
	require.False(t, rebalancer.mayIssueOrders(start.Add(4*time.Second)))
	lease.held = true
	require.False(t, rebalancer.mayIssueOrders(start.Add(5*time.Second)), "another holder may have sent orders in between")
	require.True(t, rebalancer.mayIssueOrders(start.Add(8*time.Second)))
}

func TestBootstrapHolderOrdersAtOnce(t *testing.T) {
	lease := &fakeLease{token: 1, held: true}
	require.True(t, newTestRebalancer(t, lease, &orderRecorder{}, true).mayIssueOrders(time.Now()))
	require.False(t, newTestRebalancer(t, lease, &orderRecorder{}, false).mayIssueOrders(time.Now()), "after a restart, a process can't know that it is the first holder")
}

// Guards against orders under a fencing token that a worker has rejected: another process holds the lease under a higher token.
func TestNoOrdersUnderFencedToken(t *testing.T) {
	worker := &orderRecorder{status: http.StatusPreconditionFailed}
	lease := &fakeLease{token: 4, held: true}
	rebalancer := newTestRebalancer(t, lease, worker, false)
	var fenced []uint64
	rebalancer.options.OnFenced = func(token uint64) { fenced = append(fenced, token) }
	start := time.Now()
	later := start.Add(time.Hour)
	require.False(t, rebalancer.mayIssueOrders(start))
	require.True(t, rebalancer.mayIssueOrders(later))
	rebalancer.issueOrders(t.Context(), time.Hour)
	require.Len(t, worker.orders, 1, "the first rejection must stop the orders")
	require.Equal(t, []uint64{4}, fenced)
	lease.held = false
	require.False(t, rebalancer.mayIssueOrders(later))
	lease.held = true
	require.False(t, rebalancer.mayIssueOrders(later.Add(time.Hour)))
	require.False(t, rebalancer.mayIssueOrders(later.Add(2*time.Hour)), "the lease is held again under the same token")
	lease.token = 5
	require.False(t, rebalancer.mayIssueOrders(later.Add(3*time.Hour)))
	require.True(t, rebalancer.mayIssueOrders(later.Add(4*time.Hour)))
}

func TestRejectedOrdersAreRetried(t *testing.T) {
	worker := &orderRecorder{status: http.StatusConflict}
	rebalancer := newTestRebalancer(t, &fakeLease{token: 4, held: true}, worker, false)
	rebalancer.token = 4
	rebalancer.issueOrders(t.Context(), 0)
	rebalancer.issueOrders(t.Context(), time.Second)
	require.Len(t, worker.orders, 6)
}
