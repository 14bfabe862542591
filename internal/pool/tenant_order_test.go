package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fairshare"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// waitingJob is a job with one waiting unit of one accelerator.
type waitingJob struct {
	tenant   string
	priority int
	// age is the time since the job's acceptance.
	age time.Duration
	// claims is true if the job has just preempted others.
	claims bool
	// gpus is the number of accelerators; 0 means 1.
	gpus int
}

const (
	testObjective = 5 * time.Second
	// testGuaranteedStart is the time within which guaranteed work must start.
	testGuaranteedStart = 3 * time.Second
)

// newSharingPool returns a pool of 100 accelerators, of which the tenant large is guaranteed 40, small
// 4 and seven others 1 each, with the given waiting jobs.
func newSharingPool(mode features.Mode, jobs []waitingJob) *Pool {
	p, _, _ := newWriterPool()
	p.options.Features.TenantSharing = mode
	p.options.Bounds.GuaranteedStartTimeout = testGuaranteedStart
	tenants := []catalog.Tenant{{Name: "large", Guaranteed: taskgraph.Resources{GPUs: 40}}, {Name: "small", Guaranteed: taskgraph.Resources{GPUs: 4}}}
	for i := range 7 {
		tenants = append(tenants, catalog.Tenant{Name: fmt.Sprint("other-", i), Guaranteed: taskgraph.Resources{GPUs: 1}})
	}
	p.options.Catalog = func() *catalog.Catalog { return &catalog.Catalog{Tenants: tenants} }
	p.workers["w"] = &worker{Worker: fleet.Worker{Capacity: taskgraph.Resources{GPUs: 100}}}
	for i, waiting := range jobs {
		p.addWaitingJob(i, waiting, 1)
	}
	return p
}

// testJobID returns the identifier of the job with a number.
func testJobID(number int) string { return fmt.Sprintf("%016x", number) }

// addWaitingJob adds a job with the given number and waiting tasks.
func (p *Pool) addWaitingJob(number int, waiting waitingJob, tasks int) {
	accepted := Accepted{
		Tenant: waiting.tenant, Queue: catalog.Queue{Priority: waiting.priority},
		Spec: taskgraph.Spec{Steps: []taskgraph.Step{{Count: tasks, Resources: taskgraph.Resources{GPUs: max(1, waiting.gpus)}}}},
	}
	now := p.loop.Now()
	j := newJob(testJobID(number), accepted, now.Add(-waiting.age))
	j.objective, j.estimates, j.criticalPaths = testObjective, []time.Duration{0}, []time.Duration{0}
	p.jobs[j.id] = j
	p.createReadyUnits(j)
	if waiting.claims {
		j.repetitions.open[0].steps[0].units[0].preemptedAt = now
	}
}

// placementOrder returns the numbers of the waiting jobs in the order in which a cycle places them.
func (p *Pool) placementOrder() []int {
	now := p.loop.Now()
	order := p.cycleOrder(p.waitingUnits(), now)
	var numbers []int
	for u := order.next(); u != nil; u = order.next() {
		number := 0
		_, _ = fmt.Sscanf(u.job.id, "%x", &number)
		numbers = append(numbers, number)
		order.tried(unitPlaced)
	}
	return numbers
}

