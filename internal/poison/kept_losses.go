package poison

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Owners of a pool change. The next owner needs the recent losses to know the rate of chance
// losses, and the share of poison tasks. The tracker is the section of kept knowledge that holds
// them. A kept loss belongs to one incarnation of a worker.

// keptEvidence says what an earlier owner found out about a loss.
type keptEvidence struct {
	// chance is the probability that no task caused the loss.
	chance float64
	// suspects are the histories that contain the loss.
	suspects []*History
}

// keptDocument is the stored form of a tracker.
type keptDocument struct {
	Losses []keptLoss `json:"losses,omitempty"`
	// Started and Poison count recent tasks, as in type prior.
	Started float64 `json:"started,omitempty"`
	Poison  float64 `json:"poison,omitempty"`
	// WatchedMillis is how long losses had been watched for, up to rateWindow.
	WatchedMillis int64 `json:"watched_ms"`
}

// keptLoss is the stored form of a recent loss.
type keptLoss struct {
	// Worker is the lost incarnation.
	Worker    string  `json:"worker"`
	AgeMillis int64   `json:"age_ms"`
	Chance    float64 `json:"chance"`
}

const (
	// materialChanceChange is the smallest change of a loss's probability of being a chance loss
	// that is material.
	materialChanceChange = 0.2
	// materialPriorRatio is the smallest ratio between two priors that is material.
	materialPriorRatio = 1.25
	// chancePrecision is the precision to which probabilities are stored.
	chancePrecision = 1e3
)

// Name returns the name of the section.
func (l *LossTracker) Name() string { return "losses" }

// Export returns the newest losses and the share of poison tasks. It returns nil if there are none
// and nobody watched for losses.
func (l *LossTracker) Export(now time.Time) (json.RawMessage, error) {
	document := keptDocument{Started: l.prior.started, Poison: l.prior.poison, WatchedMillis: l.watchedFor(now).Milliseconds()}
	for _, loss := range l.losses[max(0, len(l.losses)-maxKeptLosses):] {
		age := now.Sub(loss.at)
		if age > recentWindow {
			continue
		}
		document.Losses = append(document.Losses, keptLoss{
			Worker: loss.worker, AgeMillis: max(0, age.Milliseconds()), Chance: math.Round(chancePrecision*loss.chanceProbability) / chancePrecision,
		})
	}
	if len(document.Losses) == 0 && l.prior == (prior{}) && !l.watching {
		return nil, nil
	}
	return json.Marshal(document)
}

// Import adds the losses that an earlier owner recorded, except those that this tracker knows.
func (l *LossTracker) Import(encoded json.RawMessage, now time.Time, age time.Duration) error {
	document, err := decodeKept(encoded)
	if err != nil {
		return err
	}
	for i := range document.Losses {
		l.importLoss(&document.Losses[i], now.Add(-age))
	}
	l.prune(now)
	l.prior.started = min(maxRecentTasks, l.prior.started+document.Started)
	l.prior.poison = min(maxRecentTasks, l.prior.poison+document.Poison)
	l.importedWatchFrom = now.Add(-age - time.Duration(document.WatchedMillis)*time.Millisecond)
	l.updateEvidence()
	return nil
}

func (l *LossTracker) importLoss(kept *keptLoss, exportedAt time.Time) {
	if slices.ContainsFunc(l.losses, func(loss *workerLoss) bool { return loss.worker == kept.Worker }) {
		return
	}
	at := exportedAt.Add(-time.Duration(kept.AgeMillis) * time.Millisecond)
	loss := &workerLoss{worker: kept.Worker, at: at, chanceProbability: kept.Chance, kept: &keptEvidence{chance: kept.Chance}}
	l.insert(loss)
	for _, settled := range l.settled {
		loss.attributeTo(settled.history)
	}
}

// attributeTo attributes a kept loss to a task in whose history it is evidence. The loss then does
// not count as a chance loss in the evidence about the task.
func (loss *workerLoss) attributeTo(h *History) {
	if loss.kept != nil && h.hasEvidence(loss.worker) {
		h.group.add(loss)
		loss.kept.suspects = append(loss.kept.suspects, h)
	}
}

// chanceNow returns the probability that no task caused the loss. Its suspects may have become more
// likely causes since the earlier owner recorded it.
func (k *keptEvidence) chanceNow() float64 {
	chance := 1.0
	for _, suspect := range k.suspects {
		chance *= 1 - probability(suspect.Odds())
	}
	return min(k.chance, chance)
}

