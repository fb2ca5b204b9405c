package hollow

import (
	"math"
	"slices"
	"time"
)

// DurationStats summarizes a set of durations.
type DurationStats struct {
	Count           int
	P50, P99, Worst time.Duration
}

// newDurationStats returns the statistics of durations. It sorts all in place.
func newDurationStats(all []time.Duration) DurationStats {
	slices.Sort(all)
	return DurationStats{Count: len(all), P50: percentile(all, 0.5), P99: percentile(all, 0.99), Worst: percentile(all, 1)}
}

// percentile returns the smallest of the sorted durations that is at least as large as the given fraction of them (nearest
// rank). It returns 0 if there are none.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Fit is a straight line through measured points.
type Fit struct {
	Base, Slope float64
	R2          float64 // coefficient of determination; 0 if it is undefined
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// fitLine returns the least-squares line. With fewer than two distinct xs it is horizontal at the mean of ys.
func fitLine(xs, ys []float64) Fit {
	meanX, meanY := mean(xs), mean(ys)
	var xx, xy, yy float64
	for i := range xs {
		dx, dy := xs[i]-meanX, ys[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Fit{Base: meanY}
	}
	fit := Fit{Slope: xy / xx}
	fit.Base = meanY - fit.Slope*meanX
	if yy > 0 {
		fit.R2 = xy * xy / (xx * yy)
	}
	return fit
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// perSecond returns count divided by span in seconds, or 0 if span is not positive.
func perSecond(count float64, span time.Duration) float64 {
	if span <= 0 {
		return 0
	}
	return count / span.Seconds()
}
