package pool

import "github.com/wheatroad/wheatroad/internal/fleet"

// verifyNextIncarnation handles a worker row that names another incarnation, which probably follows
// the known incarnation. If runs may exist in the known incarnation, the named incarnation replaces
// it only after answering a request.
func (p *Pool) verifyNextIncarnation(w *worker, described *fleet.Worker) {
	if len(w.members) == 0 && len(w.unexpected) == 0 {
		p.recordRestart(w, described.Incarnation, restartSeenInRow, 0)
		p.updateFromRow(p.replaceIncarnation(w, *described), described)
		return
	}
	w.claimedIncarnation = described
	p.queryClaimedIncarnation(w)
}

// queryClaimedIncarnation requests a run report from the incarnation that a worker row names.
func (p *Pool) queryClaimedIncarnation(w *worker) {
	if w.verifying || w.claimedIncarnation == nil {
		return
	}
	w.verifying = true
	claimed, requestedAt := w.claimedIncarnation, p.loop.Now()
	p.record.Count("worker_orders", "ask_life")
	p.ports.Poll(claimed, fleet.Poll{Token: p.token}, func(reply fleet.Reply, err error) {
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.verifying = false
		if w.claimedIncarnation == nil {
			return
		}
		report := workerReport{Reply: reply, requestedAt: requestedAt}
		if err == nil && p.isSuccessor(w, report) {
			p.handleVerifiedIncarnation(w, claimed, report)
			return
		}
		if w.claimedIncarnation != claimed {
			// The answer says nothing about the row that was read since.
			p.queryClaimedIncarnation(w)
			return
		}
		p.claimedIncarnationUnverified(w, err)
	})
}

// handleVerifiedIncarnation handles the restart that a worker's answer has confirmed, and then the row
// that was read since the request, if any.
func (p *Pool) handleVerifiedIncarnation(w *worker, claimed *fleet.Worker, report workerReport) {
	newest := w.claimedIncarnation
	w.claimedIncarnation = claimed
	p.handleRestart(w, report, restartConfirmedByReply)
	if newest != claimed && !p.closed {
		p.applyDescription(p.workers[w.ID], newest)
	}
}

// claimedIncarnationUnverified keeps the known incarnation. If the request got no response, the row
// may still be right, and the owner repeats the request.
func (p *Pool) claimedIncarnationUnverified(w *worker, err error) {
	if err == nil {
		// The known incarnation answered at the address in the row.
		p.rejectClaimedIncarnation(w)
		return
	}
	switch fleet.ReasonOf(err) {
	case fleet.Fenced:
		p.Abandon("worker has a newer token: " + w.ID)
	case fleet.OutcomeUnknown, fleet.Unreachable, fleet.Unhealthy:
		p.loop.After(pollRetryDelay, func() {
			if !p.closed && p.workers[w.ID] == w {
				p.queryClaimedIncarnation(w)
			}
		})
	default:
		p.rejectClaimedIncarnation(w)
	}
}

// rejectClaimedIncarnation discards an incarnation that the worker did not confirm, and handles the
// worker's row as deleted.
func (p *Pool) rejectClaimedIncarnation(w *worker) {
	p.record.Count("refusals", "worker_row_refuted")
	w.claimedIncarnation = nil
	p.markUnlisted(w)
}
