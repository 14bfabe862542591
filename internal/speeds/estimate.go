package speeds

import "math"

const (
	// priorVariance is the variance of an unknown worker's estimate. It means that two in three
	// workers are within a factor of 1.65 of the average.
	priorVariance = 0.25
	// minVariance limits the confidence of an estimate, so that it follows changes of the worker.
	minVariance = 0.003
	// maxKnownVariance is the largest variance at which a worker counts as known.
	maxKnownVariance = 0.05
	// minDifferenceSigmas is the minimum difference, in standard deviations, at which a worker
	// counts as slower than another worker.
	minDifferenceSigmas = 0.5
	// outlierSigmas is the deviation, in standard deviations, beyond which a sample counts as an
	// outlier and gets a lower weight.
	outlierSigmas = 2.0
	// outlierVarianceGrowth is the factor by which an outlier increases the variance, so that
	// repeated outliers take effect.
	outlierVarianceGrowth = 1.5
)

// Estimate is the estimated time per work of one worker. The zero value is the prior.
type Estimate struct {
	// mean is the expected logarithm of the time per work, relative to other workers.
	mean float64
	// precision is the inverse of the variance, less the inverse of priorVariance.
	precision float64
}

// LogTime returns the expected logarithm of the worker's time per work, relative to others.
func (e *Estimate) LogTime() float64 { return e.mean }

// Known reports whether the estimate is precise enough to compare workers.
func (e *Estimate) Known() bool { return e.variance() <= maxKnownVariance }

// Exceeds reports whether the worker's time per work exceeds a reference by more than the given
// ratio. logTime is the logarithm of the reference.
func (e *Estimate) Exceeds(logTime, ratio float64) bool {
	return e.mean-logTime > max(math.Log(ratio), minDifferenceSigmas*math.Sqrt(e.variance()))
}

func (e *Estimate) variance() float64 { return 1 / (1/priorVariance + e.precision) }

// update applies a sample of the logarithm of the worker's time per work. variance is the variance
// of the sample's error.
func (e *Estimate) update(sample, variance float64) {
	oldVariance := e.variance()
	deviation := sample - e.mean
	deviationVariance := oldVariance + variance
	outlierRatio := deviation * deviation / (outlierSigmas * outlierSigmas * deviationVariance)
	gain := oldVariance / (deviationVariance * max(1, outlierRatio))
	e.mean += gain * deviation
	newVariance := (1 - gain) * oldVariance
	if outlierRatio > 1 {
		newVariance = min(priorVariance, outlierVarianceGrowth*oldVariance)
	}
	e.precision = 1/max(minVariance, newVariance) - 1/priorVariance
}

// Sample is the time that one of several workers took for equal work.
type Sample struct {
	Worker *Estimate
	// LogTime is the logarithm of the time. Variance is the variance of the error of LogTime.
	LogTime, Variance float64
}

// RoundingVariance returns the variance of the logarithm of a time that was extrapolated from
// progress. The variance results from rounding the progress to whole percent.
func RoundingVariance(percent int) float64 {
	// roundingError is the standard deviation of a uniform rounding error.
	const roundingError = 0.29
	return math.Pow(roundingError/float64(max(1, percent)), 2)
}

// ExpectedWork is the amount of work that was expected before the work began. LogTime is the
// logarithm of the time on a worker whose estimate is 0. A zero Variance means no expectation.
type ExpectedWork struct {
	LogTime, Variance float64
}

// UpdateEstimates updates the workers' estimates from samples of equal work that began together.
// The function compares each sample with the expected work and the other samples. Without an
// expectation, a gang whose workers are all slow looks the same as a gang with more work.
func UpdateEstimates(samples []Sample, work ExpectedWork) {
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
		// Compare with the other workers only: exclude the sample's own contribution.
		sampleWeight := samples[i].weight()
		otherWeight := weight - sampleWeight
		if otherWeight < minWeight {
			return
		}
		deviations[i] = samples[i].LogTime - (sum-sampleWeight*samples[i].work())/otherWeight
		variances[i] = samples[i].Variance + 1/otherWeight
	}
	for i := range samples {
		samples[i].Worker.update(deviations[i], variances[i])
	}
}

// minWeight is smaller than the weight of any sample.
const minWeight = 1e-6

// work returns the logarithm of the amount of work that the sample indicates. weight returns the
// inverse of the variance of work.
func (s *Sample) work() float64   { return s.LogTime - s.Worker.mean }
func (s *Sample) weight() float64 { return 1 / (s.Variance + s.Worker.variance()) }
