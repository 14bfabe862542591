package poison

import (
	"strings"
	"time"
)

// History is what lost workers say of one task.
type History struct {
	group  *Group
	losses []taskLoss
}

// Group has the histories of tasks that run only together. Workers lost under several of
// them are lost by the same cause.
type Group struct {
	losses []*workerLoss
}

// taskLoss is one worker that was lost under a task.
type taskLoss struct {
	worker string
	// age is that of the task's run when the worker was lost, or unknownAge.
	age time.Duration
	// ratio is how much more likely the loss is if the task is poison.
	ratio float64
	// unexplained losses only count; they are no evidence.
	unexplained bool
	// loss is nil once the ratio no longer changes.
	loss *workerLoss
}

// Record is a lost worker as it is kept in the store.
type Record struct {
	Worker string  `json:"w"`
	Ratio  float64 `json:"r"`
	// AgeMillis is the age of the run in whole milliseconds, rounded up; 0 if it is not known.
	AgeMillis int64 `json:"a,omitempty"`
	// Unexplained losses only count.
	Unexplained bool `json:"u,omitempty"`
}

// NewGroup returns the group of tasks that run only together.
func NewGroup() *Group { return &Group{} }

// NewHistory returns the history of a task from what was kept of it.
func (g *Group) NewHistory(records []Record) *History {
	h := &History{group: g}
	for _, record := range records {
		h.losses = append(h.losses, taskLoss{worker: record.Worker, age: record.age(), ratio: record.Ratio, unexplained: record.Unexplained})
	}
	return h
}

// AddUnexplained counts a worker that was lost under the task and is no evidence: it may have
// been lost for a reason of its own, or before the task began there.
func (h *History) AddUnexplained(worker string) {
	if !h.has(worker) {
		h.losses = append(h.losses, taskLoss{worker: worker, age: unknownAge, ratio: 1, unexplained: true})
	}
}

// evidenceCount counts the workers that were lost under the task and are evidenceCount.
func (h *History) evidenceCount() int {
	count := 0
	for i := range h.losses {
		if !h.losses[i].unexplained {
			count++
		}
	}
	return count
}

// Records renders the history to be kept; that of nil is empty.
func (h *History) Records() []Record {
	if h == nil {
		return nil
	}
	records := make([]Record, 0, len(h.losses))
	for i := range h.losses {
		kept := &h.losses[i]
		records = append(records, Record{Worker: kept.worker, Ratio: kept.ratio, AgeMillis: ageMillis(kept.age), Unexplained: kept.unexplained})
	}
	return records
}

// Workers names the workers that were lost under the task.
func (h *History) Workers() string {
	names := make([]string, 0, len(h.losses))
	for i := range h.losses {
		names = append(names, h.losses[i].worker)
	}
	return strings.Join(names, " ")
}

// Count returns how many workers were lost under the task.
func (h *History) Count() int {
	if h == nil {
		return 0
	}
	return len(h.losses)
}

// Odds returns the odds that the task is poison.
func (h *History) Odds() float64 {
	if h == nil {
		return priorOdds
	}
	return h.oddsWithout(nil)
}

// Verdict is what is made of a task's history.
type Verdict string

// The verdicts.
const (
	// Sound tasks run like any other.
	Sound Verdict = "sound"
	// Doubtful tasks run apart from each other where that is possible at once, so that the
	// next loss tells them apart.
	Doubtful Verdict = "doubtful"
	// Suspected tasks run apart from everything new, on an empty worker first.
	Suspected Verdict = "suspected"
	// PoisonByOdds and PoisonByLimit tasks are not to run again.
	PoisonByOdds  Verdict = "crash_odds"
	PoisonByLimit Verdict = "crash_limit"
)

// Poison reports whether a task is not to run again.
func (v Verdict) Poison() bool { return v == PoisonByOdds || v == PoisonByLimit }

// hasSufficientEvidence reports whether the evidence is enough to give the task up. Two losses have to agree, from
// the third on the odds alone decide.
func (h *History) hasSufficientEvidence() bool {
	evidence := h.evidenceCount()
	if evidence == minEvidence && !h.agesAgree() {
		return false
	}
	return evidence >= minEvidence && h.Odds() >= poisonOdds
}

// Verdict returns what is made of the task.
func (h *History) Verdict() Verdict {
	count := h.Count()
	if count == 0 {
		return Sound
	}
	evidence, odds := h.evidenceCount(), h.Odds()
	switch {
	case count >= maxLosses, count == maxLosses-1 && evidence >= minEvidence && odds >= nearLimitOdds:
		return PoisonByLimit
	case h.hasSufficientEvidence():
		return PoisonByOdds
	case evidence >= minEvidence || odds >= suspectedOdds:
		return Suspected
	case odds >= doubtfulOdds:
		return Doubtful
	}
	return Sound
}

// Suspicious reports whether the odds alone make the task a suspect.
func (h *History) Suspicious() bool { return h.Odds() >= suspectedOdds }

// oddsWithout returns the odds by all evidence but that of one loss.
func (h *History) oddsWithout(loss *workerLoss) float64 {
	odds := priorOdds
	for i := range h.losses {
		if loss == nil || h.losses[i].loss != loss {
			odds *= h.losses[i].ratio
		}
	}
	return odds
}

func (h *History) setRatio(loss *workerLoss, ratio float64) {
	for i := range h.losses {
		if h.losses[i].loss == loss {
			h.losses[i].ratio = ratio
		}
	}
}

// freeze keeps the evidence of a loss as it is.
func (h *History) freeze(loss *workerLoss) {
	for i := range h.losses {
		if h.losses[i].loss == loss {
			h.losses[i].loss = nil
		}
	}
}

// removeWorker drops a worker that was not lost after all. It returns false if the worker is not
// in the history.
func (h *History) removeWorker(worker string) bool {
	for i := range h.losses {
		if h.losses[i].worker == worker {
			h.losses = append(h.losses[:i:i], h.losses[i+1:]...)
			return true
		}
	}
	return false
}
