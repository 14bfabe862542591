package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fairshare"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// unitOrder yields the units of one cycle in the order in which they are placed.
type unitOrder struct {
	pool  *Pool
	units []*unit
	// index is the index of the unit that was yielded last; -1 before the first.
	index int
	// turns orders the units, described by items, by the shares of their tenants; nil if the units
	// stay in the given order.
	turns *fairshare.Turns
	items []fairshare.Item
	now   time.Time
	// ahead is true if the last unit came before an earlier one because of its tenant's share.
	ahead bool
}

// cycleOrder returns the order of a cycle's units, which are sorted by compareUnits.
func (p *Pool) cycleOrder(waiting []*unit, now time.Time) *unitOrder {
	order := &unitOrder{pool: p, units: waiting, index: -1}
	if !p.features().TenantSharing {
		return order
	}
	p.tenantUse.SetPool(p.capacityAndGuarantees())
	order.now = now
	order.items = p.shareItems(waiting, newShareRanks(p, waiting, now))
	order.turns = p.tenantUse.Turns(order.items, now)
	return order
}

// next returns the next unit, or nil if none is left.
func (o *unitOrder) next() *unit {
	o.index++
	if o.turns != nil {
		o.index, o.ahead = o.turns.Next()
	}
	if o.index == fairshare.NoItem || o.index == len(o.units) {
		return nil
	}
	return o.units[o.index]
}

// tried records that the pool has tried to place the unit that was yielded last. A placed unit counts as
// held by its tenant for the rest of the cycle. A reservation does so within its priority, so that
// reservations are shared like placements. A unit that got neither costs its tenant nothing.
func (o *unitOrder) tried(result placeResult) {
	if o.turns == nil {
		return
	}
	switch result {
	case unitPlaced:
		o.turns.Charge(o.index)
	case unitReserved:
		o.turns.ChargeReservation(o.index)
	}
	overdue := o.rank() == rankOverdue
	if overdue {
		o.pool.overdueTurns.tried(o.units[o.index], result, o.now)
	}
	switch {
	case result == unitPlaced && overdue:
		o.pool.record.Count("tenant_turns", "wait_bound")
	case result == unitPlaced && o.ahead:
		o.pool.record.Count("tenant_turns", "share")
	}
}

// skipped records that the pool has not tried to place the unit that was yielded last, since it could
// not place an equivalent one.
func (o *unitOrder) skipped() {
	if o.turns != nil && o.rank() == rankOverdue {
		o.pool.overdueTurns.tried(o.units[o.index], unitNotPlaced, o.now)
	}
}

// rank returns the rank of the unit that was yielded last.
func (o *unitOrder) rank() shareRank { return shareRank(o.items[o.index].Group % int(shareRankCount)) }

// capacityAndGuarantees returns the pool's present capacity and the tenants' guarantees.
func (p *Pool) capacityAndGuarantees() (capacity taskgraph.Resources, guarantees map[string]taskgraph.Resources) {
	for _, w := range p.workers {
		capacity = capacity.Plus(w.Capacity)
	}
	guarantees = map[string]taskgraph.Resources{}
	if current := p.options.Catalog(); current != nil {
		for i := range current.Tenants {
			guarantees[current.Tenants[i].Name] = current.Tenants[i].Guaranteed
		}
	}
	return capacity, guarantees
}

// shareRank orders the units of one priority before the shares of their tenants do.
type shareRank int

const (
	// rankGuaranteed units have priority 0 and a tenant within its guarantee. They go first from their
	// arrival: once their start is due, they could not preempt work of priority 0 that had passed them.
	rankGuaranteed shareRank = iota
	// rankOverdue units have waited longer than the wait bound and have their turn.
	rankOverdue
	// rankClaimant units have preempted others and wait for them to stop. They stay in front, since
	// other units that took the resources first would make them preempt again.
	rankClaimant
	// rankTimely units can still meet their objective.
	rankTimely
	// rankLate units cannot.
	rankLate

	shareRankCount
)

// shared reports whether the shares of the tenants order the units of a rank. Units of other ranks
// stay in the order of arrival.
func (r shareRank) shared() bool { return r == rankTimely || r == rankLate }

// shareRanks determines the ranks of units in one cycle.
type shareRanks struct {
	pool *Pool
	now  time.Time
	// withinGuarantee caches Pool.withinGuarantee for jobs of priority 0, by tenant.
	withinGuarantee map[string]bool
	// overdue holds the overdue units that have their turn.
	overdue map[*unit]bool
}

func newShareRanks(p *Pool, waiting []*unit, now time.Time) *shareRanks {
	r := &shareRanks{pool: p, now: now, withinGuarantee: map[string]bool{}}
	r.overdue = p.overdueTurns.choose(waiting, r.guaranteed, now)
	return r
}

// of returns the rank of a unit.
func (r *shareRanks) of(u *unit) shareRank {
	bounds := &r.pool.options.Bounds
	switch {
	case r.guaranteed(u):
		return rankGuaranteed
	case r.overdue[u]:
		return rankOverdue
	case !u.preemptedAt.IsZero() && r.now.Sub(u.preemptedAt) < bounds.StopTimeout+guaranteeMargin:
		return rankClaimant
	case u.missesObjective(r.now) && !r.pool.options.DisabledMechanisms[mechanism.OnTimeFirst]:
		return rankLate
	}
	return rankTimely
}

