package pool

// A job's progress is one row, which lists each unit that was started and has not ended. The store
// limits the size of a row, so an owner places no further units of a job while the row is full. They are
// placed as earlier ones end.

const (
	// rowBudgetRatio is the share of the store's limit that units may fill. The rest is for losses of
	// workers and addresses.
	rowBudgetRatio = 0.9
	// unitRowBytes is an upper bound on the size of a usual unit in a row without members and checkpoint,
	// and memberRowBytes on that of a member without the worker's identifier.
	unitRowBytes   = 44
	memberRowBytes = 17
	// checkpointRowBytes is the usual size of a unit's checkpoint in a row.
	checkpointRowBytes = 26
	// workerIDBytes is the assumed length of a worker's identifier before the unit is placed.
	workerIDBytes = 16
	// smallJobTasks is the number of tasks, in all begun repetitions, up to which a row can't be full.
	smallJobTasks = 256
)

// rowBudgets holds the bytes that the progress rows of jobs have left in one scheduling cycle.
type rowBudgets struct {
	limit int
	left  map[*job]int
}

func (p *Pool) newRowBudgets() *rowBudgets {
	return &rowBudgets{limit: int(rowBudgetRatio * float64(p.options.rowLimit())), left: map[*job]int{}}
}

// allow reports whether the row of the unit's job has room for the unit. A job none of whose units is
// listed gets its first unit whatever its size.
func (b *rowBudgets) allow(u *unit) bool {
	if u.job.Spec.TaskCount()*len(u.job.repetitions) <= smallJobTasks {
		return true
	}
	left, known := b.left[u.job]
	if !known {
		left = b.limit - u.job.listedBytes()
		b.left[u.job] = left
	}
	return u.rowBytes() <= left || left == b.limit
}

// placed records that a unit was placed.
func (b *rowBudgets) placed(u *unit) {
	if left, known := b.left[u.job]; known {
		b.left[u.job] = left - u.rowBytes()
	}
}

// listedBytes returns an estimate of the size of the units that the job's row lists.
func (j *job) listedBytes() int {
	bytes := 0
	for _, t := range j.repetitions {
		for _, s := range t.steps {
			for _, u := range s.units {
				if u.run > 0 && u.state != unitEnded {
					bytes += u.rowBytes()
				}
			}
		}
	}
	return bytes
}

// rowBytes returns an estimate of the unit's size in its job's row.
func (u *unit) rowBytes() int {
	bytes := unitRowBytes
	for _, m := range u.members {
		bytes += memberRowBytes + workerIDBytes
		if m.worker != nil {
			bytes += len(m.worker.ID) - workerIDBytes
		}
	}
	if u.spec().Checkpoints {
		bytes += max(checkpointRowBytes, len(u.checkpoint))
	}
	return bytes
}
