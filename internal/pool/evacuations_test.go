package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// evacuationElapsed is longer than Bounds.EvacuationTimeout.
const evacuationElapsed = 5500 * time.Millisecond

// startsInZone returns the number of a job's runs on a zone's workers.
func startsInZone(w *simulation.Cluster, zone, job string) int {
	count := 0
	for _, worker := range w.Workers {
		if worker.Zone == zone {
			count += worker.RunsOf(job)
		}
	}
	return count
}

// newEvacuatedCluster returns a simulation of two racks. Each rack is a zone, and the first zone is
// evacuated.
func newEvacuatedCluster(disabled pool.DisabledSafeguards) (*simulation.Cluster, *simulation.Owner, string) {
	w := simulation.NewCluster(2, 3)
	w.DisabledSafeguards = disabled
	w.Work = func(taskgraph.TaskName) time.Duration { return 3 * time.Second }
	owner := w.AcquirePool()
	w.Run(time.Second)
	zone := w.Workers[0].Zone
	w.Evacuate(zone)
	return w, owner, zone
}

// TestNothingStartsInAnEvacuatedZone checks that neither single tasks nor urgent gangs start in an
// evacuated zone. Waiting tasks and gangs must start once the evacuation ends.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	runScenario := func(without pool.DisabledSafeguards) *simulation.Cluster {
		w, _, zone := newEvacuatedCluster(without)
		w.Run(evacuationElapsed)
		w.Submit(spec(1, singleTaskStep(30)), batch)
		w.Run(300 * time.Millisecond)
		w.Submit(spec(2, gangStep(2)), urgent)
		w.Run(8 * time.Second)
		w.CancelEvacuation(zone)
		w.Run(20 * time.Second)
		return w
	}
	requireInvariantsNeed(t, runScenario, pool.DisabledSafeguards{Evacuations: true})
}

// TestZoneIsUsedAfterEvacuationEnds checks that runs start in a zone within a heartbeat after its
// evacuation ends.
func TestZoneIsUsedAfterEvacuationEnds(t *testing.T) {
	w, _, zone := newEvacuatedCluster(pool.DisabledSafeguards{})
	w.Run(2 * time.Second)
	w.Submit(spec(1, singleTaskStep(40)), batch)
	w.Run(time.Second)
	require.Zero(t, startsInZone(w, zone, jobID(1)))
	w.CancelEvacuation(zone)
	w.Run(1500 * time.Millisecond)
	require.Positive(t, startsInZone(w, zone, jobID(1)))
	w.Run(20 * time.Second)
	requireInvariants(t, w)
}

