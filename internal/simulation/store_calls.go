package simulation

import "time"

// StoreCallKind says what a call to the store does.
type StoreCallKind int

// Kinds of calls to the store.
const (
	CommitCall StoreCallKind = iota
	ScanCall
	FeedCall
)

// StoreCall describes a call to the store.
type StoreCall struct {
	Kind  StoreCallKind
	Table string
}

// afterAnswerDelay calls answer once the delay of a call's answer has passed, or at once if there is
// none. Answers with different delays overtake each other.
func (s *Store) afterAnswerDelay(call StoreCall, answer func()) {
	delay := time.Duration(0)
	if s.AnswerDelay != nil {
		delay = s.AnswerDelay(call)
	}
	if delay == 0 {
		answer()
		return
	}
	s.clock.After(delay, answer)
}
