package judge

import (
	"fmt"
	"slices"
	"time"
)

// checkAttempts finds requests that ran on more workers than their route allows.
func (j *Checker) checkAttempts() []Violation {
	over := 0
	example := ""
	for id, r := range j.requests {
		workers := map[string]bool{}
		for _, run := range r.runs {
			if !j.crashed[run.Worker] {
				workers[run.Worker] = true
			}
		}
		if r.MaxAttempts > 0 && len(workers) > r.MaxAttempts {
			over++
			example = id
		}
	}
	if over <= j.bounds.OverAttempts {
		return nil
	}
	return []Violation{{RetryBudget, fmt.Sprintf("%d requests, %s among them, ran on more workers than allowed", over, example)}}
}

// checkBudget finds windows with more repeats at a service than its requests allow.
func (j *Checker) checkBudget() []Violation {
	repeats, asked := j.repeats(), j.asked()
	var out []Violation
	for service, times := range repeats {
		slices.SortFunc(times, time.Time.Compare)
		slices.SortFunc(asked[service], time.Time.Compare)
		for i, end := range times {
			begin := end.Add(-j.bounds.RetryWindow)
			spent := i + 1 - countBefore(times, begin)
			if allowed := j.allowed(asked[service], end); float64(spent) > allowed {
				out = append(out, Violation{RetryBudget, fmt.Sprintf("%d repeats at %s within %v, %.1f allowed",
					spent, service, j.bounds.RetryWindow, allowed)})
				break
			}
		}
	}
	return out
}

// allowed is the budget of the window that ends at end: the most of it, the one before and the one half a window before.
func (j *Checker) allowed(asked []time.Time, end time.Time) float64 {
	most := 0
	for _, back := range []time.Duration{0, j.bounds.RetryWindow / 2, j.bounds.RetryWindow} {
		to := end.Add(-back)
		most = max(most, countBefore(asked, to)-countBefore(asked, to.Add(-j.bounds.RetryWindow)))
	}
	return j.bounds.RetryRatio*float64(most) + float64(j.bounds.RetrySlack)
}

// repeats lists, by service, the arrivals beyond the first of each request. The first call that a worker takes up to
// read the prompt is free.
func (j *Checker) repeats() map[string][]time.Time {
	out := map[string][]time.Time{}
	for _, r := range j.requests {
		first, freeRead := true, true
		for _, arrival := range r.arrivals {
			switch {
			case arrival.PrefillOnly && arrival.Taken && freeRead:
				freeRead = false
			case arrival.PrefillOnly || !first:
				out[arrival.Service] = append(out[arrival.Service], arrival.At)
			default:
				first = false
			}
		}
	}
	return out
}

func (j *Checker) asked() map[string][]time.Time {
	out := map[string][]time.Time{}
	for _, r := range j.requests {
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
