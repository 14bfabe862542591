package poison

import "time"

// A poison task crashes its workers at about the same age of each run. A run that lives on far beyond
// the ages at which workers were lost is therefore hardly one that crashes its worker, and a run that
// reaches ageHorizon shows that the task is healthy.

// MayCrash reports whether a run of the given age may still crash its worker.
func MayCrash(age time.Duration) bool { return age < ageHorizon }

// SurvivalAge returns the age from which a run of the task is no longer expected to crash its worker. It
// is 0 if no loss is evidence about the task.
func (h *History) SurvivalAge() time.Duration {
	age := time.Duration(0)
	if h == nil {
		return age
	}
	for i := range h.losses {
		if loss := &h.losses[i]; !loss.unexplained {
			age = max(age, loss.survivalAge())
		}
	}
	return age
}

// survivalAge returns the age that a run hardly reaches if the task caused the loss. A loss of unknown
// age may have happened at any age up to ageHorizon.
func (l *taskLoss) survivalAge() time.Duration {
	if l.age == unknownAge {
		return ageHorizon
	}
	return max(minSurvivalAge, min(ageHorizon, maxAgeRatio*(l.age+ageOffset)-ageOffset))
}

// minSurvivalAge is the least age that shows anything about the task. A worker that is cut off before it
// crashes is lost at a later age than the recorded one.
const minSurvivalAge = 3 * time.Second

// RecordSurvival records that a run of the task has reached an age, and forgets all losses if that shows
// that the task is healthy. It returns true if it has forgotten any.
func (h *History) RecordSurvival(age time.Duration) bool {
	if h.LossCount() == 0 || age < ageHorizon {
		return false
	}
	h.losses = nil
	return true
}
