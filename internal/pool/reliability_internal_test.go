package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/health"
)

// stepsOfUnits returns a job of two repetitions of two steps, with width running units in each step
// that started a second before now.
func stepsOfUnits(width int, now time.Time) *job {
	j := &job{}
	for range 2 {
		t := &repetition{}
		for index := range 2 {
			s := &step{index: index}
			for range width {
				startedAt := now.Add(-time.Second)
				s.units = append(s.units, &unit{job: j, repetition: t, step: s, state: unitActive, startedByThisOwner: true, startedAt: startedAt, runningSince: startedAt})
			}
			t.steps = append(t.steps, s)
		}
		j.repetitions.open = append(j.repetitions.open, t)
	}
	return j
}

// TestOtherRunsAreOfTheSameStep checks that a failed run is compared with the runs of its own step
// only, over all repetitions.
func TestOtherRunsAreOfTheSameStep(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		change func(*job)
		want   health.OtherRuns
	}{
		{"the step runs elsewhere", func(*job) {}, health.OtherRunLasts},
		{"an earlier step has a success", func(j *job) { j.repetitions.open[0].steps[0].ended = 1 }, health.OtherRunLasts},
		{"the step has a success in another repetition", func(j *job) { j.repetitions.open[0].steps[1].ended = 1 }, health.OtherRunSucceeds},
		{"the step has progress in another repetition", func(j *job) {
			progressing := j.repetitions.open[0].steps[1].units[2]
			progressing.members = []*member{{unit: progressing, percent: 1}}
		}, health.OtherRunSucceeds},
		{"only other steps run", func(j *job) {
			for _, t := range j.repetitions.open {
				for _, u := range t.steps[1].units {
					u.state = unitWaiting
				}
			}
		}, health.NoOtherRun},
	}
	for _, c := range cases {
		j := stepsOfUnits(3, now)
		c.change(j)
		require.Equal(t, c.want, j.repetitions.open[1].steps[1].units[0].otherRuns(time.Millisecond, now), c.name)
	}
}

// TestComparedRunsAreBounded checks that the failures of a wide step do not each visit all of its
// units, and that the selection is renewed.
func TestComparedRunsAreBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	j := stepsOfUnits(1000, now)
	s := j.repetitions.open[1].steps[1]
	for _, u := range s.units {
		require.Equal(t, health.OtherRunLasts, u.otherRuns(time.Millisecond, now))
		require.Len(t, s.compared.units, comparedRuns)
	}
	j.repetitions.open[0].steps[1].ended = 1
	require.Equal(t, health.OtherRunLasts, s.units[0].otherRuns(time.Millisecond, now.Add(comparisonPeriod-1)))
	require.Equal(t, health.OtherRunSucceeds, s.units[0].otherRuns(time.Millisecond, now.Add(comparisonPeriod)))
}
