// Package fleet defines the interface to workers: their registration rows and the orders sent to
// them. Orders carry the owner's fencing token; a worker rejects orders whose token is lower than
// the highest it has seen.
package fleet

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is one incarnation of a worker as described by its row.
type Worker struct {
	Incarnation
	Pool     string
	Address  string
	Zone     string
	Capacity taskgraph.Resources
	Labels   []string
	Draining bool
	// RemainingMillis is the minimum time left until a draining worker stops.
	RemainingMillis int64
	// ColdMillis is the remaining warm-up time, during which the worker is slow.
	ColdMillis int64
}

// rackLabelIndex is the position of the rack in Worker.Labels.
const rackLabelIndex = 1

// Rack returns the worker's rack, or "" if unknown.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabelIndex {
		return ""
	}
	return w.Labels[rackLabelIndex]
}

// HasLabel reports whether the worker has a label. It is true for the empty label.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, candidate := range w.Labels {
		if candidate == label {
			return true
		}
	}
	return false
}

// Start orders a worker to start a run of a task.
type Start struct {
	Task           taskgraph.TaskName
	Run            int
	Payload        string
	DeadlineMillis int64
	Token          int64
	Checkpoint     string
}

// Stop orders a worker to stop a run, and to reject its start if that arrives later.
type Stop struct {
	Task  taskgraph.TaskName
	Run   int
	Token int64
}

// Poll extends the lease of all runs on a worker and requests a list of them.
type Poll struct {
	Token int64
	// AcknowledgedEnd acknowledges ended runs up to that number.
	AcknowledgedEnd int64
	// DeadlineMillis is the new expiry on the worker's clock; 0 extends nothing.
	DeadlineMillis int64
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress as listed by a worker.
type ActiveRun struct {
	Task       taskgraph.TaskName
	Run        int
	Checkpoint string
	Percent    int
	// Load is the optional fifth column of the entry.
	Load int
}

// EndReason is the way in which a run ended.
type EndReason string

// Values of EndReason.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"
	EndGangBroken     EndReason = "broken"
	EndGangIncomplete EndReason = "alone"
)

// EndedRun is an ended run. A worker lists it until it is acknowledged.
type EndedRun struct {
	Number     int64
	Task       taskgraph.TaskName
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Reply is a worker's response to an order.
type Reply struct {
	// StartMillis is the start time of the incarnation that replied, 0 if unknown. Replies that
	// list runs contain it.
	StartMillis int64
	ClockMillis int64
	Running     []ActiveRun
	Ended       []EndedRun
	// MoreEnded is true if the worker may have more ended runs than it listed. A run that is not
	// listed may then have ended.
	MoreEnded bool
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	Start(ctx context.Context, to *Worker, order Start) (Reply, error)
	Stop(ctx context.Context, to *Worker, order Stop) (Reply, error)
	Poll(ctx context.Context, to *Worker, order Poll) (Reply, error)
}
