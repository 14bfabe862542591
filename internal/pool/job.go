package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/speeds"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// unitState is the scheduling phase of a unit.
type unitState int

const (
	// unitWaiting units wait for placement.
	unitWaiting unitState = iota
	// unitCommitting units have a placement that is being persisted.
	unitCommitting
	// unitActive units have been sent starts.
	unitActive
	// unitStopping units have been sent stops.
	unitStopping
	// unitEnded units have finished; workers may still report runs of their members.
	unitEnded
)

// memberState is the known state of a member's present run.
type memberState int

const (
	// memberWithoutRun members have no run; their placement may be pending.
	memberWithoutRun memberState = iota
	// memberStarting members have a start in flight.
	memberStarting
	// memberUnconfirmed members may run: their start got no response, or they were restored.
	memberUnconfirmed
	memberRunning
)

// job is an accepted job.
type job struct {
	id string
	Accepted
	// acceptedAt is converted to the loop's clock.
	acceptedAt time.Time
	// estimates are the expected task durations by step.
	estimates []time.Duration
	// objective is the target duration of one repetition of the job.
	objective time.Duration
	// criticalPaths are the critical-path durations from each step to the end of the job.
	criticalPaths []time.Duration
	repetitions   repetitions
	// cancelDueTimer cancels the timer for the next repetition; nil if none is set.
	cancelDueTimer func()
	// state is the persisted state, and pendingState the state once pending writes are committed.
	state        taskgraph.State
	pendingState taskgraph.State
	// endedAt is wall-clock time, unlike acceptedAt.
	endedAt   time.Time
	cancelled bool
	// placed is true once a task of the job was placed, by any owner.
	placed bool
	// startSent is true once a start was sent; it is assumed to be true for restored jobs.
	startSent bool
	// nearRowLimit is true once the row's size was logged as near the limit.
	nearRowLimit bool
	// compactRow is true if the job's row has the form of compatibility.CompactProgress.
	compactRow bool
	// withoutLosses and withoutUnits are true if the job's row must not list losses of workers or units,
	// as the store does not take it otherwise.
	withoutLosses, withoutUnits bool
}

// step is one step of a repetition.
type step struct {
	spec  *taskgraph.Step
	index int
	// units are created once all preceding steps are complete.
	units    []*unit
	ended    int
	complete bool
	// waitReason is why the step's units could not be placed when this was last checked, at
	// waitReasonAt.
	waitReason   waitReason
	waitReasonAt time.Time
	// compared holds the runs that failed runs are compared with.
	compared comparison
	// cohort compares the durations of the step's tasks.
	cohort speeds.Cohort
}

// unit is the unit of placement: a single task, or all tasks of a gang.
type unit struct {
	job        *job
	repetition *repetition
	step       *step
	index      int
	state      unitState
	// run numbers the runs from 1; 0 before the first.
	run int
	// failures counts the runs that have failed, and failedRun is the latest of them.
	failures   int
	failedRun  int
	checkpoint string
	members    []*member
	readyAt    time.Time
	startedAt  time.Time
	// preemptedAt is when the unit last preempted others; zero if it never did.
	preemptedAt time.Time
	// overdueTurnSince is since when the unit has had the turn of the overdue units without
	// being placed, and overdueMissedAt is when it last passed the turn on; zero if never.
	overdueTurnSince, overdueMissedAt time.Time
	// runningSince is when all members of the latest run were first known to be running; zero
	// before.
	runningSince time.Time
	// startedByThisOwner is true if this owner started the latest run.
	startedByThisOwner bool
	// startedAfterMillis is the time from the job's acceptance to the start of the latest run, in
	// milliseconds; 0 if unknown. If an earlier owner started the run, earlierStartAt is its start on
	// this owner's clock; zero if unknown.
	startedAfterMillis int64
	earlierStartAt     time.Time
	// fromCheckpoint is true if the latest run was started from a checkpoint.
	fromCheckpoint bool
	// stalls counts how often the unit was restarted for lack of progress.
	stalls int
	// snapshotIndex is the unit's index in the snapshot of snapshotGeneration.
	snapshotIndex, snapshotGeneration int
	// stopReason is set while the unit is being stopped.
	stopReason string
	// excludedWorkers holds the workers on which the unit has failed.
	excludedWorkers map[string]bool
	// slowness is the slowdown of the unit's slowest worker relative to the median worker.
	slowness float64
	// measuredRun is the latest run whose members' speeds were compared.
	measuredRun int
	// lossGroup holds the crash histories of the members; nil if no worker was lost.
	lossGroup *poison.Group
}

