package writequeue

import "time"

// SlowAnswer is the answer time of a write above which the store counts as slow. Urgent jobs have a
// few hundred milliseconds to start. With slower answers, most of that time would pass if a
// placement first waited for another batch.
const SlowAnswer = 100 * time.Millisecond

const (
	// fastAfter is how long all answers must have been fast before the store counts as fast again.
	fastAfter = time.Second
	// copyTimeoutAnswers is the number of typical answer times to wait before a batch is also sent to
	// another partition. A copy doubles the load, so ordinary variation must not lead to one.
	copyTimeoutAnswers = 2
	// maxCopyTimeout bounds the wait, as a partition may also fail while the store is slow.
	maxCopyTimeout = 1200 * time.Millisecond
	// averagedAnswers is the number of answers over which the typical answer time is averaged.
	averagedAnswers = 4
)

// Latency tells a slow store from a fast one by the answer times of the owner's writes. The zero
// value is a fast store.
type Latency struct {
	// typical is the moving average of the slow answers since the store became slow.
	typical time.Duration
	// overdue is the number of writes without an answer for longer than SlowAnswer.
	overdue int
	// lastSlowAt is when the last slow answer arrived, or an overdue write ended without one.
	lastSlowAt time.Time
}

// Overdue records that a write has had no answer for longer than SlowAnswer.
func (l *Latency) Overdue(now time.Time) {
	if !l.Slow(now) {
		l.typical = 0
	}
	l.overdue++
}

// OverdueEnded records that an overdue write got its answer or failed.
func (l *Latency) OverdueEnded(now time.Time) {
	l.overdue--
	l.lastSlowAt = now
}

// Answered records the answer time of a write, without the time that sending took.
func (l *Latency) Answered(now time.Time, took time.Duration) {
	if took <= SlowAnswer {
		return
	}
	if l.typical == 0 {
		l.typical = took
	}
	l.typical += (took - l.typical) / averagedAnswers
	l.lastSlowAt = now
}

// Slow reports whether the store is slow.
func (l *Latency) Slow(now time.Time) bool {
	return l.overdue > 0 || !l.lastSlowAt.IsZero() && now.Sub(l.lastSlowAt) < fastAfter
}

// FastAt returns when the store counts as fast again if no other slow answer arrives; false if the
// store is fast, or if a write is overdue.
func (l *Latency) FastAt(now time.Time) (time.Time, bool) {
	return l.lastSlowAt.Add(fastAfter), l.overdue == 0 && l.Slow(now)
}

// Typical returns the typical answer time of a slow store; 0 if it is unknown.
func (l *Latency) Typical() time.Duration { return l.typical }

// CopyTimeout returns how long to wait for an answer before a batch is also sent to another
// partition. The result is the given timeout if the store is fast.
func (l *Latency) CopyTimeout(now time.Time, fast time.Duration) time.Duration {
	if !l.Slow(now) {
		return fast
	}
	return max(fast, min(copyTimeoutAnswers*l.typical, maxCopyTimeout))
}
