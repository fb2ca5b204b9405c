package client

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally counts the requests of one kind by their outcome.
type Tally struct {
	Sent, Served, Late, Refused, Failed, Cut, Retries int
	Unsent                                            int                     // cut because no connection could be opened
	Latency                                           *hdrhistogram.Histogram // of served requests, in microseconds
	Causes                                            map[string]int          // of requests that failed or were cut
}

// Tallies counts results by kind. It is safe for concurrent use.
type Tallies struct {
	mu      sync.Mutex
	byKind  map[string]*Tally
	changed chan struct{} // closed by the next Add
}

// NewTallies returns empty tallies.
func NewTallies() *Tallies {
	return &Tallies{byKind: map[string]*Tally{}, changed: make(chan struct{})}
}

// Add counts a result.
func (t *Tallies) Add(result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tally := t.byKind[result.Kind.Name]
	if tally == nil {
		tally = &Tally{Latency: hdrhistogram.New(1, time.Minute.Microseconds(), 2), Causes: map[string]int{}}
		t.byKind[result.Kind.Name] = tally
	}
	tally.add(result)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tally) add(result Result) {
	t.Sent++
	t.Retries += result.Attempts - 1
	switch result.Outcome {
	case Served:
		t.Served++
	case Late:
		t.Late++
	case Refused:
		t.Refused++
	case Failed:
		t.Failed++
		t.Causes[fmt.Sprint("status ", result.Status)]++
	case Cut:
		t.Cut++
		if result.Unsent {
			t.Unsent++
		}
		t.Causes[result.Cause]++
	}
	if result.Outcome <= Late {
		_ = t.Latency.RecordValue(result.Latency.Microseconds())
	}
}

// ByKind returns the tally of a kind. Its histogram and its causes are shared with later results.
func (t *Tallies) ByKind(kind string) Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tally := t.byKind[kind]; tally != nil {
		return *tally
	}
	return Tally{Latency: hdrhistogram.New(1, 2, 1)}
}

// Total returns the sum of all tallies, without the histogram.
func (t *Tallies) Total() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := Tally{Causes: map[string]int{}}
	for _, tally := range t.byKind {
		total.Sent += tally.Sent
		total.Served += tally.Served
		total.Late += tally.Late
		total.Refused += tally.Refused
		total.Failed += tally.Failed
		total.Cut += tally.Cut
		total.Unsent += tally.Unsent
		total.Retries += tally.Retries
		for cause, n := range tally.Causes {
			total.Causes[cause] += n
		}
	}
	return total
}

// Changed returns a channel that is closed when the next result is added.
func (t *Tallies) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t Tally) String() string {
	causes := slices.Sorted(maps.Keys(t.Causes))
	return fmt.Sprintf("sent %d served %d late %d refused %d failed %d cut %d again %d %s",
		t.Sent, t.Served, t.Late, t.Refused, t.Failed, t.Cut, t.Retries, strings.Join(causes, "; "))
}

// Kinds returns the sorted names of the kinds.
func (t *Tallies) Kinds() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sortedKinds()
}

func (t *Tallies) sortedKinds() []string { return slices.Sorted(maps.Keys(t.byKind)) }

// String returns one line for each kind.
func (t *Tallies) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for _, kind := range t.sortedKinds() {
		lines = append(lines, kind+": "+t.byKind[kind].String())
	}
	return strings.Join(lines, "\n")
}
