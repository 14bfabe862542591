package pool

import "github.com/wheatroad/wheatroad/internal/fleet"

// claimNextLife handles a worker row that names another incarnation, which probably follows the
// known one. If runs may exist in the known incarnation, the named one has to answer before it
// replaces it.
func (p *Pool) claimNextLife(w *worker, described *fleet.Worker) {
	if len(w.members) == 0 && len(w.unwanted) == 0 {
		p.noteRestart(w, described.Life, lifeByRow, 0)
		p.describe(p.replaceLife(w, *described), described)
		return
	}
	w.claimed = described
	p.askClaimed(w)
}

// askClaimed requests a run report from the incarnation that a worker row names.
func (p *Pool) askClaimed(w *worker) {
	if w.asking || w.claimed == nil {
		return
	}
	w.asking = true
	claimed, sentAt := w.claimed, p.loop.Now()
	p.record.Count("worker_orders", "ask_life")
	p.ports.Hold(claimed, fleet.Hold{Token: p.token}, func(reply fleet.Reply, err error) {
		if p.closed || p.workers[w.ID] != w {
			return
		}
		w.asking = false
		if w.claimed == nil {
			return
		}
		if err == nil && p.follows(w, reply.Born, sentAt) {
			p.restarted(w, reply, lifeByClaim, sentAt)
			return
		}
		p.claimNotProved(w, err)
	})
}

// claimNotProved keeps the known incarnation. Without a response the row may still be right, so
// the request is repeated.
func (p *Pool) claimNotProved(w *worker, err error) {
	if err == nil {
		// The known incarnation answered at the address in the row.
		p.refuteClaim(w)
		return
	}
	switch fleet.ReasonOf(err) {
	case fleet.Fenced:
		p.Abandon("fenced by worker " + w.ID)
	case fleet.NoAnswer, fleet.Unreachable, fleet.Unhealthy:
		p.loop.After(holdRetry, func() {
			if !p.closed && p.workers[w.ID] == w {
				p.askClaimed(w)
			}
		})
	default:
		p.refuteClaim(w)
	}
}

// refuteClaim discards an incarnation that the worker did not confirm, and treats the worker's row
// as gone.
func (p *Pool) refuteClaim(w *worker) {
	p.record.Count("refusals", "worker_row_refuted")
	w.claimed = nil
	p.unlistNow(w)
}
