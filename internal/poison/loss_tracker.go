package poison

import (
	"slices"
	"time"
)

const (
	// recentWindow is how long later losses can still change the evidence of a loss.
	recentWindow = 30 * time.Second
	// maxRecentLosses limits the number of losses whose evidence can still change. Each loss has
	// some ten suspects, whose evidence is recomputed with every new loss.
	maxRecentLosses = 256
	// estimateIterations is the number of fixed-point iterations that estimate the odds of the tasks
	// and the rates of chance losses, which depend on each other. A chance loss is a loss that no
	// task on the worker caused.
	estimateIterations = 4
)

// LossTracker correlates recent losses of workers to find the tasks that caused them.
type LossTracker struct {
	// losses holds the losses whose evidence can still change, sorted by time.
	losses []*workerLoss
	// settled holds losses with final evidence, oldest first. WithdrawLoss can still withdraw them.
	settled []settledLoss
	// tracked holds the workers in losses and settled.
	tracked map[string]bool
	prior   prior
	// workers is the number of workers in the pool.
	workers int
	// watchedFrom is the time from which all losses are known; zero if there were none before.
	// watching is true once WatchFrom was called.
	watchedFrom time.Time
	watching    bool
	// importedWatchFrom is the time from which an earlier owner knew all losses; zero if none of its
	// losses were imported.
	importedWatchFrom time.Time
}

// settledLoss is the loss of a worker whose evidence in one task's history is final.
type settledLoss struct {
	worker  string
	history *History
}

// maxSettledLosses limits the number of settled losses that WithdrawLoss can still withdraw. A pool
// of 13,000 workers has some 1,300 losses a day.
const maxSettledLosses = 2048

// workerLoss is one lost worker and the tasks that ran on it.
type workerLoss struct {
	worker, address string
	at              time.Time
	replaced        bool
	unobserved      bool
	suspects        []Suspect
	// groups holds the suspects by group, with runs that may have been on the worker. The latter are no
	// evidence about their tasks, but may have caused the loss.
	groups []suspectGroup
	// kept is set if only an earlier owner recorded the loss; nil otherwise.
	kept *keptEvidence
	// earlierSuspects are the histories in which an earlier owner recorded the loss. Their ratios are
	// final.
	earlierSuspects []*History
	// surroundingsUnknown is true if the losses before this one were not watched.
	surroundingsUnknown bool
	// chanceProbability is the probability that none of the tasks caused the loss.
	chanceProbability float64
	// chanceRate is the rate of chance losses at the time of this loss. suspectRate is the rate of
	// losses that the suspects would cause. Both are per worker and second.
	chanceRate, suspectRate float64
	// followedFor is the time from this loss to the latest one.
	followedFor time.Duration
	// nearbyChance holds the sums of chanceProbability over the losses around this one.
	nearbyChance chanceSums
}

// Suspect is a task that ran on a worker when the worker was lost.
type Suspect struct {
	History *History
	// Age is the age of the run when the worker was last known to be alive.
	Age time.Duration
	// AgeEstimated is true if Age is an estimate because an earlier owner started the run.
	AgeEstimated bool
}

// knownAge returns the age of the run, or unknownAge if it is an estimate.
func (s *Suspect) knownAge() time.Duration {
	if s.AgeEstimated {
		return unknownAge
	}
	return max(0, s.Age)
}

// Loss describes a lost worker.
type Loss struct {
	Worker string
	// Address is empty if unknown.
	Address string
	At      time.Time
	// Unobserved is true if the worker was lost before its owner heard from it.
	Unobserved bool
	// Replaced is true if another instance runs at the worker's address. The lost worker then
	// certainly runs nothing.
	Replaced bool
	// Suspects are the runs that were on the worker, and Unconfirmed those that may have been.
	Suspects, Unconfirmed []Suspect
}

// NewLossTracker returns an empty loss tracker.
func NewLossTracker() *LossTracker { return &LossTracker{tracked: map[string]bool{}} }

// SetWorkers sets the number of workers in the pool.
func (l *LossTracker) SetWorkers(count int) { l.workers = max(1, count) }

// RecordLoss records the loss of a worker and updates the evidence of all recent losses.
func (l *LossTracker) RecordLoss(lost Loss) {
	loss := &workerLoss{worker: lost.Worker, address: lost.Address, at: lost.At, replaced: lost.Replaced, unobserved: lost.Unobserved, chanceProbability: 1}
	for _, suspect := range lost.Suspects {
		if suspect.Age < ageHorizon && !suspect.History.has(lost.Worker) {
			loss.suspects = append(loss.suspects, suspect)
			suspect.History.losses = append(suspect.History.losses, taskLoss{worker: lost.Worker, age: suspect.knownAge(), ratio: 1, loss: loss})
			suspect.History.group.add(loss)
			suspect.History.group.prior = &l.prior
		}
	}
	loss.groups = newSuspectGroups(loss.suspects, lost.Unconfirmed)
	l.replaceKept(loss)
	l.prune(lost.At)
	l.insert(loss)
	l.updateEvidence()
}

