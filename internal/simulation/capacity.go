package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// heartbeatPeriod is the interval at which workers write their rows.
const heartbeatPeriod = 1500 * time.Millisecond

// capacityGrace is how long after a capacity reduction a worker may still start runs within its
// previous capacity. It covers one heartbeat and the time until a connected owner has read the row.
const capacityGrace = 3*time.Second + heartbeatPeriod

// capacityChange is a capacity and the time from which it applies.
type capacityChange struct {
	at       time.Time
	capacity taskgraph.Resources
}

func (w *Worker) recordCapacity() {
	w.capacities = append(w.capacities, capacityChange{at: w.clock.Now(), capacity: w.Capacity})
}

// SetCapacity changes the capacity of a running worker and updates its row after rowAfter.
func (w *Worker) SetCapacity(capacity taskgraph.Resources, rowAfter time.Duration) {
	w.Capacity = capacity
	w.recordCapacity()
	w.clock.After(rowAfter, func() {
		if !w.Crashed {
			w.cluster.PutWorkerRow(w)
		}
	})
}

// allowedUsage returns, for each resource, the highest capacity of the worker during the last
// capacityGrace.
func (w *Worker) allowedUsage() taskgraph.Resources {
	highest := w.Capacity
	for i, change := range w.capacities {
		ended := i+1 < len(w.capacities) && w.clock.Now().Sub(w.capacities[i+1].at) > capacityGrace
		if !ended {
			highest = highest.Max(change.capacity)
		}
	}
	return highest
}

// usage returns the resources of all runs on the worker, including runs that are stopping.
func (w *Worker) usage() taskgraph.Resources { return w.Capacity.Minus(w.free()) }
