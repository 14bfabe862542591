package speeds

import (
	"math"
	"time"
)

// Kept is the stored form of an estimate: the expected logarithm of the time per work and its
// standard deviation, both in thousandths.
type Kept [2]int

const (
	// keptUnit is the unit of the values of Kept.
	keptUnit = 1e-3
	// maxKeptLogTime bounds the values that are plausible: a factor of 20.
	maxKeptLogTime = 3.0
	// driftPerSecond is how much the variance of a kept estimate grows with its age. The most
	// precise estimate counts as unknown after keptLifetime.
	keptLifetime   = time.Hour
	driftPerSecond = (maxKnownVariance - minVariance) / float64(keptLifetime/time.Second)
)

// Keep returns the stored form of the estimate. It returns false if nothing is known.
func (e *Estimate) Keep() (Kept, bool) {
	kept := Kept{int(math.Round(e.mean / keptUnit)), int(math.Round(math.Sqrt(e.variance()) / keptUnit))}
	return kept, e.precision > 0 && kept.Plausible()
}

// Plausible reports whether the values may come from an estimate.
func (k Kept) Plausible() bool {
	return math.Abs(k.logTime()) <= maxKeptLogTime && k.variance() > 0 && k.variance() <= priorVariance
}

// Known reports whether the estimate is precise enough to compare workers.
func (k Kept) Known() bool { return k.variance() <= maxKnownVariance }

// Distinctness returns how many standard deviations the worker is from the average one.
func (k Kept) Distinctness() float64 { return math.Abs(k.logTime()) / math.Sqrt(k.variance()) }

func (k Kept) logTime() float64  { return float64(k[0]) * keptUnit }
func (k Kept) variance() float64 { return float64(k[1]*k[1]) * keptUnit * keptUnit }

// materialLogTime is the smallest change of the logarithm of the time per work that is material.
const materialLogTime = 0.1

// DiffersFrom reports whether decisions by two estimates differ materially. An estimate that is not
// known counts as the zero value does.
func (k Kept) DiffersFrom(other Kept) bool {
	if k.counts() != other.counts() {
		return true
	}
	return k.counts() && math.Abs(k.logTime()-other.logTime()) >= materialLogTime
}

// counts reports whether the estimate is one that is known.
func (k Kept) counts() bool { return k.Plausible() && k.Known() }

// Restore returns an estimate from its stored form, less precise by its age.
func (k Kept) Restore(age time.Duration) Estimate {
	variance := k.variance() + max(0, age.Seconds())*driftPerSecond
	if variance >= priorVariance {
		return Estimate{}
	}
	return Estimate{mean: k.logTime(), precision: 1/max(minVariance, variance) - 1/priorVariance}
}

// Merge combines the estimate with one from other samples. Both contain the prior, which counts
// once.
func (e *Estimate) Merge(other Estimate) {
	weighted := e.mean/e.variance() + other.mean/other.variance()
	precision := e.precision + other.precision
	e.mean = weighted / (precision + 1/priorVariance)
	e.precision = min(precision, 1/minVariance-1/priorVariance)
}

// KeptWork is the stored form of a WorkVariance: the sum of squared deviations and the number of
// tasks.
type KeptWork [2]float64

// Keep returns the stored form.
func (v *WorkVariance) Keep() KeptWork { return KeptWork{v.sum, v.weight} }

// Plausible reports whether the values may come from a WorkVariance.
func (k KeptWork) Plausible() bool {
	return k[1] >= 0 && k[1] <= maxWorkWeight && k[0] >= 0 && k[0] <= maxSquaredDeviation*k[1]
}

// Merge adds the tasks of an earlier owner.
func (v *WorkVariance) Merge(kept KeptWork) {
	weight := v.weight + kept[1]
	if weight <= 0 {
		return
	}
	scale := min(1, maxWorkWeight/weight)
	v.sum, v.weight = scale*(v.sum+kept[0]), scale*weight
}