// guaranteed is Pool.withinGuarantee, computed at most once for each tenant.
func (r *shareRanks) guaranteed(u *unit) bool {
	if u.job.Queue.Priority > 0 {
		return false
	}
	within, known := r.withinGuarantee[u.job.Tenant]
	if !known {
		within = r.pool.withinGuarantee(u.job)
		r.withinGuarantee[u.job.Tenant] = within
	}
	return within
}

// shareItems sorts units by priority and rank, and otherwise keeps their order. It returns their
// descriptions in the new order, which are valid until the next call.
func (p *Pool) shareItems(waiting []*unit, ranks *shareRanks) []fairshare.Item {
	groups := map[int][]*unit{}
	for _, u := range waiting {
		group := u.job.Queue.Priority*int(shareRankCount) + int(ranks.of(u))
		groups[group] = append(groups[group], u)
	}
	items, sorted := p.shareItemsBuffer[:0], waiting[:0]
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		rank := shareRank(group % int(shareRankCount))
		sorted = append(sorted, groups[group]...)
		for _, u := range groups[group] {
			items = append(items, fairshare.Item{
				Tenant: u.job.Tenant, Demand: u.spec().Requirements().Multiply(len(u.members)),
				Priority: u.job.Queue.Priority, Group: group, InOrder: !rank.shared(),
			})
		}
	}
	p.shareItemsBuffer = items
	return items
}

// TenantStatus is a tenant's share of a pool. Shares are dominant shares: the largest of the shares
// of cores, memory and accelerators.
type TenantStatus struct {
	Tenant string `json:"tenant"`
	// Due is the share that the tenant's weight gives it while all tenants compete.
	Due float64 `json:"due"`
	// Held is the share in use, and Used its decaying mean.
	Held float64 `json:"held"`
	Used float64 `json:"used"`
	// Credit is Due less Used. A positive credit is what the tenant has lent to others by holding less
	// than its share lately; a negative one is what it owes them for having held more.
	Credit float64 `json:"credit"`
	// WaitingUnits counts tasks and gangs that wait for placement, and LongestWaitMillis is the
	// longest of their waits.
	WaitingUnits      int   `json:"waiting_units"`
	LongestWaitMillis int64 `json:"longest_wait_ms"`
}

// tenantStatus returns the shares of the tenants, by name.
func (p *Pool) tenantStatus(now time.Time) []TenantStatus {
	waits := p.tenantWaits(now)
	standings := p.tenantUse.View(p.capacityAndGuarantees()).Standings(maps.Keys(waits), now)
	tenants := make([]TenantStatus, len(standings))
	for i := range standings {
		s := &standings[i]
		wait := waits[s.Tenant]
		tenants[i] = TenantStatus{
			Tenant: s.Tenant, Due: s.Due, Held: s.Held, Used: s.Used, Credit: s.Credit(),
			WaitingUnits: wait.units, LongestWaitMillis: wait.longest.Milliseconds(),
		}
	}
	return tenants
}

// tenantWait counts the waiting units of a tenant.
type tenantWait struct {
	units   int
	longest time.Duration
}

// tenantWaits returns the waits of the tenants that have waiting units.
func (p *Pool) tenantWaits(now time.Time) map[string]tenantWait {
	waits := map[string]tenantWait{}
	for u := range p.openUnits() {
		if u.state != unitWaiting {
			continue
		}
		wait := waits[u.job.Tenant]
		wait.units++
		wait.longest = max(wait.longest, now.Sub(u.readyAt))
		waits[u.job.Tenant] = wait
	}
	return waits
}

// tenantsUpdatePeriod is the minimum time between two calls of updateTenants that have an effect.
const tenantsUpdatePeriod = time.Second

// updateTenants drops the accounts of idle tenants and the turns that are over, and sets the gauges of
// the tenants' shares.
func (p *Pool) updateTenants() {
	now := p.loop.Now()
	if now.Sub(p.tenantsUpdatedAt) < tenantsUpdatePeriod {
		return
	}
	p.tenantsUpdatedAt = now
	p.tenantUse.Prune(now)
	p.overdueTurns.prune(now)
	if p.features().TenantSharing {
		p.reportShares(now)
	} else {
		p.endShareReports()
	}
}

// reportShares sets the gauges of the tenants' shares.
func (p *Pool) reportShares(now time.Time) {
	longestWait, mostLent, mostOwed := int64(0), 0.0, 0.0
	for _, t := range p.tenantStatus(now) {
		longestWait = max(longestWait, t.LongestWaitMillis)
		mostLent = max(mostLent, t.Credit)
		mostOwed = max(mostOwed, -t.Credit)
	}
	p.sharesReported = true
	p.setShareGauges(longestWait, mostLent, mostOwed)
}

// endShareReports sets the gauges that reportShares has set to 0. It is called when the policy is off or
// the pool is no longer owned.
func (p *Pool) endShareReports() {
	if p.sharesReported {
		p.sharesReported = false
		p.setShareGauges(0, 0, 0)
	}
}

func (p *Pool) setShareGauges(longestWaitMillis int64, mostLent, mostOwed float64) {
	p.record.Set("tenant_longest_wait", longestWaitMillis)
	p.record.Set("tenant_most_lent", permille(mostLent))
	p.record.Set("tenant_most_owed", permille(mostOwed))
}

// permille returns a share in thousandths.
func permille(share float64) int64 { return int64(1000 * share) }
