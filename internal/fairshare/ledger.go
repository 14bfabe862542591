// Package fairshare orders the waiting work of the tenants of a pool by their shares of it. A
// tenant's share is its dominant share, the largest of its shares of cores, memory and
// accelerators, in proportion to its weight. The package reads no clock and does no I/O.
package fairshare

import (
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const (
	// useHalfLife is the time in which past use loses half of its effect. It spans several jobs of
	// some seconds, so that a burst is paid back while its callers still compete.
	useHalfLife = 20 * time.Second
	// minWeight is the weight of a tenant without a guarantee, as a share of the pool.
	minWeight = 0.005
	// negligibleShare is the faded share below which the account of an idle tenant is dropped.
	negligibleShare = 1e-4
)

// Ledger keeps what each tenant of a pool holds and has used. It is changed whenever a task takes or
// leaves resources.
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

// Release records that a tenant leaves resources.
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

// dropIdleAccounts drops the accounts of tenants that hold nothing and whose past use is negligible.
func (l *Ledger) dropIdleAccounts(now time.Time) {
	for tenant, a := range l.accounts {
		if a.held == (taskgraph.Resources{}) && l.negligible(a.fadedAt(now)) {
			delete(l.accounts, tenant)
		}
	}
}

// negligible reports whether faded use no longer matters; false while the capacity is not known.
func (l *Ledger) negligible(faded amount) bool {
	return l.capacity != (amount{}) && faded.dominantShare(l.capacity) < negligibleShare
}