// initialChance returns the probability of being a chance loss from which estimates begin.
func (loss *workerLoss) initialChance() float64 {
	if loss.kept != nil {
		return loss.kept.chance
	}
	return 1
}

// removeKept removes the kept loss of a worker. It returns false if there is none.
func (l *LossTracker) removeKept(worker string) bool {
	position := slices.IndexFunc(l.losses, func(loss *workerLoss) bool { return loss.kept != nil && loss.worker == worker })
	if position < 0 {
		return false
	}
	l.removeLoss(l.losses[position], nil)
	l.losses = slices.Delete(l.losses, position, position+1)
	l.updateEvidence()
	return true
}

// WatchFrom records that the tracker watches for losses from now on, and that nothing is known of
// earlier ones. Losses in the time that follows weigh less.
func (l *LossTracker) WatchFrom(at time.Time) { l.watching, l.watchedFrom = true, at }

// AssumeCalmBefore records that no losses before the time of WatchFrom matter.
func (l *LossTracker) AssumeCalmBefore() {
	l.watchedFrom = time.Time{}
	l.updateEvidence()
}

// ContinueWatch records that the owner whose losses were imported is the one before this one. The
// two together have watched without a gap.
func (l *LossTracker) ContinueWatch() {
	if l.importedWatchFrom.IsZero() || l.importedWatchFrom.After(l.watchedFrom) {
		return
	}
	l.watchedFrom = l.importedWatchFrom
	l.updateEvidence()
}

// watchedFor returns for how long losses have been watched, up to rateWindow.
func (l *LossTracker) watchedFor(now time.Time) time.Duration {
	return max(0, min(rateWindow, now.Sub(l.watchedFrom)))
}

// MateriallyChanged reports whether the next owner would decide differently by the current document
// than by the one written the given time ago.
func (l *LossTracker) MateriallyChanged(written, current json.RawMessage, elapsed time.Duration) bool {
	before, err := decodeKept(written)
	if err != nil {
		return true
	}
	after, err := decodeKept(current)
	if err != nil {
		return false
	}
	return priorChanged(before, after) || lossesChanged(before.Losses, after.Losses, elapsed)
}

func priorChanged(before, after keptDocument) bool {
	oddsBefore := (&prior{started: before.Started, poison: before.Poison}).odds()
	oddsAfter := (&prior{started: after.Started, poison: after.Poison}).odds()
	return max(oddsBefore, oddsAfter) > materialPriorRatio*min(oddsBefore, oddsAfter)
}

// lossesChanged reports whether a loss is new, was withdrawn or is explained differently. Losses
// that have grown too old to matter are no change.
func lossesChanged(before, after []keptLoss, elapsed time.Duration) bool {
	earlier := map[string]float64{}
	for i := range before {
		if before[i].age()+elapsed <= recentWindow {
			earlier[before[i].Worker] = before[i].Chance
		}
	}
	found := 0
	for i := range after {
		if after[i].age() >= recentWindow-ageTolerance {
			continue
		}
		chance, known := earlier[after[i].Worker]
		if !known || math.Abs(chance-after[i].Chance) >= materialChanceChange {
			return true
		}
		found++
	}
	return found < len(earlier)
}

func (k *keptLoss) age() time.Duration { return time.Duration(k.AgeMillis) * time.Millisecond }

// decodeKept decodes and checks the stored form of a tracker.
func decodeKept(encoded json.RawMessage) (keptDocument, error) {
	var document keptDocument
	if err := json.Unmarshal(encoded, &document); err != nil {
		return keptDocument{}, errors.Wrap(err, "losses")
	}
	if document.Started < 0 || document.Started > maxRecentTasks || document.Poison < 0 || document.Poison > maxRecentTasks || document.WatchedMillis < 0 || document.WatchedMillis > rateWindow.Milliseconds() {
		return keptDocument{}, errors.New("losses: counts out of range")
	}
	for i := range document.Losses {
		loss := &document.Losses[i]
		if loss.Worker == "" || loss.AgeMillis < 0 || loss.AgeMillis > maxKeptAgeMillis || loss.Chance < 0 || loss.Chance > 1 {
			return keptDocument{}, errors.New("losses: loss out of range")
		}
	}
	return document, nil
}

const (
	// maxKeptLosses is the number of losses that are kept. The oldest ones are dropped first.
	maxKeptLosses = 100
	// maxKeptAgeMillis is the largest age of a kept loss that is plausible.
	maxKeptAgeMillis = int64(time.Hour / time.Millisecond)
	// ageTolerance is how far stored ages of one loss may differ.
	ageTolerance = 100 * time.Millisecond
)
