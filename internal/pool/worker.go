package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/speeds"
)

// machineState holds what is known of a worker's machine. It is kept when the worker restarts,
// because a machine that fails or slows its runs keeps doing so.
type machineState struct {
	// excludedUntil is until when the worker gets no new work, failingUntil the same because of failed
	// runs, and gangsExcludedUntil until when it gets no gangs.
	excludedUntil      time.Time
	failingUntil       time.Time
	gangsExcludedUntil time.Time
	speed              speeds.Estimate
	// restarts counts the restarts of the worker under its identifier since this owner's first
	// contact.
	restarts int
	// lateStarts are the starts without a response whose runs are over.
	lateStarts []lateStart
	// unansweredAt is when an order last got no response; zero if none did.
	unansweredAt time.Time
}

// worker is one incarnation of a worker, with its state as known to this owner.
type worker struct {
	fleet.Worker
	machineState
	rack string
	// addressConfirmedAt is when the worker last answered this owner at its present address; zero if it
	// never has. fallbackAddress is a second
	// address to try while the worker has answered at none.
	addressConfirmedAt time.Time
	fallbackAddress    string
	// startClaimed is true while only the worker's row has named its start time.
	startClaimed bool
	// unverifiedRow is the content of the worker's row if it names another incarnation or address than
	// the known one and the worker has not confirmed it, or nil. verifying is true while a poll that
	// verifies a row is in flight.
	unverifiedRow *fleet.Worker
	verifying     bool
	// cancelRowQuery cancels the next query about the unverified row; nil if none is scheduled.
	// unansweredRowQueries counts the queries about it that got no answer.
	cancelRowQuery       func()
	unansweredRowQueries int
	// hasRow is false once the worker's row is gone, which the owner learned at unlistedAt.
	hasRow     bool
	unlistedAt time.Time
	// respondedWithoutRow is true once the worker has answered a call that was sent after its row was
	// gone. Such a worker is shutting down as planned and still responds for a while.
	respondedWithoutRow bool
	// staysUntil is the earliest time at which a draining worker shuts down by its own statement; in the
	// past if unknown.
	staysUntil time.Time
	// rowMissing is true while the row is gone but may only have expired during a store outage.
	rowMissing bool
	// contacted is true once the worker has answered a request with this owner's token.
	contacted bool
	// contactedAt is when the worker first answered such a request.
	contactedAt time.Time
	// token is the fencing token of the next orders, and called is true once an order was sent.
	token  int64
	called bool
	// fenceAbove is the highest token of the orders to former incarnations while the worker has answered
	// no poll with a higher one; 0 otherwise.
	fenceAbove int64
	// pollQueued is true while a poll is queued, and queuedPollInFlight while a poll from the queue
	// is in flight.
	pollQueued, queuedPollInFlight bool
	// members are the members that may run on the worker, in order of assignment.
	members []*member
	// unexpected holds the runs that the worker lists and this owner did not expect.
	unexpected map[runID]unexpectedRun
	// clock is the worker's clock in milliseconds at clockAt.
	clock   int64
	clockAt time.Time
	// deadline is the latest lease deadline sent, on the worker's clock.
	deadline int64
	// firstReportMillis is the worker's clock in milliseconds at its first report to this owner. It is 0,
	// and the worker has no lease of a former owner, if there is no report or if the worker is a later
	// incarnation than the one that this owner knew first.
	firstReportMillis int64
	endAcks           endAcknowledgements
	// listedEnds is the number of ended runs in the latest report.
	listedEnds int
	// polledAt is when the worker was last polled in addition to a waiting poll.
	polledAt        time.Time
	pollInFlight    bool
	cancelPollTimer func()
	// reportsInFlight counts the polls without a response, and lastReportMillis is the worker's clock
	// in milliseconds in the last report that was handled.
	reportsInFlight  int
	lastReportMillis int64
	// unansweredCalls counts the calls without a reply since the last reply.
	unansweredCalls   int
	unresponsiveSince time.Time
	// lossyUntil is until when polls wait only briefly at the worker, because its replies may get
	// lost.
	lossyUntil time.Time
	// coldStartUntil is until when the worker is slow after its start.
	coldStartUntil time.Time
}

// drainingOrUnlisted reports whether the worker is draining or no longer listed.
func (w *worker) drainingOrUnlisted() bool { return w.Draining || !w.hasRow }
