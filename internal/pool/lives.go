package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// A worker object of the owner is one life of a worker: all that is kept there ends with it,
// but for its machine's record. Another life is claimed by the worker's row and proved by an
// answer: a row may be another writer's, and what runs on a worker is not given up for one.

// lifeEvidence says how the owner learned of a worker's next life.
type lifeEvidence string

const (
	// lifeByRow: the row named another life, and nothing was known to run in the former one.
	lifeByRow lifeEvidence = "row"
	// lifeByClaim: the row named another life, which then answered.
	lifeByClaim lifeEvidence = "row and answer"
	// lifeByAnswer: another life answered at the address of the former one.
	lifeByAnswer lifeEvidence = "answer"
	// lifeByProgress: an earlier owner had placed tasks in a later life than the one that the
	// worker's row named.
	lifeByProgress lifeEvidence = "progress row"
)

// lifeOrder says how a life that is told of relates to the one that is known.
type lifeOrder int

const (
	// sameLife: the same, or one of them does not say.
	sameLife lifeOrder = iota
	// laterLife: the known one has ended if it is true.
	laterLife
	// earlierLife: what is told is out of date, or untrue.
	earlierLife
)

// orderOf compares a time of birth with that of the known life.
func (p *Pool) orderOf(w *worker, born int64) lifeOrder {
	switch {
	case p.options.Without.Lives, w.Born == 0, born == 0, born == w.Born:
		return sameLife
	case born > w.Born:
		return laterLife
	}
	return earlierLife
}

// follows reports whether the life that answered a question of askedAt has followed the known one.
// Births are times of day, which may be set back between two lives: an answer to a question that was
// asked after the known life's last account is of a life that follows it, whatever its birth.
func (p *Pool) follows(w *worker, born int64, askedAt time.Time) bool {
	switch p.orderOf(w, born) {
	case laterLife:
		return true
	case earlierLife:
		return w.greeted && askedAt.After(w.ends.accountAt)
	}
	return false
}

// restarted takes in the account of a life that has followed the known one, asked for at sentAt.
// What surely ran in the former life is over; whatever else was ordered may be in the next one.
func (p *Pool) restarted(w *worker, reply fleet.Reply, evidence lifeEvidence, sentAt time.Time) {
	claimed := w.claimed
	next := w.Worker
	if claimed != nil {
		next = *claimed
	}
	next.Born = reply.Born
	p.noteRestart(w, next.Life, evidence, len(w.members))
	p.loseFormerRuns(w, reply, sentAt)
	replacement := p.replaceLife(w, next)
	replacement.greeted, replacement.greetedAt = true, p.loop.Now()
	if claimed != nil {
		p.describe(replacement, claimed)
		// The life that the row named may be a later one yet.
		replacement.Born = reply.Born
	}
	if !p.options.Without.NextLifeLease {
		// Orders that were meant for the former life gave leases by its clock.
		replacement.deadline = reply.ClockMillis + p.options.Bounds.MaxHold.Milliseconds()
	}
	p.holdAnswered(replacement, reply, sentAt)
}

// noteRestart records that a worker's life has ended and the next has begun.
func (p *Pool) noteRestart(w *worker, next fleet.Life, evidence lifeEvidence, runs int) {
	p.record.Count("worker_restarts", string(evidence))
	p.record.Decided("worker restarted", "worker", w.ID, "born", next.Born, "former", w.Born, "known_by", string(evidence), "runs", runs)
}

// replaceLife makes the next life of a worker the known one, with the members that are left and
// the machine's record. Its row has yet to come.
func (p *Pool) replaceLife(w *worker, next fleet.Worker) *worker {
	if w.holdTimer != nil {
		w.holdTimer()
	}
	replacement := p.unlistedWorker(next.Life)
	replacement.Worker, replacement.rack = next, next.Rack()
	replacement.Draining = false
	replacement.missing = true
	replacement.machineRecord = w.machineRecord
	replacement.restarts++
	moved := w.members
	w.members = nil
	for _, m := range moved {
		p.moveToLife(m, replacement)
	}
	p.wake()
	return replacement
}

// moveToLife lets a member's run be looked for in the next life of its worker. Unless that lists
// the run, it is barred there before the task is placed again: the start, or a copy of it, may
// still come. Answers to orders under way say nothing any more.
func (p *Pool) moveToLife(m *member, replacement *worker) {
	m.leaveLife(m.worker.Life)
	m.worker = replacement
	replacement.members = append(replacement.members, m)
	m.stopSent, m.stopAnswered = false, false
	if m.stopTimer != nil {
		m.stopTimer()
		m.stopTimer = nil
	}
	if m.state == memberStarting || m.state == memberRunning {
		m.state = memberUncertain
		m.sentAt = p.loop.Now()
	}
	p.persist(m.unit.job)
	if m.stopTried {
		p.sendStop(m)
	}
}

// answeredByAnotherLife settles an account that is not of the known life. It returns false if it
// is of that life.
func (p *Pool) answeredByAnotherLife(w *worker, reply fleet.Reply, sentAt time.Time) bool {
	if w.Born == 0 {
		w.Born = reply.Born
	}
	switch {
	case p.follows(w, reply.Born, sentAt):
		p.restarted(w, reply, lifeByAnswer, sentAt)
		return true
	case p.orderOf(w, reply.Born) == earlierLife:
		if w.greeted {
			// Answers on different connections may pass each other.
			p.record.Count("refusals", "worker_answer_stale")
			p.holdLater(w, quickHold)
			return true
		}
		// The life was only told of by a row, and was not true.
		p.record.Count("refusals", "worker_row_refuted")
		w.Born = reply.Born
		p.unlistNow(w)
		return p.workers[w.ID] != w
	}
	return false
}
