package pool

import "time"

// acknowledgementAge is how old the last account of a life may be when ends are acknowledged by
// its numbers. Within it a worker can hardly crash, start again, be told to start a task and end
// it: of 17 workers that came back on a recorded day the first was up 0.5 s after its crash. A hold
// is open, or made every 0.3 s, while ends are to be acknowledged.
const acknowledgementAge = 500 * time.Millisecond

// endNumbers tells how far the ends that a worker lists are taken in, written and acknowledged.
// A worker numbers its ends from 1 in each life, and drops what is acknowledged, so that a number
// of one life must not reach the next: it is sent until one account has answered it, and only
// soon after another account of the same life.
type endNumbers struct {
	// writing is the highest number of ends whose rows are being written; 0 if there are none.
	writing int64
	// due is the number to be acknowledged; 0 if there is none.
	due int64
	// acknowledged is the highest number that an answered hold has acknowledged.
	acknowledged int64
	// accountAt is when the last account of this life was taken in.
	accountAt time.Time
}

// pending reports whether ends are still to be written or acknowledged.
func (e *endNumbers) pending() bool { return e.writing > 0 || e.due > 0 }

// known reports whether nothing more is to be done about ends up to a number.
func (e *endNumbers) known(number int64) bool {
	return number <= e.writing || number <= e.due || number <= e.acknowledged
}

// written notes that all ends up to a number are written.
func (e *endNumbers) written(number int64) {
	if number >= e.writing {
		e.writing = 0
	}
	e.due = max(e.due, number)
}

// toSend is the number that a hold may carry at a time; 0 acknowledges nothing.
func (e *endNumbers) toSend(now time.Time, without Without) int64 {
	if now.Sub(e.accountAt) > acknowledgementAge && !without.FreshAccount {
		return 0
	}
	return e.due
}

// answered notes that a hold that carried a number was answered.
func (e *endNumbers) answered(number int64) {
	e.acknowledged = max(e.acknowledged, number)
	if e.due <= number {
		e.due = 0
	}
}
