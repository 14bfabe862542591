package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// model drives a scheduler as a caller would and checks it after each step.
type model struct {
	s        *Scheduler
	now      time.Time
	serial   int
	live     map[job.Key]bool
	running  map[job.Key][]cluster.WorkerID
	vacating map[job.Key]bool
}

func newModel(t *rapid.T) *model {
	m := &model{now: time.Unix(0, 0), live: map[job.Key]bool{}, running: map[job.Key][]cluster.WorkerID{}, vacating: map[job.Key]bool{}}
	policy := Default()
	policy.PreemptRatio = rapid.SampledFrom([]float64{0, 2}).Draw(t, "preempt")
	m.s = New(policy, cluster.NewState())
	for zone := range 2 {
		for rack := range 2 {
			for number := range 3 {
				m.s.AddWorker(m.now, fmt.Sprintf("r/z%d/k%d/w%d", zone, rack, number),
					cluster.Location{Region: "r", Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("k%d", rack)},
					cluster.Amount{Accelerators: 4, CPUs: 16, MemoryGB: 64, Slots: 4})
			}
		}
	}
	m.s.Configure(m.now, drawTenants(t))
	return m
}

func drawTenants(t *rapid.T) []declaration.Tenant {
	tenants := []declaration.Tenant{{Name: "a"}, {Name: "b", Quota: declaration.Quota{Accelerators: 16}}, {Name: "c"}}
	for i := range 2 {
		tenants[i].Guarantees = []declaration.Guarantee{{
			Shape: job.Shape{Members: rapid.IntRange(1, 3).Draw(t, "members"), Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"), Spread: job.SpreadRack},
			Count: rapid.IntRange(1, 2).Draw(t, "count"),
		}}
	}
	return tenants
}

func drawSpec(t *rapid.T, id string) job.Spec {
	return job.Spec{
		ID: id, Tenant: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
		Priority: rapid.SampledFrom([]job.Priority{job.Urgent, job.Normal, job.Low}).Draw(t, "priority"),
		Shape: job.Shape{
			Members: rapid.IntRange(1, 6).Draw(t, "members"), Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"),
			CPUs: rapid.IntRange(0, 4).Draw(t, "cpus"), Spread: rapid.SampledFrom([]job.Spread{job.SpreadRack, job.SpreadZone, job.SpreadAny}).Draw(t, "spread"),
		},
		Duration:   float64(rapid.IntRange(1, 100).Draw(t, "duration")),
		Checkpoint: rapid.Bool().Draw(t, "checkpoint"), CheckpointSeconds: 5,
		Guaranteed: rapid.Bool().Draw(t, "guaranteed"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
	}
}

func (m *model) submit(t *rapid.T) {
	m.serial++
	spec := drawSpec(t, fmt.Sprintf("j%d", m.serial))
	key := job.Key{Tenant: spec.Tenant, ID: spec.ID}
	m.live[key] = true
	m.s.Submit(m.now, spec, m.now, time.Duration(spec.Duration)*time.Second)
}

func (m *model) decide(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
	for _, decision := range m.s.Decide(m.now) {
		if decision.Start {
			_, already := m.running[decision.Job]
			require.False(t, already, "%v started twice", decision.Job)
			e := m.s.entries[decision.Job]
			require.Len(t, decision.Placement, e.spec.Members, "partial gang")
			m.checkSpread(t, e.spec.Spread, decision.Placement)
			m.running[decision.Job] = decision.Placement
			continue
		}
		require.Contains(t, m.running, decision.Job, "preempted a job that does not run")
		m.vacating[decision.Job] = true
	}
}

func (m *model) pick(t *rapid.T, from int) (job.Key, bool) {
	var keys []job.Key
	for key := range m.running {
		if (from == 1) == m.vacating[key] {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return job.Key{}, false
	}
	sortKeys(keys)
	return rapid.SampledFrom(keys).Draw(t, "job"), true
}

func sortKeys(keys []job.Key) {
	for i := range keys {
		for k := i; k > 0 && keys[k].ID < keys[k-1].ID; k-- {
			keys[k], keys[k-1] = keys[k-1], keys[k]
		}
	}
}

func (m *model) finish(t *rapid.T) {
	if key, ok := m.pick(t, 0); ok {
		delete(m.running, key)
		delete(m.live, key)
		m.s.Ended(m.now, key)
	}
}

func (m *model) vacate(t *rapid.T) {
	if key, ok := m.pick(t, 1); ok {
		delete(m.running, key)
		delete(m.vacating, key)
		m.s.Requeue(m.now, key, 10*time.Second)
	}
}

// probe compares the indexed search with a plain sum over all workers: a gang fits
// if and only if some group of workers as close as its spread asks has room for it.
func (m *model) probe(t *rapid.T) {
	e := &entry{spec: drawSpec(t, "probe"), remaining: time.Minute}
	e.need = cluster.PerMember(e.spec.Shape)
	room := map[string]int{}
	fits := false
	for id := range m.s.cluster.Workers {
		rack := &m.s.cluster.Racks[m.s.cluster.Workers[id].Rack]
		group := groupName(m.s.cluster, rack, e.spec.Spread)
		room[group] += m.s.room(e, cluster.WorkerID(id))
		fits = fits || room[group] >= e.spec.Members
	}
	placement := m.s.find(e)
	require.Equal(t, fits, placement != nil, "%+v", e.spec)
	if placement != nil {
		require.Len(t, placement, e.spec.Members)
		m.checkSpread(t, e.spec.Spread, placement)
	}
}

func (m *model) toggleWorker(t *rapid.T) {
	id := cluster.WorkerID(rapid.IntRange(0, len(m.s.cluster.Workers)-1).Draw(t, "worker"))
	m.s.SetSchedulable(m.now, id, !m.s.cluster.Workers[id].Schedulable)
}

func (m *model) configure(t *rapid.T) { m.s.Configure(m.now, drawTenants(t)) }

// check compares the scheduler's sums with what its jobs and slots add up to.
func (m *model) check(t *rapid.T) {
	state := m.s.cluster
	free := make([]cluster.Amount, len(state.Workers))
	firm := make([]cluster.Amount, len(state.Workers))
	held := make([]cluster.Amount, len(state.Workers))
	physical := make([]cluster.Amount, len(state.Workers))
	for _, e := range m.s.entries {
		for _, id := range e.placement {
			free[id] = free[id].Plus(e.need)
			if e.firm {
				firm[id] = firm[id].Plus(e.need)
			}
			if e.phase == running || e.phase == vacating {
				physical[id] = physical[id].Plus(e.need)
			}
		}
	}
	for _, in := range m.s.witness.instances {
		m.checkSpread(t, in.shape.Spread, unclaimedWorkers(in))
		for _, sl := range in.slots {
			if sl.worker == nowhere {
				require.Nil(t, sl.claimant)
				continue
			}
			held[sl.worker] = held[sl.worker].Plus(sl.amount)
			if sl.claimant != nil {
				held[sl.worker] = held[sl.worker].Minus(sl.claimant.need)
			}
		}
	}
	for id := range state.Workers {
		w := &state.Workers[id]
		require.Equal(t, w.Capacity.Minus(free[id]), w.Free, "free capacity of %s", w.Name)
		require.Equal(t, firm[id], w.Firm, "firm work on %s", w.Name)
		require.Equal(t, held[id], w.Held, "held on %s", w.Name)
		require.GreaterOrEqual(t, w.Capacity.Holds(physical[id]), 1, "%s is over-committed: %v of %v", w.Name, physical[id], w.Capacity)
		if w.Schedulable {
			solid := w.Solid()
			require.True(t, solid.Accelerators >= 0 && solid.CPUs >= 0 && solid.MemoryGB >= 0 && solid.Slots >= 0,
				"the witness on %s is wrong: %v left", w.Name, solid)
		}
	}
}

func unclaimedWorkers(in *instance) []cluster.WorkerID {
	var workers []cluster.WorkerID
	for _, sl := range in.slots {
		if sl.claimant == nil && sl.worker != nowhere {
			workers = append(workers, sl.worker)
		}
	}
	return workers
}

// checkSpread looks whether workers lie as close together as a spread asks.
func (m *model) checkSpread(t *rapid.T, spread job.Spread, workers []cluster.WorkerID) {
	for _, id := range workers {
		rack := m.s.cluster.Workers[id].Rack
		first := m.s.cluster.Workers[workers[0]].Rack
		if spread == job.SpreadRack {
			require.Equal(t, first, rack, "spread over racks")
		}
		if spread == job.SpreadZone {
			require.Equal(t, m.s.cluster.Racks[first].Zone, m.s.cluster.Racks[rack].Zone, "spread over zones")
		}
	}
}

func TestSchedulerKeepsItsSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit more": m.submit, "decide": m.decide, "finish": m.finish, "vacate": m.vacate,
			"toggle worker": m.toggleWorker, "probe": m.probe, "configure": m.configure, "": m.check,
		})
	})
}
