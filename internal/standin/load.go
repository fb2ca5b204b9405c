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

// This file owns the clients: open and closed loops of jobs, and the books of how those ended.

// JobKind is one kind of job in a Load.
type JobKind struct {
	Class  string
	Share  float64 // of all jobs; those of all kinds together count as 1
	Task   Task
	Body   int           // bytes of the request's body
	Budget time.Duration // how long the client waits
	Within time.Duration // an answer after that is late; 0: none is
}

// Load is a crowd of clients with one target. The same seed gives the same jobs at the same times.
type Load struct {
	Target string // host:port
	Host   string // of the Host field; "": the target
	From   string // the loopback address that they come from; "": the system's choice
	Seed   uint64
	Name   string // starts the ids of their jobs
	Kinds  []JobKind
	For    time.Duration
	// Rate is how many jobs a second arrive, whatever becomes of the earlier ones (an open loop with exponential
	// gaps). With a rate of 0, Clients clients send one job after the other each (a closed loop).
	Rate    float64
	Clients int
	// Again is how long a client of a closed loop waits after a refusal; 0: not at all.
	Again time.Duration
	// Idle bounds the connections kept between jobs in an open loop; 0: 256.
	Idle int
}

// Tally is how the jobs of a load ended. Latencies are in microseconds, from the time at which a job was due.
type Tally struct {
	Sent, Served, Refused, Failed, Broken int // Broken: no answer that could be read
	Wrong                                 int // served with something else than its own result
	InTime                                int // served within its kind's span
	Latency                               *hdrhistogram.Histogram
	Took                                  time.Duration
	Why                                   map[string]int // what was read in place of an answer
}

// InTimeShare is the part of all jobs that were served in time.
func (r *Tally) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Sent)) }

// Quantile is a latency of the served jobs; q from 0 to 100.
func (r *Tally) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

func (r *Tally) String() string {
	return fmt.Sprintf("sent=%d served=%d refused=%d failed=%d broken=%d wrong=%d in_time=%.3f p50=%v p99=%v",
		r.Sent, r.Served, r.Refused, r.Failed, r.Broken, r.Wrong, r.InTimeShare(), r.Quantile(50), r.Quantile(99))
}

// crowd is a load that runs.
type crowd struct {
	Load
	client *http.Client
	mu     sync.Mutex
	r      Tally
}

// Run plays the load to its end, or until the context's, and returns its books once every job has ended.
func (l Load) Run(ctx context.Context) *Tally {
	if l.Idle == 0 {
		l.Idle = 256
	}
	dialer := &net.Dialer{Timeout: 10 * time.Second}
	if l.From != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(l.From)}
	}
	tr := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: max(l.Idle, l.Clients),
		MaxIdleConns: max(l.Idle, l.Clients), DisableCompression: true}
	defer tr.CloseIdleConnections()
	c := &crowd{Load: l, client: &http.Client{Transport: tr}}
	c.r.Latency = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	c.r.Why = map[string]int{}
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, l.For)
	defer stop()
	if l.Rate > 0 {
		c.open(ctx, began)
	} else {
		c.closed(ctx)
	}
	c.r.Took = time.Since(began)
	return &c.r
}

func (c *crowd) open(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	var all sync.WaitGroup
	defer all.Wait()
	due := began
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		kind := c.draw(rng)
		if due.Sub(began) >= c.For {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		at := due
		all.Go(func() { c.one(fmt.Sprintf("%s%d-%d", c.Name, c.Seed, n), kind, at) })
	}
}

func (c *crowd) closed(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range c.Clients {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(i)+2))
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if !c.one(fmt.Sprintf("%s%d-%d-%d", c.Name, c.Seed, i, n), c.draw(rng), time.Now()) && c.Again > 0 {
					time.Sleep(c.Again)
				}
			}
		})
	}
}

func (c *crowd) draw(rng *rand.Rand) *JobKind {
	at := rng.Float64()
	for i := range c.Kinds {
		if at -= c.Kinds[i].Share; at < 0 {
			return &c.Kinds[i]
		}
	}
	return &c.Kinds[len(c.Kinds)-1]
}

// one sends one job and books its end; it reports whether it was served.
func (c *crowd) one(id string, k *JobKind, due time.Time) bool {
	status, body, err := SendJob(c.client, c.Target, c.Host, id, k)
	took := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.r
	r.Sent++
	switch {
	case err != nil:
		r.Broken++
		r.Why[err.Error()]++
	case status == 200:
		r.Served++
		_ = r.Latency.RecordValue(max(1, took.Microseconds()))
		if body != Result(id, k.Task.Size) {
			r.Wrong++
		} else if k.Within == 0 || took <= k.Within {
			r.InTime++
		}
	case status == 503 || status == 429:
		r.Refused++
	default:
		r.Failed++
		r.Why[fmt.Sprintf("%d %s", status, strings.TrimSpace(body))]++
	}
	return err == nil && status == 200
}

// SendJob sends one job and returns status and body of its answer. A host of "" is the target's.
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

// Fleet is discovery with its workers.
type Fleet struct {
	Discovery *Discovery
	Workers   []*Worker
}

// StartFleet starts n workers alike, named w0, w1 and so on, and a discovery that names them.
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

// Entries are the workers as discovery names them when all serve.
func (f *Fleet) Entries() []Entry {
	var out []Entry
	for _, w := range f.Workers {
		out = append(out, w.Entry("SERVING"))
	}
	return out
}

// Close ends them all.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, w := range f.Workers {
		w.Close()
	}
}
