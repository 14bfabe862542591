package pool

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// RestartedWorker is a worker that started again under its identifier.
type RestartedWorker struct {
	Worker string `json:"worker"`
	// Born is when its present life began, in milliseconds since 1970.
	Born int64 `json:"born"`
	// Times is how often it came back since the owner met it.
	Times int `json:"times"`
	Runs  int `json:"runs"`
}

// mostRestarted bounds the workers that a summary names.
const mostRestarted = 16

// Summary is an owner's account of its pool for operators.
type Summary struct {
	// Loaded is true once the rows are read.
	Loaded bool `json:"loaded"`
	// Jobs counts jobs by state.
	Jobs map[taskgraph.State]int `json:"jobs"`
	// WaitingUnits counts tasks and gangs that want a place.
	WaitingUnits int `json:"waiting_units"`
	Workers      int `json:"workers"`
	// Unusable counts workers that take no new work, Slow those that take longer than
	// most, and Silent those that do not answer.
	Unusable int `json:"unusable"`
	Slow     int `json:"slow"`
	Silent   int `json:"silent"`
	Runs     int `json:"runs"`
	// EvacuatedZones take nothing new; RunsThere run on in them. EvacuationsMillis is the age of
	// what is known of them, and EvacuationsKnown is false if that is too old for starts.
	EvacuatedZones    []string `json:"evacuated_zones"`
	RunsThere         int      `json:"runs_in_evacuated_zones"`
	EvacuationsMillis int64    `json:"evacuations_age_ms"`
	EvacuationsKnown  bool     `json:"evacuations_known"`
	// WaitingForZones counts units that would find room if no zone was evacuated.
	WaitingForZones int `json:"waiting_for_evacuated_zones"`
	// Suspects counts the tasks and gangs that wait or run and may well crash workers.
	Suspects int `json:"suspects"`
	// Restarted names the workers that came back most often, and Restarts counts all their returns.
	Restarted []RestartedWorker `json:"restarted"`
	Restarts  int               `json:"restarts"`
	// ForeignRows counts rows of workers that another writer left.
	ForeignRows int `json:"foreign_rows"`
	// ConfirmedMillis is how long ago the owner was last known not to be replaced.
	ConfirmedMillis int64 `json:"confirmed_ms"`
}

// Summary returns the owner's account of its pool.
func (p *Pool) Summary() Summary {
	summary := Summary{Loaded: p.loaded, Jobs: map[taskgraph.State]int{}, WaitingUnits: len(p.waitingUnits()), Workers: len(p.workers)}
	for _, j := range p.jobs {
		summary.Jobs[j.next]++
	}
	now := p.loop.Now()
	summary.ConfirmedMillis = now.Sub(p.confirmedAt).Milliseconds()
	zones := p.evacuated()
	summary.EvacuatedZones, summary.EvacuationsKnown = zones.Zones(), p.evacuationsKnown(now)
	summary.EvacuationsMillis, summary.RunsThere = now.Sub(zones.AsOf).Milliseconds(), p.runsInEvacuatedZones()
	for u := range p.openUnits() {
		if u.state == unitWaiting && u.waitedFor() == waitEvacuated {
			summary.WaitingForZones++
		}
		if u.suspected() {
			summary.Suspects++
		}
	}
	summary.ForeignRows = len(p.foreign.faults)
	summary.addRestarted(p.sortedWorkers())
	for _, w := range p.workers {
		summary.Runs += len(w.members)
		if !p.usable(w, now) {
			summary.Unusable++
		}
		if p.slow(w) {
			summary.Slow++
		}
		if w.unanswered > 0 {
			summary.Silent++
		}
	}
	return summary
}

// addRestarted adds the workers that came back, most often first.
func (s *Summary) addRestarted(workers []*worker) {
	for _, w := range workers {
		if w.restarts > 0 {
			s.Restarts += w.restarts
			s.Restarted = append(s.Restarted, RestartedWorker{Worker: w.ID, Born: w.Born, Times: w.restarts, Runs: len(w.members)})
		}
	}
	slices.SortStableFunc(s.Restarted, func(a, b RestartedWorker) int { return cmp.Compare(b.Times, a.Times) })
	s.Restarted = s.Restarted[:min(len(s.Restarted), mostRestarted)]
}
