package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// The estimates in job specs may be far off. The owner therefore predicts durations for each queue
// by a linear regression. The regression predicts the logarithm of the duration from the logarithm
// of the estimate.
const (
	// maxDurationWeight bounds the total weight of past runs, in jobs, so that the model follows a
	// changing workload.
	maxDurationWeight = 60.0
	// priorLevelWeight is the weight, in jobs, of the prior that estimates are right on average.
	// priorSlopeWeight is the weight of the prior that durations are proportional to estimates, in
	// squared logarithms. It is the weight of eight jobs whose estimates vary by half.
	priorLevelWeight = 3.0
	priorSlopeWeight = 2.0
	// priorVariance is the prior variance of the prediction error. Its weight is priorLevelWeight.
	// maxSquaredError bounds the squared error that one run adds, to limit the effect of outliers.
	priorVariance   = 0.25
	maxSquaredError = 1.0
)

// durationModel is the regression of one queue: weighted sums over the logarithms of estimates
// (x) and of durations (y), in seconds. It is stored with the owner's rows and read by the next
// owner.
type durationModel struct {
	Weight float64 `json:"n"`
	X      float64 `json:"x"`
	Y      float64 `json:"y"`
	XX     float64 `json:"xx"`
	XY     float64 `json:"xy"`
	// SquaredErrors is the weighted sum of squared prediction errors.
	SquaredErrors float64 `json:"rr,omitempty"`
}

// maxLogSeconds bounds the logarithm of an estimate or duration in seconds: a nanosecond is above its
// negative, and a thousand years are below it.
const maxLogSeconds = 25.0

// plausible reports whether the sums may come from learned runs. A stored row may hold others, with
// which predictions would be no durations.
func (d *durationModel) plausible() bool {
	maxSum, maxProduct := d.Weight*maxLogSeconds, d.Weight*maxLogSeconds*maxLogSeconds
	weighed := d.Weight > 0 && d.Weight <= maxDurationWeight+1
	return weighed && math.Abs(d.X) <= maxSum && math.Abs(d.Y) <= maxSum && d.XX >= 0 && d.XX <= maxProduct && math.Abs(d.XY) <= maxProduct &&
		d.SquaredErrors >= 0 && d.SquaredErrors <= d.Weight*maxSquaredError+1
}

// learn adds a run's estimate and duration with a weight of at most one job.
func (d *durationModel) learn(estimate, duration time.Duration, weight float64) {
	if estimate <= 0 || duration <= 0 {
		return
	}
	if total := d.Weight + weight; total > maxDurationWeight {
		scale := maxDurationWeight / total
		d.Weight, d.X, d.Y, d.XX, d.XY, d.SquaredErrors = d.Weight*scale, d.X*scale, d.Y*scale, d.XX*scale, d.XY*scale, d.SquaredErrors*scale
	}
	x, y := math.Log(estimate.Seconds()), math.Log(duration.Seconds())
	predictionError := y - math.Log(d.predict(estimate).Seconds())
	d.SquaredErrors += weight * min(maxSquaredError, predictionError*predictionError)
	d.Weight += weight
	d.X += weight * x
	d.Y += weight * y
	d.XX += weight * x * x
	d.XY += weight * x * y
}

// predict returns the expected duration of work with the given estimate.
func (d *durationModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || d.Weight == 0 {
		return estimate
	}
	meanX, meanY := d.X/d.Weight, d.Y/d.Weight
	spreadX := max(0, d.XX-d.Weight*meanX*meanX)
	spreadXY := d.XY - d.Weight*meanX*meanY
	slope := (spreadXY + priorSlopeWeight) / (spreadX + priorSlopeWeight)
	level := meanX + (meanY-meanX)*d.Weight/(d.Weight+priorLevelWeight)
	predicted := level + slope*(math.Log(estimate.Seconds())-meanX)
	return time.Duration(min(math.Exp(predicted)*float64(time.Second), float64(taskgraph.MaxEstimate)))
}

// variance returns the variance of the logarithmic prediction error.
func (d *durationModel) variance() float64 {
	return (d.SquaredErrors + priorVariance*priorLevelWeight) / (d.Weight + priorLevelWeight)
}
