package poison

import (
	"slices"
	"strings"
	"time"
)

// History holds the losses of workers that ran one task, as evidence about the task.
type History struct {
	group  *Group
	losses []taskLoss
}

// Group represents tasks that run only together, such as the members of a gang. Losses of workers
// that ran tasks of one group are attributed to one cause.
type Group struct {
	losses []*workerLoss
	// prior is nil until a tracker has recorded or restored a loss of the group.
	prior *prior
}

// taskLoss is one worker that was lost while the task ran on it.
type taskLoss struct {
	worker string
	// age is the age of the task's run when the worker was lost, or unknownAge.
	age time.Duration
	// ratio is the likelihood of the loss if the task is poison, divided by its likelihood if the
	// task is healthy.
	ratio float64
	// unexplained losses count toward maxLosses but are not evidence.
	unexplained bool
	// unplanned is true if the worker is known not to have shut down as planned. It is set for
	// unexplained losses only.
	unplanned bool
	// conclusive losses can't be blamed on another task, as no other had a run of such an age there,
	// or may have had one. The age of the task's own run is known.
	conclusive bool
	// loss is nil once the ratio is final.
	loss *workerLoss
	// basis holds the values that the ratio was computed from, unless an earlier owner computed it.
	basis   ratioBasis
	weighed bool
}

// Record is the stored form of a loss in a history.
type Record struct {
	Worker string  `json:"w"`
	Ratio  float64 `json:"r"`
	// AgeMillis is the age of the run in whole milliseconds plus 1; 0 if unknown.
	AgeMillis int64 `json:"a,omitempty"`
	// Unexplained losses count toward maxLosses but are not evidence.
	Unexplained bool `json:"u,omitempty"`
	// Conclusive losses can't be blamed on another suspect. It is false in records of earlier versions.
	Conclusive bool `json:"c,omitempty"`
	// Unplanned is true for unexplained losses of this version, which leaves out workers that shut down
	// as planned. Earlier versions counted some of these too.
	Unplanned bool `json:"x,omitempty"`
}

// WithoutPossibleShutdowns returns the records without those of workers that may have shut down as
// planned.
func WithoutPossibleShutdowns(records []Record) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(record Record) bool { return record.Unexplained && !record.Unplanned })
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{} }

// NewHistory returns the history of a task of the group, restored from the task's stored records.
func (g *Group) NewHistory(records []Record) *History {
	h := &History{group: g}
	for _, record := range records {
		h.losses = append(h.losses, taskLoss{
			worker: record.Worker, age: record.age(), ratio: record.Ratio,
			unexplained: record.Unexplained, conclusive: record.Conclusive, unplanned: record.Unplanned,
		})
	}
	return h
}

// AddUnexplained adds the loss of a worker that counts toward maxLosses but is not evidence. The
// worker may have been lost before the task started on it. Workers that shut down as planned are no
// losses.
func (h *History) AddUnexplained(worker string) {
	if !h.has(worker) {
		h.losses = append(h.losses, taskLoss{worker: worker, age: unknownAge, ratio: 1, unexplained: true, unplanned: true})
	}
}

// hasEvidence reports whether the loss of a worker is evidence about the task.
func (h *History) hasEvidence(worker string) bool {
	return slices.ContainsFunc(h.losses, func(loss taskLoss) bool { return loss.worker == worker && !loss.unexplained })
}

// evidenceCount returns the number of losses that are evidence.
func (h *History) evidenceCount() int {
	count := 0
	for i := range h.losses {
		if !h.losses[i].unexplained {
			count++
		}
	}
	return count
}

// Records returns the stored form of the history. It returns nil for a nil history.
func (h *History) Records() []Record {
	if h == nil {
		return nil
	}
	records := make([]Record, 0, len(h.losses))
	for i := range h.losses {
		loss := &h.losses[i]
		records = append(records, Record{
			Worker: loss.worker, Ratio: loss.ratio, AgeMillis: ageMillis(loss.age),
			Unexplained: loss.unexplained, Conclusive: loss.conclusive, Unplanned: loss.unplanned,
		})
	}
	return records
}

