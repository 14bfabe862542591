package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// maxOpenTasks limits the tasks of a job's repetitions that have begun and not ended. A job may have many
// wide repetitions that are due at once. A single repetition never has more.
const maxOpenTasks = 2 * taskgraph.MaxTasks

// createReadyUnits creates the units of all steps that may start.
func (p *Pool) createReadyUnits(j *job) {
	if j.pendingState.Final() {
		return
	}
	for _, t := range j.repetitions.open {
		t.createReadyUnits(j, p.loop.Now())
	}
	p.beginRepetitions(j)
}

// beginRepetitions begins the repetitions that are due. Further ones begin as earlier ones end if the job
// has maxOpenTasks.
func (p *Pool) beginRepetitions(j *job) {
	if j.cancelDueTimer != nil {
		j.cancelDueTimer()
		j.cancelDueTimer = nil
	}
	if j.pendingState.Final() {
		return
	}
	maxOpenRepetitions := maxOpenTasks / max(1, j.Spec.TaskCount())
	for j.repetitions.begun < j.Spec.RepetitionCount() && len(j.repetitions.open) < maxOpenRepetitions {
		due := j.Spec.DueTime(j.repetitions.begun)
		if timeOfDay := p.loop.TimeOfDay(); !due.IsZero() && due.After(timeOfDay) {
			p.beginRepetitionsAfter(j, min(due.Sub(timeOfDay), maxDueTimeWait)+dueTimeMargin)
			return
		}
		j.repetitions.begin(&j.Spec).createReadyUnits(j, p.loop.Now())
	}
}

// beginRepetitionsAfter begins the repetitions that are due after a delay.
func (p *Pool) beginRepetitionsAfter(j *job, delay time.Duration) {
	j.cancelDueTimer = p.loop.After(delay, func() {
		j.cancelDueTimer = nil
		p.beginRepetitions(j)
		p.scheduleCycle()
	})
}

// endRepetition forgets a repetition once it is over.
func (p *Pool) endRepetition(j *job, t *repetition) {
	if t.over() && !j.pendingState.Final() {
		j.repetitions.end(t)
		p.beginRepetitions(j)
	}
}

const (
	// dueTimeMargin delays a scheduled start so that a slow clock does not make it early.
	dueTimeMargin = 5 * time.Millisecond
	// maxDueTimeWait is the longest wait until the next look at a due time. The time until a remote due
	// time may not be expressible as a duration.
	maxDueTimeWait = 24 * time.Hour
)

// applyCancel cancels a job. If the job is unknown, the cancellation is kept until the job is read.
func (p *Pool) applyCancel(id string) {
	j := p.jobs[id]
	if j == nil {
		p.pendingCancels[id] = true
		return
	}
	if j.cancelled || j.pendingState.Final() {
		return
	}
	j.cancelled = true
	p.record.LogEvent("job cancelled", "job", id)
	p.finishJob(j, taskgraph.Cancelled)
}

// finishJob puts a job into its final state and stops its remaining runs.
func (p *Pool) finishJob(j *job, state taskgraph.State) {
	j.pendingState = state
	j.endedAt = p.loop.TimeOfDay()
	for _, t := range j.repetitions.open {
		for _, s := range t.steps {
			for _, u := range s.units {
				p.cancelUnit(u, string(state))
			}
		}
	}
	p.record.Count("job_transitions", string(state))
	p.record.LogEvent("job ended", "job", j.id, "queue", j.Queue.Name, "state", string(state),
		"age_ms", p.loop.Now().Sub(j.acceptedAt).Milliseconds(), "objective_ms", j.objective.Milliseconds(), "stretch", j.Queue.Stretch, "target_ms", j.Queue.TargetMillis)
	p.persist(j)
}

func (p *Pool) cancelUnit(u *unit, reason string) {
	switch u.state {
	case unitWaiting, unitCommitting:
		p.unassignAll(u)
		u.state = unitEnded
	case unitActive:
		p.stopUnit(u, reason)
	}
}

// removeExpiredJobs deletes the rows of one job whose retention has expired. The progress row is
// deleted last, so that the job cannot appear to be new. A job of which another pool still has a copy
// is kept: without this pool's row, the copy would run.
func (p *Pool) removeExpiredJobs() {
	if p.removingExpiredJob || p.releasing {
		return
	}
	limit := p.loop.TimeOfDay().Add(-p.options.Bounds.StatusRetention - retentionMargin)
	for id, j := range p.jobs {
		if j.state.Final() && j.endedAt.Before(limit) && len(p.otherPoolsJobs[id]) == 0 {
			if p.writer.putsOffCleaning() {
				p.record.Count("writes_put_off", "expired_job")
				return
			}
			p.removeJobRows(id)
			return
		}
	}
}

func (p *Pool) removeJobRows(id string) {
	p.removingExpiredJob = true
	parts := JobPartitions(p.options.Pool, id)
	pending, failed, removedAt := len(parts), false, rows.Absent
	for _, part := range parts {
		removes := []rows.Key{AcceptedKey(part, id), CancelledKey(part, id)}
		p.ports.Commit(rows.Transaction{Removes: removes}, func(result rows.Result, err error) {
			failed = failed || err != nil
			removedAt = max(removedAt, result.Version)
			if pending--; pending > 0 {
				return
			}
			p.removingExpiredJob = false
			if p.closed || failed {
				return
			}
			delete(p.jobs, id)
			p.removedJobs[id] = removedAt
			p.writer.remove(id)
		})
	}
}
