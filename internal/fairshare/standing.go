package fairshare

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// Standing is how a tenant stands in a pool. Shares are dominant shares, as parts of the pool.
type Standing struct {
	Tenant string
	// Due is the tenant's part of the weights of all listed tenants.
	Due float64
	// Held is what the tenant holds now, and Used the decaying mean of what it held.
	Held, Used float64
}

// Credit is the tenant's due share less what it has used. A positive credit is what the tenant has lent
// to others by holding less than its share lately; a negative one is what it owes them for having held
// more. It lies between the due share, after a long idle time, and the due share less 1.
func (s *Standing) Credit() float64 { return s.Due - s.Used }

// Standings returns, by name, the standings of the tenants that have a guarantee, hold something,
// have used something lately, or are among the waiting ones.
func (l *Ledger) Standings(waiting iter.Seq[string], now time.Time) []Standing {
	listed := map[string]bool{}
	for tenant, a := range l.accounts {
		if !l.idle(a, now) {
			listed[tenant] = true
		}
	}
	for _, tenants := range []iter.Seq[string]{maps.Keys(l.weights), waiting} {
		for tenant := range tenants {
			listed[tenant] = true
		}
	}
	totalWeight := 0.0
	for tenant := range listed {
		totalWeight += l.weight(tenant)
	}
	standings := make([]Standing, 0, len(listed))
	for _, tenant := range slices.Sorted(maps.Keys(listed)) {
		standings = append(standings, l.standing(tenant, totalWeight, now))
	}
	return standings
}

func (l *Ledger) standing(tenant string, totalWeight float64, now time.Time) Standing {
	s := Standing{Tenant: tenant, Due: l.weight(tenant) / totalWeight}
	if a := l.accounts[tenant]; a != nil {
		s.Held = amountOf(a.held).dominantShare(l.capacity)
		s.Used = a.fadedAt(now).dominantShare(l.capacity)
	}
	return s
}