// member is one task of a unit.
type member struct {
	unit  *unit
	index int
	state memberState
	// worker is where a run of the member may exist, or nil.
	worker *worker
	// stopAttempted is true once a stop of the present run was sent, whatever its outcome, and stopSent
	// while a stop is in flight or answered.
	stopAttempted bool
	stopSent      bool
	stopTimer     func()
	// stoppingSince is since when the worker is known to be stopping the present run, or to refuse its
	// start; zero if unknown.
	stoppingSince time.Time
	// startUnanswered is true once a start of the present run got no response. The worker may still
	// carry out this start, whatever the response to a later attempt.
	startUnanswered bool
	// earlierStartPending is true if an earlier owner may have sent a start of the present run that
	// got no response.
	earlierStartPending bool
	// earlierStartsUntil is until when the start of an earlier run of the task may be carried out, on any
	// worker; zero if none can be.
	earlierStartsUntil time.Time
	// incarnationUnknown is true if an unknown incarnation of the worker may have answered the
	// start. The next report shows which incarnation has the run.
	incarnationUnknown bool
	// confirmedToEarlierOwner is true if the present run was confirmed to an earlier owner.
	confirmedToEarlierOwner bool
	// formerIncarnation is the worker's incarnation in which the present run was last known, if the
	// worker has restarted since.
	formerIncarnation fleet.Incarnation
	// formerShutDownAsPlanned is true if that incarnation is known to have shut down as planned.
	formerShutDownAsPlanned bool
	// confirmation is the worker's latest confirmation of the present run to this owner.
	confirmation confirmation
	// survival measures for how long the present run has been at work.
	survival runSurvival
	// startCall is the state of the present run's latest start; nil before the first.
	startCall *hedgedCall
	// unconfirmedSince is since when the worker may have the present run without having confirmed it.
	unconfirmedSince time.Time
	// knownFromRows is true while the present run is known only from the rows of an earlier owner: no
	// answer of the worker has told about it yet.
	knownFromRows bool
	// startSentAt is when the latest copy of the present run's start was sent.
	startSentAt time.Time
	// startDeadline is the deadline of the present run's start, in milliseconds of the worker's
	// clock; 0 before the start is sent.
	startDeadline int64
	// percent is the last reported progress, percentChangedAt when it last changed, and reportedAt
	// when the run was last reported.
	percent          int
	percentChangedAt time.Time
	reportedAt       time.Time
	// losses is the history of workers that were lost while they ran the member; nil if there are
	// none.
	losses *poison.History
	// logRunTime is the logarithm of the run's projected duration in seconds, estimated at
	// runTimePercent of its progress; 0 before the first estimate.
	logRunTime     float64
	runTimePercent int
	// cohortEntry is the member's entry in the step's cohort.
	cohortEntry speeds.Member
}

func (m *member) name() taskgraph.TaskName {
	u := m.unit
	return taskgraph.TaskName{Job: u.job.id, Repetition: u.repetition.number, Step: u.step.index, Index: m.index}
}

func (u *unit) spec() *taskgraph.Step { return u.step.spec }

// activeMembers returns the number of members that may be running.
func (u *unit) activeMembers() int {
	count := 0
	for _, m := range u.members {
		if m.worker != nil {
			count++
		}
	}
	return count
}

func newJob(id string, accepted Accepted, acceptedAt time.Time) *job {
	return &job{
		id: id, Accepted: accepted, acceptedAt: acceptedAt,
		state: taskgraph.Queued, pendingState: taskgraph.Queued,
	}
}

// deadline returns the target completion time of the unit's repetition.
func (u *unit) deadline() time.Time {
	begin := u.job.acceptedAt
	if !u.repetition.due.IsZero() {
		begin = u.repetition.due
	}
	return begin.Add(u.job.objective)
}

// slack returns how long the unit's start may be delayed without missing the target
// completion time; negative if it is missed already.
func (u *unit) slack(now time.Time) time.Duration {
	return u.deadline().Sub(now) - u.job.criticalPaths[u.step.index]
}

func (s *step) createUnits(j *job, t *repetition, now time.Time) {
	s.units = make([]*unit, s.spec.UnitCount())
	for i := range s.units {
		created := &unit{job: j, repetition: t, step: s, index: i, readyAt: now}
		if s.spec.Gang {
			for index := range s.spec.Count {
				created.members = append(created.members, &member{unit: created, index: index})
			}
		} else {
			created.members = []*member{{unit: created, index: i}}
		}
		s.units[i] = created
	}
}

// member returns the member of a task name, or nil if it does not exist or its repetition is not open.
func (j *job) member(name taskgraph.TaskName) *member {
	t := j.repetitions.find(name.Repetition)
	if t == nil || name.Step >= len(t.steps) {
		return nil
	}
	s := t.steps[name.Step]
	if s.units == nil || name.Index >= s.spec.Count {
		return nil
	}
	if s.spec.Gang {
		return s.units[0].members[name.Index]
	}
	return s.units[name.Index].members[0]
}
