// Package mechanism names the parts of the scheduling policy and of the nodes' work that
// can be switched off, so that a measurement shows what each of them is worth. None of
// them is needed for safety.
package mechanism

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Name names one mechanism.
type Name string

// The mechanisms that can be switched off.
const (
	// LearnedDurations corrects estimates by what runs of a queue took.
	LearnedDurations Name = "learned-durations"
	// LearnedSpeeds keeps gangs off workers that take longer than most.
	LearnedSpeeds Name = "learned-speeds"
	// TrustedWorkers keeps gangs and retries off workers whose last run failed.
	TrustedWorkers Name = "trusted-workers"
	// NearPlaces lets units wait for a place where they run at full speed.
	NearPlaces Name = "near-places"
	// QuickStalls moves runs that stand still once the stall has cost what the move does,
	// and keeps new work off their workers.
	QuickStalls Name = "quick-stalls"
	// Laggards moves gangs that a slow member holds up, and keeps new work off its worker.
	Laggards Name = "laggards"
	// Headroom leaves the emptiest racks to urgent jobs.
	Headroom Name = "headroom"
	// Pressure holds patient units back after others were stopped for room.
	Pressure Name = "pressure"
	// Reservations keep room for units that wait.
	Reservations Name = "reservations"
	// PressingGangs lets gangs without priority 0 stop others before they are late.
	PressingGangs Name = "pressing-gangs"
	// TimelyFirst places units that can still end in time before late ones.
	TimelyFirst Name = "timely-first"
	// EndDelay writes ends of runs together.
	EndDelay Name = "end-delay"
	// StoreRelay reaches the store through other nodes.
	StoreRelay Name = "store-relay"
	// LongFeeds follows the store seldom where an owner confirms the configuration.
	LongFeeds Name = "long-feeds"
	// PacedFeeds reads workers' heartbeats together.
	PacedFeeds Name = "paced-feeds"
	// Announcements tell a pool's owner of accepted jobs ahead of its feed.
	Announcements Name = "announcements"
	// Guards watch owners closely.
	Guards Name = "guards"
	// WeakOwners relieves owners on machines much weaker than others.
	WeakOwners Name = "weak-owners"
)

// All lists the mechanisms.
func All() []Name {
	return []Name{
		LearnedDurations, LearnedSpeeds, TrustedWorkers, QuickStalls, Laggards, NearPlaces, Headroom, Pressure, Reservations,
		PressingGangs, TimelyFirst, EndDelay, StoreRelay, LongFeeds, PacedFeeds, Announcements, Guards, WeakOwners,
	}
}

// Off is the set of mechanisms that are switched off; nil is none.
type Off map[Name]bool

// ParseOff reads a set from names. The error tells the first one that is not known.
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
