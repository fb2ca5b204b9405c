package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file implements clients that send jobs in an open or closed loop, and counts how the jobs ended.

// JobKind describes one kind of job in a Load.
type JobKind struct {
	Class  string
	Share  float64 // of all jobs; the shares of all kinds add up to 1
	Task   Task
	Body   int           // bytes of the request's body
	Budget time.Duration // how long the client waits
	Within time.Duration // a later answer is not in time; 0: every answer is in time
}

// Load describes a group of clients with one target. The same seed gives the same jobs at the same times.
type Load struct {
	Target string // host:port
	Host   string // the Host header field; "": the target
	From   string // the clients' loopback address; "": the system's choice
	Seed   uint64
	Name   string // prefix of the job ids
	Kinds  []JobKind
	For    time.Duration
	// Rate is the jobs a second of an open loop, with exponential gaps that don't depend on how earlier jobs end. If it
	// is 0, each of Clients clients sends one job after the other (a closed loop).
	Rate    float64
	Clients int
	// Again is how long a client of a closed loop waits after a job that was not served; 0: not at all.
	Again time.Duration
	// Idle limits the idle connections of an open loop; 0: 256.
	Idle int
}

// Tally counts how the jobs of a load ended. Latencies are in microseconds, from the time at which a job was due.
type Tally struct {
	Sent, Served, Refused, Failed, Broken int // Broken: no answer, or an unreadable one
	Wrong                                 int // served with a result other than the job's own
	InTime                                int // served within JobKind.Within
	Latency                               *hdrhistogram.Histogram
	Took                                  time.Duration
	Why                                   map[string]int // how many jobs failed or broke, by reason
}

// InTimeShare returns the share of all jobs that were served in time.
func (t *Tally) InTimeShare() float64 { return float64(t.InTime) / float64(max(1, t.Sent)) }

// Quantile returns a percentile of the served jobs' latency; q is from 0 to 100.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(q)) * time.Microsecond
}

func (t *Tally) String() string {
	return fmt.Sprintf("sent=%d served=%d refused=%d failed=%d broken=%d wrong=%d in_time=%.3f p50=%v p99=%v",
		t.Sent, t.Served, t.Refused, t.Failed, t.Broken, t.Wrong, t.InTimeShare(), t.Quantile(50), t.Quantile(99))
}

// loadRun is a running load.
type loadRun struct {
	Load
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// Run sends the jobs until the load or the context ends. It returns the tally once every job has ended.
func (l Load) Run(ctx context.Context) *Tally {
	if l.Idle == 0 {
		l.Idle = 256
	}
	dialer := &net.Dialer{Timeout: 10 * time.Second}
	if l.From != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(l.From)}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: max(l.Idle, l.Clients),
		MaxIdleConns: max(l.Idle, l.Clients), DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &loadRun{Load: l, client: &http.Client{Transport: transport}}
	r.tally.Latency = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	r.tally.Why = map[string]int{}
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, l.For)
	defer stop()
	if l.Rate > 0 {
		r.runOpenLoop(ctx, began)
	} else {
		r.runClosedLoop(ctx)
	}
	r.tally.Took = time.Since(began)
	return &r.tally
}

func (r *loadRun) runOpenLoop(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.Rate * float64(time.Second)))
		kind := r.pickKind(rng)
		if due.Sub(began) >= r.For {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		at := due
		jobs.Go(func() { r.runJob(fmt.Sprintf("%s%d-%d", r.Name, r.Seed, n), kind, at) })
	}
}

func (r *loadRun) runClosedLoop(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range r.Clients {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(i)+2))
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if !r.runJob(fmt.Sprintf("%s%d-%d-%d", r.Name, r.Seed, i, n), r.pickKind(rng), time.Now()) && r.Again > 0 {
					time.Sleep(r.Again)
				}
			}
		})
	}
}

func (r *loadRun) pickKind(rng *rand.Rand) *JobKind {
	at := rng.Float64()
	for i := range r.Kinds {
		if at -= r.Kinds[i].Share; at < 0 {
			return &r.Kinds[i]
		}
	}
	return &r.Kinds[len(r.Kinds)-1]
}

// runJob sends one job and counts how it ends. It reports whether the job was served.
func (r *loadRun) runJob(id string, k *JobKind, due time.Time) bool {
	status, body, err := SendJob(r.client, r.Target, r.Host, id, k)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.Sent++
	switch {
	case err != nil:
		t.Broken++
		t.Why[err.Error()]++
	case status == 200:
		t.Served++
		_ = t.Latency.RecordValue(max(1, took.Microseconds()))
		if body != Result(id, k.Task.Size) {
			t.Wrong++
		} else if k.Within == 0 || took <= k.Within {
			t.InTime++
		}
	case status == 503 || status == 429:
		t.Refused++
	default:
		t.Failed++
		t.Why[fmt.Sprintf("%d %s", status, strings.TrimSpace(body))]++
	}
	return err == nil && status == 200
}

// SendJob sends one job and returns the status and body of the answer. An empty host means the target.
func SendJob(client *http.Client, target, host, id string, k *JobKind) (int, string, error) {
	r, err := http.NewRequest("POST", "http://"+target+"/api/1?"+k.Task.Query(), strings.NewReader(strings.Repeat("x", k.Body)))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", k.Class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", k.Budget.Milliseconds()))
	if k.Task.Run > 0 {
		r.Header.Set("X-Call-Cost", fmt.Sprint(k.Task.Run.Microseconds()))
	}
	if k.Task.Slots > 1 {
		r.Header.Set("X-Call-Info", fmt.Sprintf("slots=%d", k.Task.Slots))
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Fleet is a discovery service with its workers.
type Fleet struct {
	Discovery *Discovery
	Workers   []*Worker
}

// StartFleet starts n equal workers, named w0, w1 and so on, and a discovery service that lists them.
func StartFleet(n int, c WorkerConfig) (*Fleet, error) {
	f := &Fleet{}
	for i := range n {
		c.Name = fmt.Sprintf("w%d", i)
		w, err := StartWorker(c)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Workers = append(f.Workers, w)
	}
	var err error
	if f.Discovery, err = StartDiscovery(f.Entries()...); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Entries returns an entry for each worker, all in service.
func (f *Fleet) Entries() []Entry {
	var out []Entry
	for _, w := range f.Workers {
		out = append(out, w.Entry("SERVING"))
	}
	return out
}

// Close stops the discovery service and all workers.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, w := range f.Workers {
		w.Close()
	}
}
