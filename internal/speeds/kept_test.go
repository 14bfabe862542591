package speeds

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKeptEstimateRoundTrip(t *testing.T) {
	for _, logTime := range []float64{-0.47, 0, 0.02, 0.51} {
		var worker Estimate
		for range 4 {
			worker.update(logTime, 0.02)
		}
		kept, known := worker.Keep()
		require.True(t, known)
		restored := kept.Restore(0)
		require.InDelta(t, worker.mean, restored.mean, 0.001)
		require.InEpsilon(t, worker.variance(), restored.variance(), 0.02)
		require.Equal(t, worker.Known(), restored.Known())
	}
	_, known := (&Estimate{}).Keep()
	require.False(t, known, "the prior is not worth keeping")
}

func TestKeptEstimateFadesWithAge(t *testing.T) {
	kept := Kept{470, 60}
	fresh, old, forgotten := kept.Restore(0), kept.Restore(keptLifetime+time.Minute), kept.Restore(24*time.Hour)
	require.True(t, fresh.Known())
	require.False(t, old.Known())
	require.Positive(t, old.precision)
	require.Zero(t, forgotten)
	require.Equal(t, fresh, kept.Restore(-time.Second), "clocks of two nodes differ")
}

func TestImplausibleEstimates(t *testing.T) {
	for name, kept := range map[string]Kept{"no deviation": {100, 0}, "negative deviation": {100, -501}, "wide": {100, 501}, "too slow": {3001, 60}, "too fast": {-3001, 60}, "small negative deviation": {100, -60},
		"smallest deviation": {100, math.MinInt64}, "smallest speed": {math.MinInt64, 60}, "largest deviation": {100, math.MaxInt64}, "square overflows": {100, 1<<32 + 60}} {
		t.Run(name, func(t *testing.T) { require.False(t, kept.Plausible()) })
	}
	for name, kept := range map[string]KeptWork{"negative weight": {0, -1}, "heavy": {1, 501}, "negative sum": {-1, 5}, "wide": {6, 5}} {
		t.Run(name, func(t *testing.T) { require.False(t, kept.Plausible()) })
	}
}

// TestMergeEqualsAllSamplesAtOnce: two owners' samples count as one owner's.
func TestMergeEqualsAllSamplesAtOnce(t *testing.T) {
	var first, second, both Estimate
	for _, sample := range []float64{0.4, 0.5} {
		first.update(sample, 0.1)
		both.update(sample, 0.1)
	}
	for _, sample := range []float64{0.45, 0.55} {
		second.update(sample, 0.1)
		both.update(sample, 0.1)
	}
	second.Merge(first)
	require.InDelta(t, both.mean, second.mean, 1e-9)
	require.InDelta(t, both.precision, second.precision, 1e-9)

	untouched := first
	untouched.Merge(Estimate{})
	require.InDelta(t, first.mean, untouched.mean, 1e-12)
	sure := Estimate{mean: 0.3, precision: 1/minVariance - 1/priorVariance}
	sure.Merge(sure)
	require.InDelta(t, minVariance, sure.variance(), 1e-9)
}

func TestMaterialDifferencesOfEstimates(t *testing.T) {
	known, unknown := Kept{300, 60}, Kept{300, 300}
	require.True(t, known.DiffersFrom(unknown))
	require.True(t, known.DiffersFrom(Kept{}))
	require.False(t, unknown.DiffersFrom(Kept{}))
	require.False(t, unknown.DiffersFrom(Kept{-200, 300}), "neither is known")
	require.False(t, known.DiffersFrom(Kept{350, 70}))
	require.True(t, known.DiffersFrom(Kept{420, 60}))
}

func TestKeptWorkRoundTrip(t *testing.T) {
	var variance, next WorkVariance
	for range 600 {
		variance.update(0.3, 0.01)
	}
	require.True(t, variance.Keep().Plausible())
	next.Merge(variance.Keep())
	require.InDelta(t, variance.variance(), next.variance(), 1e-9)
	next.Merge(variance.Keep())
	require.LessOrEqual(t, next.weight, float64(maxWorkWeight))
	require.InDelta(t, variance.variance(), next.variance(), 0.01)
	next = WorkVariance{}
	next.Merge(KeptWork{})
	require.Zero(t, next)
}