// insert adds a loss in the order of time.
func (l *LossTracker) insert(loss *workerLoss) {
	position, _ := slices.BinarySearchFunc(l.losses, loss, func(a, b *workerLoss) int { return a.at.Compare(b.at) })
	l.losses = slices.Insert(l.losses, position, loss)
	l.tracked[loss.worker] = true
}

func (h *History) has(worker string) bool {
	return slices.ContainsFunc(h.losses, func(loss taskLoss) bool { return loss.worker == worker })
}

func (g *Group) add(loss *workerLoss) {
	if !slices.Contains(g.losses, loss) {
		g.losses = append(g.losses, loss)
	}
}

func (g *Group) remove(loss *workerLoss) {
	g.losses = slices.DeleteFunc(g.losses, func(other *workerLoss) bool { return other == loss })
}

// Restore registers a history that was read from the store, so that WithdrawLoss finds its losses.
func (l *LossTracker) Restore(h *History) {
	h.group.prior = &l.prior
	for i := range h.losses {
		l.settle(h, h.losses[i].worker)
	}
	for _, loss := range l.losses {
		if loss.kept != nil {
			loss.attributeTo(h)
		}
	}
}

func (l *LossTracker) settle(h *History, worker string) {
	l.tracked[worker] = true
	l.settled = append(l.settled, settledLoss{worker: worker, history: h})
	if len(l.settled) > maxSettledLosses {
		delete(l.tracked, l.settled[0].worker)
		l.settled = slices.Delete(l.settled, 0, 1)
	}
}

// prune settles losses that are older than recentWindow. If there are still too many losses, it
// settles the oldest until one more loss fits within maxRecentLosses.
func (l *LossTracker) prune(now time.Time) {
	for len(l.losses) > 0 && (now.Sub(l.losses[0].at) > recentWindow || len(l.losses) >= maxRecentLosses) {
		l.removeLoss(l.losses[0], func(h *History, loss *workerLoss) {
			h.freeze(loss)
			l.settle(h, loss.worker)
		})
		l.losses = l.losses[1:]
	}
}

func (l *LossTracker) removeLoss(loss *workerLoss, settle func(*History, *workerLoss)) {
	for _, suspect := range loss.suspects {
		settle(suspect.History, loss)
		suspect.History.group.remove(loss)
	}
	for _, suspect := range loss.earlierSuspects {
		suspect.group.remove(loss)
	}
}

// MarkReplaced records that another instance runs at the address of a lost worker.
func (l *LossTracker) MarkReplaced(address, successor string) {
	for _, loss := range l.losses {
		if loss.address == address && address != "" && loss.worker != successor && !loss.replaced {
			loss.replaced = true
			l.updateEvidence()
		}
	}
}

// WithdrawLoss removes the loss of a worker that turned out to be alive from all histories. It
// returns false if the tracker holds no loss of the worker.
func (l *LossTracker) WithdrawLoss(worker string) bool {
	if !l.tracked[worker] {
		return false
	}
	delete(l.tracked, worker)
	withdrawn := l.withdrawSettled(worker)
	for i, loss := range l.losses {
		if loss.worker == worker {
			l.removeLoss(loss, func(h *History, loss *workerLoss) { h.removeWorker(loss.worker) })
			l.losses = slices.Delete(l.losses, i, i+1)
			l.updateEvidence()
			return true
		}
	}
	return withdrawn
}

func (l *LossTracker) withdrawSettled(worker string) bool {
	found := false
	l.settled = slices.DeleteFunc(l.settled, func(settled settledLoss) bool {
		if settled.worker != worker {
			return false
		}
		found = settled.history.removeWorker(worker) || found
		return true
	})
	return found
}

// updateEvidence recomputes the evidence of all recent losses. It first assumes that all of them
// are chance losses. This assumption favours healthy tasks: the odds of a task rise only if its
// workers are lost more often than the rate of chance losses explains.
func (l *LossTracker) updateEvidence() {
	for _, loss := range l.losses {
		loss.chanceProbability = loss.initialChance()
		for _, suspect := range loss.suspects {
			if evidence := suspect.History.lossOf(loss); evidence != nil {
				evidence.ratio = 1
			}
		}
	}
	for range estimateIterations {
		l.updateChanceRates()
		for _, loss := range l.losses {
			loss.updateRatios(l.workers)
		}
		for _, loss := range l.losses {
			loss.updateChanceProbability()
		}
	}
}

func (loss *workerLoss) updateChanceProbability() {
	byEarlierSuspects := loss.chanceByEarlierSuspects()
	if loss.kept != nil {
		loss.chanceProbability = min(loss.kept.chance, byEarlierSuspects)
		return
	}
	loss.chanceProbability = byEarlierSuspects * loss.chanceRate / (loss.chanceRate + loss.suspectRate)
}
