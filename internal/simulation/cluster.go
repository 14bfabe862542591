package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// PoolName is the name of the simulated pool.
const PoolName = "workers"

// Cluster is a simulated cluster, a store and workers, in virtual time.
type Cluster struct {
	Clock   *emulator.Clock
	Store   *Store
	Checker *Checker
	Bounds  pool.Bounds
	Catalog *catalog.Catalog
	// DisabledSafeguards is passed to every owner.
	DisabledSafeguards pool.DisabledSafeguards
	// Work returns the duration of a task.
	Work    func(taskgraph.TaskName) time.Duration
	Workers []*Worker
	// SkipCapacityCheck workers accept starts beyond their capacity.
	SkipCapacityCheck bool
	// SuspendedClock stops the clock of an owner while it is suspended.
	SuspendedClock bool
	// Crashing contains the tasks that crash each worker that starts them.
	Crashing map[taskgraph.TaskName]Crash
	// RestartWithSameID restarts workers that were crashed by a task under the same identifier.
	RestartWithSameID bool
	// OrderDelay is the delay of an order whose outcome is AppliedLate.
	OrderDelay time.Duration
	// LateOrdersReachRestartedWorkers delivers delayed orders to the current instance of a
	// restarted worker.
	LateOrdersReachRestartedWorkers bool
	// StopTime is the duration of a stop.
	StopTime time.Duration
	// DisabledMechanisms is passed to every owner.
	DisabledMechanisms mechanism.Disabled
	// WorkerTable is the table of the workers' rows, which EncodeWorker encodes.
	WorkerTable  string
	EncodeWorker func(*fleet.Worker) []byte
	epoch        time.Time
	jobs         map[string]*taskgraph.Spec
	// gangs contains the present members of each gang run.
	gangs  map[gangRun][]*run
	owners int
	// ownerOf contains the owners by fencing token.
	ownerOf map[int64]*Owner
	// OperatorTable is the table of the operators' rows; evacuatedAt contains the time of each
	// zone's evacuation.
	OperatorTable string
	evacuatedAt   map[string]time.Time
	// restarts counts the workers that were replaced by a new instance.
	restarts int
}

// orderLatency is the round-trip time of an order.
const orderLatency = 2 * time.Millisecond

// orderTimeout is how long the owner waits for the reply to an order.
const orderTimeout = 700 * time.Millisecond

// NewCluster returns a cluster with racks of equal workers.
func NewCluster(racks, perRack int) *Cluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := emulator.NewClock(start)
	w := &Cluster{
		Clock: clock, Store: NewStore(clock), epoch: start, jobs: map[string]*taskgraph.Spec{}, gangs: map[gangRun][]*run{}, ownerOf: map[int64]*Owner{},
		OperatorTable: "operator", evacuatedAt: map[string]time.Time{},
		Crashing: map[taskgraph.TaskName]Crash{},
		Bounds: pool.Bounds{
			MaxLease: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
			GuaranteedStartTimeout: 3 * time.Second, CheckpointInterval: time.Second, StatusRetention: 120 * time.Second, CrossRackSlowdown: 3,
			EvacuationTimeout: EvacuationBound,
		},
		Catalog:     &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: PoolName, EnforcesCapacity: true}}},
		OrderDelay:  lateWriteDelay,
		StopTime:    StopTime,
		WorkerTable: "workers", EncodeWorker: encodeWorker,
		Work: func(taskgraph.TaskName) time.Duration { return time.Second },
	}
	w.Checker = newChecker(w)
	for rack := range racks {
		for i := range perRack {
			w.AddWorker(fmt.Sprintf("w-%d-%d", rack, i), fmt.Sprintf("r-%d", rack))
		}
	}
	return w
}

// WorkerCapacity is the default capacity of a worker.
var WorkerCapacity = taskgraph.Resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}

// AddWorker adds a worker and writes its row.
func (w *Cluster) AddWorker(id, rack string) *Worker {
	added := &Worker{
		Worker: fleet.Worker{
			Incarnation: fleet.Incarnation{ID: id, StartMillis: w.Clock.Now().UnixMilli()},
			Pool:        PoolName, Address: id, Zone: zoneOf(rack), Labels: []string{"a", rack}, Capacity: WorkerCapacity,
		},
		cluster: w, clock: w.Clock, clockEpoch: w.epoch,
		runs: map[taskgraph.TaskName]*run{}, supersededRuns: map[taskgraph.TaskName]int{}, endedAt: map[int64]int{},
	}
	added.recordCapacity()
	w.Workers = append(w.Workers, added)
	w.PutWorkerRow(added)
	return added
}

