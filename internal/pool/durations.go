package pool

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// Estimates come with jobs and may be far off: on the platform's days those of urgent
// jobs vary by a factor of 2.5 (standard deviation) where the work varies by 1.5, and
// say little about it. What runs of a queue took is therefore learned, as a line in
// logarithms from the estimate to the time that the work took.
const (
	// durationMemory bounds the weight of what was learned, in jobs, so that it follows
	// a workload that changes.
	durationMemory = 60.0
	// priorJobs is the weight, in jobs, of the assumption that estimates are right on
	// the whole, and priorSpread that of the assumption that they tell jobs apart, in
	// squared logarithms: that of some eight jobs whose estimates vary by half.
	priorJobs   = 3.0
	priorSpread = 2.0
	// priorSquares is the variance of what predictions are off by, as long as nothing is known, with the
	// weight of priorJobs; mostSquare bounds what one job adds, which may be one of a long tail.
	priorSquares = 0.25
	mostSquare   = 1.0
)

// durationModel is what is known of one queue's durations: weighted sums over the
// logarithms of estimates (x) and of durations (y), in seconds. It is written with the
// owner's rows, so that the next owner goes on from it.
type durationModel struct {
	Weight float64 `json:"n"`
	X      float64 `json:"x"`
	Y      float64 `json:"y"`
	XX     float64 `json:"xx"`
	XY     float64 `json:"xy"`
	// Squares adds up the squares of what predictions were off by.
	Squares float64 `json:"rr,omitempty"`
}

// learn takes in a run's estimate and duration with a weight of up to one job.
func (d *durationModel) learn(estimate, took time.Duration, weight float64) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if total := d.Weight + weight; total > durationMemory {
		keep := durationMemory / total
		d.Weight, d.X, d.Y, d.XX, d.XY, d.Squares = d.Weight*keep, d.X*keep, d.Y*keep, d.XX*keep, d.XY*keep, d.Squares*keep
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	off := y - math.Log(d.predict(estimate).Seconds())
	d.Squares += weight * min(mostSquare, off*off)
	d.Weight += weight
	d.X += weight * x
	d.Y += weight * y
	d.XX += weight * x * x
	d.XY += weight * x * y
}

// predict returns how long work with an estimate is expected to take.
func (d *durationModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || d.Weight == 0 {
		return estimate
	}
	meanX, meanY := d.X/d.Weight, d.Y/d.Weight
	spreadX := max(0, d.XX-d.Weight*meanX*meanX)
	spreadXY := d.XY - d.Weight*meanX*meanY
	slope := (spreadXY + priorSpread) / (spreadX + priorSpread)
	level := meanX + (meanY-meanX)*d.Weight/(d.Weight+priorJobs)
	predicted := level + slope*(math.Log(estimate.Seconds())-meanX)
	return time.Duration(math.Exp(predicted) * float64(time.Second))
}

// variance is that of the logarithm of what predictions are off by.
func (d *durationModel) variance() float64 {
	return (d.Squares + priorSquares*priorJobs) / (d.Weight + priorJobs)
}

// learnDuration takes in a unit that has ended well.
func (p *Pool) learnDuration(u *unit) {
	if !u.startedHere || u.resumed || u.spec().LongRunning || p.options.Off[mechanism.LearnedDurations] {
		return
	}
	model := p.durations[u.job.Queue.Name]
	if model == nil {
		model = &durationModel{}
		p.durations[u.job.Queue.Name] = model
	}
	// On slow workers it took longer than the work does.
	took := time.Duration(float64(p.loop.Now().Sub(u.startedAt)) / u.slowness)
	model.learn(u.spec().Estimate(), took, 1/float64(len(u.step.units)))
}

// takeDurations goes on from what an earlier owner had learned. Of the head rows of
// several parts the one that knows most counts.
func (p *Pool) takeDurations(earlier head) {
	if p.options.Off[mechanism.LearnedDurations] {
		return
	}
	for queue, model := range earlier.Durations {
		known := p.durations[queue]
		if model != nil && (known == nil || model.Weight > known.Weight) {
			p.durations[queue] = model
		}
	}
}

// estimatePeriod is the pause between two looks at the estimates of open jobs.
const estimatePeriod = time.Second

// refreshEstimates applies what was learned to open jobs.
func (p *Pool) refreshEstimates() {
	now := p.loop.Now()
	if now.Sub(p.estimatedAt) < estimatePeriod {
		return
	}
	p.estimatedAt = now
	for _, j := range p.jobs {
		if !j.next.Final() {
			p.estimateJob(j)
		}
	}
}

// estimateJob sets how long a job's steps are expected to take, and what follows.
func (p *Pool) estimateJob(j *job) {
	model := p.durations[j.Queue.Name]
	j.estimates = make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		j.estimates[i] = j.Spec.Steps[i].Estimate()
		if model != nil {
			j.estimates[i] = model.predict(j.estimates[i])
		}
	}
	j.tails = j.Spec.Tails(j.estimates)
	longest := time.Duration(0)
	for _, tail := range j.tails {
		longest = max(longest, tail)
	}
	j.objective = j.Queue.Objective(longest)
}

// estimate is how long the unit's work is expected to take.
func (u *unit) estimate() time.Duration { return u.job.estimates[u.step.index] }
