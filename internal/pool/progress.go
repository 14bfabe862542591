package pool

// progress returns the contents of the job's progress row.
func (j *job) progress() Progress {
	record := Progress{State: j.pendingState}
	if !j.endedAt.IsZero() {
		record.EndedMillis = j.endedAt.UnixMilli()
	}
	switch {
	case j.withoutUnits:
	case j.pendingState.Final():
		j.listSteps(&record, (*step).activeProgress)
	case j.compactRow:
		record.EndedRepetitions = j.repetitions.ended
		j.listCompleteSteps(&record)
		j.listSteps(&record, (*step).unfinishedProgress)
	default:
		j.listEndedRepetitions(&record)
		j.listSteps(&record, (*step).progress)
	}
	return record
}

// listSteps adds the steps of open repetitions for which encode returns a record.
func (j *job) listSteps(record *Progress, encode func(*step, int) (stepProgress, bool)) {
	for _, t := range j.repetitions.open {
		for _, s := range t.steps {
			if encoded, found := encode(s, t.number); found {
				record.Steps = append(record.Steps, encoded)
			}
		}
	}
}

// listEndedRepetitions adds each step of each ended repetition, as the baseline format does.
func (j *job) listEndedRepetitions(record *Progress) {
	ended := j.repetitions.ended
	for i := 0; i+1 < len(ended); i += 2 {
		for number := ended[i]; number < ended[i+1]; number++ {
			for index := range j.Spec.Steps {
				record.Steps = append(record.Steps, stepProgress{Repetition: number, Step: index, Complete: true})
			}
		}
	}
}

// listCompleteSteps adds the complete steps of open repetitions.
func (j *job) listCompleteSteps(record *Progress) {
	for _, t := range j.repetitions.open {
		if t.ended == 0 {
			continue
		}
		steps := newBitset(len(t.steps))
		for _, s := range t.steps {
			if s.complete {
				steps.set(s.index)
			}
		}
		record.CompleteSteps = append(record.CompleteSteps, completeSteps{Repetition: t.number, Steps: steps})
	}
}

// progress returns the record of a step; false if there is nothing to record.
func (s *step) progress(number int) (stepProgress, bool) {
	if s.complete {
		return stepProgress{Repetition: number, Step: s.index, Complete: true}, true
	}
	return s.unfinishedProgress(number)
}

// unfinishedProgress returns the record of a step that is not complete; false if there is nothing to record.
func (s *step) unfinishedProgress(number int) (stepProgress, bool) {
	record := stepProgress{Repetition: number, Step: s.index}
	if s.complete || s.units == nil {
		return record, false
	}
	if s.ended > 0 {
		record.Ended = newBitset(len(s.units))
	}
	for _, u := range s.units {
		if u.state == unitEnded {
			bitset(record.Ended).set(u.index)
		} else if u.run > 0 {
			record.Units = append(record.Units, u.progress())
		}
	}
	return record, s.ended > 0 || len(record.Units) > 0
}

// activeProgress returns the record of an ended job's units that may still run on workers without a
// row. The next owner could not find these workers otherwise.
func (s *step) activeProgress(number int) (stepProgress, bool) {
	record := stepProgress{Repetition: number, Step: s.index}
	for _, u := range s.units {
		if u.activeMembers() == 0 {
			continue
		}
		if unitRecord := u.progress(); len(unitRecord.Addresses) > 0 {
			record.Units = append(record.Units, unitRecord)
		}
	}
	return record, len(record.Units) > 0
}

func (u *unit) progress() unitProgress {
	record := unitProgress{Index: u.index, Run: u.run, Failures: u.failures, Checkpoint: u.checkpoint}
	if !u.job.withoutLosses {
		record.Losses = u.encodeLosses()
	}
	if len(u.members) > 1 {
		record.FailedRun = u.failedRun
	}
	if u.activeMembers() > 0 {
		record.Workers = make([]string, len(u.members))
		for i, m := range u.members {
			if m.worker == nil {
				continue
			}
			record.setIncarnation(i, m.worker.Incarnation)
			if m.wasConfirmed() {
				record.setConfirmed(i, u.startedAfterMillis)
			}
			if m.wasConfirmed() && (m.startPending() || !m.earlierStartsUntil.IsZero()) {
				record.setStartPending(i)
			}
			if !m.worker.hasRow {
				record.setAddress(&m.worker.Worker)
			}
		}
	}
	return record
}
