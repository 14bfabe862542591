package loadsim

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/mechanism"
)

// TestSimulationIsDeterministicPerSeed checks that the result depends only on the seed and that no
// invariant is violated.
func TestSimulationIsDeterministicPerSeed(t *testing.T) {
	load := Loads()[0]
	load.Length /= 6
	first, second := load.Simulate(3, Variant{}), load.Simulate(3, Variant{})
	require.Equal(t, first, second)
	require.Empty(t, first.Violations)
	require.Greater(t, first.ValueShare, 0.5)
	require.NotEqual(t, first, load.Simulate(4, Variant{}))
}

// TestOnTimeFirstAndLocalityWaitGainUnderOverload guards, under overlapping bursts, against placing
// late units before units that can still meet their objective, and against placing work far from
// its data or rack instead of waiting.
func TestOnTimeFirstAndLocalityWaitGainUnderOverload(t *testing.T) {
	load := loadNamed(t, "three-bursts").scaled(0.4)
	load.Length = 24 * time.Second
	ways := []Variant{
		{Name: "all"},
		{Name: "late units first", DisabledMechanisms: mechanism.Disabled{mechanism.OnTimeFirst: true}},
		{Name: "anywhere", DisabledMechanisms: mechanism.Disabled{mechanism.LocalityWait: true}},
	}
	compared := Compare(load, ways, 1, 2, 3)
	require.Less(t, compared[1].ValueGain.Mean, 0.0)
	require.Less(t, compared[1].Classes[2].Mean, compared[0].Classes[2].Mean, "wide steps must lose without TimelyFirst")
	require.Less(t, compared[2].ValueGain.Mean, -0.1)
	for _, way := range compared {
		for _, result := range way.Results {
			require.Empty(t, result.Violations)
		}
	}
}

func loadNamed(t *testing.T, name string) *Load {
	loads := Loads()
	for i := range loads {
		if loads[i].Name == name {
			return &loads[i]
		}
	}
	require.Fail(t, "no predefined load with this name")
	return nil
}

func TestEstimateConfidenceInterval(t *testing.T) {
	require.Equal(t, Estimate{Mean: 2, HalfWidth: zScore95 / math.Sqrt(3)}, estimate([]float64{1, 2, 3}))
	require.True(t, math.IsInf(estimate([]float64{1}).HalfWidth, 1))
}

// TestLearnedSpeedsImproveValue guards against estimates that ignore worker speeds:
// stragglers and workers of different speed delay urgent jobs.
func TestLearnedSpeedsImproveValue(t *testing.T) {
	load := loadNamed(t, "mixed-speeds").scaled(0.5)
	load.Length = 24 * time.Second
	ways := []Variant{{Name: "all"}, {Name: "speeds not learned", DisabledMechanisms: mechanism.Disabled{mechanism.LearnedSpeeds: true}}}
	compared := Compare(load, ways, 1, 4, 4)
	require.Less(t, compared[1].ValueGain.Mean, -0.1)
	require.Greater(t, compared[0].Classes[0].Mean, compared[1].Classes[0].Mean+0.1, "urgent jobs must gain from learned speeds")
	for _, way := range compared {
		for _, result := range way.Results {
			require.Empty(t, result.Violations)
		}
	}
}

// TestFailingWorkersCostFewJobs checks that few jobs are given up while many workers fail all that
// they start, and hardly any of the queue with two attempts per task.
func TestFailingWorkersCostFewJobs(t *testing.T) {
	load := loadNamed(t, "failing-workers")
	ways := []Variant{{Name: "all"}, {Name: "failing workers not avoided", DisabledMechanisms: mechanism.Disabled{mechanism.FailedWorkerAvoidance: true}}}
	compared := Compare(load, ways, 1, 6, 4)
	require.Less(t, compared[0].GivenUp.Mean, 0.035)
	require.Less(t, compared[0].GivenUp.Mean, compared[1].GivenUp.Mean/2)
	wide, wideGivenUp := 0, 0
	for _, result := range compared[0].Results {
		require.Empty(t, result.Violations)
		wide += result.Classes[2].Jobs
		wideGivenUp += result.Classes[2].GivenUp
	}
	require.LessOrEqual(t, 40*wideGivenUp, wide, "at most one in 40")
}

// TestPlacementsWithoutFailuresAreUnchanged checks that the avoidance of failing workers changes
// nothing while no worker fails.
func TestPlacementsWithoutFailuresAreUnchanged(t *testing.T) {
	loads := Loads()
	for i := range loads {
		load := loads[i].scaled(0.4)
		load.Failures = nil
		load.Length = 12 * time.Second
		avoided := load.Simulate(5, Variant{})
		notAvoided := load.Simulate(5, Variant{DisabledMechanisms: mechanism.Disabled{mechanism.FailedWorkerAvoidance: true}})
		require.Equal(t, notAvoided, avoided, load.Name)
		require.Zero(t, avoided.GivenUp, load.Name)
	}
}

// TestKeptKnowledgeChangesNothingWithoutTakeover: as long as no owner changes, decisions do not
// depend on the row.
func TestKeptKnowledgeChangesNothingWithoutTakeover(t *testing.T) {
	load := loadNamed(t, "mixed-speeds").scaled(0.3)
	load.Length = 12 * time.Second
	with, without := load.Simulate(5, Variant{}), load.Simulate(5, Variant{DisabledMechanisms: mechanism.Disabled{mechanism.KeptKnowledge: true}})
	require.Equal(t, without, with)
}

// TestNextOwnerDecidesAsFormerOwner: with the former owner's knowledge a takeover in the middle of a
// load on workers of mixed speeds costs little; without it, more.
func TestNextOwnerDecidesAsFormerOwner(t *testing.T) {
	load := loadNamed(t, "mixed-speeds").scaled(0.5)
	load.Length = 24 * time.Second
	const middle = 12 * time.Second
	compared := Compare(load, []Variant{
		{Name: "one owner"},
		{Name: "takeover", TakeoverAt: middle},
		{Name: "takeover without knowledge", TakeoverAt: middle, DisabledMechanisms: mechanism.Disabled{mechanism.KeptKnowledge: true}},
	}, 1, 4, 4)
	one, kept, forgotten := compared[0].ValueShare.Mean, compared[1].ValueShare.Mean, compared[2].ValueShare.Mean
	t.Logf("one owner %.3f, takeover %.3f, without knowledge %.3f", one, kept, forgotten)
	require.Greater(t, kept, 0.95*one)
	require.Greater(t, kept, forgotten)
	for _, way := range compared {
		for _, result := range way.Results {
			require.Empty(t, result.Violations)
		}
	}
}
