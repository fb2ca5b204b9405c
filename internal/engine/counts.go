package engine

import (
	"fmt"
	"strings"
	"time"

	"weldscale/decide"
)

// Counts holds what a scheduler has received, sent and answered since its start. It is for people to read only; no
// decision may depend on it.
type Counts struct {
	Accepted, Served, Refused, Failed, Hangups int
	// Ended counts jobs by outcome (0 served, 1 refused, 2 failed) and class, including those refused before they
	// became requests.
	Ended [3][]int
	// HandedOver and Adopted count requests handed over to and taken over from another process of this scheduler.
	HandedOver, Adopted int
	// Written counts attempts whose request was written to a worker in full.
	Written                            int
	BadRequests                        int // answered with 4xx or 5xx without becoming a request
	Pushes                             int
	Outcomes, Probes                   [decide.NotSent + 1]int // indexed by decide.Status
	ListCalls, ListUpdates, ListFailed int                     // calls to discovery, answers with a list or changes, calls that failed
	ListWait                           time.Duration           // longest time to an answer that discovery already had when it was called
	Dials, DialsFailed                 int
	Shed                               int           // connections closed to stay within the descriptor budget
	SlowWorkers                        int           // exchanges ended because the worker read or wrote too slowly
	Lag                                time.Duration // longest time that one piece of work has occupied the loop
}

// StatusNames holds the names of the decide.Status values, in their order.
var StatusNames = [...]string{"error", "served", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// String returns the counters as name=value words. Zero counts are left out of the lists by outcome.
func (c *Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "taken=%d served=%d refused=%d failed=%d hangups=%d passed_on=%d adopted=%d bad_requests=%d pushes=%d",
		c.Accepted, c.Served, c.Refused, c.Failed, c.Hangups, c.HandedOver, c.Adopted, c.BadRequests, c.Pushes)
	for _, l := range []struct {
		name   string
		counts *[decide.NotSent + 1]int
	}{{"attempts", &c.Outcomes}, {"probes", &c.Probes}} {
		for s, n := range l.counts {
			if n > 0 {
				fmt.Fprintf(&b, " %s.%s=%d", l.name, StatusNames[s], n)
			}
		}
	}
	fmt.Fprintf(&b, " list_calls=%d list_news=%d list_failed=%d list_wait_ms=%.0f dials=%d dials_failed=%d shed=%d slow_workers=%d loop_lag_ms=%.1f",
		c.ListCalls, c.ListUpdates, c.ListFailed, c.ListWait.Seconds()*1e3, c.Dials, c.DialsFailed, c.Shed, c.SlowWorkers, c.Lag.Seconds()*1e3)
	return b.String()
}
