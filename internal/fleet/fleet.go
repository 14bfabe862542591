// Package fleet defines the interface to workers. Workers register in rows, and the owner of a pool
// sends orders to the pool's workers. Each order carries the owner's fencing token. A worker
// rejects an order whose token is lower than the highest token that the worker has seen.
package fleet

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker describes one incarnation of a worker, as decoded from the worker's row.
type Worker struct {
	Incarnation
	Pool    string
	Address string
	Zone    string
	// Version is the version of the worker's software; empty if unknown.
	Version  string
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

// Rack returns the worker's rack, or "" if the rack is unknown.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabelIndex {
		return ""
	}
	return w.Labels[rackLabelIndex]
}

// HasLabel reports whether the worker has a label. Every worker has the empty label.
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

// Stop orders a worker to stop a run. If the order to start the run arrives later, the worker
// rejects the start.
type Stop struct {
	Task  taskgraph.TaskName
	Run   int
	Token int64
}

// Poll extends the leases of all runs on a worker and requests a list of the runs.
type Poll struct {
	Token int64
	// AcknowledgedEnd is the highest number of an ended run that the owner acknowledges. Ended runs
	// with lower numbers are acknowledged too.
	AcknowledgedEnd int64
	// DeadlineMillis is the new expiry of the leases on the worker's clock. 0 leaves the leases
	// unchanged.
	DeadlineMillis int64
	// Wait is the longest time for which the worker may delay the reply while no run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress that a worker lists in a reply.
type ActiveRun struct {
	Task       taskgraph.TaskName
	Run        int
	Checkpoint string
	Percent    int
	// Load is optional. It is the fifth column of the entry in the reply.
	Load int
}

// EndReason says how a run ended.
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

// EndedRun is an ended run. A worker lists an ended run until the owner acknowledges the run.
type EndedRun struct {
	Number     int64
	Task       taskgraph.TaskName
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Reply is a worker's response to an order.
type Reply struct {
	// StartMillis is the start time of the incarnation that replied. It is 0 if unknown. Replies
	// that list runs contain the start time.
	StartMillis int64
	ClockMillis int64
	Running     []ActiveRun
	Ended       []EndedRun
	// MoreEnded is true if the worker may have more ended runs than Ended lists. A run that is in
	// neither list may then have ended.
	MoreEnded bool
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	Start(ctx context.Context, to *Worker, order Start) (Reply, error)
	Stop(ctx context.Context, to *Worker, order Stop) (Reply, error)
	Poll(ctx context.Context, to *Worker, order Poll) (Reply, error)
}
