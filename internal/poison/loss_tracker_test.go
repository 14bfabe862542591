package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const earlyAge = 10 * time.Millisecond

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func newTestTracker(workers int) *LossTracker {
	tracker := NewLossTracker()
	tracker.SetWorkers(workers)
	return tracker
}

func newHistory() *History { return NewGroup().NewHistory(nil) }

var lossCount int

// loseWorker records the loss of a worker that ran the given tasks. All runs have the same age.
func loseWorker(tracker *LossTracker, when float64, age time.Duration, tasks ...*History) string {
	suspects := make([]Suspect, 0, len(tasks))
	for _, task := range tasks {
		suspects = append(suspects, Suspect{History: task, Age: age})
	}
	return loseWorkerWithSuspects(tracker, when, suspects)
}

func loseWorkerWithSuspects(tracker *LossTracker, when float64, suspects []Suspect) string {
	lossCount++
	worker := fmt.Sprintf("w-%d", lossCount)
	tracker.RecordLoss(Loss{Worker: worker, Address: worker, At: at(when), Replaced: true, Suspects: suspects})
	return worker
}

func TestTwoIsolatedLossesProvePoison(t *testing.T) {
	for _, age := range []time.Duration{0, earlyAge, time.Second, 3 * time.Second, 8 * time.Second} {
		tracker, task := newTestTracker(48), newHistory()
		loseWorker(tracker, 0, age, task)
		require.NotEqual(t, Sound, task.Verdict(), age)
		loseWorker(tracker, 4, age, task)
		require.Equal(t, PoisonByOdds, task.Verdict(), age)
	}
}

// TestColocatedTasksAreNotPoison guards against rejecting healthy tasks that run on the same
// workers as a poison task, also after rescheduling.
func TestColocatedTasksAreNotPoison(t *testing.T) {
	tracker, poisonTask := newTestTracker(48), newHistory()
	colocated := []*History{newHistory(), newHistory(), newHistory()}
	suspects := []Suspect{{History: poisonTask, Age: earlyAge}}
	for _, task := range colocated {
		suspects = append(suspects, Suspect{History: task, Age: 5 * time.Second})
	}
	loseWorkerWithSuspects(tracker, 0, suspects)
	require.Equal(t, Suspected, poisonTask.Verdict())
	loseWorker(tracker, 4, earlyAge, append(colocated, poisonTask)...)
	require.Equal(t, PoisonByOdds, poisonTask.Verdict())
	for _, task := range colocated {
		require.False(t, task.Verdict().Poison(), task.Odds())
	}
}

func TestRackLossLeavesTasksSound(t *testing.T) {
	tracker := newTestTracker(48)
	var tasks []*History
	for worker := range 8 {
		var onWorker []*History
		for range 6 {
			onWorker = append(onWorker, newHistory())
		}
		loseWorker(tracker, float64(worker)/10, 3*time.Second, onWorker...)
		tasks = append(tasks, onWorker...)
	}
	for _, task := range tasks {
		require.Equal(t, Sound, task.Verdict(), task.Odds())
	}
}

// TestSeveralPoisonTasksAtOnce guards against counting losses that one poison task caused as chance
// losses (losses that no task caused) in the evidence about another poison task.
func TestSeveralPoisonTasksAtOnce(t *testing.T) {
	tracker := newTestTracker(48)
	tasks := []*History{newHistory(), newHistory(), newHistory()}
	for round := range 2 {
		for i, task := range tasks {
			loseWorker(tracker, 4*float64(round)+float64(i), earlyAge, task)
		}
	}
	for _, task := range tasks {
		require.Equal(t, PoisonByOdds, task.Verdict(), task.Odds())
	}
}

// TestGangCrashingAllWorkersIsPoison guards against mistaking a poison gang, whose members crash
// all their workers at once, for a rack failure.
func TestGangCrashingAllWorkersIsPoison(t *testing.T) {
	tracker, gang := newTestTracker(48), NewGroup()
	members := make([]*History, 8)
	for i := range members {
		members[i] = gang.NewHistory(nil)
	}
	for round := range 2 {
		for _, member := range members {
			loseWorker(tracker, 5*float64(round), time.Second, member)
		}
	}
	require.Equal(t, PoisonByOdds, members[0].Verdict(), members[0].Odds())
}

func TestLiveWorkerIsWithdrawnFromEvidence(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	first := loseWorker(tracker, 0, earlyAge, task)
	require.True(t, tracker.WithdrawLoss(first))
	require.False(t, tracker.WithdrawLoss(first))
	require.Zero(t, task.LossCount())
	loseWorker(tracker, 4, earlyAge, task)
	require.Equal(t, Suspected, task.Verdict())
}

