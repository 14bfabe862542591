package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// workerReport is a worker's report of its running and ended runs.
type workerReport struct {
	fleet.Reply
	// requestedAt is when the owner requested the report. The worker wrote the report later, at
	// ClockMillis of its own clock.
	requestedAt time.Time
	// address is where the report was requested, and token the fencing token of the request.
	address string
	token   int64
}

// newReport returns the report that answers a call.
func newReport(reply fleet.Reply, call workerCall) workerReport {
	return workerReport{Reply: reply, requestedAt: call.sentAt, address: call.address, token: call.token}
}

// call returns the call that the report answers.
func (r *workerReport) call() workerCall {
	return workerCall{address: r.address, sentAt: r.requestedAt, token: r.token}
}
