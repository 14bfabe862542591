package pool

import "github.com/wheatroad/wheatroad/internal/fleet"

// claimNextLife takes in a row that names another life of a worker, which would be the next one.
// With something running in the known life, that other one is asked first.
func (p *Pool) claimNextLife(w *worker, described *fleet.Worker) {
	if len(w.members) == 0 && len(w.unwanted) == 0 {
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
		if err == nil && p.follows(w, reply.Born, sentAt) {
			p.restarted(w, reply, lifeByClaim, sentAt)
			return
		}
		p.claimNotProved(w, err)
	})
}

// claimNotProved goes on with the known life. A claim without an answer may still be true.
func (p *Pool) claimNotProved(w *worker, err error) {
	if err == nil {
		// The known life answers where the row said the later one is.
		p.refuteClaim(w)
		return
	}
	switch fleet.ReasonOf(err) {
	case fleet.Fenced:
		p.Abandon("fenced by worker " + w.ID)
	case fleet.NoAnswer, fleet.Unreachable, fleet.Unhealthy:
		p.loop.After(holdRetry, func() {
			if !p.gone && p.workers[w.ID] == w {
				p.askClaimed(w)
			}
		})
	default:
		p.refuteClaim(w)
	}
}

// refuteClaim lets go of a claim that is untrue. The row that made it names no worker to use.
func (p *Pool) refuteClaim(w *worker) {
	p.record.Count("refusals", "worker_row_refuted")
	w.claimed = nil
	p.unlistNow(w)
}
