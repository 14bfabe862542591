package control

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// Impact answers what a declaration would do to a domain's jobs: it runs the next
// scheduling cycle twice on copies of the domain's state, once as configured and once
// as declared, and lists where they differ. It must run on the loop.
func (n *Node) Impact(domainName string, declared declaration.Declaration, done func([]planning.Effect, error)) {
	d, err := n.owned(domainName)
	if err != nil {
		done(nil, err)
		return
	}
	present := d.rehearse(n.board.Configuration.Declaration)
	planned := d.rehearse(declared)
	done(d.compare(present, planned, declared.DrainedRacks), nil)
}

// rehearsal is what the next cycle would decide.
type rehearsal struct {
	starts    map[job.Key]bool
	preempts  map[job.Key]job.Key
	scheduler *schedule.Scheduler
}

// rehearse decides on a copy of the domain under a declaration.
func (d *domain) rehearse(declared declaration.Declaration) rehearsal {
	now := d.node.loop.Now()
	copied := schedule.New(d.node.options.Policy, cluster.NewState())
	state := d.scheduler.Cluster()
	for i := range state.Workers {
		w := &state.Workers[i]
		known := d.workers[w.Name]
		machine := d.node.board.Machines[w.Name]
		copied.AddWorker(now, w.Name, cluster.Location{Region: machine.Region, Zone: machine.Zone, Rack: machine.Rack}, w.Capacity)
		if !w.Schedulable && !known.drained(d.node.board.Configuration.Declaration.DrainedRacks) || known.drained(declared.DrainedRacks) {
			copied.SetSchedulable(now, cluster.WorkerID(i), false)
		}
	}
	copied.Configure(now, declaration.FilterGuarantees(declared.Tenants, d.name))
	for _, key := range sortedJobs(d.jobs) {
		d.copyJob(copied, d.jobs[key], now)
	}
	result := rehearsal{starts: map[job.Key]bool{}, preempts: map[job.Key]job.Key{}, scheduler: copied}
	for _, decision := range copied.Decide(now) {
		if decision.Start {
			result.starts[decision.Job] = true
		} else {
			result.preempts[decision.Job] = decision.For
		}
	}
	return result
}

func (d *domain) copyJob(copied *schedule.Scheduler, owned *ownedJob, now time.Time) {
	record := owned.record
	switch {
	case owned.phase == phaseQueued || owned.phase == phaseReserving:
		copied.Submit(now, record.Spec, record.SubmittedAt, owned.remaining())
	case owned.phase >= phaseCommitting && owned.phase <= phaseStopping && len(record.Placement) > 0:
		if placement, known := d.placementOf(record); known {
			elapsed := now.Sub(record.StartedAt)
			copied.Restore(now, record.Spec, record.SubmittedAt, record.StartedAt, max(elapsed+time.Second, owned.remaining()), placement)
		}
	}
}

// compare lists the jobs that fare otherwise under the plan.
func (d *domain) compare(present, planned rehearsal, drained []string) []planning.Effect {
	var effects []planning.Effect
	add := func(kind string, key job.Key, detail string) {
		effects = append(effects, planning.Effect{Kind: kind, Subject: "job " + key.String(), Detail: detail})
	}
	for _, key := range sortedJobs(d.jobs) {
		owned := d.jobs[key]
		spec := &owned.record.Spec
		beneficiary, preempted := planned.preempts[key]
		_, preemptedAnyway := present.preempts[key]
		switch {
		case preempted && !preemptedAnyway:
			add("job_preempted", key, "gives way to "+beneficiary.String())
		case d.onDrained(owned, drained):
			add("job_leaves_rack", key, "runs on a drained rack to its end and gets no new attempt there")
		case owned.phase == phaseQueued && !spec.Repeatable && !spec.Guaranteed && !planned.scheduler.FitsFirm(spec.Shape):
			add("job_ends", key, "may run only once and no longer fits beside the guarantees")
		case present.starts[key] && !planned.starts[key]:
			add("job_waits", key, "would have started now")
		case planned.starts[key] && !present.starts[key]:
			add("job_starts", key, "would have waited")
		}
	}
	return effects
}

func (d *domain) onDrained(owned *ownedJob, drained []string) bool {
	for name := range owned.parts {
		w := d.workers[name]
		if w.drained(drained) && !slices.Contains(d.node.board.Configuration.Declaration.DrainedRacks, w.rack) {
			return true
		}
	}
	return false
}
