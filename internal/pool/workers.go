package pool

import (
	"maps"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// readWorkers lists the worker rows, then follows their feed.
func (p *Pool) readWorkers() {
	table := p.ports.WorkerTable()
	askedAt := p.loop.Now()
	p.scanAll(table, "", retryPause, func(listing rows.Listing) {
		listed := map[string]bool{}
		for i := range listing.Rows {
			listed[listing.Rows[i].Name] = true
			p.applyWorkerRow(listing.Rows[i])
		}
		for id, w := range p.workers {
			if !listed[id] {
				p.unlist(w)
			}
		}
		maps.DeleteFunc(p.foreign.faults, func(name string, _ fleet.RowFault) bool { return !listed[name] })
		p.noteListing(table, askedAt)
		p.follow(table, listing.Version, retryPause, p.applyWorkerRow, p.readWorkers)
	})
}

// applyWorkerRow applies a change of a worker row.
func (p *Pool) applyWorkerRow(row rows.Row) {
	w := p.workers[row.Name]
	if row.Gone {
		delete(p.foreign.faults, row.Name)
		if w != nil {
			p.unlist(w)
		}
		return
	}
	described, err := p.ports.DecodeWorker(row.Name, row.Value)
	if err != nil {
		p.takeForeignRow(row.Name, err)
		return
	}
	delete(p.foreign.faults, row.Name)
	if described.Pool != p.options.Pool {
		p.distrust(row.Name)
		return
	}
	if w == nil {
		w = p.unlistedWorker(described.Life)
	}
	switch order := p.compareIncarnation(w, described.Born); {
	case order == laterIncarnation, order == earlierIncarnation && w.unansweredCalls > 0:
		// If the known incarnation does not respond, an earlier start time may come from a clock
		// that was set back.
		p.verifyNextIncarnation(w, described)
	case order == earlierIncarnation:
		p.record.Count("refusals", "worker_row_stale")
	default:
		p.describe(w, described)
	}
}

// describe applies the content of a worker row to the known incarnation.
func (p *Pool) describe(w *worker, described *fleet.Worker) {
	if !w.hasRow {
		p.lossLedger.Replaced(described.Address, described.Life.String())
	}
	wasDraining := w.Draining
	born := max(w.Born, described.Born)
	w.Worker = *described
	w.Born = born
	w.claimedIncarnation = nil
	if rack := described.Rack(); w.rack != rack {
		w.rack = rack
		p.snapshotBuffers.racks = nil
	}
	w.hasRow, w.missing, w.departing = true, false, false
	w.coldUntil = p.loop.Now().Add(time.Duration(described.ColdMillis) * time.Millisecond)
	if w.Draining && !wasDraining {
		p.record.Decided("worker draining", "worker", w.ID, "remaining_ms", w.RemainingMillis, "runs", len(w.members))
		p.emptyLeaving(w)
	}
	p.enqueueFirstContact(w)
	p.scheduleCycle()
}

// unlistedWorker adds a worker of which only the incarnation is known.
func (p *Pool) unlistedWorker(life fleet.Life) *worker {
	w := &worker{
		Worker:     fleet.Worker{Life: life},
		unexpected: map[runID]unexpectedRun{},
		clockAt:    p.loop.Now(),
	}
	p.workers[life.ID] = w
	p.workersChanged()
	return w
}

// workersChanged discards what was derived from the previous set of workers.
func (p *Pool) workersChanged() {
	p.workerOrder = nil
	p.snapshotBuffers.racks = nil
}

// unlist handles the deletion of a worker row. Rows that expired during a store outage are
// rewritten soon after it; until then the worker counts as listed.
func (p *Pool) unlist(w *worker) {
	w.claimedIncarnation = nil
	remaining := p.storeBackAt.Add(lapsedRowGrace).Sub(p.loop.Now())
	if remaining <= 0 || w.Draining {
		p.unlistNow(w)
		return
	}
	w.missing = true
	p.loop.After(remaining, func() {
		if !p.closed && w.missing && p.workers[w.ID] == w {
			p.unlistNow(w)
		}
	})
}

// lapsedRowGrace is how long a row may be missing after the store is available again.
const lapsedRowGrace = 2500 * time.Millisecond

// unlistNow marks a worker as no longer listed. Its runs may continue.
func (p *Pool) unlistNow(w *worker) {
	if w.hasRow {
		p.record.Decided("worker gone from the list", "worker", w.ID, "runs", len(w.members))
	}
	w.hasRow = false
	for _, m := range w.members {
		// From now on the progress rows must contain the worker's address.
		p.persist(m.unit.job)
	}
	p.forgetIfIdle(w)
}

func (p *Pool) forgetIfIdle(w *worker) {
	if w.claimedIncarnation != nil && len(w.members) == 0 {
		p.verifyNextIncarnation(w, w.claimedIncarnation)
		return
	}
	if !w.hasRow && len(w.members) == 0 {
		if w.cancelPollTimer != nil {
			w.cancelPollTimer()
		}
		delete(p.workers, w.ID)
		p.workersChanged()
	}
}

// orderFailed handles what all failed requests to workers have in common. It returns true if the
// worker was replaced or this owner has lost the pool.
func (p *Pool) orderFailed(w *worker, err error) bool {
	switch fleet.ReasonOf(err) {
	case fleet.Fenced:
		p.Abandon("fenced by worker " + w.ID)
		return true
	case fleet.OtherInstance:
		p.workerDead(w, "another instance answers")
		return true
	case fleet.NoAnswer, fleet.Unreachable:
		p.noteNoReply(w)
	case fleet.Unhealthy:
		w.excludedUntil = p.loop.Now().Add(exclusionPeriod)
	}
	return false
}

// workerDead marks all runs on a worker as lost after another instance has replaced it.
func (p *Pool) workerDead(w *worker, reason string) {
	p.record.Decided("worker dead", "worker", w.ID, "reason", reason, "runs", len(w.members))
	p.loseRuns(w, lostInstanceReplaced)
	w.hasRow = false
	p.forgetIfIdle(w)
}

// checkStops polls workers with stops that should have completed.
func (p *Pool) checkStops() {
	now := p.loop.Now()
	for _, w := range p.sortedWorkers() {
		for _, m := range w.members {
			if m.stopAnswered && now.Sub(m.sentAt) > p.options.Bounds.StopTimeout+stopMargin {
				p.pollNow(w)
				break
			}
		}
	}
}

// stopMargin is added to the time that a stop may take.
const stopMargin = 50 * time.Millisecond
