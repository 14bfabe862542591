package pool

import "time"

// maxReportAge is the greatest age of an incarnation's last report at which its ended runs
// may be acknowledged by number. It is shorter than a worker needs to crash, restart, and start and
// end a run. While ends are to be acknowledged, polls are frequent enough to stay below it.
const maxReportAge = 500 * time.Millisecond

// endAcknowledgements tracks which ended runs of a worker are being written, are stored, and are
// acknowledged. A worker numbers its ends from 1 in each incarnation and discards acknowledged
// ones, so a number must not reach the next incarnation: it is sent only shortly after a report of
// the same incarnation, and until one poll that carried it is answered.
type endAcknowledgements struct {
	// writing is the highest number among the ends being written; 0 if there are none.
	writing int64
	// due is the number to be acknowledged next; 0 if there is none.
	due int64
	// acknowledged is the highest number that an answered poll has acknowledged.
	acknowledged int64
	// reportAt is when the last report of this incarnation was received.
	reportAt time.Time
}

// pending reports whether ends are still to be written or acknowledged.
func (e *endAcknowledgements) pending() bool { return e.writing > 0 || e.due > 0 }

// handled reports whether the ends up to a number are already being handled.
func (e *endAcknowledgements) handled(number int64) bool {
	return number <= e.writing || number <= e.due || number <= e.acknowledged
}

// markWritten records that all ends up to a number are stored.
func (e *endAcknowledgements) markWritten(number int64) {
	if number >= e.writing {
		e.writing = 0
	}
	e.due = max(e.due, number)
}

// acknowledgeable returns the number that a poll may acknowledge at the given time; 0 acknowledges
// nothing.
func (e *endAcknowledgements) acknowledgeable(now time.Time, disabled DisabledSafeguards) int64 {
	if now.Sub(e.reportAt) > maxReportAge && !disabled.FreshReport {
		return 0
	}
	return e.due
}

// acknowledge records the reply to a poll that acknowledged a number.
func (e *endAcknowledgements) acknowledge(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	if e.due <= number {
		e.due = 0
	}
}
