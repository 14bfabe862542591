package speeds

import (
	"encoding/json"
	"math"
	"time"
)

// Kept is the stored form of an estimate. It is encoded as an array of two numbers, since a row
// holds many of them.
type Kept struct {
	// LogTime is the expected logarithm of the time per work, and Deviation its standard deviation.
	// Both are in thousandths.
	LogTime, Deviation int
}

// MarshalJSON encodes the estimate.
func (k Kept) MarshalJSON() ([]byte, error) { return json.Marshal([2]int{k.LogTime, k.Deviation}) }

// UnmarshalJSON decodes the estimate.
func (k *Kept) UnmarshalJSON(encoded []byte) error {
	var values [2]int
	if err := json.Unmarshal(encoded, &values); err != nil {
		return err
	}
	*k = Kept{LogTime: values[0], Deviation: values[1]}
	return nil
}

const (
	// keptUnit is the unit of the values of Kept.
	keptUnit = 1e-3
	// maxKeptLogTime bounds the expected values that are plausible: a factor of 20.
	maxKeptLogTime = 3.0
	// maxKeptDeviation bounds the standard deviations that are plausible, so that their squares do
	// not overflow. No estimate is less precise than the prior.
	maxKeptDeviation = 1_000_000
	// keptLifetime is the age from which the most precise kept estimate counts as unknown.
	keptLifetime = time.Hour
	// driftPerSecond is how much the variance of a kept estimate grows with its age.
	driftPerSecond = (maxKnownVariance - minVariance) / float64(keptLifetime/time.Second)
)

// Keep returns the stored form of the estimate. It returns false if nothing is known.
func (e *Estimate) Keep() (Kept, bool) {
	kept := Kept{LogTime: int(math.Round(e.mean / keptUnit)), Deviation: int(math.Round(math.Sqrt(e.variance()) / keptUnit))}
	return kept, e.precision > 0 && kept.Plausible()
}

// Plausible reports whether the values may come from an estimate.
func (k Kept) Plausible() bool {
	return math.Abs(k.logTime()) <= maxKeptLogTime && k.Deviation > 0 && k.Deviation <= maxKeptDeviation && k.variance() <= priorVariance
}

// Known reports whether the estimate is precise enough to compare workers.
func (k Kept) Known() bool { return k.variance() <= maxKnownVariance }

// Distinctness returns how many standard deviations the worker is from the average one.
func (k Kept) Distinctness() float64 { return math.Abs(k.logTime()) / math.Sqrt(k.variance()) }

func (k Kept) logTime() float64  { return float64(k.LogTime) * keptUnit }
func (k Kept) variance() float64 { return float64(k.Deviation*k.Deviation) * keptUnit * keptUnit }

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

// KeptWork is the stored form of a WorkVariance.
type KeptWork struct {
	// Sum is the sum of squared deviations, and Weight the number of tasks.
	Sum    float64 `json:"sum"`
	Weight float64 `json:"weight"`
}

// Keep returns the stored form.
func (v *WorkVariance) Keep() KeptWork { return KeptWork{Sum: v.sum, Weight: v.weight} }

// Plausible reports whether the values may come from a WorkVariance.
func (k KeptWork) Plausible() bool {
	return k.Weight >= 0 && k.Weight <= maxWorkWeight && k.Sum >= 0 && k.Sum <= maxSquaredDeviation*k.Weight
}

// Merge adds the tasks of an earlier owner.
func (v *WorkVariance) Merge(kept KeptWork) {
	weight := v.weight + kept.Weight
	if weight <= 0 {
		return
	}
	scale := min(1, maxWorkWeight/weight)
	v.sum, v.weight = scale*(v.sum+kept.Sum), scale*weight
}
