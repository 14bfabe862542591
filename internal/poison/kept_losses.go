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
	shared := l.prior.limited()
	document := keptDocument{Losses: l.exportLosses(now), Started: shared.started, Poison: shared.poison, WatchedMillis: l.watchedFor(now).Milliseconds()}
	if len(document.Losses) == 0 && l.prior == (prior{}) && !l.watching {
		return nil, nil
	}
	if dropped := len(document.Losses) - maxKeptLosses; dropped > 0 {
		document.Losses = document.Losses[dropped:]
		// All losses are known only as far back as the oldest one that is kept.
		document.WatchedMillis = min(document.WatchedMillis, document.Losses[0].AgeMillis)
	}
	return json.Marshal(document)
}

// exportLosses returns the stored form of all losses that are not too old, oldest first.
func (l *LossTracker) exportLosses(now time.Time) []keptLoss {
	var losses []keptLoss
	for _, loss := range l.losses {
		if age := now.Sub(loss.at); age <= recentWindow && loss.worker != "" {
			losses = append(losses, keptLoss{Worker: loss.worker, AgeMillis: max(0, age.Milliseconds()), Chance: storedChance(loss.chanceProbability)})
		}
	}
	return losses
}

// storedChance returns the stored form of a probability. A value that is no number counts as 1.
func storedChance(chance float64) float64 {
	if math.IsNaN(chance) {
		return 1
	}
	return math.Round(chancePrecision*max(0, min(1, chance))) / chancePrecision
}

// limited returns the estimate with counts up to maxRecentTasks, in the same proportion.
func (p prior) limited() prior {
	scale := min(1, maxRecentTasks/max(1, p.started, p.poison))
	return prior{started: min(maxRecentTasks, scale*p.started), poison: min(maxRecentTasks, scale*p.poison)}
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
	loss := l.find(kept.Worker)
	if loss == nil {
		at := exportedAt.Add(-kept.age())
		loss = &workerLoss{worker: kept.Worker, at: at, chanceProbability: kept.Chance, kept: &keptEvidence{chance: kept.Chance}}
		l.insert(loss)
	}
	for _, settled := range l.settled {
		if settled.worker == kept.Worker {
			loss.attributeTo(settled.history)
		}
	}
}

// find returns the recent loss of a worker; nil if there is none.
func (l *LossTracker) find(worker string) *workerLoss {
	position := slices.IndexFunc(l.losses, func(loss *workerLoss) bool { return loss.worker == worker })
	if position < 0 {
		return nil
	}
	return l.losses[position]
}

// attributeTo attributes a loss that an earlier owner recorded to a task in whose history it is
// evidence. The loss then does not count as a chance loss in the evidence about the task.
func (loss *workerLoss) attributeTo(h *History) {
	if !h.hasEvidence(loss.worker) || loss.hasSuspect(h) {
		return
	}
	h.group.add(loss)
	loss.earlierSuspects = append(loss.earlierSuspects, h)
}

func (loss *workerLoss) hasSuspect(h *History) bool {
	return slices.Contains(loss.earlierSuspects, h) || slices.ContainsFunc(loss.suspects, func(suspect Suspect) bool { return suspect.History == h })
}

// chanceByEarlierSuspects returns the probability that none of the tasks to which an earlier owner
// attributed the loss caused it. They may have become more likely causes since then. Tasks of one
// group have one cause, so only the likeliest of them counts.
func (loss *workerLoss) chanceByEarlierSuspects() float64 {
	chance := 1.0
	for i, suspect := range loss.earlierSuspects {
		isFirst := !slices.ContainsFunc(loss.earlierSuspects[:i], func(other *History) bool { return other.group == suspect.group })
		if isFirst {
			chance *= 1 - probability(loss.highestEarlierOdds(suspect.group))
		}
	}
	return chance
}

// highestEarlierOdds returns the odds of the likeliest earlier suspect of a group.
func (loss *workerLoss) highestEarlierOdds(group *Group) float64 {
	highest := 0.0
	for _, suspect := range loss.earlierSuspects {
		if suspect.group == group {
			highest = max(highest, suspect.Odds())
		}
	}
	return highest
}

// initialChance returns the probability of being a chance loss from which estimates begin.
func (loss *workerLoss) initialChance() float64 {
	if loss.kept != nil {
		return loss.kept.chance
	}
	return 1
}

// replaceKept removes the kept loss of a worker in favour of this owner's own observation of the
// loss. The tasks to which the kept loss was attributed stay suspects.
func (l *LossTracker) replaceKept(observed *workerLoss) {
	kept := l.find(observed.worker)
	if kept == nil || kept.kept == nil {
		return
	}
	l.removeLoss(kept, nil)
	l.losses = slices.DeleteFunc(l.losses, func(loss *workerLoss) bool { return loss == kept })
	for _, suspect := range kept.earlierSuspects {
		observed.attributeTo(suspect)
	}
}

// WatchFrom records that the tracker watches for losses from now on, and that nothing is known of
// earlier ones. Losses in the time that follows weigh less.
func (l *LossTracker) WatchFrom(at time.Time) { l.watching, l.watchedFrom = true, at }

// AssumeNoLossesBefore records that no losses before the time of WatchFrom matter.
func (l *LossTracker) AssumeNoLossesBefore() {
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
	return missesLoss(before, after, 0) || missesLoss(after, before, elapsed)
}

// missesLoss reports whether one of the losses, exported the given time ago, is missing among the
// others or explained differently there. Losses that are about to be forgotten don't count.
func missesLoss(others, losses []keptLoss, exportedAgo time.Duration) bool {
	chances := map[string]float64{}
	for i := range others {
		chances[others[i].Worker] = others[i].Chance
	}
	for i := range losses {
		if losses[i].age()+exportedAgo >= recentWindow-ageTolerance {
			continue
		}
		chance, known := chances[losses[i].Worker]
		if !known || math.Abs(chance-losses[i].Chance) >= materialChanceChange {
			return true
		}
	}
	return false
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
