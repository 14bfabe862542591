package pool

import "time"

const (
	// leaseExtension is how far each poll extends the lease of a worker's runs, unless the
	// platform's bound is lower. A shorter extension frees the capacity of failed workers sooner.
	leaseExtension = 6 * time.Second
	// clockDrift is the fraction by which a worker's clock may be slower than the owner's.
	clockDrift = 0.02
	// lapseMargin is added to the end of a lease before its runs count as lost.
	lapseMargin = 300 * time.Millisecond
)

// clockNow returns a lower estimate of the worker's clock, so that leases never end later than
// intended. After minutes of idleness a worker may refuse a start as late because of it; the
// refusal carries the worker's clock.
func (w *worker) clockNow(now time.Time) int64 {
	elapsed := float64(now.Sub(w.clockAt).Milliseconds())
	return w.clock + int64(elapsed*(1-clockDrift))
}

// lapsed reports whether all leases of the worker have certainly expired.
func (p *Pool) lapsed(w *worker) bool {
	deadline := w.deadline
	if p.options.Without.LeaseWait {
		return true
	}
	if deadline == 0 {
		// This owner granted no lease. The former owner may have granted some until this one had
		// claimed the progress rows.
		since := w.clockAt
		if p.claimedAt.After(since) && !p.options.Without.ClaimWait {
			since = p.claimedAt
		}
		return p.loop.Now().Sub(since) > time.Duration(float64(p.options.Bounds.MaxHold)*(1+clockDrift))+lapseMargin
	}
	return w.clockNow(p.loop.Now()) > deadline+lapseMargin.Milliseconds()
}

// checkWorkers marks the runs of workers that stopped responding as lost once the lease has
// expired.
func (p *Pool) checkWorkers() {
	for _, w := range p.sortedWorkers() {
		silent := w.unansweredCalls > 0 || (!w.contacted && p.loaded)
		if silent && len(w.members) > 0 && p.lapsed(w) {
			p.record.Decided("lease ran out", "worker", w.ID, "runs", len(w.members))
			p.loseRuns(w, lostLeaseExpired)
			p.forgetIfIdle(w)
		} else if silent && !w.hasRow && p.lapsed(w) {
			p.forgetIfIdle(w)
		}
	}
}
