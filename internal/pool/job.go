package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
	"github.com/wheatroad/wheatroad/internal/poison"
	"github.com/wheatroad/wheatroad/internal/speeds"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// unitState is where a unit is on its way.
type unitState int

const (
	// unitWaiting units want a place.
	unitWaiting unitState = iota
	// unitCommitting units have a place that is being written.
	unitCommitting
	// unitActive units have been ordered to start.
	unitActive
	// unitStopping units have been ordered to stop.
	unitStopping
	// unitEnded units are done; members may still be listed by workers.
	unitEnded
)

// memberState is what is known of one run of one task.
type memberState int

const (
	// memberNone members have no run.
	memberNone memberState = iota
	// memberStarting members have been ordered to start, without an answer yet.
	memberStarting
	// memberUncertain members got no answer to their start.
	memberUncertain
	// memberRunning members run.
	memberRunning
)

// job is an accepted job.
type job struct {
	id string
	Accepted
	// acceptedAt is on the loop's clock.
	acceptedAt time.Time
	// estimates has for each step how long its work is expected to take.
	estimates []time.Duration
	// objective is how long the job, or one time of it, should take.
	objective time.Duration
	// tails has for each step the longest chain of work that begins with it.
	tails []time.Duration
	times []*jobTime
	// state is what the store says; next is what it will say.
	state taskgraph.State
	next  taskgraph.State
	// endedAt is a time of day.
	endedAt   time.Time
	cancelled bool
	// begun is true once a task was started.
	begun bool
	// ordered is true once this owner sent a start of the job.
	ordered bool
	dirty   bool
}

// jobTime is one time of a job's steps.
type jobTime struct {
	number int
	due    time.Time
	steps  []*step
	ended  int
}

// step is one step of one time.
type step struct {
	spec  *taskgraph.Step
	index int
	// units exist once the earlier steps have ended.
	units    []*unit
	ended    int
	complete bool
	// waitsFor is what kept the step's units from a place at the last look, which was
	// at waitSeenAt.
	waitsFor   waitReason
	waitSeenAt time.Time
	// cohort compares the times of the step's tasks.
	cohort speeds.Cohort
}

// unit is what is placed at once: one task, or all tasks of a gang.
type unit struct {
	job   *job
	time  *jobTime
	step  *step
	index int
	state unitState
	// run is the number of the latest run; 0 before the first.
	run        int
	failures   int
	checkpoint string
	members    []*member
	readyAt    time.Time
	startedAt  time.Time
	// runningSince is when all members of the latest run were confirmed to run; zero
	// before that.
	runningSince time.Time
	// startedHere is true if this owner started the latest run.
	startedHere bool
	// resumed is true if the latest run goes on from a checkpoint.
	resumed bool
	// stalls counts how often the unit was moved since it stood still.
	stalls int
	// snapshotNumber is the unit's number in the snapshot of snapshotSerial.
	snapshotNumber, snapshotSerial int
	// stopReason says why the unit is being stopped.
	stopReason string
	// avoid has the workers on which the unit failed.
	avoid map[string]bool
	// slowness is how many times longer the unit's work took, on the slowest of its workers, than it
	// takes on the median one, as far as speeds are known.
	slowness float64
	// comparedRun is the latest run of which the members' speeds were compared.
	comparedRun int
	// lossGroup joins what lost workers say of the members; nil if none was lost.
	lossGroup *poison.Group
}

// member is one task of a unit.
type member struct {
	unit  *unit
	index int
	state memberState
	// worker is nil unless a run of the member may exist there.
	worker *worker
	// stopTried is true once a stop of the present run was sent, whatever became of it;
	// stopSent and stopAnswered tell how far a stop has come.
	stopTried    bool
	stopSent     bool
	stopAnswered bool
	stopTimer    func()
	// doubtful is true once a start of the present run got no answer: it may be carried
	// out later, whatever later tries are told.
	doubtful bool
	// inUnknownLife is true if the start was answered by what may be another life than the one that
	// is known, which the next account tells.
	inUnknownLife bool
	// confirmedBefore is true if an earlier owner had the present run confirmed.
	confirmedBefore bool
	// formerLife is the life in which the present run was last known, if its worker has started
	// again since.
	formerLife fleet.Life
	// startTries are the tries of the present run's latest start; nil before it.
	startTries *tries
	sentAt     time.Time
	// startDeadline is that of the present run's start on the worker's clock; 0 before it is sent.
	startDeadline int64
	// percent is the progress that the worker last listed, percentAt when it last
	// changed, and listedAt when it was last listed.
	percent   int
	percentAt time.Time
	listedAt  time.Time
	// losses is what workers that were lost under the member say of it; nil if none was.
	losses *poison.History
	// logTime is the logarithm of the seconds that the run takes as a whole, told at timedPercent of
	// its progress; 0 if it is not told yet.
	logTime      float64
	timedPercent int
	// inCohort is what the task says beside the others of its step.
	inCohort speeds.Member
}

func (m *member) name() taskgraph.TaskName {
	u := m.unit
	return taskgraph.TaskName{Job: u.job.id, Time: u.time.number, Step: u.step.index, Index: m.index}
}

func (u *unit) spec() *taskgraph.Step { return u.step.spec }

// active counts the members that may run somewhere.
func (u *unit) active() int {
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
		state: taskgraph.Queued, next: taskgraph.Queued,
	}
}

// wantedAt returns when the unit's work, with all that follows it, should end.
func (u *unit) wantedAt() time.Time {
	begin := u.job.acceptedAt
	if !u.time.due.IsZero() {
		begin = u.time.due
	}
	return begin.Add(u.job.objective)
}

// slack is how much later than now the unit may start and still end in time.
func (u *unit) slack(now time.Time) time.Duration {
	return u.wantedAt().Sub(now) - u.job.tails[u.step.index]
}

// timeAt returns time k, creating it if need be.
func (j *job) timeAt(k int) *jobTime {
	for len(j.times) <= k {
		number := len(j.times)
		created := &jobTime{number: number, due: j.Spec.Due(number)}
		for i := range j.Spec.Steps {
			created.steps = append(created.steps, &step{spec: &j.Spec.Steps[i], index: i})
		}
		j.times = append(j.times, created)
	}
	return j.times[k]
}

// unitCount is how many units a step has.
func (s *step) unitCount() int {
	if s.spec.Gang {
		return 1
	}
	return s.spec.Count
}

// createUnits makes the step's units.
func (s *step) createUnits(j *job, t *jobTime, now time.Time) {
	s.units = make([]*unit, s.unitCount())
	for i := range s.units {
		created := &unit{job: j, time: t, step: s, index: i, readyAt: now}
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

// unitOf returns the unit and member of a task name, or nil.
func (j *job) memberOf(name taskgraph.TaskName) *member {
	if name.Time >= len(j.times) || name.Step >= len(j.Spec.Steps) {
		return nil
	}
	s := j.times[name.Time].steps[name.Step]
	if s.units == nil || name.Index >= s.spec.Count {
		return nil
	}
	if s.spec.Gang {
		return s.units[0].members[name.Index]
	}
	return s.units[name.Index].members[0]
}