// Workers returns the names of the lost workers that ran the task, separated by spaces.
func (h *History) Workers() string {
	names := make([]string, 0, len(h.losses))
	for i := range h.losses {
		names = append(names, h.losses[i].worker)
	}
	return strings.Join(names, " ")
}

// LossCount returns the number of lost workers that ran the task.
func (h *History) LossCount() int {
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

// Verdict is the classification of a task by its history.
type Verdict string

// The verdicts.
const (
	// Sound tasks are considered healthy and run without restrictions.
	Sound Verdict = "sound"
	// Doubtful tasks run on different workers unless a task would have to wait. The next loss then
	// shows which of the tasks is poison.
	Doubtful Verdict = "doubtful"
	// Suspected tasks run alone on their workers.
	Suspected Verdict = "suspected"
	// PoisonByOdds tasks were rejected by the odds, PoisonByLimit tasks by the number of losses.
	// Neither may run again.
	PoisonByOdds  Verdict = "crash_odds"
	PoisonByLimit Verdict = "crash_limit"
)

// Poison reports whether the task must not run again.
func (v Verdict) Poison() bool { return v == PoisonByOdds || v == PoisonByLimit }

// hasSufficientEvidence reports whether the evidence proves that the task is poison. If there are
// only two losses, their ages must agree, and one of them must be conclusive unless the odds are
// overwhelming: two different neighbors may each have crashed one worker. From minEvidence losses
// on a task runs alone, so with more losses the odds decide.
func (h *History) hasSufficientEvidence() bool {
	switch evidence := h.evidenceCount(); {
	case evidence < minEvidence, evidence == minEvidence && !h.agesAgree():
		return false
	case evidence == minEvidence && !h.hasConclusiveLoss():
		return h.Odds() >= inconclusiveOdds
	}
	return h.Odds() >= poisonOdds
}

func (h *History) hasConclusiveLoss() bool {
	return slices.ContainsFunc(h.losses, func(loss taskLoss) bool { return loss.conclusive })
}

// Verdict classifies the task.
func (h *History) Verdict() Verdict {
	count := h.LossCount()
	if count == 0 {
		return Sound
	}
	evidence, odds := h.evidenceCount(), h.Odds()
	switch {
	case count >= maxLosses, count == maxLosses-1 && h.isNearLimit(odds):
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

// isNearLimit reports whether the odds have risen far enough, and not only by losses that prove
// little, for a task with one loss less than maxLosses to be rejected.
func (h *History) isNearLimit(odds float64) bool {
	return h.evidenceCount() >= minEvidence && h.hasConclusiveLoss() && odds >= nearLimitRatio*h.group.prior.odds()
}

// oddsWithout returns the odds that the task is poison, ignoring the evidence of one loss. If loss
// is nil, no evidence is ignored.
func (h *History) oddsWithout(loss *workerLoss) float64 {
	odds := h.group.prior.odds()
	for i := range h.losses {
		if loss == nil || h.losses[i].loss != loss {
			odds *= h.losses[i].ratio
		}
	}
	return odds
}

// lossOf returns the history's entry for a recent loss; nil if there is none.
func (h *History) lossOf(loss *workerLoss) *taskLoss {
	for i := range h.losses {
		if h.losses[i].loss == loss {
			return &h.losses[i]
		}
	}
	return nil
}

// freeze makes the ratio of a loss final.
func (h *History) freeze(loss *workerLoss) {
	if settled := h.lossOf(loss); settled != nil {
		settled.loss = nil
	}
}

// removeWorker removes the loss of a worker that turned out to be alive. It returns false if the
// history does not contain the worker.
func (h *History) removeWorker(worker string) bool {
	for i := range h.losses {
		if h.losses[i].worker == worker {
			h.losses = append(h.losses[:i:i], h.losses[i+1:]...)
			return true
		}
	}
	return false
}
