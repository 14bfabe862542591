package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// heartbeatPeriod is the interval at which workers write their rows.
const heartbeatPeriod = 1500 * time.Millisecond

// capacityGrace is how long after a capacity reduction starts may still use the previous capacity:
// the time for a connected owner to learn of it, plus one heartbeat.
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

// allowedUsage returns, for each resource, the highest capacity that the worker had within
// capacityGrace.
func (w *Worker) allowedUsage() taskgraph.Resources {
	most := w.Capacity
	for i, since := range w.capacities {
		ended := i+1 < len(w.capacities) && w.clock.Now().Sub(w.capacities[i+1].at) > capacityGrace
		if !ended {
			most = most.Max(since.capacity)
		}
	}
	return most
}

// usage returns the resources of all runs, including those that are stopping.
func (w *Worker) usage() taskgraph.Resources { return w.Capacity.Minus(w.free()) }
