package worker

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Action is the operation that an order requests.
type Action string

// The actions.
const (
	// Reserve reserves capacity for the members of an attempt. The reservation expires after
	// ReserveSeconds.
	Reserve Action = "reserve"
	// Start starts the members of a reservation.
	Start Action = "start"
	// Release cancels a reservation. It does not stop running members.
	Release Action = "release"
	// Checkpoint saves the members' work and stops them.
	Checkpoint Action = "checkpoint"
	// Throttle reduces the members' CPU share in favour of other tasks.
	Throttle Action = "throttle"
	// Stop stops the members immediately.
	Stop Action = "stop"
	// Renew extends the lease of all tasks of the domain on the worker. The reply contains these
	// tasks.
	Renew Action = "renew"
	// DeleteEnded deletes the records of ended members.
	DeleteEnded Action = "forget"
)

// Refusal is the reason why a worker rejected an order. It is empty if the worker accepted the
// order.
type Refusal string

// The refusals.
const (
	RefusedNone          Refusal = ""
	RefusedStaleEpoch    Refusal = "stale_epoch"
	RefusedDraining      Refusal = "leaving"
	RefusedNoCapacity    Refusal = "no_capacity"
	RefusedNoReservation Refusal = "no_reservation"
	RefusedUnknownTask   Refusal = "unknown_task"
)

// Order is an order to one worker. Except for Renew, an order applies to the members of one attempt
// on the worker.
type Order struct {
	Action Action `json:"action"`
	Domain string `json:"domain"`
	Epoch  int64  `json:"epoch"`
	Tenant string `json:"tenant,omitempty"`
	Job    string `json:"job,omitempty"`
	// Attempt is the number of the attempt.
	Attempt int `json:"attempt,omitempty"`
	// Members are the indices of the gang's members on this worker.
	Members      []int `json:"members,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	CPUs         int   `json:"cpus,omitempty"`
	MemoryGB     int   `json:"memory_gb,omitempty"`
	// ReserveSeconds is how long the worker keeps a reservation that was not started.
	ReserveSeconds float64 `json:"reserve_seconds,omitempty"`
	// LeaseSeconds is how long the worker runs members without a renewal.
	LeaseSeconds float64 `json:"lease_seconds,omitempty"`
	// CheckpointSeconds is the duration of a checkpoint.
	CheckpointSeconds float64 `json:"checkpoint_seconds,omitempty"`
	// ProgressSeconds is the work saved by earlier attempts.
	ProgressSeconds float64 `json:"progress_seconds,omitempty"`
	Payload         string  `json:"payload,omitempty"`
	// Digest is set in Renew orders. It is the digest of the tasks that the owner expects on the
	// worker. If the worker's tasks have the same digest, the worker omits the tasks in the reply.
	Digest uint64 `json:"digest,omitempty"`
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// The states of an attempt on a worker.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Task is the part of an attempt on one worker.
type Task struct {
	Tenant  string    `json:"tenant"`
	Job     string    `json:"job"`
	Attempt int       `json:"attempt"`
	Members []int     `json:"members"`
	State   TaskState `json:"state"`
	// Results are the members' outputs, in the order of Members. They are set once State is
	// TaskFinished.
	Results []Result `json:"results,omitempty"`
	// ProgressSeconds is the work saved so far.
	ProgressSeconds float64 `json:"progress_seconds,omitempty"`
}

// Result identifies one member's output in the object store.
type Result struct {
	Size   int64  `json:"size"`
	Digest uint64 `json:"digest"`
}

// Reply is a worker's reply to an order.
type Reply struct {
	Refusal Refusal `json:"refusal,omitempty"`
	// Epoch is the highest epoch that the worker has seen for the domain.
	Epoch int64 `json:"epoch"`
	// Draining is true if the worker is draining and accepts no new tasks.
	Draining bool `json:"leaving,omitempty"`
	// Tasks lists the domain's tasks on the worker, in reply to Renew. If TasksUnchanged is true,
	// the tasks match the digest in the order and Tasks is empty.
	Tasks          []Task `json:"tasks,omitempty"`
	TasksUnchanged bool   `json:"same,omitempty"`
}

// Digest returns a digest of the tenant, job, attempt and state of each task. The digest does not
// depend on the order of the tasks.
func Digest(tasks []Task) uint64 {
	var sum uint64
	for i := range tasks {
		sum += xxhash.Sum64String(tasks[i].Tenant + "/" + tasks[i].Job + "/" + strconv.Itoa(tasks[i].Attempt) + "/" + string(tasks[i].State))
	}
	return sum
}

// Report is a change of a task's state on a worker, or the start of draining. The owner receives
// reports with a delay.
type Report struct {
	Worker string `json:"worker"`
	Task   Task   `json:"task"`
	// Draining is true if the worker is draining and accepts no new tasks; Task is then empty.
	Draining bool `json:"leaving,omitempty"`
}

// Reports is the result of one read of the report feed. Cursor is the position for the next read.
type Reports struct {
	Reports []Report `json:"reports"`
	Cursor  int64    `json:"cursor"`
}

// Fleet sends orders to workers and reads their reports.
type Fleet interface {
	// Send sends one order. After an error the caller does not know whether the worker executed the
	// order.
	Send(ctx context.Context, name, address string, order Order) (Reply, error)
	// Reports returns the reports of the domain's workers after cursor. If there are no new reports,
	// Reports waits for a limited time.
	Reports(ctx context.Context, domain string, cursor int64) (Reports, error)
}

// ResultName returns the name of the object that holds a member's output.
func ResultName(tenant, job string, attempt, member int) string {
	return "results/" + tenant + "/" + job + "/" + strconv.Itoa(attempt) + "/" + strconv.Itoa(member)
}
