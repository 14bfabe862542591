package speeds

import "math"

const (
	// priorVariance is that of workers of which nothing is known: two in three are within a factor of
	// 1.65 of the middle one.
	priorVariance = 0.25
	// minVariance bounds how sure an estimate becomes, so that it follows a worker that changes.
	minVariance = 0.003
	// maxKnownVariance is the most that an estimate of a known worker has.
	maxKnownVariance = 0.05
	// exceedsSigmas is how many standard deviations a worker is slower than another to be taken for it.
	exceedsSigmas = 0.5
	// outlierSigmas is how many standard deviations off a sample counts in full.
	outlierSigmas = 2.0
	// outlierVarianceGrowth is by how much an outlier raises the variance: if they go on, they are believed.
	outlierVarianceGrowth = 1.5
)

// Estimate is what is known of one worker's time per work. The zero value is that of a worker of which
// nothing is known.
type Estimate struct {
	mean float64
	// precision is the inverse of the variance, without that of the prior.
	precision float64
}

// LogTime is the expected logarithm of the worker's time per work, against others'.
func (e *Estimate) LogTime() float64 { return e.mean }

// Known reports whether the estimate is good enough to tell workers apart.
func (e *Estimate) Known() bool { return e.variance() <= maxKnownVariance }

// Exceeds reports whether the worker takes longer than another one of a logarithm of its time, by a ratio
// of times at least.
func (e *Estimate) Exceeds(logTime, ratio float64) bool {
	return e.mean-logTime > max(math.Log(ratio), exceedsSigmas*math.Sqrt(e.variance()))
}

func (e *Estimate) variance() float64 { return 1 / (1/priorVariance + e.precision) }

// update takes in a sample of the worker's own logarithm with a variance.
func (e *Estimate) update(sample, variance float64) {
	before := e.variance()
	deviation := sample - e.mean
	expected := before + variance
	outlierRatio := deviation * deviation / (outlierSigmas * outlierSigmas * expected)
	gain := before / (expected * max(1, outlierRatio))
	e.mean += gain * deviation
	after := (1 - gain) * before
	if outlierRatio > 1 {
		after = min(priorVariance, outlierVarianceGrowth*before)
	}
	e.precision = 1/max(minVariance, after) - 1/priorVariance
}

// Sample is how long work took on one worker, of several that did equal work.
type Sample struct {
	Worker *Estimate
	// LogTime is the logarithm of the time, and Variance that of its error.
	LogTime, Variance float64
}

// RoundingVariance is the variance of the logarithm of a time that was told by progress in whole percent.
func RoundingVariance(percent int) float64 {
	// The error of a rounded number has a standard deviation of 0.29.
	const roundingError = 0.29
	return math.Pow(roundingError/float64(max(1, percent)), 2)
}

// Work is what was expected of some work before it began, as the logarithm of the time that it takes on a
// worker of which the estimate is 0. Without a variance nothing was expected.
type Work struct {
	LogTime, Variance float64
}

// Compare takes in samples of equal work that began together. What the work is itself is known from what
// was expected, and from what explains the samples best by what is known of their workers. That tells a
// gang on slow workers only from one that has more to do.
func Compare(samples []Sample, work Work) {
	sum, weight := 0.0, 0.0
	if work.Variance > 0 {
		weight = 1 / work.Variance
		sum = weight * work.LogTime
	}
	for i := range samples {
		sampleWeight := samples[i].weight()
		sum += sampleWeight * samples[i].work()
		weight += sampleWeight
	}
	deviations := make([]float64, len(samples))
	variances := make([]float64, len(samples))
	for i := range samples {
		// Each worker is compared with the others, without what it adds to the sums itself.
		sampleWeight := samples[i].weight()
		rest := weight - sampleWeight
		if rest < minWeight {
			return
		}
		deviations[i] = samples[i].LogTime - (sum-sampleWeight*samples[i].work())/rest
		variances[i] = samples[i].Variance + 1/rest
	}
	for i := range samples {
		samples[i].Worker.update(deviations[i], variances[i])
	}
}

// minWeight is less than that of any worker.
const minWeight = 1e-6

// work is what the sample says of the work, and weight the inverse of the variance of that.
func (s *Sample) work() float64   { return s.LogTime - s.Worker.mean }
func (s *Sample) weight() float64 { return 1 / (s.Variance + s.Worker.variance()) }
