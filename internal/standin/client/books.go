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

// Tally is what became of the requests of one kind.
type Tally struct {
	Sent, Served, Late, Refused, Failed, Cut, Retries int
	Unsent                                            int                     // of those cut: no connection came about in the end
	Latency                                           *hdrhistogram.Histogram // microseconds to the first event or answer
	Causes                                            map[string]int          // of what was neither served nor refused
}

// Tallies adds results up by kind. They are safe for use by several goroutines.
type Tallies struct {
	mu   sync.Mutex
	rows map[string]*Tally
	news chan struct{} // closed with the next result
}

// NewTallies returns empty books.
func NewTallies() *Tallies { return &Tallies{rows: map[string]*Tally{}, news: make(chan struct{})} }

// Add books a result.
func (b *Tallies) Add(result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.rows[result.Kind.Name]
	if row == nil {
		row = &Tally{Latency: hdrhistogram.New(1, time.Minute.Microseconds(), 2), Causes: map[string]int{}}
		b.rows[result.Kind.Name] = row
	}
	row.add(result)
	close(b.news)
	b.news = make(chan struct{})
}

func (r *Tally) add(result Result) {
	r.Sent++
	r.Retries += result.Attempts - 1
	switch result.Outcome {
	case Served:
		r.Served++
	case Late:
		r.Late++
	case Refused:
		r.Refused++
	case Failed:
		r.Failed++
		r.Causes[fmt.Sprint("status ", result.Status)]++
	case Cut:
		r.Cut++
		if result.Unsent {
			r.Unsent++
		}
		r.Causes[result.Cause]++
	}
	if result.Outcome <= Late {
		_ = r.Latency.RecordValue(result.Latency.Microseconds())
	}
}

// ByKind returns a kind's row; the histogram is shared.
func (b *Tallies) ByKind(kind string) Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row := b.rows[kind]; row != nil {
		return *row
	}
	return Tally{Latency: hdrhistogram.New(1, 2, 1)}
}

// Total adds all rows up, without histogram.
func (b *Tallies) Total() Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := Tally{Causes: map[string]int{}}
	for _, row := range b.rows {
		total.Sent += row.Sent
		total.Served += row.Served
		total.Late += row.Late
		total.Refused += row.Refused
		total.Failed += row.Failed
		total.Cut += row.Cut
		total.Unsent += row.Unsent
		total.Retries += row.Retries
		for cause, n := range row.Causes {
			total.Causes[cause] += n
		}
	}
	return total
}

// Changed returns a channel that is closed with the next result.
func (b *Tallies) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news
}

func (r Tally) String() string {
	causes := slices.Sorted(maps.Keys(r.Causes))
	return fmt.Sprintf("sent %d served %d late %d refused %d failed %d cut %d again %d %s",
		r.Sent, r.Served, r.Late, r.Refused, r.Failed, r.Cut, r.Retries, strings.Join(causes, "; "))
}

// Kinds returns the names of the kinds, sorted.
func (b *Tallies) Kinds() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kinds()
}

func (b *Tallies) kinds() []string { return slices.Sorted(maps.Keys(b.rows)) }

// String shows the rows by kind.
func (b *Tallies) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, kind := range b.kinds() {
		lines = append(lines, kind+": "+b.rows[kind].String())
	}
	return strings.Join(lines, "\n")
}
