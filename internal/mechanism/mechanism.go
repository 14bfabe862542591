// Package mechanism names the optional parts of the scheduling policy and of the nodes. Each
// mechanism can be disabled to measure its effect. No mechanism is needed for safety.
package mechanism

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Name identifies a mechanism.
type Name string

// The optional mechanisms.
const (
	// LearnedDurations corrects duration estimates by the durations of earlier runs of the queue.
	LearnedDurations Name = "learned-durations"
	// LearnedSpeeds keeps gangs off workers that are estimated to be slow.
	LearnedSpeeds Name = "learned-speeds"
	// FailedWorkerAvoidance keeps gangs and retries off workers whose last run failed.
	FailedWorkerAvoidance Name = "trusted-workers"
	// LocalityWait makes units wait for a placement on which they run at full speed. A unit is a
	// gang or a single task.
	LocalityWait Name = "near-places"
	// AdaptiveStallTimeout migrates a stalled run once the stall has cost as much as a migration.
	// It also keeps new tasks off the worker of the stalled run.
	AdaptiveStallTimeout Name = "quick-stalls"
	// Stragglers migrates gangs that one slow member (the straggler) delays. It also keeps new tasks
	// off the straggler's worker.
	Stragglers Name = "laggards"
	// Headroom reserves the racks with the most free capacity for urgent jobs.
	Headroom Name = "headroom"
	// PreemptionBackoff makes units with slack wait for some time after a unit of higher priority
	// has preempted others.
	PreemptionBackoff Name = "pressure"
	// Reservations reserve resources for waiting units.
	Reservations Name = "reservations"
	// GangPreemption lets gangs preempt other units when little of the gang's slack is left. It
	// applies to gangs of priority 1 and lower.
	GangPreemption Name = "pressing-gangs"
	// OnTimeFirst places units that can still meet their target before late ones.
	OnTimeFirst Name = "timely-first"
	// CompletionBatching batches the writes of completed runs.
	CompletionBatching Name = "end-delay"
	// StoreRelay forwards requests to the store through other nodes.
	StoreRelay Name = "store-relay"
	// LongFeedPolls lengthens the long polls of the store's feeds. The polls of the configuration
	// feed are lengthened only while an owner confirms the configuration.
	LongFeedPolls Name = "long-feeds"
	// HeartbeatBatching reads heartbeats of workers in batches.
	HeartbeatBatching Name = "paced-feeds"
	// KeptKnowledge keeps what a pool's owner has learned for the next owner.
	KeptKnowledge Name = "kept-knowledge"
	// Announcements notify a pool's owner of accepted jobs before the owner's feed delivers the
	// jobs.
	Announcements Name = "announcements"
	// Standbys are nodes that monitor owners at short intervals.
	Standbys Name = "guards"
	// WeakOwnerTakeover lets nodes on much stronger machines take over the pools of weak owners.
	WeakOwnerTakeover Name = "weak-owners"
)

// All returns the mechanisms.
func All() []Name {
	return []Name{
		LearnedDurations, LearnedSpeeds, FailedWorkerAvoidance, AdaptiveStallTimeout, Stragglers, LocalityWait, Headroom, PreemptionBackoff, Reservations,
		GangPreemption, OnTimeFirst, CompletionBatching, KeptKnowledge, StoreRelay, LongFeedPolls, HeartbeatBatching, Announcements, Standbys, WeakOwnerTakeover,
	}
}

// Disabled is the set of disabled mechanisms; nil disables none.
type Disabled map[Name]bool

// ParseDisabled returns the set of the mechanisms with the given names. It returns an error with
// the first unknown name.
func ParseDisabled(names []string) (Disabled, error) {
	disabled := Disabled{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, errors.Newf("mechanism %q is not known", name)
		}
		disabled[Name(name)] = true
	}
	return disabled, nil
}
