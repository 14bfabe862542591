package loadsim

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// ClassResult is the outcome of the jobs of a class.
type ClassResult struct {
	Name                       string
	Jobs, OnTime, Late, Missed int
	// GivenUp counts the missed jobs that the owner has marked as failed.
	GivenUp int
	// Worth is the earned share of the attainable value.
	Worth float64
}

// TenantResult is the outcome of the jobs of a tenant.
type TenantResult struct {
	Name string
	Jobs int
	// Worth is the earned share of the attainable value.
	Worth float64
}

// Result is the outcome of one simulation of a load.
type Result struct {
	Classes []ClassResult
	Tenants []TenantResult
	// MeanTenant is the mean worth of the tenants, large or small, and WorstTenants that of the
	// worst-served tenth of them; 0 without tenants.
	MeanTenant, WorstTenants float64
	// ValueShare is the earned share of the attainable value of all classes.
	ValueShare float64
	// Served is the share of jobs that completed in time or late.
	Served float64
	// GivenUp is the share of jobs that the owner has marked as failed.
	GivenUp float64
	// Placed and Preempted count the placements and preemptions of tasks and gangs.
	Placed, Preempted int
	// MaxPreemptions is the highest number of preemptions of one task or gang.
	MaxPreemptions int
	// LostCoreSeconds is the unsaved work of stopped runs, in core-seconds.
	LostCoreSeconds float64
	// Violations lists the violated invariants.
	Violations []string
}

const (
	// fixedValueShare is the share of a job's value that does not depend on the job's size.
	fixedValueShare = 0.3
	// maxSizeFactor is the maximum factor on a job's value for the job's size.
	maxSizeFactor = 4
	// A job that takes longer than lateFactor times its objective has no value.
	lateFactor = 3
	// minAttainable avoids a division by zero if no value is attainable.
	minAttainable = 1e-9
	// drainTime is how long the simulation continues after the last arrival.
	drainTime = 40 * time.Second
	// pollPeriod is the interval at which completed jobs are detected.
	pollPeriod = 50 * time.Millisecond
	// Timing of large pools on the platform.
	stopTime           = 200 * time.Millisecond
	checkpointInterval = 500 * time.Millisecond
	reclaimTime        = 2700 * time.Millisecond
)

// Simulate runs a load under one variant of the scheduler.
func (l *Load) Simulate(seed uint64, variant Variant) Result {
	return l.simulateWith(seed, variant, func(*simulation.Cluster) {})
}

// simulateWith runs a load as Simulate does, on a cluster that prepare may change.
func (l *Load) simulateWith(seed uint64, variant Variant, prepare func(*simulation.Cluster)) Result {
	arrivals := l.generateArrivals(seed)
	cluster := simulation.NewCluster(l.Racks, l.PerRack)
	cluster.Features, cluster.DisabledMechanisms = variant.Features, variant.DisabledMechanisms
	cluster.StopTime, cluster.Checker.Quiet = stopTime, true
	cluster.Bounds.StopTimeout, cluster.Bounds.CheckpointInterval, cluster.Bounds.GuaranteedStartTimeout = stopTime, checkpointInterval, reclaimTime
	slowdowns := l.randomSlowdowns(seed)
	for i, worker := range cluster.Workers {
		worker.SetCapacity(l.Capacity, 0)
		worker.SlowdownFactor = slowdowns[i]
	}
	for i := range l.Classes {
		queue := l.Classes[i].Queue
		queue.Pool = simulation.PoolName
		cluster.Catalog.Queues = append(cluster.Catalog.Queues, queue)
	}
	for _, tenant := range l.Tenants {
		cluster.Catalog.Tenants = append(cluster.Catalog.Tenants, catalog.Tenant{
			Name: tenant.Name, Guaranteed: taskgraph.Resources{GPUs: tenant.GuaranteedGPUs},
		})
	}
	works := map[string]time.Duration{}
	for i := range arrivals {
		works[arrivals[i].spec.ID] = arrivals[i].work
	}
	cluster.Work = func(name taskgraph.TaskName) time.Duration { return works[name.Job] }
	prepare(cluster)
	owner := cluster.AcquirePool()
	cluster.Run(time.Second)
	if variant.TakeoverAt > 0 {
		cluster.Clock.After(variant.TakeoverAt, func() {
			owner.Process.Kill()
			cluster.AcquirePool()
		})
	}
	ends := l.runArrivals(cluster, arrivals, l.randomFailingWorkers(seed))
	return l.evaluate(cluster, arrivals, ends)
}

