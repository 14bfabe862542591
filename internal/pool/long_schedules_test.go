package pool_test

import (
	"encoding/json"
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// These tests guard against a scheduled job that ends as failed although none of its runs failed, as its
// progress row listed each complete step of each repetition (review case 13).

// schedule is a job that repeats.
type schedule struct {
	steps       []taskgraph.Step
	repetitions int
	interval    time.Duration
	// work is how long a task runs.
	work time.Duration
}

// smallSteps returns single tasks that need little of a worker.
func smallSteps(count int) []taskgraph.Step {
	steps := make([]taskgraph.Step, count)
	for i := range steps {
		steps[i] = smallStep(1)
	}
	return steps
}

// chainedSteps returns single tasks of which those from the given index on run one after another.
func chainedSteps(count, from int) []taskgraph.Step {
	steps := smallSteps(count)
	for i := from; i < count; i++ {
		steps[i].After = []int{i - 1}
	}
	return steps
}

// submit submits the job, due from one second on.
func (s schedule) submit(w *simulation.Cluster) {
	w.Work = func(taskgraph.TaskName) time.Duration { return s.work }
	repeated := spec(1, s.steps...)
	repeated.Repetitions, repeated.IntervalMillis = s.repetitions, s.interval.Milliseconds()
	repeated.FirstRunMillis = w.Clock.Now().Add(time.Second).UnixMilli()
	w.Submit(repeated, batch)
}

// newScheduleCluster returns a cluster whose log is off.
func newScheduleCluster() *simulation.Cluster {
	w := simulation.NewCluster(2, 6)
	w.Checker.Quiet = true
	return w
}

// keepOwned starts a new owner whenever the last one has ended.
func keepOwned(w *simulation.Cluster) (current func() *simulation.Owner) {
	const interval = 50 * time.Millisecond
	owner := w.AcquirePool()
	var check func()
	check = func() {
		if owner.Ended != "" {
			owner = w.AcquirePool()
		}
		w.Clock.After(interval, check)
	}
	w.Clock.After(interval, check)
	return func() *simulation.Owner { return owner }
}

// requireEachTaskRanOnce requires that the job is completed, that each task was started once, and that no
// row exceeded the store's limit.
func (s schedule) requireEachTaskRanOnce(t *testing.T, w *simulation.Cluster) {
	t.Helper()
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Completed, w.StoredState(jobID(1)))
	for repetition := range s.repetitions {
		for step := range s.steps {
			name := taskgraph.TaskName{Job: jobID(1), Repetition: repetition, Step: step}
			require.Equal(t, 1, w.Checker.Starts(name), "%v", name)
		}
	}
	t.Logf("largest rows in bytes: %v", w.Store.LargestRows)
	require.Less(t, w.Store.LargestRows["progress"], w.Store.Limits.RowBytes)
}

// TestLongSchedulesKeepToRowLimit plays schedules whose complete steps have no room in a row.
func TestLongSchedulesKeepToRowLimit(t *testing.T) {
	cases := map[string]schedule{
		"many steps, one after another":    {steps: smallSteps(30), repetitions: 110, interval: 500 * time.Millisecond, work: 100 * time.Millisecond},
		"fifty repetitions open at a time": {steps: chainedSteps(75, 50), repetitions: 45, interval: 500 * time.Millisecond, work: time.Second},
		"one step, very often":             {steps: smallSteps(1), repetitions: 3000, interval: 20 * time.Millisecond, work: 50 * time.Millisecond},
		"all due at once":                  {steps: smallSteps(30), repetitions: 110, work: 100 * time.Millisecond},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newScheduleCluster()
			keepOwned(w)
			s.submit(w)
			w.Run(time.Duration(s.repetitions)*s.interval + 60*time.Second)
			s.requireEachTaskRanOnce(t, w)
		})
	}
}

// TestLongScheduleOutlivesItsOwners kills the owner every few seconds, also while the row's form changes.
func TestLongScheduleOutlivesItsOwners(t *testing.T) {
	for _, interval := range []time.Duration{1700 * time.Millisecond, 4 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			t.Parallel()
			s := schedule{steps: chainedSteps(30, 20), repetitions: 110, interval: 500 * time.Millisecond, work: 300 * time.Millisecond}
			w := newScheduleCluster()
			owner := keepOwned(w)
			s.submit(w)
			for elapsed := time.Duration(0); elapsed < 60*time.Second; elapsed += interval {
				w.Run(interval)
				owner().Process.Kill()
				owner = keepOwned(w)
			}
			w.Run(120 * time.Second)
			s.requireEachTaskRanOnce(t, w)
		})
	}
}

// TestRepetitionsThatAreDueAtOnceAfterAnOutage: no owner lives for ten seconds, and then twenty repetitions
// are due at once.
func TestRepetitionsThatAreDueAtOnceAfterAnOutage(t *testing.T) {
	s := schedule{steps: smallSteps(30), repetitions: 80, interval: 500 * time.Millisecond, work: 400 * time.Millisecond}
	w := newScheduleCluster()
	owner := keepOwned(w)
	s.submit(w)
	w.Run(16 * time.Second)
	owner().Process.Kill()
	w.Run(10 * time.Second)
	keepOwned(w)
	w.Run(90 * time.Second)
	s.requireEachTaskRanOnce(t, w)
}

