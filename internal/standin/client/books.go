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

// Row is what became of the requests of one kind.
type Row struct {
	Sent, Served, Late, Refused, Failed, Cut, Again int
	Unsent                                          int                     // of those cut: no connection came about in the end
	First                                           *hdrhistogram.Histogram // microseconds to the first event or answer
	Causes                                          map[string]int          // of what was neither served nor refused
}

// Books adds results up by kind. They are safe for use by several goroutines.
type Books struct {
	mu   sync.Mutex
	rows map[string]*Row
	news chan struct{} // closed with the next result
}

// NewBooks returns empty books.
func NewBooks() *Books { return &Books{rows: map[string]*Row{}, news: make(chan struct{})} }

// Add books a result.
func (b *Books) Add(result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.rows[result.Kind.Name]
	if row == nil {
		row = &Row{First: hdrhistogram.New(1, time.Minute.Microseconds(), 2), Causes: map[string]int{}}
		b.rows[result.Kind.Name] = row
	}
	row.add(result)
	close(b.news)
	b.news = make(chan struct{})
}

func (r *Row) add(result Result) {
	r.Sent++
	r.Again += result.Tries - 1
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
		_ = r.First.RecordValue(result.First.Microseconds())
	}
}

// Row returns a kind's row; the histogram is shared.
func (b *Books) Row(kind string) Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row := b.rows[kind]; row != nil {
		return *row
	}
	return Row{First: hdrhistogram.New(1, 2, 1)}
}

// Total adds all rows up, without histogram.
func (b *Books) Total() Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := Row{Causes: map[string]int{}}
	for _, row := range b.rows {
		total.Sent += row.Sent
		total.Served += row.Served
		total.Late += row.Late
		total.Refused += row.Refused
		total.Failed += row.Failed
		total.Cut += row.Cut
		total.Unsent += row.Unsent
		total.Again += row.Again
		for cause, n := range row.Causes {
			total.Causes[cause] += n
		}
	}
	return total
}

// News returns a channel that is closed with the next result.
func (b *Books) News() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news
}

func (r Row) String() string {
	causes := slices.Sorted(maps.Keys(r.Causes))
	return fmt.Sprintf("sent %d served %d late %d refused %d failed %d cut %d again %d %s",
		r.Sent, r.Served, r.Late, r.Refused, r.Failed, r.Cut, r.Again, strings.Join(causes, "; "))
}

// Kinds returns the names of the kinds, sorted.
func (b *Books) Kinds() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kinds()
}

func (b *Books) kinds() []string { return slices.Sorted(maps.Keys(b.rows)) }

// String shows the rows by kind.
func (b *Books) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, kind := range b.kinds() {
		lines = append(lines, kind+": "+b.rows[kind].String())
	}
	return strings.Join(lines, "\n")
}