func TestOrderOfTenants(t *testing.T) {
	const late = testObjective + time.Second
	overdue := testObjective + 10*testObjective + time.Second
	cases := map[string]struct {
		jobs []waitingJob
		want []int
	}{
		"burst of the large tenant": {
			[]waitingJob{{tenant: "large", priority: 1, age: 2 * time.Second}, {tenant: "large", priority: 1, age: time.Second}, {tenant: "small", priority: 1, age: time.Second}},
			[]int{2, 0, 1}},
		"urgent burst beyond the guarantees": {
			[]waitingJob{{tenant: "large", age: 2 * time.Second, gpus: 41}, {tenant: "large", age: time.Second}, {tenant: "small", age: time.Second, gpus: 5}},
			[]int{2, 0, 1}},
		"priority comes first": {
			[]waitingJob{{tenant: "large", priority: 1, age: time.Second}, {tenant: "small", priority: 2, age: 2 * time.Second}},
			[]int{0, 1}},
		"work in time comes first": {
			[]waitingJob{{tenant: "small", priority: 1, age: late}, {tenant: "large", priority: 1, age: time.Second}},
			[]int{1, 0}},
		"within a tenant, work in time comes first": {
			[]waitingJob{{tenant: "large", priority: 1, age: late}, {tenant: "large", priority: 1, age: time.Second}},
			[]int{1, 0}},
		"overdue work comes first, in order of arrival": {
			[]waitingJob{{tenant: "large", priority: 1, age: overdue + time.Second}, {tenant: "small", priority: 1, age: overdue}, {tenant: "small", priority: 1}},
			[]int{0, 1, 2}},
		"one overdue unit of each tenant comes first, the others in their normal place": {
			[]waitingJob{
				{tenant: "large", priority: 1, age: overdue + 2*time.Second}, {tenant: "large", priority: 1, age: overdue + time.Second},
				{tenant: "small", priority: 1, age: overdue}, {tenant: "small", priority: 1},
			},
			[]int{0, 2, 3, 1}},
		"overdue work does not pass a higher priority": {
			[]waitingJob{{tenant: "large", priority: 2, age: overdue}, {tenant: "large", priority: 1}},
			[]int{1, 0}},
		"due guarantee of a tenant that owes": {
			[]waitingJob{{tenant: "small", age: testGuaranteedStart - time.Second}, {tenant: "large", age: testGuaranteedStart}},
			[]int{1, 0}},
		"due guarantees in order of arrival": {
			[]waitingJob{{tenant: "large", age: testGuaranteedStart + time.Second}, {tenant: "small", age: testGuaranteedStart}},
			[]int{0, 1}},
		"demand beyond the guarantee": {
			[]waitingJob{{tenant: "large", age: testGuaranteedStart, gpus: 41}, {tenant: "small", age: testGuaranteedStart - time.Second}},
			[]int{1, 0}},
		"guaranteed work in order of arrival from the start": {
			[]waitingJob{{tenant: "large", age: 2 * time.Second}, {tenant: "small", age: time.Second}},
			[]int{0, 1}},
		"guaranteed work comes before shares": {
			[]waitingJob{{tenant: "small", age: 2 * time.Second, gpus: 5}, {tenant: "large", age: time.Second}},
			[]int{1, 0}},
		"guaranteed work comes before work that has preempted others": {
			[]waitingJob{{tenant: "small", age: 2 * time.Second, gpus: 5, claims: true}, {tenant: "large", age: time.Second}},
			[]int{1, 0}},
		"no guarantee below priority 0": {
			[]waitingJob{{tenant: "large", priority: 1, age: testGuaranteedStart}, {tenant: "small", priority: 1, age: testGuaranteedStart - time.Second}},
			[]int{1, 0}},
		"work that has preempted others stays in front": {
			[]waitingJob{{tenant: "small", priority: 1, age: 2 * time.Second}, {tenant: "large", priority: 1, age: time.Second, claims: true}},
			[]int{1, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newSharingPool(features.On, c.jobs)
			p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
			require.Equal(t, c.want, p.placementOrder())
		})
	}
}

// TestSharingWithoutConfiguration checks that urgent work is ordered and may preempt before an owner has
// a configuration. Nobody has a guarantee then.
func TestSharingWithoutConfiguration(t *testing.T) {
	p := newSharingPool(features.On, []waitingJob{{tenant: "large", age: testGuaranteedStart}, {tenant: "small"}})
	p.options.Catalog = func() *catalog.Catalog { return nil }
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 60}, p.loop.Now())
	require.Equal(t, []int{1, 0}, p.placementOrder())
	for u := range p.openUnits() {
		require.False(t, p.withinGuarantee(u.job))
	}
}

// TestOrderWithoutSharingIsUnchanged checks that the order of units is the former one while tenants do
// not share the pool, whatever they hold.
func TestOrderWithoutSharingIsUnchanged(t *testing.T) {
	var jobs []waitingJob
	for i := range 200 {
		jobs = append(jobs, waitingJob{
			tenant: []string{"large", "small", "other-1"}[i%3], priority: i % 4 % 3, age: time.Duration(i*7919%200) * time.Second, claims: i%5 == 0,
		})
	}
	p := newSharingPool(features.Off, jobs)
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 90}, p.loop.Now())
	now := p.loop.Now()
	want := slices.Collect(p.openUnits())
	slices.SortFunc(want, func(a, b *unit) int { return formerOrder(a, b, now) })
	var wantNumbers []int
	for _, u := range want {
		number := 0
		_, _ = fmt.Sscanf(u.job.id, "%x", &number)
		wantNumbers = append(wantNumbers, number)
	}
	require.Equal(t, wantNumbers, p.placementOrder())
	p.options.Features.TenantSharing = features.Auto
	require.NotEqual(t, wantNumbers, p.placementOrder(), "the guarantees are uneven")
}

