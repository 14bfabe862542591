package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// startLimit is how far ahead of a worker's clock a start's deadline lies: no
	// start is carried out later than that.
	startLimit = 3 * time.Second
	stopRetry  = 200 * time.Millisecond
	// startRetry is the pause before a start without an answer is sent again.
	startRetry = 50 * time.Millisecond
	// startPatience is how long a start without an answer is sent again.
	startPatience = 1200 * time.Millisecond
	// gangPatience is the share of the gang timeout after which an incomplete gang
	// is taken back.
	gangPatience = 0.6
)

// assign books a member's room on a worker.
func (p *Pool) assign(m *member, w *worker) {
	m.worker = w
	m.state = memberNone
	m.stopTried, m.stopSent, m.stopAnswered, m.doubtful = false, false, false, false
	m.percent, m.percentAt, m.listedAt = 0, time.Time{}, time.Time{}
	m.sentAt = time.Time{}
	m.timed = false
	w.members = append(w.members, m)
}

// release frees a member's room.
func (p *Pool) release(m *member) {
	if m.stopTimer != nil {
		m.stopTimer()
		m.stopTimer = nil
	}
	if m.worker != nil {
		m.worker.members = slices.DeleteFunc(slices.Clone(m.worker.members), func(other *member) bool { return other == m })
	}
	m.worker = nil
	m.state = memberNone
	m.stopTried, m.stopSent, m.stopAnswered = false, false, false
}

func (p *Pool) clearMembers(u *unit) {
	for _, m := range u.members {
		p.release(m)
	}
}

// begin writes a placement, then starts the unit.
func (p *Pool) begin(u *unit, places []*worker) {
	u.run++
	u.state = unitCommitting
	for i, m := range u.members {
		p.assign(m, places[i])
	}
	run := u.run
	if !u.job.begun {
		u.job.begun = true
		u.job.next = taskgraph.Running
	}
	p.record.Decided("placed", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", run, "tasks", len(u.members),
		"waited_ms", p.loop.Now().Sub(u.readyAt).Milliseconds(), "waited_for", string(u.waitedFor()), "estimate_ms", u.spec().EstimateMillis,
		"cores", u.spec().Amount.Cores()*float64(len(u.members)), "slack_ms", u.slack(p.loop.Now()).Milliseconds(), "workers", workerIDs(places))
	p.persist(u.job)
	p.afterWrite(0, func() {
		switch {
		case u.state != unitCommitting || u.run != run:
		case u.active() < len(u.members):
			// A worker was lost before any start was sent.
			p.clearMembers(u)
			u.state = unitWaiting
			p.persist(u.job)
			p.wake()
		default:
			p.startUnit(u)
		}
	})
}

// maxLoggedWorkers bounds the workers named on one line.
const maxLoggedWorkers = 8

func workerIDs(places []*worker) string {
	var ids []string
	for _, w := range places[:min(len(places), maxLoggedWorkers)] {
		ids = append(ids, w.ID)
	}
	return strings.Join(ids, " ")
}

// startUnit orders every member to start.
func (p *Pool) startUnit(u *unit) {
	u.state = unitActive
	u.startedAt = p.loop.Now()
	u.startedHere = true
	u.runningSince = time.Time{}
	u.stopReason = ""
	u.resumed = u.checkpoint != ""
	if !u.job.ordered {
		u.job.ordered = true
		p.record.Observe("start_after_acceptance", u.startedAt.Sub(u.job.acceptedAt))
	}
	for _, m := range u.members {
		p.sendStart(m)
	}
}

func (p *Pool) sendStart(m *member) {
	u, w := m.unit, m.worker
	now := p.loop.Now()
	order := fleet.Start{
		Task: m.name(), Run: u.run, Payload: u.job.Spec.Payload,
		DeadlineMillis: w.clockNow(now) + startLimit.Milliseconds(),
		Token:          p.token, Checkpoint: u.checkpoint,
	}
	w.deadline = max(w.deadline, order.DeadlineMillis)
	m.state = memberStarting
	m.sentAt = now
	run := u.run
	current := func() bool { return !p.gone && m.worker == w && u.run == run }
	var sent tries
	send := func() {
		p.record.Count("worker_orders", "start")
		sent.open++
		p.ports.Start(&w.Worker, order, func(reply fleet.Reply, err error) {
			sent.open--
			if current() {
				p.startAnswered(m, &sent, reply, err)
			}
		})
	}
	send()
	p.loop.After(p.secondTryAfter(), func() {
		if current() && m.state == memberStarting && sent.unanswered() && !m.stopSent {
			p.record.Count("retries", "start_unanswered")
			send()
		}
	})
}

// startAnswered takes in what became of one try of a start.
func (p *Pool) startAnswered(m *member, sent *tries, reply fleet.Reply, err error) {
	reason := fleet.ReasonOf(err)
	lost := err != nil && reason == fleet.NoAnswer
	if lost {
		m.worker.lossyUntil = p.loop.Now().Add(lossyPeriod)
	}
	switch {
	case sent.answered:
		// The other try told what became of the run.
	case err == nil:
		sent.answered = true
		p.started(m, reply)
	case sent.open == 0 || reason == fleet.Fenced || reason == fleet.OtherInstance:
		sent.answered = true
		p.startFailed(m, err)
	default:
		m.doubtful = m.doubtful || lost
	}
}

