package loadsim

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// ClassResult is the outcome of the jobs of a class.
type ClassResult struct {
	Name                       string
	Jobs, OnTime, Late, Missed int
	// ValueShare is the earned share of the attainable value.
	Worth float64
}

// Result is the outcome of one simulation of a load.
type Result struct {
	Classes []ClassResult
	// ValueShare is the earned share of the attainable value of all classes.
	ValueShare float64
	// Served is the share of jobs that completed in time or late.
	Served float64
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
	// fixedValueShare of a job's value does not depend on its size; the size factor is at most
	// maxSizeFactor.
	fixedValueShare = 0.3
	maxSizeFactor   = 4
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

// Simulate runs a load with some mechanisms switched off.
func (l *Load) Simulate(seed uint64, off mechanism.Disabled) Result {
	arrivals := l.generateArrivals(seed)
	w := simulation.NewCluster(l.Racks, l.PerRack)
	w.DisabledMechanisms, w.StopTime, w.Checker.Quiet = off, stopTime, true
	w.Bounds.StopTimeout, w.Bounds.CheckpointInterval, w.Bounds.GuaranteedStartTimeout = stopTime, checkpointInterval, reclaimTime
	slowness := l.randomSlowdowns(seed)
	for i, worker := range w.Workers {
		worker.SetCapacity(workerCapacity, 0)
		worker.SlowdownFactor = slowness[i]
	}
	for i := range l.Classes {
		queue := l.Classes[i].Queue
		queue.Pool = simulation.PoolName
		w.Catalog.Queues = append(w.Catalog.Queues, queue)
	}
	works := map[string]time.Duration{}
	for i := range arrivals {
		works[arrivals[i].spec.ID] = arrivals[i].work
	}
	w.Work = func(name taskgraph.TaskName) time.Duration { return works[name.Job] }
	w.AcquirePool()
	w.Run(time.Second)
	ends := l.runArrivals(w, arrivals)
	return l.evaluate(w, arrivals, ends)
}

// runArrivals submits the jobs and returns the completion times of those that complete.
func (l *Load) runArrivals(w *simulation.Cluster, arrivals []arrival) map[string]time.Duration {
	ends := map[string]time.Duration{}
	open := map[string]time.Duration{}
	next := 0
	for now := time.Duration(0); now < l.Length+drainTime && (next < len(arrivals) || len(open) > 0); now += pollPeriod {
		for ; next < len(arrivals) && arrivals[next].at <= now; next++ {
			w.Submit(arrivals[next].spec, l.Classes[arrivals[next].class].Queue)
			open[arrivals[next].spec.ID] = now
		}
		w.Run(pollPeriod)
		for id, since := range open {
			if w.Checker.JobDone(id) {
				ends[id] = now + pollPeriod - since
				delete(open, id)
			}
		}
	}
	return ends
}

func (l *Load) evaluate(w *simulation.Cluster, arrivals []arrival, ends map[string]time.Duration) Result {
	result := Result{
		Classes: make([]ClassResult, len(l.Classes)), Violations: w.Checker.Violations,
		Placed: w.Checker.DecisionCounts["placed"], Preempted: w.Checker.Metrics["stops/preempted"],
		MaxPreemptions: w.Checker.MaxPreemptions(), LostCoreSeconds: w.Checker.LostCoreSeconds,
	}
	attainable, earned := make([]float64, len(l.Classes)), make([]float64, len(l.Classes))
	sizes := l.meanSizes(arrivals)
	for i := range arrivals {
		a := &arrivals[i]
		size := min(maxSizeFactor, fixedValueShare+(1-fixedValueShare)*a.size()/sizes[a.class])
		took, ended := ends[a.spec.ID]
		attainable[a.class] += size * l.Classes[a.class].Value
		earned[a.class] += size * l.jobValue(a, took, ended, &result.Classes[a.class])
	}
	result.addTotals(l, attainable, earned)
	return result
}

// jobValue returns the value of a job of mean size by its completion time, and counts the job.
func (l *Load) jobValue(a *arrival, took time.Duration, ended bool, counts *ClassResult) float64 {
	class := &l.Classes[a.class]
	objective := class.Queue.Objective(a.work)
	counts.Jobs++
	switch {
	case ended && took <= objective:
		counts.OnTime++
		return class.Value
	case ended && took <= lateFactor*objective:
		counts.Late++
		return class.LateValue
	}
	counts.Missed++
	return 0
}

// addTotals computes the shares of each class and of all classes.
func (r *Result) addTotals(l *Load, owed, earned []float64) {
	allOwed, allEarned := 0.0, 0.0
	jobs, served := 0, 0
	for k := range r.Classes {
		class := &r.Classes[k]
		class.Name = l.Classes[k].Queue.Name
		class.Worth = earned[k] / max(owed[k], minAttainable)
		allOwed += owed[k]
		allEarned += earned[k]
		jobs += class.Jobs
		served += class.OnTime + class.Late
	}
	r.ValueShare = allEarned / max(allOwed, minAttainable)
	r.Served = float64(served) / float64(max(1, jobs))
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
