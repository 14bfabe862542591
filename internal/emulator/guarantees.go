package emulator

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/checker"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// guaranteeMonitor looks at the table from outside and finds guaranteed jobs that
// wait although their tenant's guarantee has room for them.
type guaranteeMonitor struct {
	world *World
	// coveredSince is when a waiting job was first seen to be covered.
	coveredSince map[job.Key]time.Time
	reported     map[job.Key]bool
}

const (
	monitorPause = 2 * time.Second
	// startBound is what a covered job may wait: the longest checkpoint of the
	// load, and the orders and writes around it.
	startBound = 25 * time.Second
	// settleTime is how long after a fault nothing is judged.
	settleTime = 3 * time.Minute
)

func (w *World) watchGuarantees(until time.Time) {
	m := &guaranteeMonitor{world: w, coveredSince: map[job.Key]time.Time{}, reported: map[job.Key]bool{}}
	m.look(until)
}

func (m *guaranteeMonitor) look(until time.Time) {
	w := m.world
	m.judge()
	if w.clock.now.Before(until) {
		w.clock.After(monitorPause, func() { m.look(until) })
	}
}

func (m *guaranteeMonitor) judge() {
	w := m.world
	if w.troubled() {
		m.coveredSince = map[job.Key]time.Time{}
		return
	}
	covered := map[job.Key]bool{}
	for _, key := range m.coveredJobs() {
		covered[key] = true
		since, known := m.coveredSince[key]
		if !known {
			m.coveredSince[key] = w.clock.now
			continue
		}
		if w.clock.now.Sub(since) > startBound && !m.reported[key] {
			m.reported[key] = true
			w.History.Starved = append(w.History.Starved, checker.Starved{
				Key: key, Since: since, Until: w.clock.now, Detail: "its tenant's guarantee has room for it",
			})
		}
	}
	for key := range m.coveredSince {
		if !covered[key] {
			delete(m.coveredSince, key)
		}
	}
}

// troubled reports whether any fault is or was lately at work.
func (w *World) troubled() bool {
	if w.faults.table.Mode != "" || w.faults.reads.Mode != "" || len(w.network.cuts) > 0 || len(w.faults.workers) > 0 {
		return true
	}
	for _, outage := range w.History.Outages {
		if outage.Until.Add(settleTime).After(w.clock.now) {
			return true
		}
	}
	for _, leaving := range w.History.Leaving {
		if leaving.Until.Add(settleTime).After(w.clock.now) {
			return true
		}
	}
	return false
}

// room is one copy of a guaranteed shape.
type room struct {
	shape job.Shape
	taken bool
}

// coveredJobs lists the waiting guaranteed jobs that fit into what running ones
// leave of their tenants' guarantees.
func (m *guaranteeMonitor) coveredJobs() []job.Key {
	rooms := m.rooms()
	var running, queued []job.Record
	for _, row := range m.world.site.Table.Scan("job/", 0).Rows {
		var record job.Record
		if json.Unmarshal(row.Value, &record) != nil || !record.Spec.Guaranteed {
			continue
		}
		if record.State == job.Running {
			running = append(running, record)
		} else {
			queued = append(queued, record)
		}
	}
	slices.SortFunc(running, func(a, b job.Record) int { return a.StartedAt.Compare(b.StartedAt) })
	slices.SortFunc(queued, func(a, b job.Record) int {
		return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for i := range running {
		takeRoom(rooms, &running[i])
	}
	var covered []job.Key
	for i := range queued {
		if takeRoom(rooms, &queued[i]) {
			covered = append(covered, queued[i].Key())
		}
	}
	return covered
}

type roomKey struct {
	tenant string
	domain string
}

func (m *guaranteeMonitor) rooms() map[roomKey][]*room {
	rooms := map[roomKey][]*room{}
	for _, row := range m.world.site.Table.Scan(tenantRow, 0).Rows {
		var tenant declaration.Tenant
		if json.Unmarshal(row.Value, &tenant) != nil {
			continue
		}
		for _, guarantee := range tenant.Guarantees {
			key := roomKey{tenant.Name, guarantee.Domain}
			for range guarantee.Count {
				rooms[key] = append(rooms[key], &room{shape: guarantee.Shape})
			}
		}
	}
	return rooms
}

// takeRoom gives a job a whole copy to itself. Jobs may share one, but which do is
// not seen from outside, and this never takes a job for covered that is not.
func takeRoom(rooms map[roomKey][]*room, record *job.Record) bool {
	spec := &record.Spec
	for _, r := range rooms[roomKey{spec.Tenant, record.Domain}] {
		if !r.taken && r.shape.Members >= spec.Members && spec.Accelerators <= r.shape.Accelerators && spec.Spread.Width() >= r.shape.Spread.Width() {
			r.taken = true
			return true
		}
	}
	return false
}
