package pool

import "github.com/wheatroad/wheatroad/internal/taskgraph"

// A job's progress is one row, which lists each unit that was started and has not ended, and what of the
// job's repetitions is complete. The store limits the size of a row, so an owner starts no further units of
// a job while the row is full. They are started as earlier ones end. A unit that was started before has its
// place in the row, also while it waits to run again.

const (
	// rowBudgetRatio is the share of the store's limit that a row may fill. The rest is for losses of
	// workers and addresses.
	rowBudgetRatio = 0.9
	// rowHeaderBytes is an upper bound on the size of a row that lists nothing.
	rowHeaderBytes = 160
	// unitRowBytes is an upper bound on the size of a usual unit in a row without members and checkpoint,
	// and memberRowBytes on that of a member without the worker's identifier.
	unitRowBytes   = 44
	memberRowBytes = 17
	// checkpointRowBytes is the usual size of a unit's checkpoint in a row.
	checkpointRowBytes = 26
	// stepRowBytes is an upper bound on the size of a step that is not complete without its units and its bit
	// set, completeRowBytes on that of the complete steps of a repetition without their bit set, and
	// rangeRowBytes on that of one range of ended repetitions.
	stepRowBytes     = 40
	completeRowBytes = 24
	rangeRowBytes    = 14
	// minWorkerIDBytes is the least length that is assumed of a worker's identifier.
	minWorkerIDBytes = 16
	// smallJobTasks is the number of tasks, in all open repetitions, up to which a row can't be full, unless
	// it lists many complete steps.
	smallJobTasks = 256
	// maxCompleteRatio is the share of the limit that complete steps may fill if a unit that is listed alone
	// is started whatever its size.
	maxCompleteRatio = 0.5
)

// rowBudgets holds the bytes that the progress rows of jobs have left in one scheduling cycle.
type rowBudgets struct {
	limit int
	// workerIDBytes is the length of the longest identifier of a worker.
	workerIDBytes int
	budgets       map[*job]*rowBudget
}

// rowBudget holds the bytes that a job's progress row has left.
type rowBudget struct {
	left int
	// takesAny is true if no unit is listed, and one may be whatever its size.
	takesAny bool
	// repetitions and steps hold those that are listed.
	repetitions map[*repetition]bool
	steps       map[*step]bool
}

func (p *Pool) newRowBudgets() *rowBudgets {
	idBytes := minWorkerIDBytes
	for id := range p.workers {
		idBytes = max(idBytes, len(id))
	}
	limit := int(rowBudgetRatio * float64(p.options.rowLimit()))
	return &rowBudgets{limit: limit, workerIDBytes: idBytes, budgets: map[*job]*rowBudget{}}
}

// allow reports whether the row of the unit's job has room for the unit.
func (b *rowBudgets) allow(u *unit) bool {
	if u.run > 0 || !b.mayFill(u.job) {
		return true
	}
	budget := b.of(u.job)
	return budget.takesAny || b.neededBytes(u) <= budget.left
}

// placed records that a unit was placed, whose run before was the given one.
func (b *rowBudgets) placed(u *unit, runBefore int) {
	if budget := b.budgets[u.job]; budget != nil && runBefore == 0 {
		budget.left -= b.addedBytes(u)
		budget.repetitions[u.repetition], budget.steps[u.step], budget.takesAny = true, true, false
	}
}

// mayFill reports whether the row of a job may be full.
func (b *rowBudgets) mayFill(j *job) bool {
	manyTasks := j.Spec.TaskCount()*len(j.repetitions.open) > smallJobTasks
	return manyTasks || !j.compactRow && float64(j.completeStepsBytes()) > compactRowRatio*float64(b.limit)
}

// of returns the budget of a job.
func (b *rowBudgets) of(j *job) *rowBudget {
	budget := b.budgets[j]
	if budget == nil {
		budget = &rowBudget{left: b.limit - rowHeaderBytes - j.completeBytes(), repetitions: map[*repetition]bool{}, steps: map[*step]bool{}}
		b.budgets[j] = budget
		budget.takesAny = j.compactRow || float64(budget.left) >= (1-maxCompleteRatio)*float64(b.limit)
		b.subtractListed(budget, j)
	}
	return budget
}

