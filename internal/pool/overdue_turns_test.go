package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/fairshare"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// testOverdue is the age of work of priority 1 that exceeds the wait bound.
const testOverdue = 12 * testObjective

// overdueJobs returns overdue jobs of a tenant in order of arrival.
func overdueJobs(tenant string, count int) []waitingJob {
	jobs := make([]waitingJob, count)
	for i := range jobs {
		jobs[i] = waitingJob{tenant: tenant, priority: 1, age: testOverdue + time.Duration(count-i)*time.Millisecond}
	}
	return jobs
}

// testUnit returns the only unit of a waiting job.
func testUnit(p *Pool, number int) *unit {
	return p.jobs[testJobID(number)].repetitions.open[0].steps[0].units[0]
}

// TestOverloadLeavesRoomForTimelyWork checks that a long overload of one tenant puts one unit before
// another tenant's timely one, in each cycle and in all of them together while that unit runs.
func TestOverloadLeavesRoomForTimelyWork(t *testing.T) {
	const overdue = 500
	p := newSharingPool(features.On, append(overdueJobs("large", overdue), waitingJob{tenant: "small", priority: 1}))
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
	require.Equal(t, []int{0, overdue}, p.placementOrder()[:2])
	testUnit(p, 0).state = unitActive
	require.Equal(t, overdue, p.placementOrder()[0], "the turn is taken")
}

// TestWaitOfOverdueWorkIsBounded checks that the overdue units of a tenant that owes go first one after
// another, in order of arrival, however much timely work waits.
func TestWaitOfOverdueWorkIsBounded(t *testing.T) {
	const overdue = 20
	jobs := overdueJobs("large", overdue)
	for range 50 {
		jobs = append(jobs, waitingJob{tenant: "small", priority: 1})
	}
	p := newSharingPool(features.On, jobs)
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
	for number := range overdue {
		require.Equal(t, number, p.placementOrder()[0])
		testUnit(p, number).state = unitEnded
	}
}

// TestOverdueTurnEnds checks that the turn passes on from a unit that runs on and from one that only
// holds a reservation, after the time of a turn, and at once from one that the pool cannot place.
func TestOverdueTurnEnds(t *testing.T) {
	cases := map[string]struct {
		result placeResult
		state  unitState
		// lasts is the time during which the turn is not passed on.
		lasts time.Duration
		// want is the first unit of the cycle after that.
		want int
	}{
		"runs on":             {unitPlaced, unitActive, fairshare.OverdueTurn, 1},
		"waits for resources": {unitReserved, unitWaiting, fairshare.OverdueTurn, 1},
		"cannot be placed":    {unitNotPlaced, unitWaiting, 0, 1},
		"requeued":            {unitPlaced, unitWaiting, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newSharingPool(features.On, append(overdueJobs("large", 2), waitingJob{tenant: "small", priority: 1}))
			p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
			now := p.loop.Now()
			first := func(now time.Time, result placeResult) *unit {
				order := p.cycleOrder(p.waitingUnits(), now)
				u := order.next()
				order.tried(result)
				return u
			}
			require.Same(t, testUnit(p, 0), first(now, c.result))
			testUnit(p, 0).state = c.state
			if c.lasts > 0 {
				other := first(now.Add(c.lasts-1), c.result)
				require.NotSame(t, testUnit(p, 1), other, "the turn lasts")
				require.Equal(t, c.state == unitWaiting, other == testUnit(p, 0))
				first(now.Add(c.lasts), c.result)
			}
			require.Same(t, testUnit(p, c.want), first(now.Add(c.lasts+1), unitPlaced))
		})
	}
}

// TestOverdueUnitOfAnUnplaceableClassPassesItsTurnOn checks that units that a cycle skips do not keep
// their tenant's turn.
func TestOverdueUnitOfAnUnplaceableClassPassesItsTurnOn(t *testing.T) {
	p := newSharingPool(features.On, overdueJobs("large", 3))
	now := p.loop.Now()
	var firsts []*unit
	for i := range 4 {
		order := p.cycleOrder(p.waitingUnits(), now.Add(time.Duration(i)))
		firsts = append(firsts, order.next())
		order.skipped()
	}
	want := []*unit{testUnit(p, 0), testUnit(p, 1), testUnit(p, 2), testUnit(p, 0)}
	require.True(t, slices.Equal(want, firsts))
}

// TestOverdueUnitIsNotPassedForEver checks that a unit that has passed its turn on comes before units
// that become overdue after that, so that an overload does not keep it waiting.
func TestOverdueUnitIsNotPassedForEver(t *testing.T) {
	bound := testObjective + 10*testObjective
	p := newSharingPool(features.On, []waitingJob{
		{tenant: "large", priority: 1, age: bound + time.Second}, {tenant: "large", priority: 1, age: bound - time.Second},
	})
	now := p.loop.Now()
	order := p.cycleOrder(p.waitingUnits(), now)
	require.Same(t, testUnit(p, 0), order.next())
	order.tried(unitNotPlaced)
	order = p.cycleOrder(p.waitingUnits(), now.Add(2*time.Second))
	require.Same(t, testUnit(p, 0), order.next())
}

// TestOverdueTurnsArePerPriority checks that overdue work of a lower priority does not take the turn of
// a higher one.
func TestOverdueTurnsArePerPriority(t *testing.T) {
	p := newSharingPool(features.On, []waitingJob{
		{tenant: "large", priority: 2, age: testOverdue + time.Second}, {tenant: "large", priority: 1, age: testOverdue}, {tenant: "small", priority: 1},
	})
	testUnit(p, 0).state = unitActive
	p.overdueTurns.tried(testUnit(p, 0), unitPlaced, p.loop.Now())
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
	require.Equal(t, []int{1, 2}, p.placementOrder())
}

// TestOverTurnsAreForgotten checks that an owner keeps no unit for a turn that is over.
func TestOverTurnsAreForgotten(t *testing.T) {
	p := newSharingPool(features.Off, overdueJobs("large", 1))
	p.overdueTurns.tried(testUnit(p, 0), unitPlaced, p.loop.Now())
	testUnit(p, 0).state = unitEnded
	p.updateTenants()
	require.Empty(t, p.overdueTurns)
}
