package pool_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Several members of a gang may end failed in one run, for example on workers that fail all they start.
// The gang has then failed once.

// failureTime is a little longer than a run takes to fail on a failing worker.
const failureTime = 42 * time.Millisecond

// allFailing lets all workers fail what they start, or none.
func allFailing(w *simulation.Cluster, failing bool) {
	setFailing(w, func(*simulation.Worker) bool { return failing })
}

// failedTogether is a gang whose members have all failed in its first run.
type failedTogether struct {
	*simulation.Cluster
	owner *simulation.Owner
}

// failTogether lets all members of a gang fail in its first run. beforeEnds is called once the members
// have been started.
func failTogether(t *testing.T, steps []taskgraph.Step, beforeEnds func(*failedTogether)) *failedTogether {
	t.Helper()
	f := &failedTogether{Cluster: simulation.NewCluster(4, 6)}
	f.Work = func(taskgraph.TaskName) time.Duration { return 2 * time.Second }
	f.owner = f.AcquirePool()
	f.Run(time.Second)
	allFailing(f.Cluster, true)
	f.Submit(spec(1, steps...), urgent)
	for tries := 0; tries < 100 && f.Checker.JobStarts(jobID(1)) < steps[0].Count; tries++ {
		f.Run(time.Millisecond)
	}
	require.Equal(t, steps[0].Count, f.Checker.JobStarts(jobID(1)))
	beforeEnds(f)
	f.Run(failureTime)
	allFailing(f.Cluster, false)
	return f
}

// TestGangWhoseMembersFailTogetherIsTriedAgain guards against a gang that is given up after one run of
// several, since each of its members counted as a failure, also where other owners read their ends.
func TestGangWhoseMembersFailTogetherIsTriedAgain(t *testing.T) {
	lasting := longRunningGang(5)
	second := singleTaskStep(2)
	second.After = []int{0}
	gangs := map[string][]taskgraph.Step{
		"5 members": {gangStep(5)}, "20 members": {gangStep(20)}, "two steps": {gangStep(5), second}, "long-running": {lasting},
	}
	faults := map[string]func(*failedTogether){
		"same owner":                   func(*failedTogether) {},
		"owner killed before the ends": func(f *failedTogether) { f.replaceOwnerAfter(0) },
		"owner killed after the ends":  func(f *failedTogether) { f.replaceOwnerAfter(failureTime + 2*time.Millisecond) },
		"ends reach two owners":        func(f *failedTogether) { f.delayHalfOfReports() },
	}
	for gang, steps := range gangs {
		for fault, inject := range faults {
			t.Run(fmt.Sprint(gang, ", ", fault), func(t *testing.T) {
				f := failTogether(t, steps, inject)
				f.Run(20 * time.Second)
				requireInvariants(t, f.Cluster)
				if steps[0].LongRunning {
					require.Equal(t, taskgraph.Running, f.StoredState(jobID(1)))
					return
				}
				require.Equal(t, taskgraph.Completed, f.StoredState(jobID(1)))
			})
		}
	}
}

// replaceOwnerAfter kills the owner after a delay. Another one follows 0.5 s later.
func (f *failedTogether) replaceOwnerAfter(delay time.Duration) {
	f.Clock.After(delay, f.owner.Process.Kill)
	f.Clock.After(delay+500*time.Millisecond, func() { f.owner = f.AcquirePool() })
}

// delayHalfOfReports cuts every other worker of the gang from the first owner, so that the next owner reads
// the other half of the ends.
func (f *failedTogether) delayHalfOfReports() {
	for i, worker := range workersOf(f.Cluster, jobID(1)) {
		if i%2 == 0 {
			token := worker.Token()
			worker.CutOff = func(of int64) bool { return of == token }
		}
	}
	f.replaceOwnerAfter(time.Second)
}

// TestHopelessGangFailsAfterItsAttempts checks that a gang that always fails is given up after exactly as
// many runs as its queue allows.
func TestHopelessGangFailsAfterItsAttempts(t *testing.T) {
	for name, takeovers := range map[string]int{"same owner": 0, "other owners": 6} {
		t.Run(name, func(t *testing.T) {
			w := simulation.NewCluster(4, 6)
			w.AcquirePool()
			w.Run(time.Second)
			allFailing(w, true)
			w.Submit(spec(1, gangStep(5)), batch)
			for range takeovers {
				w.Run(700 * time.Millisecond)
				w.AcquirePool()
			}
			w.Run(2 * time.Minute)
			requireInvariants(t, w)
			require.Equal(t, taskgraph.Failed, w.StoredState(jobID(1)))
			for index := range 5 {
				require.Equal(t, batch.MaxAttempts, w.Checker.Starts(taskOf(1, 0, index)))
			}
		})
	}
}

// TestFailuresCountedByEarlierVersionsAreLimited guards against a gang that is given up after an upgrade:
// earlier versions have counted each member that failed in one run.
func TestFailuresCountedByEarlierVersionsAreLimited(t *testing.T) {
	f := failTogether(t, []taskgraph.Step{gangStep(3)}, func(*failedTogether) {})
	f.Run(time.Second)
	require.Equal(t, 2*3, f.Checker.JobStarts(jobID(1)))
	f.owner.Process.Kill()
	f.Run(500 * time.Millisecond)
	require.Equal(t, 1, replaceInRows(f.Cluster, jobID(1), `"f":1,"g":1`, `"f":2`))
	f.AcquirePool()
	for _, worker := range workersOf(f.Cluster, jobID(1)) {
		worker.FailRuns()
	}
	f.Run(20 * time.Second)
	requireInvariants(t, f.Cluster)
	require.Equal(t, taskgraph.Completed, f.StoredState(jobID(1)))
}

// replaceInRows replaces a text in the progress rows of a job, and returns the number of changed rows.
func replaceInRows(w *simulation.Cluster, job, text, replacement string) int {
	changed := 0
	for _, row := range progressRows(w, job) {
		value := bytes.Replace(row.Value, []byte(text), []byte(replacement), 1)
		if !bytes.Equal(value, row.Value) {
			w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: row.Key, Value: value}}})
			changed++
		}
	}
	return changed
}
