package pool

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

func (p *Pool) addJob(id string, accepted Accepted, record Progress) {
	now := p.loop.Now()
	age := max(0, p.loop.TimeOfDay().Sub(accepted.AcceptedAt()))
	j := newJob(id, accepted, now.Add(-age))
	p.estimateJob(j)
	p.jobs[id] = j
	if record.State.Final() {
		j.state, j.pendingState = record.State, record.State
		j.endedAt = time.UnixMilli(record.EndedMillis)
		p.trackWorkersOfEndedJob(&record)
		return
	}
	if record.State != "" {
		j.state, j.pendingState = record.State, record.State
		p.restore(j, record)
		p.chooseRowForm(j)
	}
	if p.pendingCancels[id] {
		p.applyCancel(id)
		return
	}
	p.createReadyUnits(j)
	p.scheduleCycle()
}

// restore applies the progress that an earlier owner persisted for a job.
func (p *Pool) restore(j *job, record Progress) {
	j.compactRow = record.compact()
	j.placed, j.startSent = j.compactRow, j.compactRow
	j.repetitions.restore(&j.Spec, record.EndedRepetitions, record.begunRepetitions())
	for i := range record.CompleteSteps {
		entry := &record.CompleteSteps[i]
		j.repetitions.find(entry.Repetition).restoreComplete(entry.Steps)
	}
	for i := range record.Steps {
		saved := &record.Steps[i]
		t := j.repetitions.find(saved.Repetition)
		p.restoreStep(j, t, t.steps[saved.Step], saved)
	}
	for _, t := range slices.Clone(j.repetitions.open) {
		if t.over() {
			j.repetitions.end(t)
		}
	}
}

// restoreComplete marks the steps in a bit set as complete.
func (t *repetition) restoreComplete(steps bitset) {
	for _, s := range t.steps {
		if steps.has(s.index) {
			s.complete = true
			t.ended++
		}
	}
}

func (p *Pool) restoreStep(j *job, t *repetition, s *step, saved *stepProgress) {
	j.placed, j.startSent = true, true
	if saved.Complete {
		s.complete = true
		t.ended++
		return
	}
	s.createUnits(j, t, p.loop.Now())
	for _, u := range s.units {
		if bitset(saved.Ended).has(u.index) {
			u.state = unitEnded
			s.ended++
		}
	}
	for _, savedUnit := range saved.Units {
		if savedUnit.Index < len(s.units) {
			p.restoreUnit(s.units[savedUnit.Index], savedUnit)
		}
	}
}

// restoreUnit assumes that the unit's members run on the workers in the unit's row, until these
// workers report their runs.
func (p *Pool) restoreUnit(u *unit, saved unitProgress) {
	u.run, u.checkpoint = saved.Run, saved.Checkpoint
	u.restoreFailures(&saved)
	if u.failures > 0 {
		p.health.AssumeFailures(p.loop.Now())
	}
	p.restoreLosses(u, saved.Losses)
	p.expectEarlierStarts(u, &saved)
	for i, id := range saved.Workers {
		if id == "" || i >= len(u.members) {
			continue
		}
		m, incarnation := u.members[i], saved.incarnationOf(i)
		p.assign(m, p.workerFromProgress(incarnation, saved.Addresses[id]))
		m.state, m.knownFromRows = memberUnconfirmed, true
		m.confirmedToEarlierOwner = saved.isConfirmed(i)
		m.earlierStartPending = !m.confirmedToEarlierOwner || bitset(saved.StartPending).has(i)
		if p.compareIncarnation(m.worker, incarnation.StartMillis) == earlierIncarnation {
			m.leaveIncarnation(incarnation)
		}
		u.state = unitActive
	}
	if u.state == unitActive {
		u.startedAt = p.loop.Now()
		p.restoreStartTime(u, saved.StartedAfterMillis)
	}
}

// expectEarlierStarts assumes that starts of earlier runs may still be carried out for the members that
// have no worker in the unit's row, which tells nothing about them.
func (p *Pool) expectEarlierStarts(u *unit, saved *unitProgress) {
	until := p.loop.Now().Add(p.lateOrderWindow())
	for i, m := range u.members {
		if i >= len(saved.Workers) || saved.Workers[i] == "" {
			m.expectEarlierStart(until)
		}
	}
}

// workerFromProgress returns the worker that a progress row names. The address is set only if the
// worker's own row was gone when the progress row was written. If a later incarnation than the
// named one is known, workerFromProgress returns the later incarnation: the worker may have
// restarted between the write and the start, and then run the task.
func (p *Pool) workerFromProgress(incarnation fleet.Incarnation, address string) *worker {
	if address == "" {
		address = p.keptAddressOf(incarnation)
	}
	known := p.workers[incarnation.ID]
	if known == nil {
		w := p.addUnlistedWorker(incarnation)
		w.Address = address
		return w
	}
	if p.compareIncarnation(known, incarnation.StartMillis) != laterIncarnation {
		known.addAddress(address)
		if known.StartMillis == incarnation.StartMillis {
			known.startClaimed = false
		}
		return known
	}
	next := known.Worker
	next.Incarnation = incarnation
	if address != "" {
		next.Address = address
	}
	p.recordRestart(known, incarnation, restartSeenInProgress, len(known.members))
	return p.replaceIncarnation(known, next)
}

// trackWorkersOfEndedJob adds workers without a row of their own that may still run tasks of an
// ended job. The runs that these workers report are then stopped as unexpected.
func (p *Pool) trackWorkersOfEndedJob(record *Progress) {
	for i := range record.Steps {
		for _, unit := range record.Steps[i].Units {
			for member, id := range unit.Workers {
				if address := unit.Addresses[id]; address != "" {
					p.workerFromProgress(unit.incarnationOf(member), address)
				}
			}
		}
	}
}
