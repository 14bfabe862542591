package pool

import "github.com/wheatroad/wheatroad/internal/fleet"

// verifyNextIncarnation handles a worker row that names another incarnation, which probably follows
// the known incarnation. If runs may exist in the known incarnation, the named incarnation replaces
// it only after answering a request.
func (p *Pool) verifyNextIncarnation(w *worker, described *fleet.Worker) {
	if len(w.members) > 0 || len(w.unexpected) > 0 {
		p.verifyRow(w, described)
		return
	}
	p.recordRestart(w, described.Incarnation, restartSeenInRow, 0)
	replacement := p.replaceIncarnation(w, *described)
	replacement.startClaimed = true
	p.updateFromRow(replacement, described)
}

// awaitsNextIncarnation reports whether the worker's row names another incarnation that has not answered.
func (p *Pool) awaitsNextIncarnation(w *worker) bool {
	return w.unverifiedRow != nil && p.compareIncarnation(w, w.unverifiedRow.StartMillis) != sameIncarnation
}

// verifyRow asks at the address that a worker row names whether the row is right. Until then the worker
// keeps its known incarnation and address, and takes no new work.
func (p *Pool) verifyRow(w *worker, described *fleet.Worker) {
	sameAddress := w.unverifiedRow != nil && w.unverifiedRow.Address == described.Address
	w.unverifiedRow = described
	if sameAddress && w.cancelRowQuery != nil {
		// The next query is scheduled.
		return
	}
	if !sameAddress {
		w.unansweredRowQueries = 0
	}
	p.queryUnverifiedRow(w)
}

// queryUnverifiedRow requests a run report at the address that an unverified row names.
func (p *Pool) queryUnverifiedRow(w *worker) {
	if w.verifying || w.unverifiedRow == nil {
		return
	}
	if w.cancelRowQuery != nil {
		w.cancelRowQuery()
		w.cancelRowQuery = nil
	}
	w.verifying = true
	queried := w.unverifiedRow
	call := p.callTo(w)
	call.address = queried.Address
	p.record.Count("worker_orders", "ask_life")
	p.ports.Poll(queried, fleet.Poll{Token: call.token}, func(reply fleet.Reply, err error) {
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.verifying = false
		if w.unverifiedRow == nil {
			return
		}
		report := newReport(reply, call)
		switch {
		case err == nil && p.isSuccessor(w, report):
			p.handleVerifiedIncarnation(w, queried, report)
		case w.unverifiedRow != queried:
			// The answer says nothing about the row that was read since.
			p.queryUnverifiedRow(w)
		case err == nil && p.confirmsAddress(w, queried, report):
			p.handleVerifiedAddress(w, queried, report)
		default:
			p.rowUnverified(w, call, err)
		}
	})
}

// handleVerifiedIncarnation handles the restart that a worker's answer has confirmed, and then the row
// that was read since the request, if any.
func (p *Pool) handleVerifiedIncarnation(w *worker, queried *fleet.Worker, report workerReport) {
	newest := w.unverifiedRow
	w.unverifiedRow = queried
	p.handleRestart(w, report, restartConfirmedByReply)
	if newest != queried && !p.closed {
		p.applyDescription(p.workers[w.ID], newest)
	}
}

// confirmsAddress reports whether the known incarnation has answered at the other address that its row
// names.
func (p *Pool) confirmsAddress(w *worker, queried *fleet.Worker, report workerReport) bool {
	sameWorker := p.compareIncarnation(w, report.StartMillis) == sameIncarnation
	return sameWorker && p.compareIncarnation(w, queried.StartMillis) == sameIncarnation && queried.Address != w.Address
}

// handleVerifiedAddress handles a report that the known incarnation has sent from the other address that
// its row names.
func (p *Pool) handleVerifiedAddress(w *worker, queried *fleet.Worker, report workerReport) {
	p.updateFromRow(w, queried)
	p.handleReport(w, report)
}

// rowUnverified keeps the known incarnation and address. If the request got no response, the row may
// still be right, and the owner repeats the request.
func (p *Pool) rowUnverified(w *worker, call workerCall, err error) {
	if err == nil {
		// The known incarnation answered at the address in the row.
		p.rejectRow(w)
		return
	}
	reason := fleet.ReasonOf(err)
	if p.refusesEarlierToken(w, call, reason) {
		p.repeatRowQuery(w)
		return
	}
	switch reason {
	case fleet.Fenced:
		p.Abandon("worker has a newer token: " + w.ID)
	case fleet.OutcomeUnknown, fleet.Unreachable, fleet.Unhealthy:
		p.repeatRowQuery(w)
	default:
		p.rejectRow(w)
	}
}

// repeatRowQuery schedules the next query about a row whose address does not answer.
func (p *Pool) repeatRowQuery(w *worker) {
	pause := doublingPause(w.unansweredRowQueries)
	w.unansweredRowQueries++
	w.cancelRowQuery = p.loop.After(pause, func() {
		w.cancelRowQuery = nil
		if !p.closed && p.workers[w.ID] == w {
			p.queryUnverifiedRow(w)
		}
	})
}

// rejectRow discards a row that the worker did not confirm, and handles it as an invalid one.
func (p *Pool) rejectRow(w *worker) {
	p.record.Count("refusals", "worker_row_refuted")
	w.unverifiedRow = nil
	p.suspendPlacement(w.ID)
}
