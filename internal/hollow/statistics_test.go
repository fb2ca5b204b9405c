package hollow

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestPercentile(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for share, want := range map[float64]time.Duration{0: 1, 0.1: 1, 0.11: 2, 0.5: 5, 0.99: 10, 1: 10} {
		assert.Equal(t, want, percentile(sorted, share), share)
	}
	assert.Zero(t, percentile(nil, 0.5))
}

// At least the given fraction of the values is at or below a percentile, and the percentile is one of the values.
func TestPercentileProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 1000).Draw(t, "value"))
		}), 1, 50).Draw(t, "values")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		slices.Sort(values)
		got := percentile(values, share)
		below := 0
		for _, value := range values {
			if value <= got {
				below++
			}
		}
		assert.Contains(t, values, got)
		assert.GreaterOrEqual(t, float64(below), share*float64(len(values)))
	})
}

func TestDurationStats(t *testing.T) {
	assert.Equal(t, DurationStats{Count: 3, P50: 2, P99: 3, Worst: 3}, newDurationStats([]time.Duration{3, 1, 2}))
	assert.Zero(t, newDurationStats(nil))
}

// The fit of points on a line is that line.
func TestFitOfExactLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-100, 100).Draw(t, "base"), rapid.Float64Range(-5, 5).Draw(t, "slope")
		xs := []float64{50, 100, 200, 410}
		var ys []float64
		for _, x := range xs {
			ys = append(ys, base+slope*x)
		}
		fit := fitLine(xs, ys)
		assert.InDelta(t, base, fit.Base, 1e-6)
		assert.InDelta(t, slope, fit.Slope, 1e-8)
		assert.InDelta(t, base+slope*1000, fit.At(1000), 1e-5)
	})
}

func TestFitOfFewPoints(t *testing.T) {
	assert.Zero(t, fitLine(nil, nil))
	assert.Equal(t, Fit{Base: 7}, fitLine([]float64{410}, []float64{7}))
	assert.Equal(t, Fit{Base: 4}, fitLine([]float64{410, 410}, []float64{3, 5}))
	assert.InDelta(t, 0.75, fitLine([]float64{0, 1, 2}, []float64{0, 1, 1}).R2, 1e-9)
}

func TestRates(t *testing.T) {
	assert.InDelta(t, 5.0, perSecond(10, 2*time.Second), 1e-9)
	assert.Zero(t, perSecond(10, 0))
	assert.InDelta(t, 40.0, perChange(15, 5, 8*time.Second, 2), 1e-9, "10 more per second for 8 s, caused by two changes")
	assert.Zero(t, perChange(15, 5, 8*time.Second, 0))
}
