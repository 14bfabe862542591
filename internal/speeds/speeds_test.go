package speeds

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// testPool is a pool of workers with testPool times per work, and what is learned of them.
type testPool struct {
	random    *rand.Rand
	actual    []float64
	estimates []Estimate
}

func newTestPool(seed uint64, workers int, times ...float64) *testPool {
	p := &testPool{random: rand.New(rand.NewPCG(seed, 5)), estimates: make([]Estimate, workers)}
	for i := range workers {
		p.actual = append(p.actual, math.Log(times[i%len(times)]))
	}
	return p
}

// runGang runs equal tasks on some workers and compares them by their progress.
func (p *testPool) runGang(size int) {
	var samples []Sample
	work := p.random.NormFloat64()
	for _, i := range p.random.Perm(len(p.estimates))[:size] {
		percent := max(1, int(25/math.Exp(p.actual[i])))
		samples = append(samples, Sample{Worker: &p.estimates[i], LogTime: work + p.actual[i], Variance: RoundingVariance(percent)})
	}
	Compare(samples, Work{})
}

// runStep runs unequal tasks on workers at random, one of which in thirty takes seven times as long.
func (p *testPool) runStep(tasks int, spread *Spread) {
	cohort, members, on := &Cohort{}, make([]Member, tasks), make([]int, tasks)
	for k := range members {
		on[k] = p.random.IntN(len(p.estimates))
		work := 0.3 * p.random.NormFloat64()
		if p.random.IntN(30) == 0 {
			work += math.Log(7)
		}
		cohort.Note(&members[k], &p.estimates[on[k]], work+p.actual[on[k]])
	}
	for k := range members {
		cohort.Learn(&members[k], &p.estimates[on[k]], spread)
	}
}

// misclassified counts known workers that are taken for faster or slower than the middle one, by a third, and
// are not, or the other way round.
func (p *testPool) misclassified() (wrong, known int) {
	offset := 0.0
	for i := range p.estimates {
		offset += p.estimates[i].LogTime() - p.actual[i]
	}
	offset /= float64(len(p.estimates))
	for i := range p.estimates {
		if !p.estimates[i].Known() {
			continue
		}
		known++
		if math.Abs(p.estimates[i].LogTime()-offset-p.actual[i]) > math.Log(4.0/3) {
			wrong++
		}
	}
	return wrong, known
}

// TestGangsRevealWorkerSpeeds: of workers whose speeds differ by a factor of 2.7 nearly all are known after each
// was in two gangs or so, and a tenth of these wrongly at most.
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

// TestCohortsRevealWorkerSpeeds with works that differ, some of them much.
func TestCohortsRevealWorkerSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		p, spread := newTestPool(seed, 60, 1/0.6, 1, 1/1.6), &Spread{}
		for range 30 {
			p.runStep(40, spread)
		}
		wrong, known := p.misclassified()
		require.Greater(t, known, 54, "seed %d", seed)
		require.LessOrEqual(t, 10*wrong, known, "seed %d", seed)
		require.InDelta(t, 0.12, spread.variance(), 0.08, "seed %d", seed)
	}
}

// TestLongTasksDoNotMarkWorkersSlow: where all workers are alike, a long tail of works makes none seem slow.
func TestLongTasksDoNotMarkWorkersSlow(t *testing.T) {
	for seed := range uint64(20) {
		p, spread := newTestPool(seed, 60, 1), &Spread{}
		for range 20 {
			p.runStep(40, spread)
		}
		wrong, _ := p.misclassified()
		require.LessOrEqual(t, wrong, 3, "seed %d", seed)
	}
}

// TestTransientSlowdownIsNotLearned: what was slow for one gang only is not taken for a slow worker.
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
	Compare(samples, Work{})
	require.Less(t, disturbed.LogTime()-before, math.Log(1.25))
	for range 30 {
		Compare(samples, Work{})
	}
	require.Greater(t, disturbed.LogTime()-before, math.Log(2), "what goes on is believed")
}

// TestCohortForgetRemovesSample keeps its sums in step with its members.
func TestCohortForgetRemovesSample(t *testing.T) {
	cohort, worker, members := &Cohort{}, &Estimate{}, make([]Member, 3)
	for k := range members {
		cohort.Note(&members[k], worker, float64(k))
	}
	cohort.Note(&members[2], worker, 7)
	require.Equal(t, 3, cohort.count)
	require.InDelta(t, 8, cohort.sum, 1e-9)
	cohort.Forget(&members[2])
	cohort.Forget(&members[2])
	require.Equal(t, 2, cohort.count)
	require.InDelta(t, 1, cohort.sum, 1e-9)
}

// TestExpectedWorkRevealsUniformlySlowGang: the members of a gang are alike, so that only what was
// expected of the work tells that all are slow.
func TestExpectedWorkRevealsUniformlySlowGang(t *testing.T) {
	for name, c := range map[string]struct {
		work Work
		slow bool
	}{
		"nothing expected":   {Work{}, false},
		"a good expectation": {Work{LogTime: 0, Variance: 0.04}, true},
		"a vague one":        {Work{LogTime: 0, Variance: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			workers := make([]Estimate, 4)
			var samples []Sample
			for i := range workers {
				samples = append(samples, Sample{Worker: &workers[i], LogTime: math.Log(1.8), Variance: 0.001})
			}
			Compare(samples, c.work)
			for i := range workers {
				require.Equal(t, c.slow, workers[i].Exceeds(0, 1.3))
			}
		})
	}
}
