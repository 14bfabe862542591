package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/compatibility"
	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// PoolName is the name of the pool of all workers that are added without a pool.
const PoolName = "workers"

// Cluster simulates a store and workers in virtual time.
type Cluster struct {
	Clock   *emulator.Clock
	Store   *Store
	Checker *Checker
	Bounds  pool.Bounds
	Catalog *catalog.Catalog
	// DisabledSafeguards is passed to every owner.
	DisabledSafeguards pool.DisabledSafeguards
	// Work returns how long a task runs on a worker of normal speed.
	Work    func(taskgraph.TaskName) time.Duration
	Workers []*Worker
	// SkipCapacityCheck makes workers accept starts beyond their capacity.
	SkipCapacityCheck bool
	// SuspendedClock stops an owner's clock while the owner's process is suspended.
	SuspendedClock bool
	// Crashing contains the tasks that crash each worker that starts them.
	Crashing map[taskgraph.TaskName]Crash
	// RestartWithSameID makes a worker keep its identifier when it restarts after a task crashed it.
	RestartWithSameID bool
	// MessageDelay returns by how much a message between an owner and a worker is delayed; nil means
	// that every message takes the same time.
	MessageDelay func(Message) time.Duration
	// TimeoutDelay returns by how much later than usual a call to a worker times out, as in a process
	// that is descheduled; nil means no delay.
	TimeoutDelay func() time.Duration
	// BreakCall returns whether the connection of a call breaks, and when. The request may still be
	// delivered. nil means that no connection breaks.
	BreakCall func() (after time.Duration, breaks bool)
	// OwnerStarted is called for each new owner; nil means no call.
	OwnerStarted func(*Owner)
	// ReportCheckpoints makes workers list the latest checkpoints of their runs.
	ReportCheckpoints bool
	// OrderDelay returns the delay of an order whose outcome is AppliedLate.
	OrderDelay func() time.Duration
	// LateOrdersReachRestartedWorkers delivers delayed orders to the latest instance of a worker
	// instead of the instance that they were sent to.
	LateOrdersReachRestartedWorkers bool
	// StopTime is how long a run takes to stop.
	StopTime time.Duration
	// CommonFormat returns the newest format of rows that all nodes read.
	CommonFormat func() compatibility.Format
	// MaxRowBytes is the limit of a row that every owner knows; 0 means the default.
	MaxRowBytes int
	// Features is passed to every owner.
	Features features.Settings
	// DisabledMechanisms is passed to every owner.
	DisabledMechanisms mechanism.Disabled
	// WorkerTable is the table of the worker rows. EncodeWorker encodes a worker row.
	WorkerTable  string
	EncodeWorker func(*fleet.Worker) []byte
	// executingLate is true while a worker carries out a late order.
	executingLate bool
	epoch         time.Time
	jobs          map[string]*taskgraph.Spec
	// gangs contains the active members of each gang run.
	gangs map[gangRun][]*run
	// owners counts the owners that were started.
	owners int
	// ownerOf contains the owners by fencing token.
	ownerOf map[int64]*Owner
	// OperatorTable is the table of the rows that operators write.
	OperatorTable string
	// evacuatedAt contains the evacuated zones and the times of their evacuations.
	evacuatedAt map[string]time.Time
	// lastCrashAt is when a worker last crashed.
	lastCrashAt time.Time
	// restarts counts the identifiers that were made up for workers.
	restarts int
	// newAddresses counts the addresses that were made up for workers or for their rows.
	newAddresses int
	// namedAddresses are the addresses that false rows have named.
	namedAddresses []string
}

// orderLatency is the round-trip time of an order.
const orderLatency = 2 * time.Millisecond

// MaxOrderDelay is the default of the longest delay of an order whose outcome is AppliedLate.
const MaxOrderDelay = 12 * time.Second

// maxListedEnds is the default number of ended runs that a worker lists in a report.
const maxListedEnds = 500

// orderTimeout is how long the owner waits for the reply to an order.
const orderTimeout = 700 * time.Millisecond

// NewCluster returns a cluster with racks of equal workers.
func NewCluster(racks, perRack int) *Cluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := emulator.NewClock(start)
	c := &Cluster{
		Clock: clock, Store: NewStore(clock), epoch: start, jobs: map[string]*taskgraph.Spec{}, gangs: map[gangRun][]*run{}, ownerOf: map[int64]*Owner{},
		OperatorTable: "operator", evacuatedAt: map[string]time.Time{},
		Crashing: map[taskgraph.TaskName]Crash{},
		Bounds: pool.Bounds{
			MaxLease: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
			GuaranteedStartTimeout: 3 * time.Second, CheckpointInterval: time.Second, StatusRetention: 120 * time.Second, CrossRackSlowdown: 3,
			EvacuationTimeout: EvacuationBound, MaxOrderDelay: MaxOrderDelay, MaxListedEnds: maxListedEnds,
		},
		Catalog:      &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: PoolName, EnforcesCapacity: true}}},
		OrderDelay:   FixedDelay(defaultLateDelay),
		CommonFormat: func() compatibility.Format { return compatibility.Newest },
		StopTime:     StopTime,
		WorkerTable:  "workers", EncodeWorker: encodeWorker,
		Work: func(taskgraph.TaskName) time.Duration { return time.Second },
	}
	c.Store.readOnly = func(table string) bool { return table == c.WorkerTable || table == c.OperatorTable }
	c.Checker = newChecker(c)
	c.Store.OnRejection = c.Checker.rejected
	for rack := range racks {
		for i := range perRack {
			c.AddWorker(fmt.Sprintf("w-%d-%d", rack, i), fmt.Sprintf("r-%d", rack))
		}
	}
	return c
}

