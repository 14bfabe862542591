package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// FalseRow is a valid worker row that the worker it names has not written.
type FalseRow struct {
	Row fleet.Worker
	// Lifetime is the time until a running worker of that identifier writes its own row, or until the
	// row expires.
	Lifetime time.Duration
}

const (
	// At most maxFalseRows rows are written at once.
	maxFalseRows = 4
	// maxFalseRowLifetime bounds the lifetime of false rows whose worker does not write its row with
	// its next heartbeat.
	maxFalseRowLifetime = 12 * time.Second
	// maxFieldChanges is the highest number of fields of a false row that differ from a worker's.
	maxFieldChanges = 3
	// maxStartTimeChange bounds the difference between a false start time and the worker's.
	maxStartTimeChange = time.Hour
	// otherPool is the name of a pool that does not exist.
	otherPool = "elsewhere"
)

// WriteFalseRows occasionally writes one or several false rows, or removes the row of a running worker
// for a while. All random numbers come from random.
func (c *Cluster) WriteFalseRows(random *rand.Rand) {
	running := c.RunningWorkers()
	if len(running) == 0 {
		return
	}
	switch random.IntN(8) {
	case 0:
		c.PutFalseRow(c.DrawFalseRow(random))
	case 1:
		for range 1 + random.IntN(maxFalseRows) {
			c.PutFalseRow(c.DrawFalseRow(random))
		}
	case 2:
		c.RemoveRowFor(running[random.IntN(len(running))], drawFalseRowLifetime(random))
	}
}

// RemoveRowFor removes a running worker's row for a while.
func (c *Cluster) RemoveRowFor(worker *Worker, duration time.Duration) {
	c.RemoveWorkerRow(worker)
	c.restoreRowAfter(worker.ID, duration)
}

// PutFalseRow writes a false row.
func (c *Cluster) PutFalseRow(row FalseRow) {
	c.Checker.LogEvent("false row", "worker", row.Row.ID, "row", fmt.Sprintf("%+v", row.Row), "for", row.Lifetime)
	c.namedAddresses = append(c.namedAddresses, row.Row.Address)
	c.PutInvalidRow(row.Row.ID, c.EncodeWorker(&row.Row))
	c.restoreRowAfter(row.Row.ID, row.Lifetime)
}

// restoreRowAfter makes the running worker of an identifier write its row after a delay. If there is
// none, the row expires.
func (c *Cluster) restoreRowAfter(id string, delay time.Duration) {
	c.Clock.After(delay, func() {
		worker := c.runningWorker(id)
		if worker == nil {
			c.removeRowOf(id)
			return
		}
		c.PutWorkerRow(worker)
	})
}

// runningWorker returns the running instance of a worker, or nil.
func (c *Cluster) runningWorker(id string) *Worker {
	if worker := c.worker(id); worker != nil && !worker.Crashed {
		return worker
	}
	return nil
}

// DrawFalseRow draws a false row from the row of a running worker. Some fields differ from it: mostly
// the address or the start time, and the identifier in some rows. Nothing in the row makes an owner
// break a limit that it could keep only with true rows: it names the zone of the worker of its
// identifier, and no more than the capacity of that worker if workers do not enforce it.
func (c *Cluster) DrawFalseRow(random *rand.Rand) FalseRow {
	running := c.RunningWorkers()
	row := running[random.IntN(len(running))].Worker
	row.Labels = slices.Clone(row.Labels)
	row.ID = c.drawIdentifier(row.ID, random)
	for range 1 + random.IntN(maxFieldChanges) {
		c.changeField(&row, random)
	}
	if named := c.runningWorker(row.ID); named != nil {
		row.Zone = named.Zone
		if c.SkipCapacityCheck {
			row.Capacity = lower(row.Capacity, named.Capacity)
		}
	}
	return FalseRow{Row: row, Lifetime: drawFalseRowLifetime(random)}
}

// drawIdentifier returns the identifier of a false row: mostly that of the worker whose row it resembles,
// or that of any worker, running or not, or one that no worker has.
func (c *Cluster) drawIdentifier(own string, random *rand.Rand) string {
	switch random.IntN(8) {
	case 0:
		return UnknownWorkerID
	case 1:
		return c.Workers[random.IntN(len(c.Workers))].ID
	}
	return own
}

// changeField changes one field of a row at random.
func (c *Cluster) changeField(row *fleet.Worker, random *rand.Rand) {
	switch random.IntN(12) {
	case 0, 1, 2, 3:
		row.Address = c.drawAddress(random)
	case 4, 5, 6:
		row.StartMillis = c.drawStartTime(row.StartMillis, random)
	case 7:
		row.Capacity = drawCapacity(random)
	case 8:
		row.Labels = append(slices.Clone(row.Labels[:len(row.Labels)-1]), c.Workers[random.IntN(len(c.Workers))].Rack())
	case 9:
		row.Draining, row.RemainingMillis = !row.Draining, random.Int64N(4000)
	case 10:
		row.Pool = otherPool
	case 11:
		row.ColdMillis = random.Int64N(20000)
	}
}

// drawAddress returns the address of any worker, running or not, or one at which nobody listens.
func (c *Cluster) drawAddress(random *rand.Rand) string {
	if random.IntN(8) == 0 {
		return c.newAddress()
	}
	return c.Workers[random.IntN(len(c.Workers))].Address
}

// drawStartTime returns a start time other than the given one: none, that of any worker, or a later or
// earlier one.
func (c *Cluster) drawStartTime(own int64, random *rand.Rand) int64 {
	difference := 1 + random.Int64N(maxStartTimeChange.Milliseconds())
	if random.IntN(2) == 0 {
		difference = 1 + random.Int64N(heartbeatPeriod.Milliseconds())
	}
	switch random.IntN(6) {
	case 0:
		return 0
	case 1:
		return c.Workers[random.IntN(len(c.Workers))].StartMillis
	case 2, 3:
		return own + difference
	}
	return own - difference
}

func drawCapacity(random *rand.Rand) taskgraph.Resources {
	capacity := WorkerCapacity
	capacity.GPUs = random.IntN(2*WorkerCapacity.GPUs + 1)
	if random.IntN(3) == 0 {
		capacity.CPU, capacity.MemoryMB = random.IntN(2*WorkerCapacity.CPU), random.IntN(2*WorkerCapacity.MemoryMB)
	}
	return capacity
}

// lower returns the lower one of each resource.
func lower(a, b taskgraph.Resources) taskgraph.Resources {
	return taskgraph.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPUs: min(a.GPUs, b.GPUs)}
}

// drawFalseRowLifetime returns a time within a heartbeat or, for one row in three, up to
// maxFalseRowLifetime.
func drawFalseRowLifetime(random *rand.Rand) time.Duration {
	if random.IntN(3) == 0 {
		return randomBelow(random, maxFalseRowLifetime)
	}
	return randomBelow(random, heartbeatPeriod)
}
