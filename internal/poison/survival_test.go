package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSurvivalAgeFollowsAgesOfLosses guards against a long-running task that stays a suspect for as long
// as it runs, although its run has long outlived the ages at which workers were lost.
func TestSurvivalAgeFollowsAgesOfLosses(t *testing.T) {
	cases := map[string]struct {
		ages []time.Duration
		want time.Duration
	}{
		"no loss":                          {nil, 0},
		"early loss":                       {[]time.Duration{300 * time.Millisecond}, minSurvivalAge},
		"late loss":                        {[]time.Duration{5 * time.Second}, 15*time.Second + 2*ageOffset},
		"the latest counts":                {[]time.Duration{10 * time.Second, time.Second}, 30*time.Second + 2*ageOffset},
		"no run crashes after the horizon": {[]time.Duration{50 * time.Second}, ageHorizon},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker, task := newTestTracker(48), newHistory()
			for number, age := range c.ages {
				loseWorker(tracker, 100*float64(number), age, task)
			}
			require.Equal(t, c.want, task.SurvivalAge())
		})
	}
}

// TestSurvivalAgeOfUnknownAgeIsHorizon: a loss of unknown age may have happened at any age, and one that
// is no evidence needs no run to outlive it.
func TestSurvivalAgeOfUnknownAgeIsHorizon(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	task.AddUnexplained("unconfirmed")
	require.Zero(t, task.SurvivalAge())
	loseWorkerWithSuspects(tracker, 1, []Suspect{{History: task, Age: 2 * time.Second, AgeEstimated: true}})
	require.Equal(t, ageHorizon, task.SurvivalAge())
	var none *History
	require.Zero(t, none.SurvivalAge())
}

// TestRunThatReachesHorizonClearsTask: a task that crashes its workers never runs for that long, so its
// earlier losses count no more, also not toward maxLosses.
func TestRunThatReachesHorizonClearsTask(t *testing.T) {
	tracker, task := newTestTracker(48), newHistory()
	for number := range maxLosses - 1 {
		task.AddUnexplained(string(rune('a' + number)))
	}
	loseWorker(tracker, 1, 300*time.Millisecond, task)
	require.Equal(t, PoisonByLimit, task.Verdict())
	require.False(t, task.RecordSurvival(ageHorizon-time.Millisecond))
	require.Equal(t, maxLosses, task.LossCount())
	require.True(t, task.RecordSurvival(ageHorizon))
	require.Equal(t, Sound, task.Verdict())
	require.False(t, task.RecordSurvival(ageHorizon), "nothing is left to forget")
	loseWorker(tracker, 2, 300*time.Millisecond, task)
	require.Equal(t, 1, task.LossCount())
	require.Less(t, task.Odds(), float64(poisonOdds))
}