// PutWorkerRow writes a worker's row with its current state.
func (w *Cluster) PutWorkerRow(worker *Worker) {
	key := rows.Key{Table: w.WorkerTable, Name: worker.ID}
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: w.EncodeWorker(&worker.Worker)}}})
}

func encodeWorker(worker *fleet.Worker) []byte {
	value, err := json.Marshal(worker)
	if err != nil {
		panic(err)
	}
	return value
}

// RemoveWorkerRow removes a worker's row.
func (w *Cluster) RemoveWorkerRow(worker *Worker) {
	w.Store.Apply(rows.Transaction{Removes: []rows.Key{{Table: w.WorkerTable, Name: worker.ID}}})
}

// Order executes an order on a worker and passes the reply to done, which is not called for
// unanswered orders.
func (w *Cluster) Order(id string, order any, done func(fleet.Reply, error)) {
	worker := w.worker(id)
	switch {
	case worker == nil || worker.Partitioned:
		return
	case worker.Replaced:
		done(fleet.Reply{}, fleet.ErrOtherInstance)
		return
	case worker.Unreachable:
		done(fleet.Reply{}, fleet.ErrUnreachable)
		return
	case worker.Crashed:
		return
	}
	switch order := order.(type) {
	case fleet.Start:
		w.carryOut(worker, func() (fleet.Reply, error) { return worker.start(order) }, done)
	case fleet.Stop:
		w.carryOut(worker, func() (fleet.Reply, error) { return worker.stop(order) }, done)
	case fleet.Poll:
		worker.poll(order, done)
	}
}

// carryOut executes an order according to its outcome.
func (w *Cluster) carryOut(worker *Worker, work func() (fleet.Reply, error), done func(fleet.Reply, error)) {
	fate := Acknowledged
	if worker.OrderOutcome != nil {
		fate = worker.OrderOutcome()
	}
	switch fate {
	case Acknowledged:
		done(work())
	case AppliedUnacknowledged:
		_, _ = work()
	case AppliedLate:
		w.Clock.After(w.OrderDelay, func() {
			if !worker.Crashed {
				_, _ = work()
			}
		})
	}
}

// worker returns the latest instance of a worker, or nil.
func (w *Cluster) worker(id string) *Worker {
	for _, candidate := range slices.Backward(w.Workers) {
		if candidate.ID == id {
			return candidate
		}
	}
	return nil
}

// Submit writes an accepted job to the store.
func (w *Cluster) Submit(spec taskgraph.Spec, queue catalog.Queue) {
	queue.Pool = PoolName
	w.RegisterJob(spec, queue)
	accepted := pool.Accepted{Spec: spec, Tenant: "tenant", Queue: queue, AcceptedMillis: w.Clock.Now().UnixMilli()}
	key := pool.AcceptedKey(pool.JobPartitions(PoolName, spec.ID)[0], spec.ID)
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: pool.Encode(accepted)}}})
}

// RegisterJob registers a job with the workers and the checker before it is accepted.
func (w *Cluster) RegisterJob(spec taskgraph.Spec, queue catalog.Queue) {
	if err := spec.Validate(); err != nil {
		panic(err)
	}
	w.jobs[spec.ID] = &spec
	w.Checker.accepted(&spec, queue)
}

// Cancel writes the cancellation of a job to the store.
func (w *Cluster) Cancel(id string) {
	key := pool.CancelledKey(pool.JobPartitions(PoolName, id)[0], id)
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: []byte("{}")}}})
	w.Checker.cancelled(id)
}

// StoredState returns the state of a job in the store.
func (w *Cluster) StoredState(id string) taskgraph.State {
	var newest pool.Progress
	for _, part := range pool.ProgressPartitions(PoolName) {
		for _, row := range w.Store.List(pool.ProgressTable, part, id).Rows {
			var record pool.Progress
			if err := json.Unmarshal(row.Value, &record); err != nil {
				panic(err)
			}
			if newest.State == "" || record.NewerThan(&newest) {
				newest = record
			}
		}
	}
	return newest.State
}

// Estimate returns the estimated duration of a task.
func (w *Cluster) Estimate(name taskgraph.TaskName) time.Duration { return w.step(name).Estimate() }

func (w *Cluster) step(name taskgraph.TaskName) *taskgraph.Step {
	return &w.jobs[name.Job].Steps[name.Step]
}

// Run advances virtual time by d.
func (w *Cluster) Run(d time.Duration) { w.Clock.Run(w.Clock.Now().Add(d)) }
