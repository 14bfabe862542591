package poison

import "time"

// A task that crashes its workers does so at about the same age of each run, since its runs do the
// same work. Workers that are lost by chance are lost at any age of a task's runs. So two losses of
// which the ages differ widely don't tell a task that crashes workers from a sound one.

// maxAgeRatio is the widest ratio of ages that one cause explains: workers differ in speed, and a worker
// is found lost only with the delay of an answer.
const maxAgeRatio = 3

// unknownAge marks losses that were kept without the age of the run.
const unknownAge time.Duration = -1

// agesAgree reports whether one cause explains the ages of all losses that are evidence. Losses of
// unknown age agree with any.
func (h *History) agesAgree() bool {
	minAge, maxAge := ageHorizon, time.Duration(0)
	for i := range h.losses {
		known := &h.losses[i]
		if known.unexplained || known.age == unknownAge {
			continue
		}
		minAge, maxAge = min(minAge, known.age), max(maxAge, known.age)
	}
	return maxAge+ageOffset <= maxAgeRatio*(minAge+ageOffset)
}

// ageMillis renders an age for a record.
func ageMillis(age time.Duration) int64 {
	if age == unknownAge {
		return 0
	}
	return age.Milliseconds() + 1
}

// age is the age of the run that a record holds.
func (r *Record) age() time.Duration {
	if r.AgeMillis <= 0 {
		return unknownAge
	}
	return time.Duration(r.AgeMillis-1) * time.Millisecond
}