// TestRunsContinueInEvacuatedZone checks that an evacuation neither stops nor restarts runs.
func TestRunsContinueInEvacuatedZone(t *testing.T) {
	w := simulation.NewCluster(2, 3)
	w.Work = func(taskgraph.TaskName) time.Duration { return 8 * time.Second }
	w.AcquirePool()
	w.Submit(spec(1, singleTaskStep(48)), batch)
	w.Run(2 * time.Second)
	w.Evacuate(w.Workers[0].Zone)
	w.Run(12 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	require.Equal(t, 1, w.Checker.Starts(taskOf(1, 0, 0)))
	require.Zero(t, w.Checker.Metrics["attempts/stopped"])
}

// TestAllZonesEvacuated checks that jobs are accepted, wait and complete after an evacuation of all
// zones.
func TestAllZonesEvacuated(t *testing.T) {
	w, _, zone := newEvacuatedCluster(pool.DisabledSafeguards{})
	other := w.Workers[len(w.Workers)-1].Zone
	require.NotEqual(t, zone, other)
	w.Evacuate(other)
	w.Run(evacuationElapsed)
	w.Submit(spec(1, singleTaskStep(4), gangStep(2)), urgent)
	w.Run(30 * time.Second)
	require.Zero(t, w.Checker.JobStarts(jobID(1)))
	require.False(t, w.StoredState(jobID(1)).Final())
	w.CancelEvacuation(zone)
	w.Run(20 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// TestOwnerWithStaleEvacuationsStartsNothing guards against starts while evacuations are unknown.
// The store answers only writes, or the owner was suspended or is new.
func TestOwnerWithStaleEvacuationsStartsNothing(t *testing.T) {
	t.Run("reads unanswered while writes succeed", func(t *testing.T) {
		runScenario := func(without pool.DisabledSafeguards) *simulation.Cluster {
			w := simulation.NewCluster(2, 3)
			w.DisabledSafeguards = without
			w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
			owner := w.AcquirePool()
			w.Run(time.Second)
			w.Store.FeedsUnresponsive, w.Store.ScansUnresponsive = true, true
			w.Evacuate(w.Workers[0].Zone)
			w.Run(evacuationElapsed)
			w.Submit(spec(1, singleTaskStep(40)), urgent)
			row := acceptedRow(w, jobID(1))
			owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
			w.Run(3 * time.Second)
			w.Store.FeedsUnresponsive, w.Store.ScansUnresponsive = false, false
			w.Run(20 * time.Second)
			return w
		}
		requireInvariantsNeed(t, runScenario, pool.DisabledSafeguards{EvacuationAge: true})
	})
	t.Run("owner was suspended", func(t *testing.T) {
		runScenario := func(without pool.DisabledSafeguards) *simulation.Cluster {
			w := simulation.NewCluster(2, 3)
			w.DisabledSafeguards = without
			owner := w.AcquirePool()
			w.Run(time.Second)
			w.Store.FeedsUnresponsive, w.Store.ScansUnresponsive = true, true
			w.Evacuate(w.Workers[0].Zone)
			owner.Process.Suspend(w.Clock.Now().Add(evacuationElapsed))
			w.Submit(spec(1, singleTaskStep(40)), urgent)
			row := acceptedRow(w, jobID(1))
			owner.Process.Post(func() { owner.HandleJobAnnouncement(row) })
			w.Run(evacuationElapsed + time.Second)
			w.Store.FeedsUnresponsive, w.Store.ScansUnresponsive = false, false
			w.Run(25 * time.Second)
			return w
		}
		requireInvariantsNeed(t, runScenario, pool.DisabledSafeguards{EvacuationAge: true, Confirmation: true})
	})
	t.Run("new owner", func(t *testing.T) {
		w, owner, zone := newEvacuatedCluster(pool.DisabledSafeguards{})
		w.Run(evacuationElapsed)
		owner.Process.Kill()
		w.Store.ScansUnresponsive = true
		w.Clock.After(3*time.Second, func() { w.Store.ScansUnresponsive = false })
		w.Submit(spec(1, singleTaskStep(40)), urgent)
		w.AcquirePool()
		w.Run(5 * time.Second)
		require.Zero(t, startsInZone(w, zone, jobID(1)))
		requireInvariants(t, w)
		w.Run(20 * time.Second)
		require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	})
}

// TestPlacementIsNotStartedInAZoneEvacuatedMeanwhile checks that a placement is not started if its
// zone is evacuated while its row is being written.
func TestPlacementIsNotStartedInAZoneEvacuatedMeanwhile(t *testing.T) {
	runScenario := func(without pool.DisabledSafeguards) *simulation.Cluster {
		w := simulation.NewCluster(2, 3)
		w.Bounds.EvacuationTimeout = 2 * time.Second
		w.DisabledSafeguards = without
		w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
		w.AcquirePool()
		w.Run(time.Second)
		w.Store.Latency = 2600 * time.Millisecond
		w.Submit(spec(1, singleTaskStep(40)), urgent)
		w.Run(6 * time.Millisecond)
		w.Evacuate(w.Workers[0].Zone)
		w.Run(3 * time.Second)
		w.Store.Latency = 5 * time.Millisecond
		w.Run(20 * time.Second)
		return w
	}
	requireInvariantsNeed(t, runScenario, pool.DisabledSafeguards{ZoneRecheckAtStart: true})
}

// TestStartWithoutAnswerIsNotRepeatedInAnEvacuatedZone checks that an unanswered start is not sent
// again after its zone was evacuated.
func TestStartWithoutAnswerIsNotRepeatedInAnEvacuatedZone(t *testing.T) {
	w := simulation.NewCluster(2, 1)
	w.Bounds.EvacuationTimeout = 2 * time.Second
	w.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	w.AcquirePool()
	w.Run(time.Second)
	first := w.Workers[0]
	first.OrderOutcome = func() simulation.Outcome { return simulation.Dropped }
	w.Workers[1].OrderOutcome = first.OrderOutcome
	w.Submit(spec(1, singleTaskStep(16)), urgent)
	w.Run(50 * time.Millisecond)
	w.Evacuate(first.Zone)
	w.Clock.After(2*time.Second, func() { first.OrderOutcome, w.Workers[1].OrderOutcome = nil, nil })
	w.Run(30 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
}

// changeEvacuationsAtRandom evacuates a random zone, ends a zone's evacuation, or does nothing. It
// has its own source of random numbers, so that the other faults of a seed stay the same.
func changeEvacuationsAtRandom(w *simulation.Cluster, random *rand.Rand) {
	zones := w.Zones()
	zone := zones[random.IntN(len(zones))]
	switch random.IntN(6) {
	case 0, 1:
		w.Evacuate(zone)
	case 2, 3:
		w.CancelEvacuation(zone)
	}
}

func endAllEvacuations(w *simulation.Cluster) {
	for _, zone := range w.Zones() {
		w.CancelEvacuation(zone)
	}
}
