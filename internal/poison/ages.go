package poison

import "time"

// The age of a run is the time since the run started. A poison task crashes its workers at about
// the same age of each run. Losses that no task caused (chance losses) occur at any age. Two losses
// at very different ages are therefore insufficient evidence.

// maxAgeRatio is the largest ratio between the ages of losses that one task caused. The ages
// differ because workers differ in speed and because losses are detected with a delay.
const maxAgeRatio = 3

// unknownAge marks a loss for which the age of the task's run is unknown.
const unknownAge time.Duration = -1

// agesAgree reports whether the task may have caused all losses that are evidence, judging by their
// ages. Losses of unknown age are ignored.
func (h *History) agesAgree() bool {
	minAge, maxAge := ageHorizon, time.Duration(0)
	for i := range h.losses {
		loss := &h.losses[i]
		if loss.unexplained || loss.age == unknownAge {
			continue
		}
		minAge, maxAge = min(minAge, loss.age), max(maxAge, loss.age)
	}
	return maxAge+ageOffset <= maxAgeRatio*(minAge+ageOffset)
}

// ageMillis converts an age into the value of Record.AgeMillis.
func ageMillis(age time.Duration) int64 {
	if age == unknownAge {
		return 0
	}
	return age.Milliseconds() + 1
}

// age converts AgeMillis back into an age.
func (r *Record) age() time.Duration {
	if r.AgeMillis <= 0 {
		return unknownAge
	}
	return time.Duration(r.AgeMillis-1) * time.Millisecond
}
