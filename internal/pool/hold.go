package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// greetAll asks every worker what it runs.
func (p *Pool) greetAll() {
	for _, w := range p.sortedWorkers() {
		p.greet(w)
	}
}

// greet makes the first contact with a worker, which fences former owners.
func (p *Pool) greet(w *worker) {
	if p.loaded && !w.greeted && w.Address != "" {
		p.hold(w)
	}
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now time.Time) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds()
}

// hold asks a worker what it runs and extends its lease, unless a hold is under
// way already.
func (p *Pool) hold(w *worker) {
	if w.holding || p.gone || p.workers[w.ID] != w {
		return
	}
	if w.holdTimer != nil {
		w.holdTimer()
		w.holdTimer = nil
	}
	w.holding = true
	order := fleet.Hold{Token: p.token, LastSeen: w.lastSeen}
	now := p.loop.Now()
	if w.greeted && w.unanswered == 0 {
		order.Wait = p.holdWait(w)
		extension := min(leaseExtension, p.options.Bounds.MaxHold)
		order.DeadlineMillis = w.clockNow(now) + extension.Milliseconds()
		w.deadline = max(w.deadline, order.DeadlineMillis)
	}
	p.record.Count("worker_orders", "hold")
	p.ports.Hold(&w.Worker, order, func(reply fleet.Reply, err error) {
		if p.gone || p.workers[w.ID] != w {
			return
		}
		w.holding = false
		if err != nil {
			p.holdFailed(w, err)
			return
		}
		p.holdAnswered(w, reply, now)
	})
}

// holdWait is 0 while something is to be known soon.
func (p *Pool) holdWait(w *worker) time.Duration {
	if w.processed > w.lastSeen || len(w.members) == 0 {
		return 0
	}
	if w.uncertain() {
		return 0
	}
	if p.loop.Now().Before(w.lossyUntil) {
		return lossyHoldPeriod
	}
	return holdPeriod
}

// A worker that left a call unanswered may do so again: the answer that tells of an end
// can be lost, and the owner notes the end only with the next one. For lossyPeriod, about
// the length of such a fault on the platform's days, holds wait for lossyHoldPeriod only.
const (
	lossyPeriod     = 6 * time.Second
	lossyHoldPeriod = 400 * time.Millisecond
)

// uncertain reports whether a member's start got no answer.
func (w *worker) uncertain() bool {
	for _, m := range w.members {
		if m.state == memberUncertain {
			return true
		}
	}
	return false
}

// look asks a worker what it runs, beside a hold that may be waiting for an end.
func (p *Pool) look(w *worker) {
	w.lookedAt = p.loop.Now()
	if !w.holding {
		p.hold(w)
		return
	}
	sentAt := p.loop.Now()
	p.record.Count("worker_orders", "look")
	p.ports.Hold(&w.Worker, fleet.Hold{Token: p.token, LastSeen: w.lastSeen}, func(reply fleet.Reply, err error) {
		if p.gone || p.workers[w.ID] != w {
			return
		}
		if err != nil {
			p.orderFailed(w, err)
			return
		}
		p.heard(w, reply.ClockMillis)
		p.takeAccount(w, reply, sentAt)
	})
}

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

// heard notes an answer of a worker.
func (p *Pool) heard(w *worker, clock int64) {
	w.clock, w.clockAt = clock, p.loop.Now()
	if w.unanswered > 0 {
		p.record.Decided("worker answers again", "worker", w.ID, "unanswered", w.unanswered)
	}
	w.unanswered = 0
}

// unheard notes a call without an answer.
func (p *Pool) unheard(w *worker) {
	if w.unanswered == 0 {
		w.silentAt = p.loop.Now()
		p.record.Decided("worker does not answer", "worker", w.ID, "runs", len(w.members))
	}
	w.unanswered++
	w.lossyUntil = p.loop.Now().Add(lossyPeriod)
}

// holdAnswered takes in a hold that was sent at sentAt.
func (p *Pool) holdAnswered(w *worker, reply fleet.Reply, sentAt time.Time) {
	p.heard(w, reply.ClockMillis)
	first := !w.greeted
	w.greeted = true
	p.takeAccount(w, reply, sentAt)
	if first {
		p.extendAtOnce(w)
		p.wake()
	}
	p.scheduleHold(w)
	p.forgetIfIdle(w)
}

