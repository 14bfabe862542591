package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// startLimit is how far ahead of a worker's clock a start's deadline lies: no
	// start is carried out later than that.
	startLimit = 3 * time.Second
	stopRetry  = 200 * time.Millisecond
	// startPatience is how long a start without an answer is sent again.
	startPatience = 1200 * time.Millisecond
	// gangPatience is the share of the gang timeout after which an incomplete gang
	// is taken back.
	gangPatience = 0.6
)

// orderClass groups the errors of orders by what follows from them.
type orderClass int

const (
	orderRefused orderClass = iota
	orderFenced
	orderInstanceGone
	orderUnhealthy
	orderNoAnswer
)

func classifyOrder(err error) orderClass {
	switch {
	case errors.Is(err, fleet.ErrFenced):
		return orderFenced
	case errors.Is(err, fleet.ErrOtherInstance):
		return orderInstanceGone
	case errors.Is(err, fleet.ErrUnhealthy):
		return orderUnhealthy
	case errors.IsAny(err, fleet.ErrLate, fleet.ErrNoRoom, fleet.ErrSuperseded, fleet.ErrInvalid):
		return orderRefused
	}
	return orderNoAnswer
}

func orderReason(err error) string {
	for reason, kind := range map[string]error{
		"fenced": fleet.ErrFenced, "other_instance": fleet.ErrOtherInstance, "unhealthy": fleet.ErrUnhealthy,
		"late": fleet.ErrLate, "no_room": fleet.ErrNoRoom, "superseded": fleet.ErrSuperseded, "invalid": fleet.ErrInvalid,
	} {
		if errors.Is(err, kind) {
			return reason
		}
	}
	return "no_answer"
}

// assign books a member's room on a worker.
func (p *Pool) assign(m *member, w *worker) {
	m.worker = w
	m.state = memberNone
	m.stopSent, m.stopAnswered = false, false
	m.percent, m.percentAt, m.listedAt = 0, time.Time{}, time.Time{}
	m.sentAt = time.Time{}
	w.members[m] = true
}

