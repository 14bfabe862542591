// Package mechanism names the optional parts of the scheduling policy and of the nodes. Each can
// be disabled to measure its effect; none is needed for safety.
package mechanism

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Name identifies a mechanism.
type Name string

// The optional mechanisms.
const (
	// LearnedDurations corrects duration estimates by earlier runs of the queue.
	LearnedDurations Name = "learned-durations"
	// LearnedSpeeds keeps gangs off workers that are estimated to be slow.
	LearnedSpeeds Name = "learned-speeds"
	// FailedWorkerAvoidance keeps gangs and retries off workers whose last run failed.
	FailedWorkerAvoidance Name = "trusted-workers"
	// LocalityWait makes units wait for a placement on which they run at full speed.
	LocalityWait Name = "near-places"
	// AdaptiveStallTimeout migrates a stalled run once the stall has cost as much as a migration,
	// and keeps new tasks off its worker.
	AdaptiveStallTimeout Name = "quick-stalls"
	// Stragglers migrates gangs that are delayed by a straggler, and keeps new tasks off its
	// worker.
	Stragglers Name = "laggards"
	// Headroom reserves the racks with the most free capacity for urgent jobs.
	Headroom Name = "headroom"
	// PreemptionBackoff holds back units with slack after other units were preempted for lack of
	// resources.
	PreemptionBackoff Name = "pressure"
	// Reservations reserve resources for waiting units.
	Reservations Name = "reservations"
	// GangPreemption lets gangs of priority 1 and lower preempt others before they are late.
	GangPreemption Name = "pressing-gangs"
	// OnTimeFirst places units that can still meet their target before late ones.
	OnTimeFirst Name = "timely-first"
	// CompletionBatching batches the writes of completed runs.
	CompletionBatching Name = "end-delay"
	// StoreRelay forwards requests to the store through other nodes.
	StoreRelay Name = "store-relay"
	// LongFeedPolls lengthens long polls of the store; for the configuration, only while an owner
	// confirms it.
	LongFeedPolls Name = "long-feeds"
	// HeartbeatBatching reads heartbeats of workers in batches.
	HeartbeatBatching Name = "paced-feeds"
	// Announcements notify a pool's owner of accepted jobs before its feed delivers them.
	Announcements Name = "announcements"
	// Standbys monitor owners at short intervals.
	Standbys Name = "guards"
	// WeakOwnerTakeover lets nodes on much stronger machines take over the pools of weak owners.
	WeakOwnerTakeover Name = "weak-owners"
)

// All returns the mechanisms.
func All() []Name {
	return []Name{
		LearnedDurations, LearnedSpeeds, FailedWorkerAvoidance, AdaptiveStallTimeout, Stragglers, LocalityWait, Headroom, PreemptionBackoff, Reservations,
		GangPreemption, OnTimeFirst, CompletionBatching, StoreRelay, LongFeedPolls, HeartbeatBatching, Announcements, Standbys, WeakOwnerTakeover,
	}
}

// Disabled is the set of disabled mechanisms; nil disables none.
type Disabled map[Name]bool

// ParseDisabled returns the set with the given names. The error contains the first unknown name.
func ParseDisabled(names []string) (Disabled, error) {
	off := Disabled{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, errors.Newf("mechanism %q is not known", name)
		}
		off[Name(name)] = true
	}
	return off, nil
}
