package speeds

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// testPool is a pool of workers with known speeds and the estimates of these speeds.
type testPool struct {
	random *rand.Rand
	// logTimes holds the logarithm of the time per work of each worker.
	logTimes  []float64
	estimates []Estimate
}

func newTestPool(seed uint64, workers int, times ...float64) *testPool {
	p := &testPool{random: rand.New(rand.NewPCG(seed, 5)), estimates: make([]Estimate, workers)}
	for i := range workers {
		p.logTimes = append(p.logTimes, math.Log(times[i%len(times)]))
	}
	return p
}

// runGang runs equal tasks on random workers and compares them by their progress.
func (p *testPool) runGang(size int) {
	var samples []Sample
	work := p.random.NormFloat64()
	for _, i := range p.random.Perm(len(p.estimates))[:size] {
		percent := max(1, int(25/math.Exp(p.logTimes[i])))
		samples = append(samples, Sample{Worker: &p.estimates[i], LogTime: work + p.logTimes[i], Variance: RoundingVariance(percent)})
	}
	UpdateEstimates(samples, ExpectedWork{})
}

// runStep runs unequal tasks on random workers. One task in thirty takes seven times as long.
func (p *testPool) runStep(tasks int, workVariance *WorkVariance) {
	cohort, members, workerOf := &Cohort{}, make([]Member, tasks), make([]int, tasks)
	for k := range members {
		workerOf[k] = p.random.IntN(len(p.estimates))
		work := 0.3 * p.random.NormFloat64()
		if p.random.IntN(30) == 0 {
			work += math.Log(7)
		}
		cohort.Record(&members[k], &p.estimates[workerOf[k]], work+p.logTimes[workerOf[k]])
	}
	for k := range members {
		cohort.UpdateEstimate(&members[k], &p.estimates[workerOf[k]], workVariance)
	}
}

// misclassified returns the number of known workers and how many of their estimates are wrong by
// more than a third.
func (p *testPool) misclassified() (wrong, known int) {
	offset := 0.0
	for i := range p.estimates {
		offset += p.estimates[i].LogTime() - p.logTimes[i]
	}
	offset /= float64(len(p.estimates))
	for i := range p.estimates {
		if !p.estimates[i].Known() {
			continue
		}
		known++
		if math.Abs(p.estimates[i].LogTime()-offset-p.logTimes[i]) > math.Log(4.0/3) {
			wrong++
		}
	}
	return wrong, known
}

// TestGangsRevealWorkerSpeeds checks that most workers are known after about two gangs each, if
// speeds differ by a factor of 2.7. At most a tenth of the known workers may be misclassified.
func TestGangsRevealWorkerSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		p := newTestPool(seed, 60, 1/0.6, 1, 1/1.6)
		for range 24 {
			p.runGang(6)
		}
		wrong, known := p.misclassified()
		require.Greater(t, known, 48, "seed %d", seed)
		require.LessOrEqual(t, 10*wrong, known, "seed %d", seed)
	}
}

// TestCohortsRevealWorkerSpeeds checks that independent tasks of unequal work reveal the speeds of
// most workers.
func TestCohortsRevealWorkerSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		p, workVariance := newTestPool(seed, 60, 1/0.6, 1, 1/1.6), &WorkVariance{}
		for range 30 {
			p.runStep(40, workVariance)
		}
		wrong, known := p.misclassified()
		require.Greater(t, known, 54, "seed %d", seed)
		require.LessOrEqual(t, 10*wrong, known, "seed %d", seed)
		require.InDelta(t, 0.12, workVariance.variance(), 0.08, "seed %d", seed)
	}
}

// TestLongTasksDoNotMarkWorkersSlow guards against classifying workers as slow that ran long tasks.
func TestLongTasksDoNotMarkWorkersSlow(t *testing.T) {
	for seed := range uint64(20) {
		p, workVariance := newTestPool(seed, 60, 1), &WorkVariance{}
		for range 20 {
			p.runStep(40, workVariance)
		}
		wrong, _ := p.misclassified()
		require.LessOrEqual(t, wrong, 3, "seed %d", seed)
	}
}

// TestTransientSlowdownIsNotLearned checks that a slowdown during one gang changes the estimate
// little. A lasting slowdown must change the estimate.
func TestTransientSlowdownIsNotLearned(t *testing.T) {
	p := newTestPool(1, 12, 1)
	for range 12 {
		p.runGang(6)
	}
	disturbed := &p.estimates[3]
	samples := []Sample{{Worker: disturbed, LogTime: math.Log(6), Variance: 0.001}}
	for i := range 3 {
		samples = append(samples, Sample{Worker: &p.estimates[4+i], Variance: 0.001})
	}
	before := disturbed.LogTime()
	UpdateEstimates(samples, ExpectedWork{})
	require.Less(t, disturbed.LogTime()-before, math.Log(1.25))
	for range 30 {
		UpdateEstimates(samples, ExpectedWork{})
	}
	require.Greater(t, disturbed.LogTime()-before, math.Log(2), "a lasting slowdown must be learned")
}

// TestCohortRemoveRemovesSample checks that the cohort counts each member once, also after repeated
// calls of Record and Remove.
func TestCohortRemoveRemovesSample(t *testing.T) {
	cohort, worker, members := &Cohort{}, &Estimate{}, make([]Member, 3)
	for k := range members {
		cohort.Record(&members[k], worker, float64(k))
	}
	cohort.Record(&members[2], worker, 7)
	require.Equal(t, 3, cohort.count)
	require.InDelta(t, 8, cohort.sum, 1e-9)
	cohort.Remove(&members[2])
	cohort.Remove(&members[2])
	require.Equal(t, 2, cohort.count)
	require.InDelta(t, 1, cohort.sum, 1e-9)
}

// TestExpectedWorkRevealsUniformlySlowGang checks that UpdateEstimates recognizes a gang whose
// workers are all slow, but only if the expected work is known precisely.
func TestExpectedWorkRevealsUniformlySlowGang(t *testing.T) {
	for name, c := range map[string]struct {
		work ExpectedWork
		slow bool
	}{
		"no expectation":      {ExpectedWork{}, false},
		"precise expectation": {ExpectedWork{LogTime: 0, Variance: 0.04}, true},
		"vague expectation":   {ExpectedWork{LogTime: 0, Variance: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			workers := make([]Estimate, 4)
			var samples []Sample
			for i := range workers {
				samples = append(samples, Sample{Worker: &workers[i], LogTime: math.Log(1.8), Variance: 0.001})
			}
			UpdateEstimates(samples, c.work)
			for i := range workers {
				require.Equal(t, c.slow, workers[i].Exceeds(0, 1.3))
			}
		})
	}
}