func TestHistoryRoundTrip(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	worker := loseWorker(tracker, 0, earlyAge, task)
	restoredTracker := newTestTracker(48)
	restored := NewGroup().NewHistory(task.Records())
	restoredTracker.Restore(restored)
	require.InDelta(t, task.Odds(), restored.Odds(), 1e-9)
	loseWorker(restoredTracker, 4, earlyAge, restored)
	require.Equal(t, PoisonByOdds, restored.Verdict())
	require.True(t, restoredTracker.WithdrawLoss(worker))
	require.Equal(t, 1, restored.LossCount())
}

func TestLossLimitIgnoresOdds(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	for round := range maxLosses {
		for range 60 {
			loseWorker(tracker, float64(4*round), 5*time.Second, newHistory())
		}
		require.False(t, task.Verdict().Poison())
		if round == 2 {
			// A worker that left as planned counts toward maxLosses but is not evidence.
			odds := task.Odds()
			task.AddUnexplained("left")
			require.InDelta(t, odds, task.Odds(), 1e-9)
			continue
		}
		loseWorker(tracker, float64(4*round), 5*time.Second, task)
	}
	require.Equal(t, PoisonByLimit, task.Verdict())
}

func TestUnexplainedLossesCountTowardLimit(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	for number := range maxLosses - 1 {
		task.AddUnexplained(fmt.Sprint("unexplained ", number))
		task.AddUnexplained(fmt.Sprint("unexplained ", number))
		require.Equal(t, number+1, task.LossCount())
		require.Equal(t, Sound, task.Verdict())
	}
	restored := NewGroup().NewHistory(task.Records())
	loseWorker(tracker, 0, earlyAge, restored)
	require.Equal(t, PoisonByLimit, restored.Verdict())

	single := newHistory()
	single.AddUnexplained("unexplained")
	loseWorker(tracker, 100, earlyAge, single)
	require.Greater(t, single.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, single.Verdict(), "a single loss as evidence must not prove poison")
}

// TestErrorsOverSeeds runs simulations with several random seeds and rates of worker failures. It
// limits the healthy tasks that are classified as poison and the workers that a poison task crashes.
func TestErrorsOverSeeds(t *testing.T) {
	const seeds = 40
	for _, rate := range []float64{0.001, 0.005, 0.02} {
		var sum errorCounts
		for seed := range uint64(seeds) {
			sum.add(simulateLosses(rand.New(rand.NewPCG(seed, 3)), rate))
		}
		t.Logf("%v losses per worker and second: %+v", rate, sum)
		require.LessOrEqual(t, sum.falsePositives*5000, sum.sound, "sound tasks classified as poison")
		require.LessOrEqual(t, sum.mostLost, 3, "workers lost to one poison task")
	}
}

// errorCounts holds the results of one or more simulations.
type errorCounts struct {
	sound, lostRepeatedly, falsePositives, mostLost int
}

func (c *errorCounts) add(other errorCounts) {
	c.sound += other.sound
	c.lostRepeatedly += other.lostRepeatedly
	c.falsePositives += other.falsePositives
	c.mostLost = max(c.mostLost, other.mostLost)
}

// These parameters of simulateLosses give 60 s in steps of 0.1 s, with tasks of 5 s on average.
const (
	simulatedWorkers      = 48
	tasksPerWorker        = 6
	simulatedSteps        = 600
	stepSeconds           = 0.1
	completionProbability = 0.02
	secondsToRetry        = 3.5
)

// simulatedPool is a pool in which each lost worker is replaced immediately. The tasks of a lost
// worker restart on the replacement.
type simulatedPool struct {
	random     *rand.Rand
	tracker    *LossTracker
	tasks      []*History
	startTimes []float64
	counts     errorCounts
}

// simulateLosses simulates workers that fail at random, at the given rate per worker and second.
// One poison task crashes a worker in each of its runs, until the task is rejected.
func simulateLosses(random *rand.Rand, rate float64) errorCounts {
	p := &simulatedPool{random: random, tracker: newTestTracker(simulatedWorkers), startTimes: make([]float64, simulatedWorkers*tasksPerWorker)}
	for range p.startTimes {
		p.tasks = append(p.tasks, newHistory())
	}
	poison, lost, nextRun := newHistory(), 0, 5.0
	for step := range simulatedSteps {
		now := float64(step) * stepSeconds
		for worker := range simulatedWorkers {
			if random.Float64() < rate*stepSeconds {
				loseWorkerWithSuspects(p.tracker, now, p.suspects(worker, now))
			}
		}
		if now >= nextRun && !poison.Verdict().Poison() {
			suspects := p.suspects(random.IntN(simulatedWorkers), now)
			loseWorkerWithSuspects(p.tracker, now, append(suspects, Suspect{History: poison, Age: earlyAge}))
			nextRun, lost = now+secondsToRetry, lost+1
		}
		p.completeTasks(now)
	}
	p.counts.sound += len(p.tasks)
	p.counts.mostLost = lost
	return p.counts
}

