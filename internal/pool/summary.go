package pool

import "github.com/wheatroad/wheatroad/internal/taskgraph"

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
