package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// sharingCluster returns a cluster of one rack in which tenants a, b and c are guaranteed one worker
// each and share the rest.
func sharingCluster(workers int, work time.Duration) *simulation.Cluster {
	w := simulation.NewCluster(1, workers)
	w.Features.TenantSharing = features.On
	w.Work = func(taskgraph.TaskName) time.Duration { return work }
	for _, tenant := range []string{"a", "b", "c"} {
		w.Catalog.Tenants = append(w.Catalog.Tenants, catalog.Tenant{Name: tenant, Guaranteed: taskgraph.Resources{GPUs: 8}})
	}
	return w
}

// gangOfAll returns a job that takes all accelerators of the given number of workers.
func gangOfAll(n, workers int, work time.Duration) taskgraph.Spec {
	step := gangStep(workers)
	step.EstimateMillis = work.Milliseconds()
	return spec(n, step)
}

// requireIdle requires that no tenant holds anything according to the owner.
func requireIdle(t *testing.T, owner *simulation.Owner) {
	t.Helper()
	for _, tenant := range owner.Summary().Tenants {
		require.Zero(t, tenant.Held, tenant.Tenant)
	}
}

// TestBurstOfOneTenantDelaysOnlyItself checks that a small job of one tenant does not wait for another
// tenant's backlog.
func TestBurstOfOneTenantDelaysOnlyItself(t *testing.T) {
	for mode, wantFirst := range map[features.Mode]bool{features.On: true, features.Off: false} {
		w := sharingCluster(2, 2*time.Second)
		w.Features.TenantSharing = mode
		for n := range 6 {
			w.SubmitOf("a", gangOfAll(n+1, 2, 2*time.Second), batch)
		}
		w.AcquirePool()
		w.Run(time.Second)
		w.SubmitOf("b", gangOfAll(7, 2, 2*time.Second), batch)
		w.Run(4 * time.Second)
		require.Equal(t, wantFirst, w.StoredState(jobID(7)) == taskgraph.Completed, mode)
		w.Run(20 * time.Second)
		requireInvariants(t, w)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(6)))
		require.Equal(t, wantFirst, w.Checker.Metrics["tenant_turns/share"] > 0)
	}
}

// TestNextOwnerKnowsWhatWasUsed checks that a tenant that used the whole pool waits behind another one
// after a takeover, if what the former owner learned is kept.
func TestNextOwnerKnowsWhatWasUsed(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept ", kept), func(t *testing.T) {
			w := sharingCluster(2, 4*time.Second)
			w.DisabledMechanisms = mechanism.Disabled{mechanism.KeptKnowledge: !kept}
			w.SubmitOf("a", gangOfAll(1, 2, 4*time.Second), batch)
			former := w.AcquirePool()
			w.Run(5 * time.Second)
			w.SubmitOf("c", gangOfAll(2, 2, 4*time.Second), batch)
			w.Run(500 * time.Millisecond)
			former.Process.Kill()
			next := w.AcquirePool()
			w.Run(200 * time.Millisecond)
			w.SubmitOf("a", gangOfAll(3, 2, 4*time.Second), batch)
			w.Run(100 * time.Millisecond)
			w.SubmitOf("b", gangOfAll(4, 2, 4*time.Second), batch)
			w.Run(8500 * time.Millisecond)
			last := 4
			if kept {
				last = 3
			}
			require.NotEqual(t, taskgraph.Completed, w.StoredState(jobID(last)))
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(7-last)))
			w.Run(10 * time.Second)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Completed, w.StoredState(jobID(last)))
			requireIdle(t, next)
		})
	}
}

// TestStatusShowsShares checks the shares, credits and waits that operators see.
func TestStatusShowsShares(t *testing.T) {
	w := sharingCluster(4, time.Minute)
	w.SubmitOf("a", gangOfAll(1, 3, time.Minute), batch)
	w.SubmitOf("stranger", gangOfAll(2, 1, time.Minute), batch)
	owner := w.AcquirePool()
	w.Run(time.Second)
	w.SubmitOf("b", gangOfAll(3, 2, time.Minute), batch)
	w.Run(25 * time.Second)
	byName := map[string]pool.TenantStatus{}
	for _, tenant := range owner.Summary().Tenants {
		byName[tenant.Tenant] = tenant
	}
	require.Len(t, byName, 4)
	require.InDelta(t, 0.75, byName["a"].Held, 1e-9)
	require.Negative(t, byName["a"].Credit)
	require.InDelta(t, 0.25, byName["stranger"].Held, 1e-9)
	require.Less(t, byName["stranger"].Due, 0.01)
	require.Equal(t, byName["c"].Due, byName["c"].Credit, "an idle tenant has lent its share")
	require.Equal(t, 1, byName["b"].WaitingUnits)
	require.Greater(t, byName["b"].LongestWaitMillis, int64(24000))
	require.Greater(t, w.Checker.Metrics["tenant_longest_wait"], 23000)
	require.Positive(t, w.Checker.Metrics["tenant_most_lent"])
	require.Positive(t, w.Checker.Metrics["tenant_most_owed"])
}

