package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// takeAccount takes in what a worker runs and what has ended there. An owner that hands
// its pool back leaves that to the next one: each end would put the hand-over off until
// it is written.
func (p *Pool) takeAccount(w *worker, reply fleet.Reply, sentAt time.Time) {
	if p.releasing {
		return
	}
	p.takeEnds(w, reply.Ended)
	p.compare(w, reply, sentAt)
}

// compare settles members against what the worker lists. Ends have been taken in.
func (p *Pool) compare(w *worker, reply fleet.Reply, sentAt time.Time) {
	now := p.loop.Now()
	p.settleUnwanted(w, reply)
	listed := map[*member]bool{}
	for i := range reply.Running {
		entry := &reply.Running[i]
		m := p.memberAt(w, entry.Task, entry.Run)
		if m == nil {
			p.stopUnwanted(w, entry.Task, entry.Run)
			continue
		}
		listed[m] = true
		p.memberListed(m, entry, now)
	}
	if reply.MoreEnded {
		return
	}
	p.loseFormerMembers(w, listed)
	for _, m := range w.members {
		if !listed[m] {
			p.memberNotListed(m, sentAt)
		}
	}
}

// memberAt returns the member that has a run on a worker, or nil.
func (p *Pool) memberAt(w *worker, name taskgraph.TaskName, run int) *member {
	j := p.jobs[name.Job]
	if j == nil {
		return nil
	}
	m := j.memberOf(name)
	if m == nil || m.worker != w || m.unit.run != run {
		return nil
	}
	return m
}

func (p *Pool) memberListed(m *member, entry *fleet.Running, now time.Time) {
	if m.state != memberRunning {
		m.state = memberRunning
		m.unit.noteRunning(now)
		p.noteConfirmedStart(m.unit)
	}
	m.listedAt = now
	m.inUnknownLife = false
	if entry.Percent > 0 && m.unit.startedHere && !m.unit.resumed {
		m.worker.reliability.noteSound(m.unit.startedAt)
	}
	p.noteRate(m, entry.Percent, now)
	if entry.Percent != m.percent || m.percentAt.IsZero() {
		m.percent, m.percentAt = entry.Percent, now
	}
	if entry.Checkpoint != "" {
		m.unit.checkpoint = entry.Checkpoint
	}
}

// memberNotListed settles a member that the worker neither runs nor lists as ended.
func (p *Pool) memberNotListed(m *member, sentAt time.Time) {
	switch {
	case m.stopAnswered:
		// The end of a stop is listed; without one in time there was no run.
		if sentAt.Sub(m.sentAt) > p.options.Bounds.StopTimeout {
			m.endedWithFormerLife()
			p.memberEnded(m, fleet.Stopped)
		}
	case m.stopTried && m.state == memberRunning && !p.options.Without.StopWait:
		// The worker may be carrying out a stop whose answer was lost: what ends by it is
		// not listed and still works. A run whose start was never confirmed may still be to
		// come, and is gone only once a stop is answered.
		m.stopAnswered = true
		m.sentAt = p.loop.Now()
	case m.state == memberUncertain && m.sentAt.IsZero() && p.options.Without.StopWait:
		p.memberEnded(m, fleet.Lapsed)
	case m.state == memberUncertain && m.sentAt.IsZero():
		// An earlier owner's start that will not come, as the worker has seen this
		// owner's token; but the run may be ending by a stop of that owner.
		m.stopAnswered = true
		m.sentAt = p.loop.Now()
	case m.state == memberUncertain && m.sentAt.Before(sentAt):
		// The start may still be carried out; a stop bars it.
		p.sendStop(m)
	case m.state == memberRunning && m.sentAt.Before(sentAt):
		p.noteUnlistedRun(m)
		p.memberEnded(m, fleet.Lapsed)
	}
}

// noteUnlistedRun records that a confirmed run is over and nobody said how: the worker neither
// runs it nor lists its end.
func (p *Pool) noteUnlistedRun(m *member) {
	u, w := m.unit, m.worker
	p.record.Count("attempts", "unlisted")
	p.record.Decided("run listed nowhere", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "born", w.Born,
		"ran_ms", u.ranMillis(p.loop.Now()), "acknowledged_end", w.ends.acknowledged)
}

// takeEnds takes in the ends that a worker lists and acknowledges them once written. An end counts
// for its run, not by its number: a list may come twice.
func (p *Pool) takeEnds(w *worker, ends []fleet.Ended) {
	var highest int64
	for i := range ends {
		end := &ends[i]
		highest = max(highest, end.Number)
		if m := p.memberAt(w, end.Task, end.Run); m != nil {
			p.takeEnd(w, m, end)
		}
	}
	if w.ends.known(highest) {
		return
	}
	w.ends.writing = highest
	if p.options.Without.EndRows {
		w.ends.written(highest)
	}
	takenAt := p.loop.Now()
	p.afterWrite(p.writer.delayOfEnds(), func() {
		p.record.Observe("end_noted", p.loop.Now().Sub(takenAt))
		w.ends.written(highest)
		p.hold(w)
	})
}

func (p *Pool) takeEnd(w *worker, m *member, end *fleet.Ended) {
	u := m.unit
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	p.record.Count("attempts", string(end.How))
	now := p.loop.Now()
	p.record.Decided("run ended", "job", u.job.id, "task", end.Task.String(), "run", end.Run, "worker", w.ID, "born", w.Born, "how", string(end.How),
		"reason", u.stopReason, "ran_ms", u.ranMillis(now), "slowness", u.slowness, "unsaved_core_s", p.unsavedWork(u, end.How, now.Sub(u.startedAt)))
	switch end.How {
	case fleet.Done:
		if u.startedHere {
			w.reliability.noteSound(u.startedAt)
		}
		p.unitDone(u)
	case fleet.Failed:
		p.unitFailed(u, w)
	}
	p.memberEnded(m, end.How)
}
