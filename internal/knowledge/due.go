package knowledge

import "time"

const (
	// MinWriteInterval is the minimum time between two writes of a row.
	MinWriteInterval = 2 * time.Second
	// FirstWriteDelay is the time after a takeover from which the owner writes its first row even if
	// it has learned nothing. From the row the next owner knows that there was nothing to learn.
	FirstWriteDelay = time.Second
	// SlowWrite is the duration of a write from which the store counts as slow. The next write then
	// waits for SlowWritePause.
	SlowWrite      = 500 * time.Millisecond
	SlowWritePause = 5 * time.Second
	// MaxAnswerAge is the time without an answer of the store from which the store counts as away.
	MaxAnswerAge = 1500 * time.Millisecond
	// MaxConfirmationAge is the age of the last confirmed ownership from which the store counts as
	// slow. Owners confirm their ownership about once a second.
	MaxConfirmationAge = 2500 * time.Millisecond
	// MaxReleaseBytes bounds a row that is written during a release. The row shares the machine's
	// link with the lease write, which ends the release.
	MaxReleaseBytes = 8_000
)

// WriteState is what a decision to write goes by.
type WriteState struct {
	// Read is true once the present row was read, or is known to be absent.
	Read bool
	// NewerOwner is true if the present row was written by a newer owner, or may have been.
	NewerOwner bool
	// InFlight is true while a write is in flight.
	InFlight bool
	// Changed is true if decisions by the present knowledge differ materially from those by the row
	// that this owner wrote last.
	Changed bool
	// Written is true if this owner has written the present row.
	Written bool
	// SinceTakeover is the time since this owner took over, SinceAnswer the time since the store's
	// last answer, and SinceConfirmation the time since the ownership was last known to hold.
	SinceTakeover, SinceAnswer, SinceConfirmation time.Duration
	// Attempted is true once this owner has tried to write the row. SinceAttempt is the time since
	// the last attempt began, and LastWriteTook how long it took.
	Attempted                   bool
	SinceAttempt, LastWriteTook time.Duration
	// Releasing is true if the owner is about to release the pool.
	Releasing bool
	// Bytes is the size of the row, or 0 before it is known.
	Bytes int
}

// WriteDecision says whether the row is written now, or why not.
type WriteDecision string

// The decisions.
const (
	Write            WriteDecision = "write"
	LeaveToNewer     WriteDecision = "newer owner"
	WaitForRead      WriteDecision = "row not read yet"
	WaitForAnswer    WriteDecision = "write in flight"
	WaitForStore     WriteDecision = "store away"
	WaitForFastStore WriteDecision = "store slow"
	WaitForInterval  WriteDecision = "too soon"
	WaitAfterStart   WriteDecision = "just taken over"
	NothingNew       WriteDecision = "nothing new"
	// TooLargeForRelease is for rows that would delay a release.
	TooLargeForRelease WriteDecision = "too large for a release"
)

// WriteDue decides whether an owner writes its row now.
func WriteDue(s *WriteState) WriteDecision {
	switch {
	case s.NewerOwner:
		return LeaveToNewer
	case !s.Read:
		return WaitForRead
	case s.InFlight:
		return WaitForAnswer
	case s.SinceAnswer > MaxAnswerAge:
		return WaitForStore
	case s.SinceConfirmation > MaxConfirmationAge, s.recentlySlow():
		return WaitForFastStore
	case s.Attempted && s.SinceAttempt < MinWriteInterval && !s.Releasing:
		return WaitForInterval
	case !s.Written && s.SinceTakeover < FirstWriteDelay && !s.Releasing:
		return WaitAfterStart
	case !s.Changed && (s.Written || s.Releasing):
		return NothingNew
	case s.Releasing && s.Bytes > MaxReleaseBytes:
		return TooLargeForRelease
	}
	return Write
}

// recentlySlow reports whether the last write was slow and too recent.
func (s *WriteState) recentlySlow() bool {
	return s.Attempted && s.LastWriteTook > SlowWrite && s.SinceAttempt < s.LastWriteTook+SlowWritePause
}