// suspects returns the tasks of a lost worker as suspects and restarts the tasks.
func (p *simulatedPool) suspects(worker int, now float64) []Suspect {
	var suspects []Suspect
	for i := worker * tasksPerWorker; i < (worker+1)*tasksPerWorker; i++ {
		age := time.Duration((now - p.startTimes[i]) * float64(time.Second))
		suspects = append(suspects, Suspect{History: p.tasks[i], Age: age})
		p.startTimes[i] = now
	}
	return suspects
}

// completeTasks completes randomly chosen tasks and replaces them by new tasks.
func (p *simulatedPool) completeTasks(now float64) {
	for i, task := range p.tasks {
		if p.random.Float64() >= completionProbability {
			continue
		}
		if task.Verdict().Poison() {
			p.counts.falsePositives++
		}
		if task.LossCount() > 1 {
			p.counts.lostRepeatedly++
		}
		p.tasks[i], p.startTimes[i] = newHistory(), now
		p.counts.sound++
	}
}

// TestRateOfSteadyLosses guards against a rate that counts the losses on both sides of a loss as if
// they had occurred on one side. At twice the true rate, poison tasks crash a worker more before
// they are detected.
func TestRateOfSteadyLosses(t *testing.T) {
	const workers, losses = 12, 30
	tracker := newTestTracker(workers)
	for second := range losses {
		loseWorker(tracker, float64(second), earlyAge)
	}
	for _, loss := range []*workerLoss{tracker.losses[losses/2], tracker.losses[losses-1]} {
		require.InEpsilon(t, 1.0/workers, loss.chanceRate, 0.01)
	}
}

// TestLossBurstsDoNotProvePoison guards against rejecting a healthy task after four bursts. In each
// burst a third of the workers restart within a second, among them the worker that runs the task.
func TestLossBurstsDoNotProvePoison(t *testing.T) {
	tracker, repeated := newTestTracker(48), newHistory()
	for burst := range 4 {
		for worker := range 16 {
			when := 5*float64(burst) + float64(worker)/16
			tasks := []*History{newHistory()}
			if worker == 8 {
				tasks = []*History{repeated}
			}
			loseWorker(tracker, when, 550*time.Millisecond, tasks...)
		}
	}
	require.False(t, repeated.Verdict().Poison(), "odds %g", repeated.Odds())
}

// TestTwoLossesAtDifferentAgesAreInsufficient guards against rejecting a healthy task after two
// unrelated losses at different ages. A third loss is sufficient.
func TestTwoLossesAtDifferentAgesAreInsufficient(t *testing.T) {
	tracker, task := newTestTracker(12), newHistory()
	loseWorker(tracker, 0, 2200*time.Millisecond, task)
	loseWorker(tracker, 3, 370*time.Millisecond, task)
	require.Greater(t, task.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, task.Verdict())
	loseWorker(tracker, 6, 370*time.Millisecond, task)
	require.Equal(t, PoisonByOdds, task.Verdict())
}

// TestRecordsPreserveAges checks that stored records keep the ages of losses. After a change of
// owner, two losses at different ages must still not prove poison.
func TestRecordsPreserveAges(t *testing.T) {
	tracker, task := newTestTracker(12), newHistory()
	loseWorker(tracker, 0, 2200*time.Millisecond, task)
	restoredTracker, restored := newTestTracker(12), NewGroup().NewHistory(task.Records())
	restoredTracker.Restore(restored)
	loseWorker(restoredTracker, 3, 370*time.Millisecond, restored)
	require.Equal(t, Suspected, restored.Verdict())
}

// TestAssumedAgesAgreeWithAny checks that an estimated age never contradicts the age of another
// loss. Ages are estimated for runs that an earlier owner started.
func TestAssumedAgesAgreeWithAny(t *testing.T) {
	tracker, task := newTestTracker(12), newHistory()
	loseWorkerWithSuspects(tracker, 0, []Suspect{{History: task, Age: 2 * time.Second, AgeEstimated: true}})
	loseWorker(tracker, 4, earlyAge, task)
	require.Equal(t, PoisonByOdds, task.Verdict())
}
