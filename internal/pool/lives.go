package pool

import (
	"slices"
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

// claimNextLife takes in a row that names a later life of a worker. With something running
// there the later life is asked first.
func (p *Pool) claimNextLife(w *worker, described *fleet.Worker) {
	if len(w.members) == 0 && len(w.strangers) == 0 {
		p.noteRestart(w, described.Life, lifeByRow, 0)
		p.describe(p.replaceLife(w, *described), described)
		return
	}
	w.claimed = described
	p.askClaimed(w)
}

// askClaimed asks the life that a row named for its account.
func (p *Pool) askClaimed(w *worker) {
	if w.asking || w.claimed == nil {
		return
	}
	w.asking = true
	claimed, sentAt := w.claimed, p.loop.Now()
	p.record.Count("worker_orders", "ask_life")
	p.ports.Hold(claimed, fleet.Hold{Token: p.token}, func(reply fleet.Reply, err error) {
		if p.gone || p.workers[w.ID] != w {
			return
		}
		w.asking = false
		if w.claimed == nil {
			return
		}
		if err == nil && p.orderOf(w, reply.Born) == laterLife {
			p.restarted(w, reply, lifeByClaim, sentAt)
			return
		}
		p.claimNotProved(w, err)
	})
}

// claimNotProved goes on with the known life. A claim without an answer may still be true.
func (p *Pool) claimNotProved(w *worker, err error) {
	switch fleet.ReasonOf(err) {
	case fleet.Fenced:
		p.Abandon("fenced by worker " + w.ID)
	case fleet.NoAnswer, fleet.Unreachable, fleet.Unhealthy:
		if err != nil {
			p.loop.After(holdRetry, func() {
				if !p.gone && p.workers[w.ID] == w {
					p.askClaimed(w)
				}
			})
			return
		}
		fallthrough
	default:
		// The known life answers there, or another worker does: the row is untrue.
		p.record.Count("refusals", "worker_row_refuted")
		w.claimed = nil
		p.unlistNow(w)
	}
}

// restarted takes in the account of a life that has followed the known one, asked for at sentAt.
// What surely ran in the former life is over; whatever else was ordered may be in the next one.
func (p *Pool) restarted(w *worker, reply fleet.Reply, by lifeEvidence, sentAt time.Time) {
	claimed := w.claimed
	next := w.Worker
	if claimed != nil {
		next = *claimed
	}
	next.Born = reply.Born
	p.noteRestart(w, next.Life, by, len(w.members))
	p.loseFormerRuns(w, reply, sentAt)
	n := p.replaceLife(w, next)
	n.greeted, n.greetedAt = true, p.loop.Now()
	if claimed != nil {
		p.describe(n, claimed)
		// The life that the row named may be a later one yet.
		n.Born = reply.Born
	}
	if !p.options.Without.NextLifeLease {
		// Orders that were meant for the former life gave leases by its clock.
		n.deadline = reply.ClockMillis + p.options.Bounds.MaxHold.Milliseconds()
	}
	p.holdAnswered(n, reply, sentAt)
}

// noteRestart records that a worker's life has ended and the next has begun.
func (p *Pool) noteRestart(w *worker, next fleet.Life, by lifeEvidence, runs int) {
	p.record.Count("worker_restarts", string(by))
	p.record.Decided("worker restarted", "worker", w.ID, "born", next.Born, "former", w.Born, "known_by", string(by), "runs", runs)
}

// loseFormerRuns settles the members that were confirmed in the former life before the next one
// was asked, and are not in its account.
func (p *Pool) loseFormerRuns(w *worker, reply fleet.Reply, sentAt time.Time) {
	there := map[runName]bool{}
	for i := range reply.Running {
		there[runName{task: reply.Running[i].Task, run: reply.Running[i].Run}] = true
	}
	for i := range reply.Ended {
		there[runName{task: reply.Ended[i].Task, run: reply.Ended[i].Run}] = true
	}
	all := w.members
	w.members = nil
	var kept []*member
	for _, m := range all {
		if m.overWithLife(sentAt, p.options.Without) && !there[runName{task: m.name(), run: m.unit.run}] {
			w.members = append(w.members, m)
		} else {
			kept = append(kept, m)
		}
	}
	p.loseRuns(w, lostWithLife)
	w.members = append(w.members, kept...)
}

// overWithLife reports whether the member's run surely is over if it is in no account that the
// next life of its worker gave on a question of sentAt. A start of this owner without an answer, or
// a copy of one, may come to the next life; one of an earlier owner is fenced there by the question.
// A run that is being stopped is in no account, but if it was confirmed in the former life.
func (m *member) overWithLife(sentAt time.Time, without Without) bool {
	switch m.state {
	case memberNone:
		return true
	case memberUncertain:
		return m.confirmedBefore
	case memberRunning:
		open := m.doubtful || m.startTries != nil && m.startTries.open > 0
		return (!open || without.OpenStarts) && !m.stopTried && m.sentAt.Before(sentAt)
	}
	return false
}

// loseFormerMembers settles the members that an earlier owner had confirmed in a former life of the
// worker, by the first account of the present one.
func (p *Pool) loseFormerMembers(w *worker, listed map[*member]bool) {
	var ended []*worker
	for _, m := range slices.Clone(w.members) {
		if m.formerLife.ID == "" || m.state != memberUncertain || !m.sentAt.IsZero() || listed[m] {
			continue
		}
		place := slices.IndexFunc(ended, func(known *worker) bool { return known.Life == m.formerLife })
		if place < 0 {
			place = len(ended)
			ended = append(ended, &worker{Worker: fleet.Worker{Life: m.formerLife, Address: w.Address}})
		}
		former := ended[place]
		w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
		former.members = append(former.members, m)
		m.worker, m.confirmedBefore = former, true
	}
	for _, former := range ended {
		p.loseRuns(former, lostWithLife)
	}
}

// replaceLife makes the next life of a worker the known one, with the members that are left and
// the machine's record. Its row has yet to come.
func (p *Pool) replaceLife(w *worker, next fleet.Worker) *worker {
	if w.holdTimer != nil {
		w.holdTimer()
	}
	n := p.unlistedWorker(next.Life)
	n.Worker, n.rack = next, next.Rack()
	n.Draining = false
	n.missing = true
	n.machineRecord = w.machineRecord
	n.restarts++
	moved := w.members
	w.members = nil
	for _, m := range moved {
		p.moveToLife(m, n)
	}
	p.wake()
	return n
}

// moveToLife lets a member's run be looked for in the next life of its worker. Unless that lists
// the run, it is barred there before the task is placed again: the start, or a copy of it, may
// still come. Answers to orders under way say nothing any more.
func (p *Pool) moveToLife(m *member, n *worker) {
	m.leaveLife(m.worker.Life)
	m.worker = n
	n.members = append(n.members, m)
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
	switch p.orderOf(w, reply.Born) {
	case laterLife:
		p.restarted(w, reply, lifeByAnswer, sentAt)
		return true
	case earlierLife:
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
