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
	m.stopSent, m.stopAnswered, m.doubtful = false, false, false
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
	m.stopSent, m.stopAnswered = false, false
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
	p.record.Count("worker_orders", "start")
	p.ports.Start(&w.Worker, order, func(reply fleet.Reply, err error) {
		if p.gone || m.worker != w || u.run != run {
			return
		}
		if err == nil {
			p.started(m, reply)
			return
		}
		p.startFailed(m, err)
	})
}

func (p *Pool) started(m *member, reply fleet.Reply) {
	p.record.Observe("start_order", p.loop.Now().Sub(m.sentAt))
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
	m.stopSent = true
	u, w, run := m.unit, m.worker, m.unit.run
	p.record.Count("worker_orders", "stop")
	p.ports.Stop(&w.Worker, fleet.Stop{Task: m.name(), Run: run, Token: p.token}, func(reply fleet.Reply, err error) {
		if p.gone || m.worker != w || u.run != run {
			return
		}
		if err == nil {
			p.heard(w, reply.ClockMillis)
			m.stopAnswered = true
			m.sentAt = p.loop.Now()
			if m.state != memberRunning {
				p.look(w)
			}
			return
		}
		if p.orderFailed(w, err) {
			return
		}
		m.stopTimer = p.loop.After(stopRetry, func() {
			m.stopTimer = nil
			m.stopSent = false
			if m.worker == w && u.run == run {
				p.sendStop(m)
			}
		})
	})
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