// WorkerCapacity is the default capacity of a worker.
var WorkerCapacity = taskgraph.Resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}

// AddWorker adds a worker of the pool PoolName and writes its row.
func (c *Cluster) AddWorker(id, rack string) *Worker { return c.AddWorkerTo(PoolName, id, rack) }

// AddWorkerTo adds a worker of a pool and writes its row.
func (c *Cluster) AddWorkerTo(poolName, id, rack string) *Worker {
	return c.addWorkerAt(id, poolName, id, rack)
}

// addWorkerAt adds a worker that listens at an address and writes its row.
func (c *Cluster) addWorkerAt(address, poolName, id, rack string) *Worker {
	added := &Worker{
		Worker: fleet.Worker{
			Incarnation: fleet.Incarnation{ID: id, StartMillis: c.Clock.Now().UnixMilli()},
			Pool:        poolName, Address: address, Zone: zoneOf(rack), Labels: []string{"a", rack}, Capacity: WorkerCapacity,
		},
		cluster: c, clock: c.Clock, clockEpoch: c.epoch,
		runs: map[runID]*run{}, supersededRuns: map[taskgraph.TaskName]int{}, endedAt: map[int64]endTime{},
	}
	added.recordCapacity()
	c.Workers = append(c.Workers, added)
	c.PutWorkerRow(added)
	return added
}

// PutWorkerRow writes a worker's row with its current state.
func (c *Cluster) PutWorkerRow(worker *Worker) {
	key := rows.Key{Table: c.WorkerTable, Name: worker.ID}
	c.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: c.EncodeWorker(&worker.Worker)}}})
}

func encodeWorker(worker *fleet.Worker) []byte {
	value, err := json.Marshal(worker)
	if err != nil {
		panic(err)
	}
	return value
}

// RemoveWorkerRow removes a worker's row.
func (c *Cluster) RemoveWorkerRow(worker *Worker) { c.removeRowOf(worker.ID) }

// removeRowOf removes the row of a worker identifier.
func (c *Cluster) removeRowOf(id string) {
	c.Store.Apply(rows.Transaction{Removes: []rows.Key{{Table: c.WorkerTable, Name: id}}})
}

// Order executes an order on the worker that listens at an address, and passes the reply to done. The
// order names the worker that it is meant for; another worker refuses it. Order does not call done if
// the order gets no reply.
func (c *Cluster) Order(address, meantFor string, order any, done func(fleet.Reply, error)) {
	worker := c.listener(address)
	if refusal := connectionRefusal(worker, meantFor); refusal != nil {
		done(fleet.Reply{}, refusal)
		return
	}
	if worker.Crashed || worker.Partitioned || worker.CutOff != nil && worker.CutOff(c.Store.LeaseAt(worker.Pool, tokenOf(order))) {
		return
	}
	switch order := order.(type) {
	case fleet.Start:
		c.executeOrder(worker, func(recipient *Worker) (fleet.Reply, error) { return recipient.start(order) }, done)
	case fleet.Stop:
		c.executeOrder(worker, func(recipient *Worker) (fleet.Reply, error) { return recipient.stop(order) }, done)
	case fleet.Poll:
		c.executePoll(worker, order, done)
	}
}

// tokenOf returns the fencing token of an order.
func tokenOf(order any) int64 {
	switch order := order.(type) {
	case fleet.Start:
		return order.Token
	case fleet.Stop:
		return order.Token
	case fleet.Poll:
		return order.Token
	}
	return 0
}

// executeOrder executes an order with the outcome that the worker's OrderOutcome chooses.
func (c *Cluster) executeOrder(worker *Worker, execute func(*Worker) (fleet.Reply, error), done func(fleet.Reply, error)) {
	outcome := Acknowledged
	if worker.OrderOutcome != nil {
		outcome = worker.OrderOutcome()
	}
	switch outcome {
	case Acknowledged:
		done(execute(worker))
	case AppliedUnacknowledged:
		_, _ = execute(worker)
	case AppliedLate:
		c.executeLate(worker, &worker.Worker, func(recipient *Worker) { _, _ = execute(recipient) })
	}
}

