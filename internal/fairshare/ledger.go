// Package fairshare orders the waiting work of the tenants of a pool by their shares of it. A
// tenant's share is its dominant share, the largest of its shares of cores, memory and
// accelerators, in proportion to its weight. The package reads no clock and does no I/O.
package fairshare

import (
	"maps"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// useHalfLife is the time in which past use loses half of its effect. It is several times the
	// duration of a typical job, so that past use still counts when the tenants' next jobs arrive.
	useHalfLife = 20 * time.Second
	// minWeight is the weight of a tenant without a guarantee, as a share of the pool. It is small, but
	// such tenants still get a turn.
	minWeight = 0.005
	// negligibleShare is the faded share below which the account of an idle tenant is dropped.
	negligibleShare = 1e-4
	// negligibleAfter is the time after which past use of the whole pool is below negligibleShare.
	negligibleAfter = 14 * useHalfLife
)

// Ledger keeps what each tenant of a pool holds and has used. It is changed whenever a task takes or
// releases resources.
type Ledger struct {
	accounts map[string]*account
	capacity amount
	weights  map[string]float64
}

// account is the use of one tenant.
type account struct {
	// held is in use since settledAt or earlier.
	held taskgraph.Resources
	// faded is the decaying mean of what was held, as of settledAt.
	faded     amount
	settledAt time.Time
}

// NewLedger returns a ledger without any use.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, weights: map[string]float64{}}
}

// Take records that a tenant takes resources.
func (l *Ledger) Take(tenant string, resources taskgraph.Resources, now time.Time) {
	a := l.settle(tenant, now)
	a.held = a.held.Plus(resources)
}

// Release records that a tenant releases resources.
func (l *Ledger) Release(tenant string, resources taskgraph.Resources, now time.Time) {
	a := l.settle(tenant, now)
	a.held = a.held.Minus(resources)
}

// settle brings a tenant's faded use up to date. It opens an account if there is none.
func (l *Ledger) settle(tenant string, now time.Time) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{settledAt: now}
		l.accounts[tenant] = a
	}
	a.faded, a.settledAt = a.fadedAt(now), now
	return a
}

// fadedAt returns the decaying mean of what was held.
func (a *account) fadedAt(now time.Time) amount {
	remaining := remainingAfter(now.Sub(a.settledAt))
	return a.faded.times(remaining).plus(amountOf(a.held).times(1 - remaining))
}

// remainingAfter returns the part of past use that still counts after a time.
func remainingAfter(elapsed time.Duration) float64 {
	return math.Exp2(-max(0, elapsed).Seconds() / useHalfLife.Seconds())
}

// View returns a ledger for reading that has the same accounts, for a given capacity of the pool and the
// given guarantees.
func (l *Ledger) View(capacity taskgraph.Resources, guarantees map[string]taskgraph.Resources) *Ledger {
	view := &Ledger{accounts: l.accounts, weights: map[string]float64{}}
	view.SetPool(capacity, guarantees)
	return view
}

// SetPool sets the capacity of the pool and the tenants' guarantees.
func (l *Ledger) SetPool(capacity taskgraph.Resources, guarantees map[string]taskgraph.Resources) {
	l.capacity = amountOf(capacity)
	clear(l.weights)
	for tenant, guaranteed := range guarantees {
		l.weights[tenant] = max(minWeight, amountOf(guaranteed).dominantShare(l.capacity))
	}
}

// weight returns the weight of a tenant as a share of the pool.
func (l *Ledger) weight(tenant string) float64 { return max(minWeight, l.weights[tenant]) }

// Prune drops the accounts of tenants that hold nothing and whose past use is negligible.
func (l *Ledger) Prune(now time.Time) {
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return l.idle(a, now) })
}

// idle reports whether a tenant holds nothing and its past use is negligible.
func (l *Ledger) idle(a *account, now time.Time) bool {
	return a.held == (taskgraph.Resources{}) && l.negligible(a, now)
}

// negligible reports whether a tenant's past use no longer matters. While the capacity is not known,
// only the absence of use or the time since it tells.
func (l *Ledger) negligible(a *account, now time.Time) bool {
	faded := a.fadedAt(now)
	switch {
	case faded == (amount{}):
		return true
	case a.held == (taskgraph.Resources{}) && now.Sub(a.settledAt) >= negligibleAfter:
		return true
	}
	return l.capacity != (amount{}) && faded.dominantShare(l.capacity) < negligibleShare
}
