package pool

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// An order without a response may be carried out by the next incarnation of its worker, which has seen
// no fencing token. A late start then takes capacity that the owner has given away, a late poll
// acknowledges ended runs that the owner has not seen, and both extend leases. The owner therefore
// raises its token after a restart, and gives the worker no runs before the worker has answered a poll
// with the higher token: from then on the worker refuses all earlier orders.
//
// A token must stay below that of the next owner. Tokens of owners are versions of the lease row, so
// any version at which this owner's lease row was in force is a valid token. The owner learns such a
// version by a transaction that is conditional on the lease row.

// fenceRow is the name of the row that an owner writes to raise its token.
const fenceRow = "fence"

// fenceKey returns the key of the row that an owner of a pool writes to raise its token.
func fenceKey(poolName string) rows.Key {
	return rows.Key{Table: FenceTable, Part: poolName, Name: fenceRow}
}

// removedWorker is what remains known of a worker that was removed.
type removedWorker struct {
	// token is the highest token of this owner's orders to the worker.
	token int64
	// until is until when such an order may be carried out.
	until time.Time
}

// awaitsFence reports whether an order of this owner to a former incarnation may still be carried out by
// the present one.
func (w *worker) awaitsFence() bool { return w.fenceAbove > 0 }

// requireFence makes a new incarnation refuse the orders to its predecessor, which had tokens up to the
// given one.
func (p *Pool) requireFence(w *worker, highest int64) {
	if p.options.DisabledSafeguards.RestartFence {
		return
	}
	w.fenceAbove = highest
	w.token = max(w.token, p.orderToken)
	if w.token <= highest {
		p.raiseToken()
	}
}

// raiseToken raises the token of the next orders to the workers that await it.
func (p *Pool) raiseToken() {
	if p.raisingToken || p.closed || p.releasing {
		return
	}
	p.raisingToken = true
	p.record.Count("worker_orders", "raise_token")
	p.ports.Commit(rows.Transaction{
		Conditions: []rows.Condition{{Key: LeaseKey(p.options.Pool), Version: p.token}},
		Puts:       []rows.Put{{Key: fenceKey(p.options.Pool), Value: mustEncode(fenceRecord{Owner: p.options.Node})}},
	}, p.handleRaisedToken)
}

// fenceRecord is the content of the row that an owner writes to raise its token. Only the row's version
// matters.
type fenceRecord struct {
	Owner string `json:"owner"`
}

func (p *Pool) handleRaisedToken(result rows.Result, err error) {
	p.raisingToken = false
	switch {
	case p.closed:
	case errors.Is(err, rows.ErrRejected):
		p.workWithoutFences(err)
	case err != nil:
		p.record.Count("retries", raiseRetryReason(err))
		p.storeRetries.After(maxRetryDelay, p.raiseToken)
	case !result.Committed:
		p.Abandon("lease row replaced")
	default:
		p.recordStoreAnswer()
		p.orderToken = max(p.orderToken, result.Version)
		p.fenceWaitingWorkers()
	}
}

func raiseRetryReason(err error) string {
	if errors.Is(err, rows.ErrNoEffect) {
		return "token_refused"
	}
	return "token_no_answer"
}

// workWithoutFences lets the workers that await a higher token take work, since the store does not take the
// row that raises it.
func (p *Pool) workWithoutFences(err error) {
	p.record.Count("refusals", "fence_row_rejected")
	p.record.LogEvent("fence row rejected", "pool", p.options.Pool, "reason", err.Error())
	for _, w := range p.workers {
		w.fenceAbove = 0
	}
	p.scheduleCycle()
}

// fenceWaitingWorkers polls the workers that await a higher token.
func (p *Pool) fenceWaitingWorkers() {
	for _, w := range p.sortedWorkers() {
		if w.awaitsFence() {
			w.token = p.orderToken
			p.pollNow(w)
		}
	}
}

// confirmFence handles the answer to a poll. From then on the worker refuses orders with lower tokens, so
// that no late order can extend its lease any more.
func (p *Pool) confirmFence(w *worker, report workerReport) {
	if !w.awaitsFence() || report.token <= w.fenceAbove {
		return
	}
	w.fenceAbove = 0
	if w.deadline > 0 && !p.options.DisabledSafeguards.RestartLease {
		w.deadline = report.ClockMillis + p.options.Bounds.MaxLease.Milliseconds()
	}
	p.scheduleCycle()
}

// refusesEarlierToken reports whether the refusal of a call as fenced may be due to a later token of this
// owner.
func (p *Pool) refusesEarlierToken(w *worker, call workerCall, reason fleet.Reason) bool {
	if reason != fleet.Fenced {
		return false
	}
	if known := p.workers[w.ID]; known != nil {
		return call.token < known.token
	}
	return call.token < p.orderToken
}

// rememberRemoved remembers the token of the orders to a worker that is removed. It may start again under
// its identifier.
func (p *Pool) rememberRemoved(w *worker) {
	if w.StartMillis > 0 && w.called && !p.options.DisabledSafeguards.RestartFence {
		p.removedWorkers[w.ID] = removedWorker{token: w.token, until: p.loop.Now().Add(p.lateOrderWindow())}
	}
}

// restoreRemoved applies what is remembered of a worker to its next incarnation.
func (p *Pool) restoreRemoved(w *worker) {
	removed, known := p.removedWorkers[w.ID]
	if !known {
		return
	}
	delete(p.removedWorkers, w.ID)
	if p.loop.Now().Before(removed.until) {
		p.requireFence(w, removed.token)
	}
}

// forgetRemovedWorkers forgets removed workers to which no order can be carried out any more.
func (p *Pool) forgetRemovedWorkers() {
	now := p.loop.Now()
	maps.DeleteFunc(p.removedWorkers, func(_ string, removed removedWorker) bool { return !now.Before(removed.until) })
}
