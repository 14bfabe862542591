package health

import (
	"math"
	"time"
)

const (
	// maxProofWait is how long a last attempt waits for a proven worker while its job has slack. It
	// is as long as a failing worker is excluded and then tried again, with a reserve; what has not
	// proved itself by then is not about to.
	maxProofWait = 10 * time.Second
	// minProofWait is how long a last attempt waits without slack: about the start of another run
	// and its first progress.
	minProofWait = time.Second
	// maxUnsuspectedWait is how long a last attempt waits for a worker that has not failed.
	maxUnsuspectedWait = maxProofWait + 3*time.Second
	// maxUrgentWait is how long the only attempt of an urgent job waits for a worker that has not
	// failed. It leaves a second of the three within which a guaranteed job starts.
	maxUrgentWait = 2 * time.Second
	// A gang waits for better workers for at most maxGangWait, a third of the time within which a
	// guaranteed start is due, and at most gangWaitShare of its slack, so that it can be retried in
	// time.
	maxGangWait   = time.Second
	gangWaitShare = 0.25
	// trialPeriod is how long after its start a run counts as a trial of its worker. A failing worker
	// has failed it by then, and this is known.
	trialPeriod = time.Second
	// cautionChance is the chance of a failure from which other workers are preferred. At one in
	// twenty, a gang on eight such workers fails one time in three.
	cautionChance = 0.05
	// evenChance is the chance of a failure from which an attempt is more likely to fail than to
	// succeed.
	evenChance = 0.5
)

// Attempt describes an attempt of a task or gang that waits for workers.
type Attempt struct {
	// Last is true for a retry whose failure ends the job. Spare is true if the job survives a
	// failure. Neither is true for the only attempt.
	Last, Spare bool
	// Urgent is true if the job has priority 0.
	Urgent bool
	// Members is the number of tasks that start together, and so the highest number of workers used.
	Members int
	// FailingShare is the share of failing workers among those that are not proven.
	FailingShare float64
	// Slack is how long the start may be delayed without missing the job's objective.
	Slack time.Duration
	// Waited is how long the attempt has waited.
	Waited time.Duration
	// Starved is true if the attempt has waited long although much of the pool is free, and Overdue if
	// it must start at once.
	Starved, Overdue bool
	// ProofExpected is true if a run has just started on a worker that is neither proven nor a suspect.
	ProofExpected bool
}

// Requirement is what an attempt requires of its workers.
type Requirement int

const (
	// AnyWorker requires nothing.
	AnyWorker Requirement = iota
	// SuspectsOnTrial requires that a suspect has no other trial under way.
	SuspectsOnTrial
	// NoPendingLastAttempt requires a proven worker, or one on which no other last attempt has just
	// started.
	NoPendingLastAttempt
	// Unsuspected requires NoPendingLastAttempt, and a proven worker or one that is no suspect.
	Unsuspected
	// ProvenOnly requires a proven worker.
	ProvenOnly
)

// Requirement returns what the attempt requires now.
func (a *Attempt) Requirement() Requirement {
	switch {
	case a.Last && a.Overdue:
		return AnyWorker
	case a.Last && a.Starved && a.ProofExpected:
		return ProvenOnly
	case a.Last && a.waitsForProof(), a.gangWaits() && a.likelyToFail():
		return ProvenOnly
	case a.Last && !a.Starved && a.Waited < maxUnsuspectedWait:
		return Unsuspected
	case a.Last:
		return NoPendingLastAttempt
	case a.Starved:
		return AnyWorker
	case a.gangWaits():
		return Unsuspected
	case !a.Spare && a.Waited < a.maxOnlyAttemptWait():
		return Unsuspected
	}
	return SuspectsOnTrial
}

// maxOnlyAttemptWait returns how long an only attempt waits for a worker that has not failed.
func (a *Attempt) maxOnlyAttemptWait() time.Duration {
	if a.Urgent {
		return maxUrgentWait
	}
	return maxUnsuspectedWait
}

// waitsForProof reports whether a last attempt still waits for a proven worker.
func (a *Attempt) waitsForProof() bool {
	if a.Starved {
		return false
	}
	return a.Waited < minProofWait || a.Slack > 0 && a.Waited < maxProofWait
}

// likelyToFail reports whether an attempt on unproven workers is more likely to fail than to succeed.
func (a *Attempt) likelyToFail() bool {
	return math.Pow(1-a.FailingShare, float64(a.Members)) < 1-evenChance
}

// gangWaits reports whether a gang still waits for better workers.
func (a *Attempt) gangWaits() bool {
	limit := min(maxGangWait, time.Duration(gangWaitShare*float64(a.Slack+a.Waited)))
	return a.Members > 1 && !a.Starved && a.Waited < limit
}

// WorkerState is what a requirement asks of a worker.
type WorkerState struct {
	Proven, Suspected bool
	// Trusted is true if the worker is proven, or no suspect and unlikely to fail its next run.
	Trusted bool
	// Doubtful is true for suspects, and for workers in a wave that are neither proven nor unlikely
	// to fail.
	Doubtful bool
	// OnTrial is true if a run has just started there.
	OnTrial bool
	// PendingLastAttempts counts the last attempts that have just started there.
	PendingLastAttempts int
}

// Admits reports whether a worker meets the requirement.
func (r Requirement) Admits(w WorkerState) bool {
	switch r {
	case SuspectsOnTrial:
		return !w.Doubtful || !w.OnTrial
	case NoPendingLastAttempt:
		return w.Proven || w.PendingLastAttempts == 0
	case Unsuspected:
		return w.Proven || w.PendingLastAttempts == 0 && !w.Suspected
	case ProvenOnly:
		return w.Proven
	}
	return true
}

// IsTrial reports whether a run that started at startedAt still is a trial of its worker.
func IsTrial(startedAt, now time.Time) bool { return now.Sub(startedAt) < trialPeriod }

// WorkerState returns what is known of a worker, without the runs on it.
func (r *Record) WorkerState(machine Machine, now time.Time) WorkerState {
	state := WorkerState{Proven: r.Proven(machine.ID, now), Suspected: r.Suspected(machine.ID, now)}
	state.Trusted = state.Proven || !state.Suspected && r.Chance(machine, now) < cautionChance
	state.Doubtful = state.Suspected || r.wave && !state.Trusted
	return state
}
