package pool

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/features"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// RestartedWorker is a worker that restarted under the same identifier.
type RestartedWorker struct {
	Worker string `json:"worker"`
	// StartMillis is the start time of the present incarnation, in milliseconds of Unix time.
	StartMillis int64 `json:"born"`
	// Restarts is the number of restarts since this owner first knew the worker.
	Restarts int `json:"times"`
	Runs     int `json:"runs"`
}

// maxRestartedWorkers limits the number of workers in Summary.Restarted.
const maxRestartedWorkers = 16

// Summary is the status of a pool for operators.
type Summary struct {
	// Loaded is true once the pool's rows are read.
	Loaded bool `json:"loaded"`
	// Policies are the optional scheduling policies in use.
	Policies features.Set `json:"policies"`
	// Jobs counts jobs by state.
	Jobs map[taskgraph.State]int `json:"jobs"`
	// WaitingUnits counts tasks and gangs that wait for placement.
	WaitingUnits int `json:"waiting_units"`
	Workers      int `json:"workers"`
	// Unusable counts the workers that get no new runs. Slow counts the workers that gangs avoid.
	// Unresponsive counts the workers with unanswered calls.
	Unusable     int `json:"unusable"`
	Slow         int `json:"slow"`
	Unresponsive int `json:"silent"`
	Runs         int `json:"runs"`
	// EvacuatedZones get no new runs, and RunsInEvacuatedZones counts the runs that continue in
	// these zones. EvacuationsAgeMillis is the age of the set of evacuated zones, and
	// EvacuationsFresh is false if the set is too old for starts.
	EvacuatedZones       []string `json:"evacuated_zones"`
	RunsInEvacuatedZones int      `json:"runs_in_evacuated_zones"`
	EvacuationsAgeMillis int64    `json:"evacuations_age_ms"`
	EvacuationsFresh     bool     `json:"evacuations_known"`
	// WaitingForZones counts units that could be placed if no zone was evacuated.
	WaitingForZones int `json:"waiting_for_evacuated_zones"`
	// Suspects counts the waiting and running tasks and gangs that are suspected of crashing
	// workers.
	Suspects int `json:"suspects"`
	// SuspectedWorkers counts the workers that seem to fail their runs.
	SuspectedWorkers int `json:"suspected_workers"`
	// Restarted lists the workers with the most restarts, and Restarts counts the restarts of all
	// workers.
	Restarted []RestartedWorker `json:"restarted"`
	Restarts  int               `json:"restarts"`
	// InvalidWorkerRows counts invalid worker rows.
	InvalidWorkerRows int `json:"foreign_rows"`
	// Tenants are the tenants' shares of the pool, by name; empty while tenants do not share it by
	// their weights.
	Tenants []TenantStatus `json:"tenants,omitempty"`
	// SinceOwnershipConfirmedMillis is the time since the owner last was known to hold the pool.
	SinceOwnershipConfirmedMillis int64 `json:"confirmed_ms"`
}

// Summary returns the pool's current status.
func (p *Pool) Summary() Summary {
	summary := Summary{Loaded: p.loaded, Policies: p.features(), Jobs: map[taskgraph.State]int{}, WaitingUnits: len(p.waitingUnits()), Workers: len(p.workers)}
	for _, j := range p.jobs {
		summary.Jobs[j.pendingState]++
	}
	now := p.loop.Now()
	summary.SinceOwnershipConfirmedMillis = now.Sub(p.ownershipConfirmedAt).Milliseconds()
	zones := p.evacuatedZones()
	summary.EvacuatedZones, summary.EvacuationsFresh = zones.Zones(), p.evacuationsFresh(now)
	summary.EvacuationsAgeMillis, summary.RunsInEvacuatedZones = now.Sub(zones.AsOf).Milliseconds(), p.runsInEvacuatedZones()
	for u := range p.openUnits() {
		if u.state == unitWaiting && u.lastWaitReason() == waitEvacuated {
			summary.WaitingForZones++
		}
		if u.suspectedOfCrashes() {
			summary.Suspects++
		}
	}
	summary.SuspectedWorkers = p.health.SuspectedWorkers(now)
	if summary.Policies.TenantSharing {
		summary.Tenants = p.tenantStatus(now)
	}
	summary.InvalidWorkerRows = len(p.invalidRows.faults)
	summary.addRestarted(p.sortedWorkers())
	for _, w := range p.workers {
		summary.Runs += len(w.members)
		if !p.usable(w, now) {
			summary.Unusable++
		}
		if p.avoidedByGangs(w) {
			summary.Slow++
		}
		if w.unansweredCalls > 0 {
			summary.Unresponsive++
		}
	}
	return summary
}

// addRestarted adds the restarted workers, those with the most restarts first.
func (s *Summary) addRestarted(workers []*worker) {
	for _, w := range workers {
		if w.restarts > 0 {
			s.Restarts += w.restarts
			s.Restarted = append(s.Restarted, RestartedWorker{Worker: w.ID, StartMillis: w.StartMillis, Restarts: w.restarts, Runs: len(w.members)})
		}
	}
	slices.SortStableFunc(s.Restarted, func(a, b RestartedWorker) int { return cmp.Compare(b.Restarts, a.Restarts) })
	s.Restarted = s.Restarted[:min(len(s.Restarted), maxRestartedWorkers)]
}