// TestUseFollowsRunsThroughFaults checks that the tenants hold nothing once everything has ended, after
// lost workers, restarts, lost orders, preemptions and a takeover.
func TestUseFollowsRunsThroughFaults(t *testing.T) {
	w := sharingCluster(8, 3*time.Second)
	w.RestartWithSameID = true
	w.Crashing[taskgraph.TaskName{Job: jobID(3), Index: 1}] = simulation.Crash{After: 500 * time.Millisecond}
	lost := 0
	w.Workers[2].OrderOutcome = func() simulation.Outcome {
		if lost++; lost < 4 {
			return simulation.AppliedUnacknowledged
		}
		return simulation.Acknowledged
	}
	owner := w.AcquirePool()
	for n, tenant := range []string{"a", "b", "c", "a", "b"} {
		w.SubmitOf(tenant, spec(n+1, singleTaskStep(20), gangStep(2)), batch)
	}
	w.Run(2 * time.Second)
	w.SubmitOf("c", spec(6, gangStep(4)), urgent)
	w.Run(time.Second)
	w.Workers[5].Crash()
	w.Workers[5].Replaced = true
	w.Run(time.Second)
	owner.Process.Kill()
	owner = w.AcquirePool()
	w.Run(90 * time.Second)
	requireInvariants(t, w)
	for n := range 6 {
		require.True(t, w.StoredState(jobID(n+1)).Final(), "job %d", n+1)
	}
	requireIdle(t, owner)
}

// TestGuaranteeHoldsForATenantThatOwes checks that an urgent gang within its tenant's guarantee starts
// before a later one of a tenant without a guarantee, whatever its tenant has used. All that runs is
// urgent, so the gang cannot preempt.
func TestGuaranteeHoldsForATenantThatOwes(t *testing.T) {
	for _, mode := range []features.Mode{features.Off, features.On} {
		w := simulation.NewCluster(1, 2)
		w.Features.TenantSharing = mode
		work := map[string]time.Duration{jobID(1): 10 * time.Second, jobID(2): time.Minute, jobID(3): 2 * time.Second, jobID(4): 10 * time.Second, jobID(5): 10 * time.Second}
		w.Work = func(name taskgraph.TaskName) time.Duration { return work[name.Job] }
		for _, tenant := range []string{"a", "c"} {
			w.Catalog.Tenants = append(w.Catalog.Tenants, catalog.Tenant{Name: tenant, Guaranteed: taskgraph.Resources{GPUs: 8}})
		}
		w.SubmitOf("a", gangOfAll(1, 2, work[jobID(1)]), batch)
		w.AcquirePool()
		w.Run(11 * time.Second)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
		w.SubmitOf("c", gangOfAll(2, 1, work[jobID(2)]), urgent)
		w.SubmitOf("b", gangOfAll(3, 1, work[jobID(3)]), urgent)
		w.Run(1200 * time.Millisecond)
		w.SubmitOf("a", gangOfAll(4, 1, work[jobID(4)]), urgent)
		w.Run(200 * time.Millisecond)
		w.SubmitOf("z", gangOfAll(5, 1, work[jobID(5)]), urgent)
		w.Run(2800 * time.Millisecond)
		require.Equal(t, 1, w.Checker.Starts(taskgraph.TaskName{Job: jobID(4)}), "policy %s: not started within 3 s", mode)
		require.Zero(t, w.Checker.Starts(taskgraph.TaskName{Job: jobID(5)}))
		requireInvariants(t, w)
	}
}

// TestGaugesOfSharesEnd checks that the gauges of the tenants' shares are 0 once the policy is off or the
// pool is lost.
func TestGaugesOfSharesEnd(t *testing.T) {
	ends := map[string]func(w *simulation.Cluster, owner *simulation.Owner){
		"policy off": func(w *simulation.Cluster, _ *simulation.Owner) { w.Catalog.Tenants = nil },
		"lost":       func(_ *simulation.Cluster, owner *simulation.Owner) { owner.Abandon("lost") },
	}
	gauges := []string{"tenant_longest_wait", "tenant_most_lent", "tenant_most_owed"}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			w := sharingCluster(4, time.Minute)
			w.Features.TenantSharing = features.Auto
			w.Catalog.Tenants = []catalog.Tenant{{Name: "a", Guaranteed: taskgraph.Resources{GPUs: 8}}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
			w.SubmitOf("b", gangOfAll(1, 4, time.Minute), batch)
			owner := w.AcquirePool()
			w.Run(time.Second)
			w.SubmitOf("a", gangOfAll(2, 4, time.Minute), batch)
			w.Run(25 * time.Second)
			for _, gauge := range gauges {
				require.Positive(t, w.Checker.Metrics[gauge], gauge)
			}
			end(w, owner)
			w.Run(1250 * time.Millisecond)
			for _, gauge := range gauges {
				require.Zero(t, w.Checker.Metrics[gauge], gauge)
			}
		})
	}
}

// TestOverloadEndsNoWait checks that the jobs of a tenant without a guarantee are done one after another
// once they are overdue, while two other tenants submit more timely work than the pool can take.
func TestOverloadEndsNoWait(t *testing.T) {
	const jobsOfStranger = 4
	w := sharingCluster(2, time.Second)
	for n := range jobsOfStranger {
		w.SubmitOf("stranger", gangOfAll(n+1, 2, time.Second), batch)
	}
	w.AcquirePool()
	done := func() (count int) {
		for n := range jobsOfStranger {
			if w.StoredState(jobID(n+1)) == taskgraph.Completed {
				count++
			}
		}
		return count
	}
	started := 0
	for second := range 110 {
		for i, tenant := range []string{"a", "b", "c"} {
			w.SubmitOf(tenant, gangOfAll(10+3*second+i, 2, time.Second), batch)
		}
		w.Run(time.Second)
		if second == 50 {
			started = done()
		}
	}
	require.Less(t, started, jobsOfStranger, "some of the jobs wait until they are overdue")
	require.Equal(t, jobsOfStranger, done())
	requireInvariants(t, w)
}