// completeBytes returns an upper bound on the size of what the job's row lists as complete.
func (j *job) completeBytes() int {
	if !j.compactRow {
		return j.completeStepsBytes()
	}
	bytes := len(j.repetitions.ended) / 2 * rangeRowBytes
	for _, t := range j.repetitions.open {
		if t.ended > 0 {
			bytes += t.completeBytes()
		}
	}
	return bytes
}

// completeBytes returns an upper bound on the size of a repetition's complete steps in a compact row. The
// ended repetitions before and after it may be two ranges.
func (t *repetition) completeBytes() int {
	return completeRowBytes + bitsetRowBytes(len(t.steps)) + rangeRowBytes
}

// subtractListed subtracts from a budget what the job's row lists of steps that are not complete, with all
// their listed units running.
func (b *rowBudgets) subtractListed(budget *rowBudget, j *job) {
	for _, t := range j.repetitions.open {
		for _, s := range t.steps {
			units := b.listedUnitsBytes(s)
			if s.complete || units == 0 && s.ended == 0 {
				continue
			}
			budget.left -= units + stepRowBytes + bitsetRowBytes(len(s.units))
			budget.repetitions[t], budget.steps[s] = true, true
			budget.takesAny = budget.takesAny && units == 0
		}
		if t.ended > 0 {
			budget.repetitions[t] = true
		}
	}
}

// listedUnitsBytes returns an upper bound on the size of a step's listed units.
func (b *rowBudgets) listedUnitsBytes(s *step) int {
	bytes := 0
	for _, u := range s.units {
		if u.run > 0 && u.state != unitEnded {
			bytes += b.unitBytes(u)
		}
	}
	return bytes
}

// neededBytes returns how much room a row must have for a unit to start for the first time. If the unit
// begins a repetition, the largest unit of the job must still fit beside what the row lists as complete.
// Otherwise repetitions whose later steps wait might fill the row, and none could go on.
func (b *rowBudgets) neededBytes(u *unit) int {
	bytes := b.addedBytes(u)
	if !b.of(u.job).repetitions[u.repetition] {
		bytes += b.largestUnitBytes(u.job)
	}
	return bytes
}

// largestUnitBytes returns an estimate of the size of the job's largest unit.
func (b *rowBudgets) largestUnitBytes(j *job) int {
	largest := 0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		largest = max(largest, b.membersBytes(s, s.Count/s.UnitCount()))
	}
	return largest
}

// addedBytes returns an upper bound on what a unit adds to its job's row at its first start.
func (b *rowBudgets) addedBytes(u *unit) int {
	budget := b.of(u.job)
	bytes := b.unitBytes(u)
	if !budget.steps[u.step] {
		bytes += stepRowBytes + bitsetRowBytes(len(u.step.units))
	}
	if u.job.compactRow && !budget.repetitions[u.repetition] {
		bytes += u.repetition.completeBytes()
	}
	return bytes
}

// unitBytes returns an estimate of the size of a running unit in its job's row.
func (b *rowBudgets) unitBytes(u *unit) int {
	return b.membersBytes(u.spec(), len(u.members)) + max(0, len(u.checkpoint)-checkpointRowBytes)
}

// membersBytes returns an estimate of the size of a running unit of a step with the given number of members.
func (b *rowBudgets) membersBytes(spec *taskgraph.Step, members int) int {
	bytes := unitRowBytes + members*(memberRowBytes+b.workerIDBytes)
	if spec.Checkpoints {
		bytes += checkpointRowBytes
	}
	return bytes
}

// bitsetRowBytes returns the size of a bit set in a row.
func bitsetRowBytes(size int) int { return (len(newBitset(size)) + 2) / 3 * 4 }
