package hollow

import (
	"math"
	"slices"
	"time"
)

// DurationStats describes many durations.
type DurationStats struct {
	Count           int
	P50, P99, Worst time.Duration
}

// newDurationStats returns the spread of durations, which it sorts.
func newDurationStats(all []time.Duration) DurationStats {
	slices.Sort(all)
	return DurationStats{Count: len(all), P50: percentile(all, 0.5), P99: percentile(all, 0.99), Worst: percentile(all, 1)}
}

// percentile returns the smallest of sorted durations that is at least as large as the given share of them; 0 of none.
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
	R2          float64 // share of the points' variance that the line explains
}

// At returns the line's value.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// fitLine returns the line of least squares. Of fewer than two different x it is flat.
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

// perSecond is a rate over a span.
func perSecond(count float64, span time.Duration) float64 {
	if span <= 0 {
		return 0
	}
	return count / span.Seconds()
}
