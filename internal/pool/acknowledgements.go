package pool

import (
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
	// due is the number to be acknowledged next; 0 if there is none.
	due int64
	// acknowledged is the highest number that an answered poll has acknowledged.
	acknowledged int64
	// reportAt is when the last report of this incarnation was received.
	reportAt time.Time
	// heldUntil is until when nothing may be acknowledged.
	heldUntil time.Time
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
	if e.held(now) || now.Sub(e.reportAt) > maxReportAge && !disabled.FreshReport {
		return 0
	}
	return e.due
}

// held reports whether nothing may be acknowledged at the given time.
func (e *endAcknowledgements) held(now time.Time) bool { return now.Before(e.heldUntil) }

// acknowledge records the reply to a poll that acknowledged a number.
func (e *endAcknowledgements) acknowledge(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	if e.due <= number {
		e.due = 0
	}
}
