package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// repetitions are the repetitions of a job. Only open ones are kept, so that a job costs as much as what
// is open, however long its schedule is.
type repetitions struct {
	// open holds the repetitions that have begun and not ended, by rising number.
	open []*repetition
	// ended holds the numbers of the others that have begun.
	ended numberRanges
	// begun is the number of repetitions that have begun. These have the lowest numbers.
	begun int
}

// repetition is one repetition of a job.
type repetition struct {
	number int
	due    time.Time
	steps  []*step
	// ended is the number of complete steps.
	ended int
	// activeMembers is the number of members that may be running.
	activeMembers int
}

// find returns the open repetition with a number, or nil.
func (r *repetitions) find(number int) *repetition {
	at, found := slices.BinarySearchFunc(r.open, number, func(t *repetition, n int) int { return cmp.Compare(t.number, n) })
	if !found {
		return nil
	}
	return r.open[at]
}

// begin begins the next repetition.
func (r *repetitions) begin(spec *taskgraph.Spec) *repetition {
	created := &repetition{number: r.begun, due: spec.DueTime(r.begun)}
	for i := range spec.Steps {
		created.steps = append(created.steps, &step{spec: &spec.Steps[i], index: i})
	}
	r.begun++
	r.open = append(r.open, created)
	return created
}

// restore begins the repetitions up to count, of which some have ended.
func (r *repetitions) restore(spec *taskgraph.Spec, ended numberRanges, count int) {
	r.ended = slices.Clone(ended)
	for r.begun < count {
		if ended.contains(r.begun) {
			r.begun++
			continue
		}
		r.begin(spec)
	}
}

// end forgets an open repetition that has ended.
func (r *repetitions) end(t *repetition) {
	at, found := slices.BinarySearchFunc(r.open, t.number, func(other *repetition, n int) int { return cmp.Compare(other.number, n) })
	if !found {
		return
	}
	r.open = slices.Delete(r.open, at, at+1)
	r.ended = r.ended.with(t.number)
}

// complete reports whether all steps are complete.
func (t *repetition) complete() bool { return t.ended == len(t.steps) }

// over reports whether all steps are complete and no member runs any more.
func (t *repetition) over() bool { return t.complete() && t.activeMembers == 0 }

// createReadyUnits creates the units of the steps that may start.
func (t *repetition) createReadyUnits(j *job, now time.Time) {
	for _, s := range t.steps {
		if s.units == nil && !s.complete && t.dependenciesComplete(s) {
			s.createUnits(j, t, now)
		}
	}
}

func (t *repetition) dependenciesComplete(s *step) bool {
	for _, earlier := range s.spec.After {
		if !t.steps[earlier].complete {
			return false
		}
	}
	return true
}
