package pool

import (
	"maps"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// loadWorkers lists the worker rows, then follows their feed.
func (p *Pool) loadWorkers() {
	table := p.ports.WorkerTable()
	requestedAt := p.loop.Now()
	p.scanPartition(table, "", retryDelay, func(listing rows.Listing) {
		listed := map[string]bool{}
		for i := range listing.Rows {
			listed[listing.Rows[i].Name] = true
			p.applyWorkerRow(listing.Rows[i])
		}
		for id, w := range p.workers {
			if !listed[id] {
				p.handleRowGone(w)
			}
		}
		maps.DeleteFunc(p.invalidRows.faults, func(name string, _ fleet.RowFault) bool { return !listed[name] })
		p.recordWorkersReadAt(table, requestedAt)
		p.followFeed(table, listing.Version, retryDelay, p.applyWorkerRow, p.loadWorkers)
	})
}

// applyWorkerRow applies a change of a worker row.
func (p *Pool) applyWorkerRow(row rows.Row) {
	w := p.workers[row.Name]
	if row.Gone {
		delete(p.invalidRows.faults, row.Name)
		if w != nil {
			p.handleRowGone(w)
		}
		return
	}
	described, err := p.ports.DecodeWorker(row.Name, row.Value)
	if err != nil {
		p.handleInvalidWorkerRow(row.Name, err)
		return
	}
	delete(p.invalidRows.faults, row.Name)
	if described.Pool != p.options.Pool {
		p.suspendPlacement(row.Name)
		return
	}
	p.applyDescription(w, described)
}

// applyDescription applies the content of a worker row of this pool; w is nil if the worker is unknown.
func (p *Pool) applyDescription(w *worker, described *fleet.Worker) {
	if w == nil {
		w = p.addUnlistedWorker(fleet.Incarnation{ID: described.ID})
	}
	w.discardClaimedStart()
	switch order := p.compareIncarnation(w, described.StartMillis); {
	case order == laterIncarnation, order == earlierIncarnation && w.unansweredCalls > 0:
		// If the known incarnation does not respond, the worker may have restarted with a clock
		// that was set back.
		p.verifyNextIncarnation(w, described)
	case order == earlierIncarnation:
		p.record.Count("refusals", "worker_row_stale")
	case p.namesOtherAddress(w, described):
		p.verifyRow(w, described)
	default:
		p.updateFromRow(w, described)
	}
}

// updateFromRow applies the content of a worker row to the known incarnation.
func (p *Pool) updateFromRow(w *worker, described *fleet.Worker) {
	wasDraining := w.Draining
	w.startClaimed = w.startClaimed || !w.contacted && w.StartMillis < described.StartMillis
	startMillis := max(w.StartMillis, described.StartMillis)
	p.takeAddressFromRow(w, described.Address)
	w.Worker = *described
	w.StartMillis = startMillis
	w.unverifiedRow = nil
	if rack := described.Rack(); w.rack != rack {
		w.rack = rack
		p.snapshotBuffers.racks = nil
	}
	w.hasRow, w.rowMissing, w.respondedWithoutRow = true, false, false
	w.coldStartUntil = p.loop.Now().Add(time.Duration(described.ColdMillis) * time.Millisecond)
	if w.Draining && !wasDraining {
		p.recordDrain(w)
		p.drainWorker(w)
	}
	p.enqueueFirstContact(w)
	p.scheduleCycle()
}

// addUnlistedWorker adds a worker of which only the incarnation is known.
func (p *Pool) addUnlistedWorker(incarnation fleet.Incarnation) *worker {
	w := &worker{
		Worker:     fleet.Worker{Incarnation: incarnation},
		unexpected: map[runID]unexpectedRun{},
		clockAt:    p.loop.Now(),
		token:      p.orderToken,
	}
	p.workers[incarnation.ID] = w
	p.restoreKeptSpeed(w)
	p.restoreRemoved(w)
	p.invalidateWorkerCaches()
	return w
}

// invalidateWorkerCaches discards caches that depend on the set of workers.
func (p *Pool) invalidateWorkerCaches() {
	p.workerOrder = nil
	p.snapshotBuffers.racks = nil
}

// handleRowGone handles the deletion of a worker row. Workers rewrite rows that expired during a
// store outage soon after the outage. Until missingRowGrace has passed, the worker counts as
// listed.
func (p *Pool) handleRowGone(w *worker) {
	w.unverifiedRow = nil
	remaining := p.storeRecoveredAt.Add(missingRowGrace).Sub(p.loop.Now())
	if remaining <= 0 || w.Draining {
		p.markUnlisted(w)
		return
	}
	w.rowMissing = true
	p.loop.After(remaining, func() {
		if !p.closed && w.rowMissing && p.workers[w.ID] == w {
			p.markUnlisted(w)
		}
	})
}

// missingRowGrace is how long a row may be missing after the store is available again.
const missingRowGrace = 2500 * time.Millisecond

// markUnlisted marks a worker as no longer listed. Its runs may continue.
func (p *Pool) markUnlisted(w *worker) {
	if w.hasRow {
		p.record.LogEvent("worker no longer listed", "worker", w.ID, "runs", len(w.members))
		w.unlistedAt = p.loop.Now()
	}
	w.hasRow = false
	for _, m := range w.members {
		// From now on the progress rows must contain the worker's address.
		p.persist(m.unit.job)
	}
	p.removeIfIdle(w)
}

func (p *Pool) removeIfIdle(w *worker) {
	if p.awaitsNextIncarnation(w) && len(w.members) == 0 {
		p.verifyNextIncarnation(w, w.unverifiedRow)
		return
	}
	if !w.hasRow && len(w.members) == 0 && !w.expectsLateStarts(p.loop.Now()) {
		if w.cancelPollTimer != nil {
			w.cancelPollTimer()
		}
		delete(p.workers, w.ID)
		p.rememberRemoved(w)
		p.invalidateWorkerCaches()
	}
}

// handleCommandError handles the errors that all requests to workers have in common. It returns
// true if the worker was replaced or this owner has lost the pool.
func (p *Pool) handleCommandError(w *worker, call workerCall, err error) bool {
	reason := fleet.ReasonOf(err)
	if p.refusesEarlierToken(w, call, reason) {
		return false
	}
	switch reason {
	case fleet.Fenced:
		p.Abandon("worker has a newer token: " + w.ID)
		return true
	case fleet.OtherInstance:
		return p.handleOtherInstance(w, call)
	case fleet.OutcomeUnknown, fleet.Unreachable:
		p.recordNoReply(w)
	case fleet.Unhealthy:
		w.excludedUntil = p.loop.Now().Add(exclusionPeriod)
	}
	return false
}

// handleWorkerReplaced marks all runs on a worker as lost after another instance has replaced it.
func (p *Pool) handleWorkerReplaced(w *worker, reason string) {
	p.record.LogEvent("worker instance replaced", "worker", w.ID, "born", w.StartMillis, "reason", reason, "runs", len(w.members),
		"address", w.Address, "contacted", w.contacted, "acquired_ms_ago", p.loop.Now().Sub(p.acquiredAt).Milliseconds())
	p.markRunsLost(w, lostInstanceReplaced)
	// The other instance refuses starts that are not meant for it.
	w.lateStarts = nil
	w.hasRow = false
	unverified := w.unverifiedRow
	p.removeIfIdle(w)
	if unverified != nil && p.workers[w.ID] == nil {
		// The worker may have started again at the address in its row.
		p.applyDescription(nil, unverified)
	}
}

// pollOverdueStops polls workers with stops that should have completed.
func (p *Pool) pollOverdueStops() {
	now := p.loop.Now()
	for _, w := range p.sortedWorkers() {
		for _, m := range w.members {
			if !m.stoppingSince.IsZero() && now.Sub(m.stoppingSince) > p.longestStop() {
				p.pollNow(w)
				break
			}
		}
	}
}

// stopMargin is added to the time that a stop may take.
const stopMargin = 50 * time.Millisecond

// longestStop returns the time after which a worker has certainly carried out a stop. The platform's
// bound is measured on the worker's clock, which may be slow.
func (p *Pool) longestStop() time.Duration {
	return time.Duration(float64(p.options.Bounds.StopTimeout)*(1+clockDrift)) + stopMargin
}
