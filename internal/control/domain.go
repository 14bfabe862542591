package control

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// domain is a scheduling domain that this node holds the lease of.
type domain struct {
	node  *Node
	name  string
	epoch int64
	// epochRevision is the revision of the epoch row; every write requires it.
	epochRevision int64
	leaseRevision int64
	acquiredAt    time.Time
	// validUntil is when the holder stops acting unless it renews the lease.
	validUntil time.Time
	// active is true once the domain's state is recovered.
	active bool
	// gone is true once the domain is somebody else's.
	gone        bool
	leaving     bool
	releasing   bool
	leaveReason string
	scheduler   *schedule.Scheduler
	jobs        map[job.Key]*ownedJob
	workers     map[string]*workerState
	writer      *writer
	// inFlight counts jobs between their reservation and their start.
	inFlight     int
	waking       bool
	reportCursor int64
	renewSlot    int
	// queuedAccelerators is what the queued jobs ask for.
	queuedAccelerators int64
}

func newDomain(n *Node, name string, epoch, epochRevision int64) *domain {
	d := &domain{
		node: n, name: name, epoch: epoch, epochRevision: epochRevision,
		scheduler: schedule.New(n.options.Policy, cluster.NewState()),
		jobs:      map[job.Key]*ownedJob{},
		workers:   map[string]*workerState{},
	}
	d.writer = &writer{domain: d}
	return d
}

// abandon ends the domain's work on this node without touching what runs.
func (d *domain) abandon() {
	d.writer.close()
	for _, key := range sortedJobs(d.jobs) {
		d.jobs[key].notifyLost()
	}
}

func (d *domain) summary() blackboard.Summary {
	state := d.scheduler.Cluster()
	return blackboard.Summary{
		FreeAccelerators: state.Free(), Accelerators: state.Up(),
		QueuedJobs: d.scheduler.Waiting(), QueuedAccelerators: d.queuedAccelerators,
		RunningJobs: d.running(), UnplacedGuaranteed: d.scheduler.MissingWitness(),
	}
}

// running counts the jobs between their reservation and their end.
func (d *domain) running() int {
	count := 0
	for _, owned := range d.jobs {
		if owned.phase >= phaseReserving && owned.phase < phaseEnded {
			count++
		}
	}
	return count
}

// configure puts the board's configuration in force in the domain.
func (d *domain) configure() {
	if d.gone {
		return
	}
	missing := d.scheduler.Configure(d.node.loop.Now(), d.localTenants())
	if missing > 0 {
		d.node.record.Count(CounterRefusals, "witness_missing")
		d.node.record.LogStateChange("guaranteed capacity has no place", "domain", d.name, "members", missing)
	}
	for _, name := range sortedKeys(d.workers) {
		d.updateSchedulable(d.workers[name])
	}
	d.endImpossible()
	d.wake()
}

// endImpossible ends queued jobs that never fit any more: those that may run only
// once, where new guarantees leave them no room. Waiting on would be for ever.
func (d *domain) endImpossible() {
	for _, key := range sortedJobs(d.jobs) {
		owned := d.jobs[key]
		spec := &owned.record.Spec
		if owned.phase != phaseQueued || spec.Repeatable || spec.Guaranteed || d.scheduler.FitsFirm(spec.Shape) {
			continue
		}
		d.node.record.Count(CounterRefusals, string(fault.Unsatisfiable))
		d.endQueued(owned, job.Failed, fault.Unsatisfiable, "a job that may run only once does not fit beside the guarantees in force")
	}
}

// localTenants are the tenants with the guarantees that this domain holds.
func (d *domain) localTenants() []declaration.Tenant {
	return declaration.FilterGuarantees(d.node.board.Configuration.Declaration.Tenants, d.name)
}

// updateMachines applies changes of the machine list.
func (d *domain) updateMachines(changed []machines.Machine) {
	for _, machine := range changed {
		if d.node.domainOf(&machine) == d.name {
			d.updateMachine(machine)
		}
	}
	d.wake()
}

func (d *domain) updateMachine(machine machines.Machine) {
	w, known := d.workers[machine.Name]
	if !known {
		w = &workerState{name: machine.Name, extendedAt: d.node.loop.Now(), attempts: map[job.Key]*ownedJob{}}
		d.workers[machine.Name] = w
		d.scheduler.AddWorker(d.node.loop.Now(), machine.Name,
			cluster.Location{Region: machine.Region, Zone: machine.Zone, Rack: machine.Rack},
			cluster.CapacityOf(&machine))
	}
	w.address = machine.Address
	w.rack = machine.Region + "/" + machine.Zone + "/" + machine.Rack
	w.listed = machine.Status
	if machine.Status == machines.Live {
		w.saidLeaving = false
	}
	d.updateSchedulable(w)
}

// updateSchedulable combines what the list, the worker itself and the operators
// say of a worker.
func (d *domain) updateSchedulable(w *workerState) {
	id, ok := d.scheduler.Cluster().Lookup(w.name)
	if !ok {
		return
	}
	leaving := w.listed != machines.Live || w.saidLeaving
	if d.node.options.Mechanisms.WithoutWorkerLeaving {
		leaving = w.listed == machines.Gone
	}
	schedulable := !leaving && !w.suspect && !w.drained(d.node.board.Configuration.Declaration.DrainedRacks)
	if d.scheduler.Cluster().Workers[id].Schedulable != schedulable {
		d.scheduler.SetSchedulable(d.node.loop.Now(), id, schedulable)
		d.wake()
	}
}

// wake runs a scheduling cycle soon.
func (d *domain) wake() {
	if d.waking || !d.active {
		return
	}
	d.waking = true
	d.node.loop.Post(d.cycle)
}

func (d *domain) cycle() {
	d.waking = false
	if !d.active || d.leaving || !d.leaseValid() {
		return
	}
	for _, decision := range d.scheduler.Decide(d.node.loop.Now()) {
		owned := d.jobs[decision.Job]
		if decision.Start {
			d.reserve(owned, decision.Placement)
		} else {
			d.preempt(owned, decision.For)
		}
	}
}
