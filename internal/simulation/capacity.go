package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// heartbeat is the period in which workers write their rows.
const heartbeat = 1500 * time.Millisecond

// capacityGrace is how long after a worker's capacity has shrunk starts may still go by the
// former one: what machines in touch need to hear of it, and a heartbeat.
const capacityGrace = 3*time.Second + heartbeat

// capacitySince is a capacity that holds from a time on.
type capacitySince struct {
	at       time.Time
	capacity taskgraph.Amount
}

func (w *Worker) noteCapacity() {
	w.capacities = append(w.capacities, capacitySince{at: w.clock.Now(), capacity: w.Capacity})
}

// SetCapacity changes the worker's capacity while it runs; its row shows it a while later.
func (w *Worker) SetCapacity(capacity taskgraph.Amount, rowAfter time.Duration) {
	w.Capacity = capacity
	w.noteCapacity()
	w.clock.After(rowAfter, func() {
		if !w.Dead {
			w.world.PutWorkerRow(w)
		}
	})
}

// allowance is what may run on the worker after a start: in each kind of capacity the most
// that it had within the grace.
func (w *Worker) allowance() taskgraph.Amount {
	most := w.Capacity
	for i, since := range w.capacities {
		ended := i+1 < len(w.capacities) && w.clock.Now().Sub(w.capacities[i+1].at) > capacityGrace
		if !ended {
			most = most.Most(since.capacity)
		}
	}
	return most
}

// taken is what all runs take, those that are being stopped among them.
func (w *Worker) taken() taskgraph.Amount { return w.Capacity.Minus(w.free()) }