// executePoll executes a poll with the outcome that the worker's PollOutcome chooses.
func (c *Cluster) executePoll(worker *Worker, order fleet.Poll, done func(fleet.Reply, error)) {
	outcome := Acknowledged
	if worker.PollOutcome != nil {
		outcome = worker.PollOutcome(order)
	}
	noAnswer := func(fleet.Reply, error) {}
	switch outcome {
	case Acknowledged:
		worker.poll(order, done)
	case AppliedUnacknowledged:
		worker.poll(order, noAnswer)
	case AppliedLate:
		c.executeLate(worker, &worker.Worker, func(recipient *Worker) { recipient.poll(order, noAnswer) })
	}
}

// executeLate executes an order that reached a worker after OrderDelay.
func (c *Cluster) executeLate(worker *Worker, meantFor *fleet.Worker, execute func(*Worker)) {
	c.Clock.After(c.OrderDelay(), func() {
		recipient := worker
		if c.LateOrdersReachRestartedWorkers {
			recipient = c.listener(meantFor.Address)
		}
		if !recipient.Crashed && recipient.ID == meantFor.ID {
			c.executingLate = true
			execute(recipient)
			c.executingLate = false
		}
	})
}

// worker returns the latest instance of a worker, or nil.
func (c *Cluster) worker(id string) *Worker {
	for _, candidate := range slices.Backward(c.Workers) {
		if candidate.ID == id {
			return candidate
		}
	}
	return nil
}

// listener returns the latest worker instance at an address, or nil.
func (c *Cluster) listener(address string) *Worker {
	for _, candidate := range slices.Backward(c.Workers) {
		if candidate.Address == address {
			return candidate
		}
	}
	return nil
}

// Submit writes an accepted job of the only tenant to the store.
func (c *Cluster) Submit(spec taskgraph.Spec, queue catalog.Queue) {
	c.SubmitOf("tenant", spec, queue)
}

// SubmitOf writes an accepted job of a tenant to the store.
func (c *Cluster) SubmitOf(tenant string, spec taskgraph.Spec, queue catalog.Queue) {
	queue.Pool = PoolName
	c.addQueue(queue)
	c.RegisterJob(spec, queue)
	c.Store.Apply(c.Acceptance(tenant, spec, queue, 0))
}

// addQueue adds a queue to the configuration unless it has one of that name.
func (c *Cluster) addQueue(queue catalog.Queue) {
	if c.Catalog.Queue(queue.Name) == nil {
		c.Catalog.Queues = append(slices.Clip(c.Catalog.Queues), queue)
	}
}

// Acceptance returns the transaction by which a node accepts a job in the given one of the job's
// partitions in the queue's pool.
func (c *Cluster) Acceptance(tenant string, spec taskgraph.Spec, queue catalog.Queue, choice int) rows.Transaction {
	accepted := pool.Accepted{Spec: spec, Tenant: tenant, Queue: queue, AcceptedMillis: c.Clock.Now().UnixMilli()}
	key := pool.AcceptedKey(pool.JobPartitions(queue.Pool, spec.ID)[choice], spec.ID)
	return rows.Transaction{
		Conditions: []rows.Condition{{Key: key, Version: rows.Absent}},
		Puts:       []rows.Put{{Key: key, Value: pool.Encode(accepted)}},
	}
}

// RegisterJob registers a job with the workers and the checker before it is accepted.
func (c *Cluster) RegisterJob(spec taskgraph.Spec, queue catalog.Queue) {
	if err := spec.Validate(); err != nil {
		panic(err)
	}
	c.jobs[spec.ID] = &spec
	c.Checker.accepted(&spec, queue)
}

// Cancel writes the cancellation of a job to the store.
func (c *Cluster) Cancel(id string) {
	key := pool.CancelledKey(pool.JobPartitions(PoolName, id)[0], id)
	c.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: []byte("{}")}}})
	c.Checker.cancelled(id)
}

// StoredState returns the state of a job according to the newest progress row of any pool in the
// store.
func (c *Cluster) StoredState(id string) taskgraph.State {
	var newest pool.Progress
	for _, part := range c.Store.ListPartitions(pool.ProgressTable) {
		for _, row := range c.Store.List(pool.ProgressTable, part, id).Rows {
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
func (c *Cluster) Estimate(name taskgraph.TaskName) time.Duration { return c.step(name).Estimate() }

func (c *Cluster) step(name taskgraph.TaskName) *taskgraph.Step {
	return &c.jobs[name.Job].Steps[name.Step]
}

// StartedAt returns the virtual time at which the simulation began.
func (c *Cluster) StartedAt() time.Time { return c.epoch }

// Run advances virtual time by d.
func (c *Cluster) Run(d time.Duration) { c.Clock.Run(c.Clock.Now().Add(d)) }