// TestLongScheduleWaitsForOlderNodes: a node of an earlier version could take the pool over. The job must
// neither fail nor be written in a form that the node would misread, and goes on once it is gone.
func TestLongScheduleWaitsForOlderNodes(t *testing.T) {
	t.Parallel()
	s := schedule{steps: smallSteps(30), repetitions: 110, interval: 500 * time.Millisecond, work: 100 * time.Millisecond}
	w := newScheduleCluster()
	oldest := compatibility.Baseline
	w.CommonFormat = func() compatibility.Format { return oldest }
	owner := keepOwned(w)
	s.submit(w)
	w.Run(80 * time.Second)
	requireInvariants(t, w)
	require.Equal(t, taskgraph.Running, w.StoredState(jobID(1)))
	require.Empty(t, owner().Ended)
	require.Less(t, w.Store.LargestRows["progress"], w.Store.Limits.RowBytes)
	require.False(t, strings.Contains(storedProgress(w, jobID(1)), `"ended":[`))
	oldest = compatibility.Newest
	w.Run(80 * time.Second)
	s.requireEachTaskRanOnce(t, w)
}

// TestFormatIsRaisedOnlyWhereARowNeedsIt checks that pools without long schedules can still be owned by
// earlier versions, also after a job that needed the newer format has ended.
func TestFormatIsRaisedOnlyWhereARowNeedsIt(t *testing.T) {
	s := schedule{steps: smallSteps(10), repetitions: 20, interval: 500 * time.Millisecond, work: 100 * time.Millisecond}
	w := newScheduleCluster()
	owner := keepOwned(w)
	s.submit(w)
	w.Run(20 * time.Second)
	require.Empty(t, owner().Ended)
	require.Equal(t, compatibility.Baseline, leaseFormat(w))

	long := schedule{steps: smallSteps(30), repetitions: 60, interval: 200 * time.Millisecond, work: 100 * time.Millisecond}
	w = newScheduleCluster()
	owner = keepOwned(w)
	long.submit(w)
	w.Run(12 * time.Second)
	require.Equal(t, compatibility.CompactProgress, leaseFormat(w))
	w.Run(20 * time.Second)
	long.requireEachTaskRanOnce(t, w)
	owner().Process.Post(owner().Release)
	w.Run(time.Second)
	require.Equal(t, compatibility.Baseline, leaseFormat(w), "no open job needs the newer format")
}

// leaseFormat returns the format that the pool's lease states.
func leaseFormat(w *simulation.Cluster) compatibility.Format {
	var lease pool.Lease
	decode(w.Store.List(pool.NodeTable, simulation.PoolName, pool.LeaseRow).Rows[0], &lease)
	return compatibility.Effective(lease.Format)
}

// storedProgress returns the newest progress row of a job.
func storedProgress(w *simulation.Cluster, id string) string {
	var newest rows.Row
	for _, part := range w.Store.ListPartitions(pool.ProgressTable) {
		for _, row := range w.Store.List(pool.ProgressTable, part, id).Rows {
			if row.Version > newest.Version {
				newest = row
			}
		}
	}
	return string(newest.Value)
}

func decode(row rows.Row, target any) {
	if err := json.Unmarshal(row.Value, target); err != nil {
		panic(err)
	}
}

// longestSchedule is the number of repetitions that TestCostOfLongSchedule plays.
var longestSchedule = flag.Int("longest-schedule", 2000, "number of repetitions of the longest schedule that is measured")

// TestCostOfLongSchedule measures what an owner does for a schedule of a given length: its rows must not
// grow with it.
func TestCostOfLongSchedule(t *testing.T) {
	for repetitions := 100; repetitions <= *longestSchedule; repetitions *= 10 {
		s := schedule{steps: smallSteps(1), repetitions: repetitions, interval: 100 * time.Millisecond, work: 50 * time.Millisecond}
		w := newScheduleCluster()
		keepOwned(w)
		s.submit(w)
		startedAt := time.Now()
		w.Run(time.Duration(repetitions)*s.interval + 5*time.Second)
		t.Logf("%d repetitions, each: %v, %d bytes written in progress rows", repetitions, time.Since(startedAt)/time.Duration(repetitions), w.Store.WrittenBytes["progress"]/repetitions)
		s.requireEachTaskRanOnce(t, w)
	}
}

// TestLaterStepsOfManyRepetitionsGoOn guards against repetitions that fill the row while their second steps
// wait for a worker, so that there is no room for these once there is one.
func TestLaterStepsOfManyRepetitionsGoOn(t *testing.T) {
	t.Parallel()
	const rowLimit = 10_000
	second := smallStep(20)
	second.After, second.RequiredLabel, second.Gang = []int{0}, "rare", true
	s := schedule{steps: []taskgraph.Step{smallStep(1), second}, repetitions: 300, work: 100 * time.Millisecond}
	w := newScheduleCluster()
	w.MaxRowBytes, w.Store.Limits.RowBytes = rowLimit, rowLimit
	keepOwned(w)
	s.submit(w)
	w.Run(30 * time.Second)
	rare := w.Workers[0]
	rare.Labels = append(rare.Labels, "rare")
	w.PutWorkerRow(rare)
	w.Run(90 * time.Second)
	s.requireEachTaskRanOnce(t, w)
}
