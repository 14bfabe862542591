package speeds

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// planted is a pool of workers with planted times per work, and what is learned of them.
type planted struct {
	random *rand.Rand
	truth  []float64
	known  []Estimate
}

func plant(seed uint64, workers int, times ...float64) *planted {
	p := &planted{random: rand.New(rand.NewPCG(seed, 5)), known: make([]Estimate, workers)}
	for i := range workers {
		p.truth = append(p.truth, math.Log(times[i%len(times)]))
	}
	return p
}

// gang runs equal tasks on some workers and compares them by their progress.
func (p *planted) gang(size int) {
	var samples []Sample
	work := p.random.NormFloat64()
	for _, i := range p.random.Perm(len(p.known))[:size] {
		percent := max(1, int(25/math.Exp(p.truth[i])))
		samples = append(samples, Sample{Worker: &p.known[i], LogTime: work + p.truth[i], Variance: RoundingVariance(percent)})
	}
	Compare(samples, Work{})
}

// step runs unequal tasks on workers at random, one of which in thirty takes seven times as long.
func (p *planted) step(tasks int, spread *Spread) {
	cohort, members, on := &Cohort{}, make([]Member, tasks), make([]int, tasks)
	for k := range members {
		on[k] = p.random.IntN(len(p.known))
		work := 0.3 * p.random.NormFloat64()
		if p.random.IntN(30) == 0 {
			work += math.Log(7)
		}
		cohort.Note(&members[k], &p.known[on[k]], work+p.truth[on[k]])
	}
	for k := range members {
		cohort.Learn(&members[k], &p.known[on[k]], spread)
	}
}

// misplaced counts known workers that are taken for faster or slower than the middle one, by a third, and
// are not, or the other way round.
func (p *planted) misplaced() (wrong, known int) {
	middle := 0.0
	for i := range p.known {
		middle += p.known[i].LogTime() - p.truth[i]
	}
	middle /= float64(len(p.known))
	for i := range p.known {
		if !p.known[i].Known() {
			continue
		}
		known++
		if math.Abs(p.known[i].LogTime()-middle-p.truth[i]) > math.Log(4.0/3) {
			wrong++
		}
	}
	return wrong, known
}

// TestGangsTellSpeeds: of workers whose speeds differ by a factor of 2.7 nearly all are known after each
// was in two gangs or so, and a tenth of these wrongly at most.
func TestGangsTellSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		p := plant(seed, 60, 1/0.6, 1, 1/1.6)
		for range 24 {
			p.gang(6)
		}
		wrong, known := p.misplaced()
		require.Greater(t, known, 48, "seed %d", seed)
		require.LessOrEqual(t, 10*wrong, known, "seed %d", seed)
	}
}

// TestSingleTasksTellSpeeds with works that differ, some of them much.
func TestSingleTasksTellSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		p, spread := plant(seed, 60, 1/0.6, 1, 1/1.6), &Spread{}
		for range 30 {
			p.step(40, spread)
		}
		wrong, known := p.misplaced()
		require.Greater(t, known, 54, "seed %d", seed)
		require.LessOrEqual(t, 10*wrong, known, "seed %d", seed)
		require.InDelta(t, 0.12, spread.variance(), 0.08, "seed %d", seed)
	}
}

// TestLongTasksAreNoSlowWorkers: where all workers are alike, a long tail of works makes none seem slow.
func TestLongTasksAreNoSlowWorkers(t *testing.T) {
	for seed := range uint64(20) {
		p, spread := plant(seed, 60, 1), &Spread{}
		for range 20 {
			p.step(40, spread)
		}
		wrong, _ := p.misplaced()
		require.LessOrEqual(t, wrong, 3, "seed %d", seed)
	}
}

// TestDisturbedWorkerIsSoonItselfAgain: what was slow for one gang only is not taken for a slow worker.
func TestDisturbedWorkerIsSoonItselfAgain(t *testing.T) {
	p := plant(1, 12, 1)
	for range 12 {
		p.gang(6)
	}
	disturbed := &p.known[3]
	samples := []Sample{{Worker: disturbed, LogTime: math.Log(6), Variance: 0.001}}
	for i := range 3 {
		samples = append(samples, Sample{Worker: &p.known[4+i], Variance: 0.001})
	}
	before := disturbed.LogTime()
	Compare(samples, Work{})
	require.Less(t, disturbed.LogTime()-before, math.Log(1.25))
	for range 30 {
		Compare(samples, Work{})
	}
	require.Greater(t, disturbed.LogTime()-before, math.Log(2), "what goes on is believed")
}

// TestCohortForgetsRunsThatCameToNothing keeps its sums in step with its members.
func TestCohortForgetsRunsThatCameToNothing(t *testing.T) {
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

// TestGangOfSlowWorkersIsKnownByWhatWasExpected: the members of a gang are alike, so that only what was
// expected of the work tells that all are slow.
func TestGangOfSlowWorkersIsKnownByWhatWasExpected(t *testing.T) {
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
