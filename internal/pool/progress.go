package pool

// progress returns the contents of the job's progress row.
func (j *job) progress() Progress {
	record := Progress{State: j.pendingState}
	if !j.endedAt.IsZero() {
		record.EndedMillis = j.endedAt.UnixMilli()
	}
	if j.withoutUnits {
		return record
	}
	encode := (*step).progress
	if j.pendingState.Final() {
		encode = (*step).activeProgress
	}
	for _, t := range j.repetitions {
		for _, s := range t.steps {
			if encoded, found := encode(s, t.number); found {
				record.Steps = append(record.Steps, encoded)
			}
		}
	}
	return record
}

func (s *step) progress(number int) (stepProgress, bool) {
	record := stepProgress{Repetition: number, Step: s.index, Complete: s.complete}
	if s.complete || s.units == nil {
		return record, s.complete
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