// extendAtOnce extends the lease of what runs on a worker met for the first time.
func (p *Pool) extendAtOnce(w *worker) {
	if len(w.members) > 0 {
		p.hold(w)
	}
}

// scheduleHold keeps holds going while anything runs on the worker, and
// acknowledges ends once they are written.
func (p *Pool) scheduleHold(w *worker) {
	if w.processed > w.lastSeen {
		// The hold after the write acknowledges; until then the lease needs care.
		p.holdLater(w, holdRetry)
		return
	}
	if len(w.members) == 0 && len(w.strangers) == 0 {
		return
	}
	if w.uncertain() {
		p.holdLater(w, quickHold)
		return
	}
	if len(w.members) == 0 {
		p.holdLater(w, holdRetry)
		return
	}
	p.hold(w)
}

// quickHold is the pause between two looks at a worker whose state is in doubt.
const quickHold = 100 * time.Millisecond

func (p *Pool) holdLater(w *worker, pause time.Duration) {
	if w.holding {
		return
	}
	if w.holdTimer != nil {
		w.holdTimer()
	}
	w.holdTimer = p.loop.After(pause, func() {
		w.holdTimer = nil
		p.hold(w)
	})
}

func (p *Pool) holdFailed(w *worker, err error) {
	if p.orderFailed(w, err) {
		return
	}
	pause := holdRetry
	if w.unanswered == 1 {
		pause = quickHold
	}
	p.holdLater(w, pause)
}

// compare settles members against what the worker lists. Ends have been taken in.
func (p *Pool) compare(w *worker, reply fleet.Reply, sentAt time.Time) {
	now := p.loop.Now()
	clear(w.strangers)
	listed := map[*member]bool{}
	for i := range reply.Running {
		entry := &reply.Running[i]
		m := p.memberAt(w, entry.Task, entry.Run)
		if m == nil {
			p.stopStranger(w, entry.Task, entry.Run)
			continue
		}
		listed[m] = true
		p.memberListed(m, entry, now)
	}
	if reply.MoreEnded {
		return
	}
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
	}
	m.listedAt = now
	if entry.Percent > 0 && m.unit.startedHere && !m.unit.resumed {
		m.worker.reliability.noteSound(m.unit.startedAt)
	}
	m.noteRate(entry.Percent, now)
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
			p.memberEnded(m, fleet.Stopped)
		}
	case m.stopTried && !p.options.Without.StopWait:
		// The worker may be carrying out a stop whose answer was lost: what ends by it is
		// not listed and still works.
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
		p.memberEnded(m, fleet.Lapsed)
	}
}

// takeEnds takes in the ends that a worker lists and acknowledges them once written.
func (p *Pool) takeEnds(w *worker, ends []fleet.Ended) {
	highest := w.processed
	for i := range ends {
		end := &ends[i]
		if end.Number <= w.processed {
			continue
		}
		highest = max(highest, end.Number)
		if m := p.memberAt(w, end.Task, end.Run); m != nil {
			p.takeEnd(w, m, end)
		}
	}
	if highest == w.processed {
		return
	}
	w.processed = highest
	if p.options.Without.EndRows {
		w.lastSeen = highest
	}
	takenAt := p.loop.Now()
	p.afterWrite(p.writer.delayOfEnds(), func() {
		p.record.Observe("end_noted", p.loop.Now().Sub(takenAt))
		w.lastSeen = max(w.lastSeen, highest)
		p.hold(w)
	})
}

func (p *Pool) takeEnd(w *worker, m *member, end *fleet.Ended) {
	u := m.unit
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	p.record.Count("attempts", string(end.How))
	ran := p.loop.Now().Sub(u.startedAt)
	ranMillis := ran.Milliseconds()
	if !u.startedHere {
		// An earlier owner started it; its line tells when.
		ranMillis = 0
	}
	p.record.Decided("run ended", "job", u.job.id, "task", end.Task.String(), "run", end.Run, "worker", w.ID, "how", string(end.How),
		"reason", u.stopReason, "ran_ms", ranMillis, "unsaved_core_s", p.unsavedWork(u, end.How, ran))
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
