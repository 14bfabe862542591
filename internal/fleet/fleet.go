// Package fleet is the edge to workers: what they record of themselves and the
// orders they take. Orders carry the owner's fencing token; a worker ignores
// orders with a lower one than the highest it has seen.
package fleet

import (
	"context"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Worker is one life of a worker, as it records itself.
type Worker struct {
	Life
	Pool     string
	Address  string
	Zone     string
	Capacity taskgraph.Amount
	Labels   []string
	Draining bool
	// RemainingMillis is the least time left during a drain.
	RemainingMillis int64
	// ColdMillis is how much longer the worker is slow after its start.
	ColdMillis int64
}

// rackLabel is the place of the rack among the labels.
const rackLabel = 1

// Rack returns the worker's rack, or an empty text.
func (w *Worker) Rack() string {
	if len(w.Labels) <= rackLabel {
		return ""
	}
	return w.Labels[rackLabel]
}

// HasLabel reports whether the worker carries a label; the empty one always.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// Start orders a run of a task.
type Start struct {
	Task           taskgraph.TaskName
	Run            int
	Payload        string
	DeadlineMillis int64
	Token          int64
	Checkpoint     string
}

// Stop orders the end of a run, and bars it if it is not there yet.
type Stop struct {
	Task  taskgraph.TaskName
	Run   int
	Token int64
}

// Hold extends the lease of all that runs on a worker and asks what runs there.
type Hold struct {
	Token int64
	// LastSeen acknowledges ends up to that number.
	LastSeen int64
	// DeadlineMillis on the worker's clock; 0 extends nothing.
	DeadlineMillis int64
	// Wait lets the answer wait for an end.
	Wait time.Duration
}

// Running is a run that a worker lists.
type Running struct {
	Task       taskgraph.TaskName
	Run        int
	Checkpoint string
	Percent    int
	// Load is the fifth entry of a row, if any.
	Load int
}

// How says how a run ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	Broken  How = "broken"
	Alone   How = "alone"
)

// Ended is an end that a worker lists until it is acknowledged.
type Ended struct {
	Number     int64
	Task       taskgraph.TaskName
	Run        int
	How        How
	Checkpoint string
}

// Reply is an answer to an order.
type Reply struct {
	// Born is when the life that answers began; 0 if the answer does not tell. Lists of runs do.
	Born        int64
	ClockMillis int64
	Running     []Running
	Ended       []Ended
	// MoreEnded is true if the worker may have further ends to tell: a run that is listed
	// nowhere may then have ended.
	MoreEnded bool
}

// Orders sends orders to workers.
type Orders interface {
	Start(ctx context.Context, to *Worker, order Start) (Reply, error)
	Stop(ctx context.Context, to *Worker, order Stop) (Reply, error)
	Hold(ctx context.Context, to *Worker, order Hold) (Reply, error)
}
