package poison

import "time"

// A poison task fails at about the same age of each run, whereas chance losses occur at any age.
// Two losses at very different ages are therefore insufficient evidence.

// maxAgeRatio is the largest ratio of ages that one cause explains. Workers differ in speed, and
// the loss of a worker is detected with a delay.
const maxAgeRatio = 3

// unknownAge is the age of losses without a known run age.
const unknownAge time.Duration = -1

// agesAgree reports whether one cause explains the ages of all losses that are evidence. Losses of
// unknown age always agree.
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

// ageMillis returns an age as a record holds it.
func ageMillis(age time.Duration) int64 {
	if age == unknownAge {
		return 0
	}
	return age.Milliseconds() + 1
}

// age returns the age of the run that a record holds.
func (r *Record) age() time.Duration {
	if r.AgeMillis <= 0 {
		return unknownAge
	}
	return time.Duration(r.AgeMillis-1) * time.Millisecond
}