// runArrivals submits the jobs, and makes workers fail in the failure periods. It returns the time
// from submission to completion of each completed job.
func (l *Load) runArrivals(cluster *simulation.Cluster, arrivals []arrival, failing [][]bool) map[string]time.Duration {
	ends := map[string]time.Duration{}
	unfinished := map[string]time.Duration{}
	next := 0
	for now := time.Duration(0); now < l.Length+drainTime && (next < len(arrivals) || len(unfinished) > 0); now += pollPeriod {
		l.setFailing(cluster, failing, now)
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			cluster.SubmitOf(l.tenantName(&arrivals[next]), arrivals[next].spec, l.Classes[arrivals[next].class].Queue)
			unfinished[arrivals[next].spec.ID] = now
		}
		cluster.Run(pollPeriod)
		for id, submittedAt := range unfinished {
			if cluster.Checker.JobDone(id) {
				ends[id] = now + pollPeriod - submittedAt
				delete(unfinished, id)
			}
		}
	}
	return ends
}

// setFailing sets which workers fail at a time.
func (l *Load) setFailing(cluster *simulation.Cluster, failing [][]bool, now time.Duration) {
	for i, worker := range cluster.Workers {
		worker.Failing = false
		for k := range l.Failures {
			during := now >= l.Failures[k].From && now < l.Failures[k].Until
			worker.Failing = worker.Failing || during && failing[k][i]
		}
	}
}

func (l *Load) evaluate(cluster *simulation.Cluster, arrivals []arrival, ends map[string]time.Duration) Result {
	result := Result{
		Classes: make([]ClassResult, len(l.Classes)), Violations: cluster.Checker.Violations,
		Placed: cluster.Checker.DecisionCounts["placed"], Preempted: cluster.Checker.Metrics["stops/preempted"],
		MaxPreemptions: cluster.Checker.MaxPreemptions(), LostCoreSeconds: cluster.Checker.LostCoreSeconds,
	}
	attainable, earned := make([]float64, len(l.Classes)), make([]float64, len(l.Classes))
	tenants := newTenantValues(l.Tenants)
	sizes := l.meanSizes(arrivals)
	for i := range arrivals {
		a := &arrivals[i]
		size := min(maxSizeFactor, fixedValueShare+(1-fixedValueShare)*a.size()/sizes[a.class])
		duration, ended := ends[a.spec.ID]
		possible, value := size*l.Classes[a.class].Value, size*l.jobValue(a, duration, ended, &result.Classes[a.class])
		attainable[a.class] += possible
		earned[a.class] += value
		tenants.add(a.tenant, possible, value)
		if cluster.StoredState(a.spec.ID) == taskgraph.Failed {
			result.Classes[a.class].GivenUp++
		}
	}
	result.addTotals(l, attainable, earned)
	result.Tenants = tenants.results()
	result.MeanTenant, result.WorstTenants = summarizeTenants(result.Tenants)
	return result
}

// jobValue returns the value that a job of mean size earns with the given time to completion. It
// also counts the job.
func (l *Load) jobValue(a *arrival, duration time.Duration, ended bool, counts *ClassResult) float64 {
	class := &l.Classes[a.class]
	objective := class.Queue.Objective(a.work)
	counts.Jobs++
	switch {
	case ended && duration <= objective:
		counts.OnTime++
		return class.Value
	case ended && duration <= lateFactor*objective:
		counts.Late++
		return class.LateValue
	}
	counts.Missed++
	return 0
}

// addTotals computes the shares of each class and of all classes.
func (r *Result) addTotals(l *Load, attainable, earned []float64) {
	totalAttainable, totalEarned := 0.0, 0.0
	jobs, served, givenUp := 0, 0, 0
	for k := range r.Classes {
		class := &r.Classes[k]
		class.Name = l.Classes[k].Queue.Name
		class.Worth = earned[k] / max(attainable[k], minAttainable)
		totalAttainable += attainable[k]
		totalEarned += earned[k]
		jobs += class.Jobs
		served += class.OnTime + class.Late
		givenUp += class.GivenUp
	}
	r.ValueShare = totalEarned / max(totalAttainable, minAttainable)
	r.Served = float64(served) / float64(max(1, jobs))
	r.GivenUp = float64(givenUp) / float64(max(1, jobs))
}

// size returns the job's work in core-seconds.
func (a *arrival) size() float64 {
	step := &a.spec.Steps[0]
	return step.Resources.Cores() * float64(step.Count) * a.work.Seconds()
}

func (l *Load) meanSizes(arrivals []arrival) []float64 {
	sums, counts := make([]float64, len(l.Classes)), make([]float64, len(l.Classes))
	for i := range arrivals {
		sums[arrivals[i].class] += arrivals[i].size()
		counts[arrivals[i].class]++
	}
	for k := range sums {
		sums[k] /= max(1, counts[k])
	}
	return sums
}
