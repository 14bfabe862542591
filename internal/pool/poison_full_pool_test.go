package pool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// runPoisonInFullPool simulates a full pool in which one of every so many jobs has a task that
// crashes the workers that run it. It requires that these jobs fail, and returns the simulation, the
// number of the other, healthy jobs and how many of them failed.
func runPoisonInFullPool(t *testing.T, seed uint64, jobs, every int, crash simulation.Crash) (w *simulation.Cluster, healthy, failed int) {
	random := rand.New(rand.NewPCG(seed, 7))
	w = simulation.NewCluster(3, 4)
	crashing := map[string]bool{}
	w.Work = func(name taskgraph.TaskName) time.Duration { return w.Estimate(name) }
	w.AcquirePool()
	w.Run(time.Second)
	for n := range jobs {
		step := singleTaskStep(1 + random.IntN(6))
		step.GPUs = 1 << random.IntN(3)
		step.EstimateMillis = max(int64(200+random.IntN(1300)), 2*crash.After.Milliseconds())
		step.Gang = random.IntN(10) < 3
		if n%every == every-1 {
			crashing[jobID(n)] = true
			w.Crashing[taskOf(n, 0, 0)] = crash
		}
		queue := batch
		queue.MaxAttempts = 40
		w.Submit(spec(n, step), queue)
		w.Run(85 * time.Millisecond)
	}
	submittedAt := w.Clock.Now()
	for open := true; open && w.Clock.Now().Sub(submittedAt) < 300*time.Second; {
		w.Run(time.Second)
		open = false
		for n := range jobs {
			open = open || !w.StoredState(jobID(n)).Final()
		}
	}
	t.Logf("all jobs ended %v after the last submission; %d runs were lost", w.Clock.Now().Sub(submittedAt), w.Checker.Metrics["attempts/lost"])
	requireInvariants(t, w)
	for n := range jobs {
		state := w.StoredState(jobID(n))
		if crashing[jobID(n)] {
			require.Equal(t, taskgraph.Failed, state, "job %d has a task that crashes workers", n)
			continue
		}
		healthy++
		if state == taskgraph.Failed {
			failed++
			for _, line := range w.Checker.DecisionLog {
				if strings.Contains(line, "poison job failed") && strings.Contains(line, jobID(n)) {
					t.Log(line)
				}
			}
			continue
		}
		require.Equal(t, taskgraph.Completed, state, "job %d", n)
	}
	return w, healthy, failed
}

// TestHealthyJobsAmongCrashingTasksComplete guards against healthy jobs that fail because a
// suspected task is placed beside others that crash its worker.
func TestHealthyJobsAmongCrashingTasksComplete(t *testing.T) {
	for _, seed := range []uint64{1, 2, 7} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			_, healthy, failed := runPoisonInFullPool(t, seed, 440, 11, simulation.Crash{From: simulation.AtWorkStart, After: 10 * time.Millisecond})
			require.Zero(t, failed, "failed jobs of %d healthy ones", healthy)
		})
	}
}

// TestCrashingTasksCostFewWorkers guards against tasks that each crash a third or fourth worker
// although the evidence suffices. The pool then loses workers faster than the callers' jobs end.
func TestCrashingTasksCostFewWorkers(t *testing.T) {
	w, _, _ := runPoisonInFullPool(t, 2, 440, 11, simulation.Crash{From: simulation.AtWorkStart, After: 10 * time.Millisecond})
	overTwo, overThree := 0, 0
	for task := range w.Crashing {
		if w.Checker.Crashes(task) > 2 {
			overTwo++
		}
		if w.Checker.Crashes(task) > 3 {
			overThree++
		}
	}
	require.LessOrEqual(t, 4*overTwo, 3*len(w.Crashing))
	require.LessOrEqual(t, 3*overThree, len(w.Crashing))
}

// TestSuspectsWaitForIsolation guards against a wait reason that names locality although the job asks
// for none. An operator would look for a rack in place of a task that crashes workers.
func TestSuspectsWaitForIsolation(t *testing.T) {
	w, _, _ := runPoisonInFullPool(t, 1, 220, 11, simulation.Crash{From: simulation.AtWorkStart, After: 10 * time.Millisecond})
	reasons := map[string]int{}
	for _, line := range w.Checker.DecisionLog {
		for _, reason := range []string{"waited_for isolation", "waited_for no near place"} {
			if strings.Contains(line, reason) {
				reasons[reason]++
			}
		}
	}
	require.Positive(t, reasons["waited_for isolation"])
	require.Zero(t, reasons["waited_for no near place"])
}

// TestDelayedCrashesFailJobsInFullPool guards against a pool without progress. Tasks that crash all
// workers raise the rate of chance losses, so the odds of these tasks stay low and no job fails.
func TestDelayedCrashesFailJobsInFullPool(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			_, healthy, failed := runPoisonInFullPool(t, seed, 200, 6, simulation.Crash{From: simulation.AtStart, After: 553 * time.Millisecond})
			require.LessOrEqual(t, 100*failed, healthy, "more than 1% of the healthy jobs failed")
		})
	}
}
