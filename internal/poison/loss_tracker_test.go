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

func newTestLedger(workers int) *LossTracker {
	l := NewLossTracker()
	l.SetWorkers(workers)
	return l
}

func newHistory() *History { return NewGroup().NewHistory(nil) }

var lossCount int

// loseWorker records the loss of a worker under tasks whose runs have the same age.
func loseWorker(l *LossTracker, when float64, age time.Duration, tasks ...*History) string {
	suspects := make([]Suspect, 0, len(tasks))
	for _, task := range tasks {
		suspects = append(suspects, Suspect{History: task, Age: age})
	}
	return loseWorkerRunning(l, when, suspects)
}

func loseWorkerRunning(l *LossTracker, when float64, suspects []Suspect) string {
	lossCount++
	worker := fmt.Sprintf("w-%d", lossCount)
	l.RecordLoss(Loss{Worker: worker, Address: worker, At: at(when), Replaced: true, Suspects: suspects})
	return worker
}

func TestTwoIsolatedLossesProvePoison(t *testing.T) {
	for _, age := range []time.Duration{0, earlyAge, time.Second, 3 * time.Second, 8 * time.Second} {
		l, task := newTestLedger(48), newHistory()
		loseWorker(l, 0, age, task)
		require.NotEqual(t, Sound, task.Verdict(), age)
		loseWorker(l, 4, age, task)
		require.Equal(t, PoisonByOdds, task.Verdict(), age)
	}
}

// TestColocatedTasksAreNotPoison guards against rejecting sound tasks that are rescheduled
// together with a poison one onto the same workers.
func TestColocatedTasksAreNotPoison(t *testing.T) {
	l, poisonTask := newTestLedger(48), newHistory()
	colocated := []*History{newHistory(), newHistory(), newHistory()}
	suspects := []Suspect{{History: poisonTask, Age: earlyAge}}
	for _, task := range colocated {
		suspects = append(suspects, Suspect{History: task, Age: 5 * time.Second})
	}
	loseWorkerRunning(l, 0, suspects)
	require.Equal(t, Suspected, poisonTask.Verdict())
	loseWorker(l, 4, earlyAge, append(colocated, poisonTask)...)
	require.Equal(t, PoisonByOdds, poisonTask.Verdict())
	for _, task := range colocated {
		require.False(t, task.Verdict().Poison(), task.Odds())
	}
}

func TestRackLossLeavesTasksSound(t *testing.T) {
	l := newTestLedger(48)
	var tasks []*History
	for worker := range 8 {
		var onWorker []*History
		for range 6 {
			onWorker = append(onWorker, newHistory())
		}
		loseWorker(l, float64(worker)/10, 3*time.Second, onWorker...)
		tasks = append(tasks, onWorker...)
	}
	for _, task := range tasks {
		require.Equal(t, Sound, task.Verdict(), task.Odds())
	}
}

// TestSeveralPoisonTasksAtOnce guards against counting the losses under one poison task as chance
// losses for another.
func TestSeveralPoisonTasksAtOnce(t *testing.T) {
	l := newTestLedger(48)
	tasks := []*History{newHistory(), newHistory(), newHistory()}
	for round := range 2 {
		for i, task := range tasks {
			loseWorker(l, 4*float64(round)+float64(i), earlyAge, task)
		}
	}
	for _, task := range tasks {
		require.Equal(t, PoisonByOdds, task.Verdict(), task.Odds())
	}
}

// TestGangCrashingAllWorkersIsPoison covers a gang whose members all lose their workers at once,
// which resembles a rack failure.
func TestGangCrashingAllWorkersIsPoison(t *testing.T) {
	l, gang := newTestLedger(48), NewGroup()
	members := make([]*History, 8)
	for i := range members {
		members[i] = gang.NewHistory(nil)
	}
	for round := range 2 {
		for _, member := range members {
			loseWorker(l, 5*float64(round), time.Second, member)
		}
	}
	require.Equal(t, PoisonByOdds, members[0].Verdict(), members[0].Odds())
}

func TestLiveWorkerIsWithdrawnFromEvidence(t *testing.T) {
	l, task := newTestLedger(48), newHistory()
	first := loseWorker(l, 0, earlyAge, task)
	require.True(t, l.WithdrawLoss(first))
	require.False(t, l.WithdrawLoss(first))
	require.Zero(t, task.LossCount())
	loseWorker(l, 4, earlyAge, task)
	require.Equal(t, Suspected, task.Verdict())
}

func TestHistoryRoundTrip(t *testing.T) {
	l, task := newTestLedger(48), newHistory()
	worker := loseWorker(l, 0, earlyAge, task)
	next := newTestLedger(48)
	restored := NewGroup().NewHistory(task.Records())
	next.Restore(restored)
	require.InDelta(t, task.Odds(), restored.Odds(), 1e-9)
	loseWorker(next, 4, earlyAge, restored)
	require.Equal(t, PoisonByOdds, restored.Verdict())
	require.True(t, next.WithdrawLoss(worker))
	require.Equal(t, 1, restored.LossCount())
}

func TestLossLimitIgnoresOdds(t *testing.T) {
	l, task := newTestLedger(48), newHistory()
	for round := range maxLosses {
		for range 60 {
			loseWorker(l, float64(4*round), 5*time.Second, newHistory())
		}
		require.False(t, task.Verdict().Poison())
		if round == 2 {
			// A worker that left as planned counts but is not evidence.
			odds := task.Odds()
			task.AddUnexplained("left")
			require.InDelta(t, odds, task.Odds(), 1e-9)
			continue
		}
		loseWorker(l, float64(4*round), 5*time.Second, task)
	}
	require.Equal(t, PoisonByLimit, task.Verdict())
}

