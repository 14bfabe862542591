package schedule

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

type phase int

const (
	// waiting jobs are in the queue.
	waiting phase = iota
	// booked jobs own capacity that others are still leaving.
	booked
	// running jobs were given to the caller to start.
	running
	// vacating jobs were told to give way.
	vacating
)

// entry is a job as the scheduler knows it.
type entry struct {
	key       job.Key
	spec      job.Spec
	need      cluster.Amount
	submitted time.Time
	// due orders the queue; see Policy.StretchFactor.
	due time.Time
	// remaining is the estimated run time left when the job was last queued.
	remaining time.Duration
	phase     phase
	// placement has one worker a member.
	placement []cluster.WorkerID
	startedAt time.Time
	endsAt    time.Time
	// firm work may not be pushed out: it holds a claim or may run only once.
	firm bool
	// claims are the witness slots the job sits in, one a member.
	claims []*slot
	// blockers are the jobs that must leave before a booked job starts.
	blockers map[*entry]bool
	// beneficiary is the job for which a vacating one gives way.
	beneficiary *entry
	queueIndex  int
	class       *class
}

func (e *entry) estimatedEnd() time.Time { return e.endsAt }

func (e *entry) accelerators() int { return e.spec.TotalAccelerators() }

// pushable reports whether the job may be made to give way at all.
func (e *entry) pushable() bool { return e.phase == running && !e.firm }

// loss estimates the accelerator-seconds that pushing the job out wastes.
func (e *entry) loss(now time.Time) float64 {
	if e.phase == booked {
		return 0
	}
	seconds := e.spec.CheckpointSeconds
	if !e.spec.Checkpoint {
		seconds = now.Sub(e.startedAt).Seconds()
	}
	return (seconds + 1) * float64(max(1, e.accelerators()))
}

// vacateSeconds is how long the job keeps its capacity once told to give way.
func (e *entry) vacateSeconds() float64 {
	if e.spec.Checkpoint {
		return e.spec.CheckpointSeconds
	}
	return 0
}

// Decision is one order of a cycle to its caller.
type Decision struct {
	// Start is true for a start and false for a preemption.
	Start bool
	Job   job.Key
	// Placement has one worker a member.
	Placement []cluster.WorkerID
	// For is the job that a preempted one gives way to.
	For job.Key
}

// run is a stretch of a placement on one worker.
type run struct {
	worker  cluster.WorkerID
	members int
}

// runsOf groups a placement, whose members on one worker are adjacent.
func runsOf(placement []cluster.WorkerID) []run {
	var runs []run
	for index, id := range placement {
		if index == 0 || placement[index-1] != id {
			runs = append(runs, run{worker: id})
		}
		runs[len(runs)-1].members++
	}
	return runs
}

// amountOn returns what the job occupies on one worker.
func (e *entry) amountOn(id cluster.WorkerID) cluster.Amount {
	members := 0
	for _, worker := range e.placement {
		if worker == id {
			members++
		}
	}
	return e.need.Times(members)
}
