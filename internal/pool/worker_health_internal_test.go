package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/health"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// waitingUnit returns a unit of a job without retries that has waited for some time.
func waitingUnit(s *step, waited time.Duration, now time.Time) *unit {
	j := &job{acceptedAt: now.Add(-waited), objective: time.Hour, estimates: []time.Duration{time.Second}, criticalPaths: []time.Duration{time.Second}}
	j.Queue = catalog.Queue{Priority: 2, MaxAttempts: 1, Stretch: 3}
	u := &unit{job: j, repetition: &repetition{}, step: s, readyAt: now.Add(-waited)}
	u.members = []*member{{unit: u}}
	return u
}

// recordFailure records that a worker has failed a run soon after its start.
func recordFailure(p *Pool) {
	failure := health.Failure{Job: "failed", StartedAt: p.loop.Now(), Early: true}
	p.health.RecordFailure(health.Machine{ID: "w"}, &failure, p.loop.Now())
}

// TestNoHealthStatesWithoutFailures checks that the states of the workers' health are not determined
// while there are no failures, or while failing workers are not avoided.
func TestNoHealthStatesWithoutFailures(t *testing.T) {
	cases := []struct {
		name             string
		failure, avoided bool
		want             bool
	}{
		{"no failures", false, true, false},
		{"a failure", true, true, true},
		{"failing workers are not avoided", true, false, false},
	}
	for _, c := range cases {
		p, _, _ := newWriterPool()
		p.options.Catalog = func() *catalog.Catalog { return nil }
		p.options.DisabledMechanisms = mechanism.Disabled{mechanism.FailedWorkerAvoidance: !c.avoided}
		if c.failure {
			recordFailure(p)
		}
		s := p.snapshot()
		p.workerPreferences(s, waitingUnit(&step{spec: &taskgraph.Step{}}, 0, s.now))
		require.Equal(t, c.want, s.workerHealth != nil, c.name)
	}
}

// TestUnitsWithOtherRequirementsAreTried checks that a unit that could not be placed does not keep
// units of its step from being tried that require less of their workers, having waited longer.
func TestUnitsWithOtherRequirementsAreTried(t *testing.T) {
	p, _, _ := newWriterPool()
	recordFailure(p)
	s := p.snapshot()
	common := &step{spec: &taskgraph.Step{}}
	early, late := waitingUnit(common, time.Minute, s.now), waitingUnit(common, 0, s.now)
	require.NotEqual(t, p.healthRequirement(s, late), p.healthRequirement(s, early))
	require.NotEqual(t, p.classOf(s, late), p.classOf(s, early))
	require.Equal(t, p.classOf(s, late), p.classOf(s, waitingUnit(common, 0, s.now)))
}
