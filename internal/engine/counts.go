package engine

import (
	"fmt"
	"strings"
	"time"

	"weldscale/decide"
)

// Counts is what a scheduler has taken in, sent and answered since its start. It owns no decision; nothing
// may depend on it but what people read.
type Counts struct {
	Accepted, Served, Refused, Failed, Hangups int
	// Ended is jobs by how they ended (0 served, 1 refused, 2 failed) and class; also those that were refused before
	// they became requests.
	Ended [3][]int
	// HandedOver and Adopted are requests that went to another process of this scheduler and that came from one.
	HandedOver, Adopted int
	// Written is attempts that were written whole to workers.
	Written                            int
	BadRequests                        int // answered 4xx or 5xx without becoming a request
	Pushes                             int
	Outcomes, Probes                   [decide.NotSent + 1]int // by decide.Status
	ListCalls, ListUpdates, ListFailed int                     // calls of discovery, answers with news, calls that came to nothing
	ListWait                           time.Duration           // the longest that an answer of discovery took which was there before the call
	Dials, DialsFailed                 int
	Shed                               int           // connections closed to stay within the descriptor budget
	SlowWorkers                        int           // exchanges ended since the worker took or wrote too slowly
	Lag                                time.Duration // the longest that one piece of work has kept the loop
}

// StatusNames are the names of decide.Status.
var StatusNames = [...]string{"error", "served", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// String gives the counters as name=value words, those that are zero left out of the lists by outcome.
func (c *Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d served=%d refused=%d failed=%d hangups=%d passed_on=%d adopted=%d bad_requests=%d pushes=%d",
		c.Accepted, c.Served, c.Refused, c.Failed, c.Hangups, c.HandedOver, c.Adopted, c.BadRequests, c.Pushes)
	for _, l := range []struct {
		name string
		n    *[decide.NotSent + 1]int
	}{{"attempts", &c.Outcomes}, {"probes", &c.Probes}} {
		for s, n := range l.n {
			if n > 0 {
				fmt.Fprintf(&b, " %s.%s=%d", l.name, StatusNames[s], n)
			}
		}
	}
	fmt.Fprintf(&b, " list_calls=%d list_news=%d list_failed=%d list_wait_ms=%.0f dials=%d dials_failed=%d shed=%d slow_workers=%d loop_lag_ms=%.1f",
		c.ListCalls, c.ListUpdates, c.ListFailed, c.ListWait.Seconds()*1e3, c.Dials, c.DialsFailed, c.Shed, c.SlowWorkers, c.Lag.Seconds()*1e3)
	return b.String()
}
