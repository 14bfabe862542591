// Package writequeue decides which rows a pool's owner writes next, how many batches may be in
// flight, and whether the store is slow. It reads no clock and does no input or output: the pool
// passes rows and times in, and carries out what the package returns.
package writequeue

import "time"

// Purpose says what waits for the write of a row. A lower value is more urgent.
type Purpose int

const (
	// UrgentPlacement rows hold a placement of the highest priority; a start waits for the write.
	UrgentPlacement Purpose = iota
	// Placement rows hold another placement; a start waits for the write.
	Placement
	// End rows hold the result of a run or another change; an acknowledgement may wait for the write.
	End
	// Note rows hold details that only a later owner reads, such as confirmed starts.
	Note
)

// Purposes returns all purposes, the most urgent first.
func Purposes() []Purpose { return []Purpose{UrgentPlacement, Placement, End, Note} }

// String returns the purpose's name in metrics.
func (p Purpose) String() string {
	return [...]string{"urgent_placement", "placement", "end", "note"}[p]
}

// urgentPriority is the priority of the queues whose jobs must start immediately.
const urgentPriority = 0

// PlacementOf returns the purpose of a placement of the given priority.
func PlacementOf(priority int) Purpose {
	if priority <= urgentPriority {
		return UrgentPlacement
	}
	return Placement
}

// How long a write may be put off while the store is slow, from the time at which the row changed.
const (
	// MaxNoteDelay is the limit for notes. Without a note, a later owner counts a run whose worker
	// was lost as possibly started, so the limit is short compared with most runs.
	MaxNoteDelay = 2 * time.Second
	// MaxRemovalDelay is the limit for removals of rows of expired jobs, which cost only space.
	MaxRemovalDelay = 10 * time.Second
	// maxOrderedWait is how long a row may wait behind placements of lower urgency than
	// UrgentPlacement. Callers see the state of a job only once it is written.
	maxOrderedWait = 2 * time.Second
)
