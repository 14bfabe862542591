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
	// TrustedWorkers keeps gangs and retries off workers whose last run failed.
	TrustedWorkers Name = "trusted-workers"
	// NearPlaces makes units wait for a placement on which they run at full speed.
	NearPlaces Name = "near-places"
	// QuickStalls migrates a stalled run once the stall has cost as much as a migration, and keeps
	// new tasks off its worker.
	QuickStalls Name = "quick-stalls"
	// Laggards migrates gangs that are delayed by a straggler, and keeps new tasks off its worker.
	Laggards Name = "laggards"
	// Headroom reserves the racks with the most free capacity for urgent jobs.
	Headroom Name = "headroom"
	// Pressure holds back units with slack after other units were preempted for lack of resources.
	Pressure Name = "pressure"
	// Reservations reserve resources for waiting units.
	Reservations Name = "reservations"
	// PressingGangs lets gangs of priority 1 and lower preempt others before they are late.
	PressingGangs Name = "pressing-gangs"
	// TimelyFirst places units that can still meet their target before late ones.
	TimelyFirst Name = "timely-first"
	// EndDelay batches the writes of completed runs.
	EndDelay Name = "end-delay"
	// StoreRelay forwards requests to the store through other nodes.
	StoreRelay Name = "store-relay"
	// LongFeeds lengthens long polls of the store; for the configuration, only while an owner
	// confirms it.
	LongFeeds Name = "long-feeds"
	// PacedFeeds reads heartbeats of workers in batches.
	PacedFeeds Name = "paced-feeds"
	// Announcements notify a pool's owner of accepted jobs before its feed delivers them.
	Announcements Name = "announcements"
	// Guards monitor owners at short intervals.
	Guards Name = "guards"
	// WeakOwners lets nodes on much stronger machines take over the pools of weak owners.
	WeakOwners Name = "weak-owners"
)

// All returns the mechanisms.
func All() []Name {
	return []Name{
		LearnedDurations, LearnedSpeeds, TrustedWorkers, QuickStalls, Laggards, NearPlaces, Headroom, Pressure, Reservations,
		PressingGangs, TimelyFirst, EndDelay, StoreRelay, LongFeeds, PacedFeeds, Announcements, Guards, WeakOwners,
	}
}

// Off is the set of disabled mechanisms; nil disables none.
type Off map[Name]bool

// ParseOff returns the set with the given names. The error contains the first unknown name.
func ParseOff(names []string) (Off, error) {
	off := Off{}
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, errors.Newf("mechanism %q is not known", name)
		}
		off[Name(name)] = true
	}
	return off, nil
}
