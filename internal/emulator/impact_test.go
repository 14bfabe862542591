package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// oneZone is a system of one rack of four workers with tenant a, which guarantees
// nothing.
func oneZone(t *testing.T) *World {
	w := NewWorld(Options{Seed: 1, Nodes: 2, Layouts: []standin.Layout{{
		Region: "r", Zone: "z", Racks: 2, WorkersPerRack: 2, Accelerators: 8, CPUs: 64, MemoryGB: 256, Slots: 8,
	}}})
	w.Run(15 * time.Second)
	w.declare(baseTenantsWithoutGuarantees())
	w.Run(5 * time.Second)
	require.Len(t, w.History.Confirmed, 1)
	return w
}

func (w *World) submitNamed(t *testing.T, id string, members int, change func(*job.Spec)) *job.Record {
	spec := job.Spec{
		ID: id, Tenant: "a", Priority: job.Normal, Duration: 3600, Repeatable: true, Payload: `{"run_seconds":3600}`,
		Shape: job.Shape{Members: members, Accelerators: 8, CPUs: 1, Spread: job.SpreadRack},
	}
	if change != nil {
		change(&spec)
	}
	var accepted *job.Record
	w.Submit(spec, func(_ *checker.Request, record *job.Record) { accepted = record })
	w.Run(5 * time.Second)
	require.NotNil(t, accepted, "%s was not accepted", id)
	return w.readRecord(accepted.Domain, accepted.Key())
}

func (w *World) impact(t *testing.T, declared declaration.Declaration) map[string]string {
	for _, n := range w.nodes {
		if !n.control.View().Owned["r/z"] {
			continue
		}
		kinds := map[string]string{}
		n.process.Post(func() {
			n.control.Impact("r/z", declared, func(effects []planning.Effect, err error) {
				require.NoError(t, err)
				for _, effect := range effects {
					kinds[effect.Subject] = effect.Kind
				}
			})
		})
		w.Run(time.Second)
		return kinds
	}
	t.Fatal("nobody owns the domain")
	return nil
}

func TestAPlanListsTheJobsItTouches(t *testing.T) {
	w := oneZone(t)
	first := w.submitNamed(t, "first", 2, nil)
	require.Equal(t, job.Running, first.State)
	rack := rackOf(first.Placement[0].Worker)

	drained := baseTenantsWithoutGuarantees()
	drained.DrainedRacks = []string{rack}
	require.Equal(t, map[string]string{"job a/first": "job_leaves_rack"}, w.impact(t, drained))

	w.submitNamed(t, "second", 2, nil)
	w.submitNamed(t, "claims", 2, func(s *job.Spec) { s.Guaranteed = true })
	w.submitNamed(t, "once", 1, func(s *job.Spec) { s.Repeatable = false })
	guaranteed := baseTenantsWithoutGuarantees()
	shape := job.Shape{Members: 2, Accelerators: 8, Spread: job.SpreadRack}
	guaranteed.Tenants[0].Guarantees = []declaration.Guarantee{{Shape: shape, Count: 2, Domain: "r/z"}}
	effects := w.impact(t, guaranteed)
	require.Equal(t, "job_ends", effects["job a/once"])
	preempted := 0
	for _, kind := range effects {
		if kind == "job_preempted" {
			preempted++
		}
	}
	require.Equal(t, 1, preempted, "%v", effects)
	require.Empty(t, w.impact(t, baseTenantsWithoutGuarantees()), "a plan that changes nothing")
}

// TestStoreAwayForAnHour shows that running work lives on, that nothing new is
// accepted or started, and that the backlog drains once the store is back.
func TestStoreAwayForAnHour(t *testing.T) {
	w := oneZone(t)
	running := w.submitNamed(t, "running", 2, func(s *job.Spec) {
		s.Payload = `{"run_seconds":5400}`
		s.Repeatable = false
	})
	require.Equal(t, job.Running, running.State)
	w.storeFault(standin.Fault{Mode: standin.Down}, time.Hour)
	w.Run(30 * time.Minute)
	var refused *checker.Request
	spec := running.Spec
	spec.ID = "during"
	w.Submit(spec, func(request *checker.Request, _ *job.Record) { refused = request })
	w.Run(time.Second)
	require.NotNil(t, refused)
	require.True(t, refused.Answered, "the answer goes out at once")
	require.False(t, refused.Accepted)
	w.Run(31 * time.Minute)
	later := w.submitNamed(t, "later", 2, nil)
	require.Equal(t, job.Running, later.State)
	w.Run(time.Hour)
	ended := w.readRecord(running.Domain, running.Key())
	require.Equal(t, job.Finished, ended.State)
	require.Equal(t, 1, ended.Attempt)
	w.History.Executions = w.site.History()
	w.History.End = w.clock.now
	require.Empty(t, checker.Check(&w.History, checker.DefaultBounds()))
}

// TestUrgentWorkStartsWithinThreeSeconds fills a domain with work that takes a minute
// to save itself. It is slowed, given a moment, and stopped.
func TestUrgentWorkStartsWithinThreeSeconds(t *testing.T) {
	w := oneZone(t)
	for _, id := range []string{"first", "second"} {
		w.submitNamed(t, id, 2, func(s *job.Spec) {
			s.Priority = job.Low
			s.Checkpoint, s.CheckpointSeconds = true, 60
		})
	}
	w.submitNamed(t, "urgent", 1, func(s *job.Spec) { s.Priority = job.Urgent })
	for _, request := range w.History.Requests {
		if request.Spec.ID != "urgent" {
			continue
		}
		for _, e := range w.site.History() {
			if e.Began && e.Job == "urgent" {
				require.LessOrEqual(t, e.At.Sub(request.SentAt), 3*time.Second)
				require.Positive(t, w.Counters["worker_orders/throttle"])
				return
			}
		}
	}
	t.Fatal("the urgent job did not start")
}
