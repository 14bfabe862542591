package pool

import (
	"math"
	"slices"
	"time"
)

// maxReportAge is the maximum age of the last report of a worker's incarnation for acknowledging
// its ended runs. A worker needs longer than maxReportAge to crash, restart, and start and end a
// run. While acknowledgements are pending, the owner polls often enough to stay below maxReportAge: a
// poll is in flight, or the next one follows after pollRetryDelay.
const maxReportAge = 500 * time.Millisecond

// endAcknowledgements tracks which ended runs of a worker are being written, are stored, and are
// acknowledged. A worker numbers its ended runs from 1 in each incarnation and discards the
// acknowledged ones. An acknowledgement must therefore not reach the next incarnation. The owner
// sends a number only shortly after a report of the same incarnation, and no longer once the worker
// has answered a poll with that number.
type endAcknowledgements struct {
	// writing is the highest number among the ended runs being written; 0 if there are none.
	writing int64
	// unwritten holds the jobs of the ended runs being written; their rows precede an acknowledgement.
	unwritten []*job
	// due is the highest number among the stored ended runs; 0 if all are acknowledged.
	due int64
	// acknowledged is the highest number that an answered poll has acknowledged.
	acknowledged int64
	// reportAt is when the last report of this incarnation was received.
	reportAt time.Time
	// held are the ended runs that may not be acknowledged yet, by number.
	held []heldEnd
}

// heldEnd is an ended run that may not be acknowledged before a time.
type heldEnd struct {
	number int64
	until  time.Time
}

// pending reports whether ended runs are still to be written or acknowledged.
func (e *endAcknowledgements) pending() bool { return e.writing > 0 || e.due > 0 }

// handled reports whether the ended runs up to a number are being written, or are written.
func (e *endAcknowledgements) handled(number int64) bool {
	return number <= e.writing || number <= e.due || number <= e.acknowledged
}

// addUnwritten adds jobs of ended runs that are being written.
func (e *endAcknowledgements) addUnwritten(jobs []*job) {
	for _, j := range jobs {
		if !slices.Contains(e.unwritten, j) {
			e.unwritten = append(e.unwritten, j)
		}
	}
}

// markWritten records that all ended runs up to a number are stored.
func (e *endAcknowledgements) markWritten(number int64) {
	if number >= e.writing {
		e.writing = 0
		e.unwritten = nil
	}
	e.due = max(e.due, number)
}

// acknowledgeable returns the number that a poll may acknowledge at the given time; 0 acknowledges
// nothing.
func (e *endAcknowledgements) acknowledgeable(now time.Time, disabled DisabledSafeguards) int64 {
	if now.Sub(e.reportAt) > maxReportAge && !disabled.FreshReport {
		return 0
	}
	return e.released(now)
}

// released returns the number up to which ended runs are stored and none is held at the given time; 0 if
// there is none that is not acknowledged.
func (e *endAcknowledgements) released(now time.Time) int64 {
	number := e.due
	for _, end := range e.held {
		if now.Before(end.until) {
			number = min(number, end.number-1)
		}
	}
	if number <= e.acknowledged {
		return 0
	}
	return number
}

// untilRelease returns the time until held ended runs may next be acknowledged; noRelease if none is held.
func (e *endAcknowledgements) untilRelease(now time.Time) time.Duration {
	remaining := noRelease
	for _, end := range e.held {
		if now.Before(end.until) {
			remaining = min(remaining, end.until.Sub(now))
		}
	}
	return remaining
}

// noRelease is the time until the release of an ended run that is not held.
const noRelease = time.Duration(math.MaxInt64)

// hold delays the acknowledgement of an ended run, and so of those with higher numbers.
func (e *endAcknowledgements) hold(number int64, until time.Time) {
	e.held = append(e.held, heldEnd{number: number, until: until})
}

// acknowledge records the reply to a poll that acknowledged a number.
func (e *endAcknowledgements) acknowledge(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	if e.due <= number {
		e.due = 0
	}
	e.held = slices.DeleteFunc(e.held, func(end heldEnd) bool { return end.number <= e.acknowledged })
}
