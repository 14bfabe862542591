package pool

import "time"

const (
	// leaseExtension is how far each hold extends what runs, unless the platform's
	// bound is lower. A shorter one frees what a dead worker held sooner.
	leaseExtension = 6 * time.Second
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// lapseMargin is added to the end of a lease before its runs count as gone.
	lapseMargin = 300 * time.Millisecond
)

// clockNow estimates the worker's clock, from below: leases that are given by it end no later
// than meant. A worker that was idle for minutes may refuse a start as late by it, and tells
// its clock with that.
func (w *worker) clockNow(now time.Time) int64 {
	elapsed := float64(now.Sub(w.clockAt).Milliseconds())
	return w.clock + int64(elapsed*(1-clockDrift))
}

// lapsed reports whether all leases of the worker have surely run out.
func (p *Pool) lapsed(w *worker) bool {
	deadline := w.deadline
	if p.options.Without.LeaseWait {
		return true
	}
	if deadline == 0 {
		// No lease was given by this owner. The one before may have given some until this one
		// had claimed the progress.
		since := w.clockAt
		if p.claimedAt.After(since) && !p.options.Without.ClaimWait {
			since = p.claimedAt
		}
		return p.loop.Now().Sub(since) > time.Duration(float64(p.options.Bounds.MaxHold)*(1+clockDrift))+lapseMargin
	}
	return w.clockNow(p.loop.Now()) > deadline+lapseMargin.Milliseconds()
}

// checkWorkers ends what ran on workers that stayed silent past their lease.
func (p *Pool) checkWorkers() {
	for _, w := range p.sortedWorkers() {
		silent := w.unanswered > 0 || (!w.greeted && p.loaded)
		if silent && len(w.members) > 0 && p.lapsed(w) {
			p.record.Decided("lease ran out", "worker", w.ID, "runs", len(w.members))
			p.loseRuns(w, lostWithLease)
			p.forgetIfIdle(w)
		} else if silent && !w.listed && p.lapsed(w) {
			p.forgetIfIdle(w)
		}
	}
}