// formerOrder is the order of units without the shares of their tenants, for units of jobs that have one.
func formerOrder(a, b *unit, now time.Time) int {
	late := func(u *unit) int {
		if u.job.Queue.Priority > 0 && now.After(u.deadline()) {
			return 1
		}
		return 0
	}
	switch {
	case a.job.Queue.Priority != b.job.Queue.Priority:
		return a.job.Queue.Priority - b.job.Queue.Priority
	case late(a) != late(b):
		return late(a) - late(b)
	case !a.job.acceptedAt.Equal(b.job.acceptedAt):
		return a.job.acceptedAt.Compare(b.job.acceptedAt)
	}
	return strings.Compare(a.job.id, b.job.id)
}

// BenchmarkOrder measures the order of 290,000 waiting tasks of 67 tenants, with and without the shares
// of the tenants.
func BenchmarkOrder(b *testing.B) {
	for _, mode := range []features.Mode{features.Off, features.On} {
		b.Run(string(mode), func(b *testing.B) {
			p := newSharingPool(mode, nil)
			for i := range 290 {
				p.addWaitingJob(i, waitingJob{tenant: fmt.Sprint("tenant-", i%67), priority: i % 3, age: time.Duration(i%10) * time.Second}, 1000)
			}
			b.ResetTimer()
			for range b.N {
				order := p.cycleOrder(p.waitingUnits(), p.loop.Now())
				for u := order.next(); u != nil; u = order.next() {
					if u.index == 0 {
						order.tried(unitReserved)
					}
				}
			}
		})
	}
}

// TestUnplaceableUnitsCostNothing checks that a unit that the pool can neither place nor reserve
// resources for does not put its tenant's other units behind those of other tenants, and that a
// reservation does within its priority only.
func TestUnplaceableUnitsCostNothing(t *testing.T) {
	jobs := []waitingJob{
		{tenant: "small", priority: 1, age: 4 * time.Second, gpus: 200},
		{tenant: "small", priority: 1, age: 3 * time.Second}, {tenant: "large", priority: 1, age: 2 * time.Second},
		{tenant: "small", priority: 2, age: 3 * time.Second}, {tenant: "large", priority: 2, age: 2 * time.Second},
	}
	cases := map[placeResult][]int{
		unitNotPlaced: {0, 1, 2, 3, 4},
		unitReserved:  {0, 2, 1, 3, 4},
		unitPlaced:    {0, 2, 1, 4, 3},
	}
	for first, want := range cases {
		p := newSharingPool(features.On, jobs)
		order := p.cycleOrder(p.waitingUnits(), p.loop.Now())
		var numbers []int
		for u := order.next(); u != nil; u = order.next() {
			number := 0
			_, _ = fmt.Sscanf(u.job.id, "%x", &number)
			numbers = append(numbers, number)
			if number == 0 {
				order.tried(first)
			}
		}
		require.Equal(t, want, numbers, "result %d", first)
	}
}

// TestSummaryOnlyReads checks that a status for operators changes nothing in the ledger and yet shows
// the shares of a pool without any cycle.
func TestSummaryOnlyReads(t *testing.T) {
	p := newSharingPool(features.On, nil)
	tenants := p.Summary().Tenants
	require.Len(t, tenants, 9)
	require.InDelta(t, 0.7843, tenants[0].Due, 1e-3, "40 of 51")
	require.Equal(t, fairshare.NewLedger(), p.tenantUse)
}

// TestPolicyOffDoesNoTenantWork checks that with the policy off an owner only keeps accounts of what is
// held, and drops those of tenants that have long been idle.
func TestPolicyOffDoesNoTenantWork(t *testing.T) {
	p := newSharingPool(features.Off, []waitingJob{{tenant: "small"}})
	now := p.loop.Now()
	p.tenantUse.Take("large", taskgraph.Resources{GPUs: 1}, now.Add(-time.Hour))
	p.tenantUse.Release("large", taskgraph.Resources{GPUs: 1}, now.Add(-time.Hour))
	p.updateTenants()
	p.placementOrder()
	require.Empty(t, p.Summary().Tenants)
	require.Equal(t, fairshare.NewLedger(), p.tenantUse)
}
