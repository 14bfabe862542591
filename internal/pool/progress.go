package pool

import (
	"github.com/wheatroad/wheatroad/internal/fleet"
)

// progress renders the job's row.
func (j *job) progress() Progress {
	record := Progress{State: j.next}
	if !j.endedAt.IsZero() {
		record.EndedMillis = j.endedAt.UnixMilli()
	}
	render := (*step).progress
	if j.next.Final() {
		render = (*step).leftovers
	}
	for _, t := range j.times {
		for _, s := range t.steps {
			if rendered, any := render(s, t.number); any {
				record.Steps = append(record.Steps, rendered)
			}
		}
	}
	return record
}

func (s *step) progress(number int) (stepProgress, bool) {
	record := stepProgress{Time: number, Step: s.index, Complete: s.complete}
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

// leftovers renders the units of an ended job that may still run on workers whose rows are
// gone, where a next owner would not find them.
func (s *step) leftovers(number int) (stepProgress, bool) {
	record := stepProgress{Time: number, Step: s.index}
	for _, u := range s.units {
		if u.active() == 0 {
			continue
		}
		if rendered := u.progress(); len(rendered.Addresses) > 0 {
			record.Units = append(record.Units, rendered)
		}
	}
	return record, len(record.Units) > 0
}

func (u *unit) progress() unitProgress {
	record := unitProgress{Index: u.index, Run: u.run, Failures: u.failures, Checkpoint: u.checkpoint, Losses: u.keptLosses()}
	if u.active() > 0 {
		record.Workers = make([]string, len(u.members))
		for i, m := range u.members {
			if m.worker == nil {
				continue
			}
			record.noteLife(i, m.worker.Life)
			if m.wasConfirmed() {
				record.noteConfirmed(i)
			}
			if !m.worker.listed {
				record.noteAddress(&m.worker.Worker)
			}
		}
	}
	return record
}

// noteConfirmed notes that a member's run was confirmed.
func (r *unitProgress) noteConfirmed(member int) {
	if r.Confirmed == nil {
		r.Confirmed = newBitset(len(r.Workers))
	}
	bitset(r.Confirmed).set(member)
}

// noteLife names the life of a worker that a member may run in.
func (r *unitProgress) noteLife(member int, life fleet.Life) {
	r.Workers[member] = life.ID
	if life.Born == 0 {
		return
	}
	if r.Born == nil {
		r.Born = make([]int64, len(r.Workers))
	}
	r.Born[member] = life.Born
}

func (r *unitProgress) noteAddress(w *fleet.Worker) {
	if r.Addresses == nil {
		r.Addresses = map[string]string{}
	}
	r.Addresses[w.ID] = w.Address
}