// release frees a member's room.
func (p *Pool) release(m *member) {
	if m.stopTimer != nil {
		m.stopTimer()
		m.stopTimer = nil
	}
	if m.worker != nil {
		delete(m.worker.members, m)
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
	p.record.Decided("placed", "job", u.job.id, "step", u.step.index, "unit", u.index, "run", run,
		"waited_ms", p.loop.Now().Sub(u.readyAt).Milliseconds(), "estimate_ms", u.spec().EstimateMillis, "cores", u.spec().Amount.Cores()*float64(len(u.members)), "slack_ms", u.slack(p.loop.Now()).Milliseconds(), "workers", workerIDs(places))
	p.persist(u.job)
	p.afterWrite(func() {
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
	p.heard(m.worker, reply.ClockMillis)
	if m.state == memberStarting || m.state == memberUncertain {
		m.state = memberRunning
		m.sentAt = p.loop.Now()
	}
	p.hold(m.worker)
}

func (p *Pool) startFailed(m *member, err error) {
	w, u := m.worker, m.unit
	p.record.Count("start_failures", orderReason(err))
	p.record.Decided("start failed", "job", u.job.id, "task", m.name().String(), "run", u.run, "worker", w.ID, "reason", orderReason(err))
	if p.orderFailed(w, err) {
		return
	}
	if classifyOrder(err) == orderNoAnswer {
		if u.state == unitActive && p.loop.Now().Sub(u.startedAt) < startPatience && !m.stopSent {
			// The same run again: the worker starts it once, however often it is told.
			p.record.Count("retries", "start")
			p.sendStart(m)
			return
		}
		m.state = memberUncertain
		m.sentAt = p.loop.Now()
		p.hold(w)
		p.sendStop(m)
		return
	}
	if errors.Is(err, fleet.ErrNoRoom) {
		// Something runs there that is not known here.
		w.penaltyUntil = p.loop.Now().Add(roomPenalty)
		p.look(w)
	}
	// The order was refused: nothing runs.
	p.memberEnded(m, fleet.Stopped)
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

// memberEnded frees a member's room and settles its unit.
func (p *Pool) memberEnded(m *member, how fleet.How) {
	u := m.unit
	p.release(m)
	p.wake()
	if u.state == unitActive && how != fleet.Done && u.active() > 0 {
		p.stopUnit(u, "member "+string(how))
		return
	}
	p.settle(u)
}

// settle returns a unit to the queue once nothing of it runs any more.
func (p *Pool) settle(u *unit) {
	if u.active() > 0 || (u.state != unitActive && u.state != unitStopping) {
		return
	}
	if u.job.next.Final() {
		u.state = unitEnded
		return
	}
	u.state = unitWaiting
	u.readyAt = p.loop.Now()
	p.persist(u.job)
	p.wake()
}

// unitDone notes that a unit's work is complete.
func (p *Pool) unitDone(u *unit) {
	if u.state == unitEnded || u.job.next.Final() {
		return
	}
	if u.spec().LongRunning {
		return
	}
	u.state = unitEnded
	s := u.step
	s.ended++
	j := u.job
	if s.ended == len(s.units) {
		s.complete = true
		u.time.ended++
		p.advance(j)
		p.completeIfAll(j)
	}
	p.persist(j)
}

func (p *Pool) completeIfAll(j *job) {
	if len(j.times) < j.Spec.Times() {
		return
	}
	for _, t := range j.times {
		if t.ended < len(t.steps) {
			return
		}
	}
	p.finishJob(j, taskgraph.Completed)
}

// unitFailed counts a failed run and ends the job if it was the last allowed.
func (p *Pool) unitFailed(u *unit, w *worker) {
	if u.state == unitEnded || u.job.next.Final() {
		return
	}
	u.failures++
	if u.avoid == nil {
		u.avoid = map[string]bool{}
	}
	u.avoid[w.ID] = true
	w.strikes++
	if w.strikes >= strikeLimit {
		w.penaltyUntil = p.loop.Now().Add(penalty)
		p.record.Decided("worker judged bad", "worker", w.ID, "strikes", w.strikes)
	}
	p.persist(u.job)
	if u.failures >= max(1, u.job.Queue.MaxAttempts) && !u.spec().LongRunning {
		p.finishJob(u.job, taskgraph.Failed)
	}
}

// remaining estimates how long a unit still runs.
func (p *Pool) remaining(u *unit, now time.Time) time.Duration {
	estimate := u.spec().Estimate()
	elapsed := now.Sub(u.startedAt)
	m := u.members[0]
	if m.percent > 0 && m.percent < 100 && !m.percentAt.IsZero() {
		done := float64(m.percent) / 100
		since := m.percentAt.Sub(u.startedAt)
		total := time.Duration(float64(since) / done)
		if u.checkpoint == "" {
			return max(0, total-elapsed)
		}
		return max(0, time.Duration(float64(estimate)*(1-done))-now.Sub(m.percentAt))
	}
	return max(estimate/10, estimate-elapsed)
}

// checkUnits takes back gangs that do not come together and runs that stand still.
func (p *Pool) checkUnits() {
	now := p.loop.Now()
	patience := time.Duration(gangPatience * float64(p.options.Bounds.GangTimeout))
	for _, w := range p.sortedWorkers() {
		for _, m := range w.sortedMembers() {
			u := m.unit
			switch {
			case u.state != unitActive:
			case m.state == memberUncertain && now.Sub(u.startedAt) > patience:
				p.stopUnit(u, "start unanswered")
			case p.standing(m):
				p.stopStanding(u)
			}
		}
	}
}

// standing reports whether a member has made no progress for long, by what its worker
// has listed.
func (p *Pool) standing(m *member) bool {
	if m.state != memberRunning || m.unit.spec().LongRunning || m.percentAt.IsZero() {
		return false
	}
	limit := max(standingLimit, time.Duration(standingShare*float64(m.unit.spec().Estimate())))
	return m.listedAt.Sub(m.percentAt) > limit
}

// stopStanding moves a unit away from the workers on which it stands still.
func (p *Pool) stopStanding(u *unit) {
	if u.avoid == nil {
		u.avoid = map[string]bool{}
	}
	for _, m := range u.members {
		if m.worker == nil || !p.standing(m) {
			continue
		}
		u.avoid[m.worker.ID] = true
		if !u.spec().Gang {
			m.worker.penaltyUntil = p.loop.Now().Add(penalty)
		}
	}
	p.stopUnit(u, "stands still")
}

// A run that makes no progress for standingLimit, and for standingShare of its
// estimate, is moved.
const (
	standingLimit = 8 * time.Second
	standingShare = 0.4
)

// sortedMembers returns the worker's members in the order of their names.
func (w *worker) sortedMembers() []*member {
	sorted := make([]*member, 0, len(w.members))
	for m := range w.members {
		sorted = append(sorted, m)
	}
	slices.SortFunc(sorted, func(a, b *member) int { return strings.Compare(a.name().String(), b.name().String()) })
	return sorted
}
