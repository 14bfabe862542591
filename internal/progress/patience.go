package progress

import (
	"context"
	"time"
)

// Patience bounds a call. An answer that keeps arriving is worth waiting for: given up, it
// would have to be sent again from its start, over a link that was too slow for it.
type Patience struct {
	// First is how long the beginning of the answer may take.
	First time.Duration
	// Pause is how long the answer may then stand still.
	Pause time.Duration
	// Whole is how long all of it may take.
	Whole time.Duration
}

type answerByKey struct{}

// WithPatience returns a context for a call, which ends when patience does, and what
// releases it.
func WithPatience(parent context.Context, patience Patience) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	began := time.Now()
	firstEnd := began.Add(patience.First)
	lastEnd := began.Add(patience.Whole)
	timer := time.AfterFunc(patience.First, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, answerByKey{}, firstEnd)
	ctx = With(ctx, func(int) {
		end := time.Now().Add(patience.Pause)
		if end.Before(firstEnd) {
			end = firstEnd
		}
		if end.After(lastEnd) {
			end = lastEnd
		}
		timer.Reset(time.Until(end))
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// AnswerBy returns by when the answer to a call has to begin, if that is bounded.
func AnswerBy(ctx context.Context) (time.Time, bool) {
	by, ok := ctx.Value(answerByKey{}).(time.Time)
	if !ok {
		return ctx.Deadline()
	}
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(by) {
		return deadline, true
	}
	return by, true
}