func (p *Pool) started(m *member, reply fleet.Reply) {
	took := p.loop.Now().Sub(m.sentAt)
	p.record.Observe("start_order", took)
	p.orderLatency += (took - p.orderLatency) / orderLatencyMemory
	p.heard(m.worker, reply.ClockMillis)
	if m.state == memberStarting || m.state == memberUncertain {
		m.state = memberRunning
		m.sentAt = p.loop.Now()
		m.unit.noteRunning(m.sentAt)
	}
	p.hold(m.worker)
}

func (p *Pool) startFailed(m *member, err error) {
	w, u := m.worker, m.unit
	reason := fleet.ReasonOf(err)
	p.record.Count("start_failures", string(reason))
	p.record.Decided("start failed", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "reason", string(reason))
	if p.orderFailed(w, err) {
		return
	}
	m.doubtful = m.doubtful || reason == fleet.NoAnswer
	if m.doubtful {
		if reason == fleet.NoAnswer && u.state == unitActive && p.loop.Now().Sub(u.startedAt) < startPatience && !m.stopSent {
			p.startAgain(m)
			return
		}
		m.state = memberUncertain
		m.sentAt = p.loop.Now()
		p.hold(w)
		p.sendStop(m)
		return
	}
	if reason == fleet.NoRoom {
		// Something runs there that is not known here.
		w.penaltyUntil = p.loop.Now().Add(roomPenalty)
		p.look(w)
	}
	// The order was refused: nothing runs.
	p.memberEnded(m, fleet.Stopped)
}

// startAgain sends a start once more after a pause. The worker starts the same run
// once, however often it is told.
func (p *Pool) startAgain(m *member) {
	w, u, run := m.worker, m.unit, m.unit.run
	p.record.Count("retries", "start")
	p.loop.After(startRetry, func() {
		if !p.gone && m.worker == w && u.run == run && u.state == unitActive && m.state == memberStarting {
			p.sendStart(m)
		}
	})
}

// roomPenalty keeps new work away from a worker that had no room.
const roomPenalty = 500 * time.Millisecond

// stopUnit orders every member to stop.
func (p *Pool) stopUnit(u *unit, reason string) {
	if u.state != unitActive {
		return
	}
	u.state = unitStopping
	u.stopReason = reason
	p.record.Count("stops", reason)
	p.record.Decided("stopped", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", u.run, "reason", reason, "checkpoints", u.spec().Checkpoints)
	for _, m := range u.members {
		if m.worker != nil {
			p.sendStop(m)
		}
	}
	p.settle(u)
}

// sendStop repeats a stop until the worker answers it. The stop also bars a start
// that has not arrived yet.
func (p *Pool) sendStop(m *member) {
	if m.stopSent || m.worker == nil {
		return
	}
	m.stopTried, m.stopSent = true, true
	u, w, run := m.unit, m.worker, m.unit.run
	current := func() bool { return !p.gone && m.worker == w && u.run == run }
	var sent tries
	send := func() {
		p.record.Count("worker_orders", "stop")
		sent.open++
		p.ports.Stop(&w.Worker, fleet.Stop{Task: m.name(), Run: run, Token: p.token}, func(reply fleet.Reply, err error) {
			sent.open--
			if current() {
				p.stopAnswered(m, &sent, reply, err)
			}
		})
	}
	send()
	p.loop.After(p.secondTryAfter(), func() {
		if current() && m.stopSent && sent.unanswered() {
			p.record.Count("retries", "stop_unanswered")
			send()
		}
	})
}

// stopAnswered takes in what became of one try of a stop.
func (p *Pool) stopAnswered(m *member, sent *tries, reply fleet.Reply, err error) {
	u, w, run := m.unit, m.worker, m.unit.run
	switch {
	case sent.answered:
	case err == nil:
		sent.answered = true
		p.heard(w, reply.ClockMillis)
		m.stopAnswered = true
		m.sentAt = p.loop.Now()
		if m.state != memberRunning {
			p.look(w)
		}
	case sent.open > 0 && fleet.ReasonOf(err) == fleet.NoAnswer:
		// The other try is under way.
	case p.orderFailed(w, err):
	default:
		sent.answered = true
		m.stopTimer = p.loop.After(stopRetry, func() {
			m.stopTimer = nil
			m.stopSent = false
			if m.worker == w && u.run == run {
				p.sendStop(m)
			}
		})
	}
}

// stopStranger stops a run that does not belong on a worker.
func (p *Pool) stopStranger(w *worker, name taskgraph.TaskName, run int) {
	room := taskgraph.Amount{}
	if j := p.jobs[name.Job]; j != nil && name.Step < len(j.Spec.Steps) {
		room = j.Spec.Steps[name.Step].Room()
	}
	w.strangers[stranger{task: name, run: run}] = room
	p.record.Count("worker_orders", "stop_stranger")
	p.record.Decided("unwanted run stopped", "job", name.Job, "task", name.String(), "run", run, "worker", w.ID)
	p.ports.Stop(&w.Worker, fleet.Stop{Task: name, Run: run, Token: p.token}, func(_ fleet.Reply, err error) {
		if !p.gone && err != nil {
			p.orderFailed(w, err)
		}
	})
}
