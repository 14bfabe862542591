package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

const testJobID = "00000000000000aa"

func newTestCluster() *Cluster {
	cluster := NewCluster(1, 2)
	spec := taskgraph.Spec{ID: testJobID, Payload: "p", Steps: []taskgraph.Step{{Count: 1, Resources: taskgraph.Resources{CPU: 2000}}, {Count: 1, After: []int{0}}}}
	cluster.Submit(spec, catalog.Queue{Name: "q", MaxAttempts: 2})
	cluster.Work = func(taskgraph.TaskName) time.Duration { return time.Second }
	return cluster
}

func startOrder(step, number int) fleet.Start {
	return fleet.Start{Task: taskgraph.TaskName{Job: testJobID, Step: step}, Run: number, Payload: "p", DeadlineMillis: 5000}
}

// TestCheckerDetectsViolations violates each invariant that the checker checks.
func TestCheckerDetectsViolations(t *testing.T) {
	cases := map[string]struct {
		history func(*Cluster)
		want    string
	}{
		"two runs at once": {func(cluster *Cluster) {
			_, _ = cluster.Workers[0].start(startOrder(0, 1))
			_, _ = cluster.Workers[1].start(startOrder(0, 2))
		}, "while another run of the task is active"},
		"after an acknowledged end": {func(cluster *Cluster) {
			_, _ = cluster.Workers[0].start(startOrder(0, 1))
			cluster.Run(2 * time.Second)
			cluster.Workers[0].poll(fleet.Poll{AcknowledgedEnd: 1}, func(fleet.Reply, error) {})
			_, _ = cluster.Workers[1].start(startOrder(0, 2))
		}, "after the owner acknowledged"},
		"after an end that is acknowledged later": {func(cluster *Cluster) {
			_, _ = cluster.Workers[0].start(startOrder(0, 1))
			cluster.Run(2 * time.Second)
			_, _ = cluster.Workers[1].start(startOrder(0, 2))
			cluster.Workers[0].poll(fleet.Poll{AcknowledgedEnd: 1}, func(fleet.Reply, error) {})
		}, "only now"},
		"before an earlier step": {func(cluster *Cluster) {
			_, _ = cluster.Workers[0].start(startOrder(1, 1))
		}, "before"},
		"a job that failed with attempts left": {func(cluster *Cluster) {
			cluster.Workers[0].Failing = true
			_, _ = cluster.Workers[0].start(startOrder(0, 1))
			cluster.Run(time.Second)
			cluster.Checker.LogEvent("job ended", "job", testJobID, "state", string(taskgraph.Failed))
		}, "is shown as failed after 1 failed runs of 2"},
		"after all attempts": {func(cluster *Cluster) {
			cluster.Workers[0].Failing = true
			for number := range 3 {
				_, _ = cluster.Workers[0].start(startOrder(0, number+1))
				cluster.Run(time.Second)
			}
		}, "no attempts left"},
		"long after a cancellation": {func(cluster *Cluster) {
			cluster.Cancel(testJobID)
			cluster.Run(4 * time.Second)
			_, _ = cluster.Workers[0].start(startOrder(0, 1))
		}, "cancellation"},
		"over a capacity that shrank": {func(cluster *Cluster) {
			cluster.SkipCapacityCheck = true
			cluster.Workers[0].SetCapacity(taskgraph.Resources{CPU: 1000}, 0)
			cluster.Run(capacityGrace + time.Millisecond)
			order := startOrder(0, 1)
			order.DeadlineMillis = 60000
			_, _ = cluster.Workers[0].start(order)
		}, "over"},
		"after workers have crashed": {func(cluster *Cluster) {
			cluster.Crashing[startOrder(0, 0).Task] = Crash{After: 10 * time.Millisecond}
			for number := range 6 {
				worker := cluster.AddWorker(fmt.Sprintf("extra-%d", number), "r-0")
				order := startOrder(0, number+1)
				order.DeadlineMillis = 60000
				_, _ = worker.start(order)
				cluster.Run(time.Second)
			}
		}, "have crashed while running the task"},
		"in an evacuated zone": {func(cluster *Cluster) {
			cluster.Evacuate(cluster.Workers[0].Zone)
			cluster.Run(cluster.Bounds.EvacuationTimeout + time.Millisecond)
			order := startOrder(0, 1)
			order.DeadlineMillis = 60000
			_, _ = cluster.Workers[0].start(order)
		}, "evacuated"},
		"another payload": {func(cluster *Cluster) {
			order := startOrder(0, 1)
			order.Payload = "other"
			_, _ = cluster.Workers[0].start(order)
		}, "payload"},
	}
	for name, c := range cases {
		cluster := newTestCluster()
		c.history(cluster)
		require.Contains(t, strings.Join(cluster.Checker.Violations, "\n"), c.want, name)
	}
}

func TestWorkersFenceOwnersAndBlockStoppedRuns(t *testing.T) {
	cluster := newTestCluster()
	first := cluster.Workers[0]
	order := startOrder(0, 1)
	order.Token = 5
	_, err := first.stop(fleet.Stop{Task: order.Task, Run: 1, Token: 5})
	require.NoError(t, err)
	_, err = first.start(order)
	require.ErrorIs(t, err, fleet.ErrSuperseded)
	order.Token, order.Run = 4, 2
	_, err = first.start(order)
	require.ErrorIs(t, err, fleet.ErrFenced)
	order.Token, order.DeadlineMillis = 5, -1
	_, err = first.start(order)
	require.ErrorIs(t, err, fleet.ErrDeadlinePassed)
	require.Empty(t, cluster.Checker.Violations)
}

// TestCapacityGrace guards against reporting a violation before owners can know of a smaller
// capacity, and against leaving stopping runs out of the usage.
func TestCapacityGrace(t *testing.T) {
	cluster := newTestCluster()
	cluster.SkipCapacityCheck = true
	first := cluster.Workers[0]
	first.SetCapacity(taskgraph.Resources{CPU: 2000}, 0)
	cluster.Run(capacityGrace - time.Millisecond)
	_, err := first.start(fleet.Start{Task: taskgraph.TaskName{Job: testJobID}, Run: 1, Payload: "p", DeadlineMillis: 60000})
	require.NoError(t, err)
	require.Empty(t, cluster.Checker.Violations)
	cluster.Run(2 * time.Millisecond)
	_, err = first.stop(fleet.Stop{Task: taskgraph.TaskName{Job: testJobID}, Run: 1})
	require.NoError(t, err)
	_, _ = first.start(startOrder(1, 1))
	require.Equal(t, 2000, first.usage().CPU)
}
