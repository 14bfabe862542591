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
}
