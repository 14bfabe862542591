package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// updateDurationModel updates the queue's model from a completed unit.
func (p *Pool) updateDurationModel(u *unit) {
	if !u.startedByThisOwner || u.fromCheckpoint || u.spec().LongRunning || p.options.DisabledMechanisms[mechanism.LearnedDurations] {
		return
	}
	now := p.loop.Now()
	// Divide by the slowness to get the duration on a median worker.
	duration := time.Duration(float64(now.Sub(u.startedAt)) / u.slowness)
	p.durations.modelToLearn(u.job.Queue.Name, now).learn(u.spec().Estimate(), duration, 1/float64(len(u.step.units)))
}

// mergeDurations takes over the models that an earlier owner stored. Several rows may have a model of
// the same queue; the model with the largest weight is kept.
func (p *Pool) mergeDurations(stored map[string]*durationModel) {
	if p.options.DisabledMechanisms[mechanism.LearnedDurations] {
		return
	}
	now := p.loop.Now()
	for queue, model := range stored {
		switch {
		case model == nil || *model == (durationModel{}):
			// Nothing was learned.
		case !model.plausible():
			p.record.Count("refusals", "durations_invalid")
		default:
			p.durations.merge(queue, *model, now)
		}
	}
}

// estimateRefreshInterval is the minimum time between two updates of the estimates of open jobs.
const estimateRefreshInterval = time.Second

// refreshEstimates updates the estimates of open jobs from the queues' models.
func (p *Pool) refreshEstimates() {
	now := p.loop.Now()
	if now.Sub(p.estimatesRefreshedAt) < estimateRefreshInterval {
		return
	}
	p.estimatesRefreshedAt = now
	p.durations.setUsed(p.usedQueues())
	for _, j := range p.jobs {
		if !j.pendingState.Final() {
			p.estimateJob(j)
		}
	}
}

// usedQueues returns the queues that lead to this pool in the configuration, and those of open jobs; nil
// without a configuration.
func (p *Pool) usedQueues() map[string]bool {
	current := p.options.Catalog()
	if current == nil {
		return nil
	}
	used := map[string]bool{}
	for i := range current.Queues {
		if current.Queues[i].Pool == p.options.Pool {
			used[current.Queues[i].Name] = true
		}
	}
	for _, j := range p.jobs {
		if !j.pendingState.Final() {
			used[j.Queue.Name] = true
		}
	}
	return used
}

// estimateJob sets the expected durations of a job's steps, its critical paths and its objective. The
// work of a queue without a model is expected to take as long as the job says.
func (p *Pool) estimateJob(j *job) {
	model := p.durations.of(j.Queue.Name)
	j.estimates = make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		j.estimates[i] = j.Spec.Steps[i].Estimate()
		if model != nil {
			j.estimates[i] = model.predict(j.estimates[i])
		}
	}
	j.criticalPaths = j.Spec.CriticalPaths(j.estimates)
	longest := time.Duration(0)
	for _, tail := range j.criticalPaths {
		longest = max(longest, tail)
	}
	j.objective = j.Queue.Objective(longest)
}

// estimate returns the expected duration of the unit's work.
func (u *unit) estimate() time.Duration { return u.job.estimates[u.step.index] }
