package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// recordingLoop is a loop whose timers never fire. It records their delays.
type recordingLoop struct {
	now    time.Time
	delays []time.Duration
}

func (l *recordingLoop) Now() time.Time       { return l.now }
func (l *recordingLoop) TimeOfDay() time.Time { return l.now }
func (l *recordingLoop) Post(func())          {}
func (l *recordingLoop) After(d time.Duration, _ func()) (cancel func()) {
	l.delays = append(l.delays, d)
	return func() {}
}

// TestOwnerSleepsUntilRemoteDueTime: a job's first run may be due so late that the time until then can't
// be expressed. A timer that fires at once would be set again and again, and take the whole loop.
func TestOwnerSleepsUntilRemoteDueTime(t *testing.T) {
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	for name, first := range map[string]int64{"in an hour": now.Add(time.Hour).UnixMilli(), "in 290 years": now.AddDate(290, 0, 0).UnixMilli(), "in 300 years": now.AddDate(300, 0, 0).UnixMilli(), "latest valid": 1 << 50} {
		t.Run(name, func(t *testing.T) {
			l := &recordingLoop{now: now}
			p := &Pool{loop: l}
			spec := taskgraph.Spec{ID: "00000000000000aa", Steps: []taskgraph.Step{{Count: 1}}, Repetitions: 2, FirstRunMillis: first, IntervalMillis: 1000}
			require.NoError(t, spec.Validate())
			p.createReadyUnits(newJob(spec.ID, Accepted{Spec: spec}, now))
			require.Len(t, l.delays, 1)
			require.GreaterOrEqual(t, l.delays[0], time.Hour)
		})
	}
}

// openTasks returns the number of a job's tasks that have units.
func (j *job) openTasks() int {
	count := 0
	for _, t := range j.repetitions.open {
		for _, s := range t.steps {
			if !s.complete {
				count += len(s.units)
			}
		}
	}
	return count
}

// TestOpenTasksOfOneJobAreBounded: all repetitions of a wide job are due at once. The owner must not create
// the tasks of all of them, which would take all memory, and must create the rest as earlier ones end.
func TestOpenTasksOfOneJobAreBounded(t *testing.T) {
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct{ repetitions, steps, count int }{{10, 1, taskgraph.MaxTasks}, {300, 4, 100}, {3, 1, 1}, {90_000, 1, 1}} {
		spec := taskgraph.Spec{ID: "00000000000000aa", Repetitions: c.repetitions}
		for range c.steps {
			spec.Steps = append(spec.Steps, taskgraph.Step{Count: c.count})
		}
		require.NoError(t, spec.Validate())
		p := &Pool{loop: &recordingLoop{now: now}}
		j := newJob(spec.ID, Accepted{Spec: spec}, now)
		p.createReadyUnits(j)
		for next := 0; next < c.repetitions; {
			require.LessOrEqual(t, j.openTasks(), maxOpenTasks, "%+v", c)
			require.Greater(t, j.repetitions.begun, next, "%+v: the next repetition can run", c)
			next = j.repetitions.begun
			for _, ending := range slices.Clone(j.repetitions.open) {
				for _, s := range ending.steps {
					s.complete = true
					ending.ended++
				}
				j.repetitions.end(ending)
			}
			p.createReadyUnits(j)
		}
		require.Equal(t, c.repetitions, j.repetitions.begun)
	}
}
