package judge

import (
	"fmt"
	"slices"
	"time"
)

// checkAttempts finds requests that ran on more workers than their route allows. Crashed workers don't count.
func (c *Checker) checkAttempts() []Violation {
	exceeding := 0
	example := ""
	for id, r := range c.requests {
		workers := map[string]bool{}
		for _, run := range r.runs {
			if !c.crashed[run.Worker] {
				workers[run.Worker] = true
			}
		}
		if r.MaxAttempts > 0 && len(workers) > r.MaxAttempts {
			exceeding++
			example = id
		}
	}
	if exceeding <= c.bounds.OverAttempts {
		return nil
	}
	return []Violation{{RetryBudget, fmt.Sprintf("%d requests, %s among them, ran on more workers than allowed",
		exceeding, example)}}
}

// checkBudget finds the first window of each service in which the retries exceed the retry budget.
func (c *Checker) checkBudget() []Violation {
	retries, requested := c.retries(), c.requested()
	var out []Violation
	for service, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		slices.SortFunc(requested[service], time.Time.Compare)
		for i, end := range times {
			begin := end.Add(-c.bounds.RetryWindow)
			spent := i + 1 - countBefore(times, begin)
			if allowed := c.allowed(requested[service], end); float64(spent) > allowed {
				out = append(out, Violation{RetryBudget, fmt.Sprintf("%d retries at %s within %v, %.1f allowed",
					spent, service, c.bounds.RetryWindow, allowed)})
				break
			}
		}
	}
	return out
}

// allowed returns the retry budget of the window that ends at end. It is computed from the highest request count of three
// windows: this one, the previous one and the one that ended half a window ago.
func (c *Checker) allowed(requested []time.Time, end time.Time) float64 {
	most := 0
	for _, back := range []time.Duration{0, c.bounds.RetryWindow / 2, c.bounds.RetryWindow} {
		to := end.Add(-back)
		most = max(most, countBefore(requested, to)-countBefore(requested, to.Add(-c.bounds.RetryWindow)))
	}
	return c.bounds.RetryRatio*float64(most) + float64(c.bounds.RetrySlack)
}

// retries lists, by service, the times of the arrivals after the first of each request. The first prefill-only call that a
// worker accepts is not counted.
func (c *Checker) retries() map[string][]time.Time {
	out := map[string][]time.Time{}
	for _, r := range c.requests {
		first, freePrefill := true, true
		for _, arrival := range r.arrivals {
			switch {
			case arrival.PrefillOnly && arrival.Accepted && freePrefill:
				freePrefill = false
			case arrival.PrefillOnly || !first:
				out[arrival.Service] = append(out[arrival.Service], arrival.At)
			default:
				first = false
			}
		}
	}
	return out
}

func (c *Checker) requested() map[string][]time.Time {
	out := map[string][]time.Time{}
	for _, r := range c.requests {
		for _, service := range r.Services {
			out[service] = append(out[service], r.At)
		}
	}
	return out
}

func countBefore(sorted []time.Time, at time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, at, time.Time.Compare)
	return n
}