func TestUnexplainedLossesCountTowardLimit(t *testing.T) {
	l, task := newTestLedger(48), newHistory()
	for number := range maxLosses - 1 {
		task.AddUnexplained(fmt.Sprint("unexplained ", number))
		task.AddUnexplained(fmt.Sprint("unexplained ", number))
		require.Equal(t, number+1, task.LossCount())
		require.Equal(t, Sound, task.Verdict())
	}
	restored := NewGroup().NewHistory(task.Records())
	loseWorker(l, 0, earlyAge, restored)
	require.Equal(t, PoisonByLimit, restored.Verdict())

	single := newHistory()
	single.AddUnexplained("unexplained")
	loseWorker(l, 100, earlyAge, single)
	require.Greater(t, single.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, single.Verdict(), "a single loss as evidence must not prove poison")
}

// TestErrorsOverSeeds bounds both error rates at several rates of chance losses per worker and
// second: sound tasks classified as poison, and workers lost to a poison task.
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

// Parameters of simulateLosses: 60 s in steps of 0.1 s, with tasks of 5 s on average.
const (
	simulatedWorkers      = 48
	tasksPerWorker        = 6
	simulatedSteps        = 600
	stepSeconds           = 0.1
	completionProbability = 0.02
	secondsToRetry        = 3.5
)

// simulatedPool is a pool whose tasks stay on their workers, which are replaced immediately.
type simulatedPool struct {
	random     *rand.Rand
	ledger     *LossTracker
	tasks      []*History
	startTimes []float64
	counts     errorCounts
}

// simulateLosses loses workers by chance, and one more under a poison task each time it runs,
// until the task is rejected.
func simulateLosses(random *rand.Rand, rate float64) errorCounts {
	p := &simulatedPool{random: random, ledger: newTestLedger(simulatedWorkers), startTimes: make([]float64, simulatedWorkers*tasksPerWorker)}
	for range p.startTimes {
		p.tasks = append(p.tasks, newHistory())
	}
	poison, lost, next := newHistory(), 0, 5.0
	for step := range simulatedSteps {
		now := float64(step) * stepSeconds
		for worker := range simulatedWorkers {
			if random.Float64() < rate*stepSeconds {
				loseWorkerRunning(p.ledger, now, p.suspects(worker, now))
			}
		}
		if now >= next && !poison.Verdict().Poison() {
			suspects := p.suspects(random.IntN(simulatedWorkers), now)
			loseWorkerRunning(p.ledger, now, append(suspects, Suspect{History: poison, Age: earlyAge}))
			next, lost = now+secondsToRetry, lost+1
		}
		p.completeTasks(now)
	}
	p.counts.sound += len(p.tasks)
	p.counts.mostLost = lost
	return p.counts
}

// suspects returns the tasks of a worker and restarts them.
func (p *simulatedPool) suspects(worker int, now float64) []Suspect {
	var suspects []Suspect
	for i := worker * tasksPerWorker; i < (worker+1)*tasksPerWorker; i++ {
		age := time.Duration((now - p.startTimes[i]) * float64(time.Second))
		suspects = append(suspects, Suspect{History: p.tasks[i], Age: age})
		p.startTimes[i] = now
	}
	return suspects
}

// completeTasks completes a random part of the tasks and replaces them.
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

// TestLossBurstsDoNotProvePoison guards against rejecting a sound task that ran on a lost worker
// in each of four bursts, in which a third of the workers restart within a second.
func TestLossBurstsDoNotProvePoison(t *testing.T) {
	l, repeated := newTestLedger(48), newHistory()
	for burst := range 4 {
		for worker := range 16 {
			when := 5*float64(burst) + float64(worker)/16
			tasks := []*History{newHistory()}
			if worker == 8 {
				tasks = []*History{repeated}
			}
			loseWorker(l, when, 550*time.Millisecond, tasks...)
		}
	}
	require.False(t, repeated.Verdict().Poison(), "odds %g", repeated.Odds())
}

// TestTwoLossesAtDifferentAgesAreInsufficient guards against rejecting a sound task after two
// chance losses; a third loss decides.
func TestTwoLossesAtDifferentAgesAreInsufficient(t *testing.T) {
	l, task := newTestLedger(12), newHistory()
	loseWorker(l, 0, 2200*time.Millisecond, task)
	loseWorker(l, 3, 370*time.Millisecond, task)
	require.Greater(t, task.Odds(), float64(poisonOdds))
	require.Equal(t, Suspected, task.Verdict())
	loseWorker(l, 6, 370*time.Millisecond, task)
	require.Equal(t, PoisonByOdds, task.Verdict())
}

// TestRecordsPreserveAges checks that the next owner compares the ages of stored losses.
func TestRecordsPreserveAges(t *testing.T) {
	l, task := newTestLedger(12), newHistory()
	loseWorker(l, 0, 2200*time.Millisecond, task)
	next, restored := newTestLedger(12), NewGroup().NewHistory(task.Records())
	next.Restore(restored)
	loseWorker(next, 3, 370*time.Millisecond, restored)
	require.Equal(t, Suspected, restored.Verdict())
}

// TestAssumedAgesAgreeWithAny checks that estimated ages, of runs that an earlier owner started,
// do not contradict others.
func TestAssumedAgesAgreeWithAny(t *testing.T) {
	l, task := newTestLedger(12), newHistory()
	loseWorkerRunning(l, 0, []Suspect{{History: task, Age: 2 * time.Second, AgeEstimated: true}})
	loseWorker(l, 4, earlyAge, task)
	require.Equal(t, PoisonByOdds, task.Verdict())
}
