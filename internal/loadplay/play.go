package loadplay

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// ClassResult is what became of the jobs of a class.
type ClassResult struct {
	Name                       string
	Jobs, OnTime, Late, Missed int
	// Worth is the share of what the jobs could have earned.
	Worth float64
}

// Result is what one play of a load came to.
type Result struct {
	Classes []ClassResult
	// Worth is the share of all that could be earned.
	Worth float64
	// Served is the share of jobs that ended in time or late.
	Served float64
	// Placed and Preempted count runs of tasks and gangs that were placed, and stopped for others.
	Placed, Preempted int
	// MostStops is how often one task or gang was stopped for others at most.
	MostStops int
	// ThrownAway is the work of stopped runs that no checkpoint held, in core-seconds.
	ThrownAway float64
	// Broken are promises that were broken.
	Broken []string
}

const (
	// fixedValueShare of a job's worth does not depend on its size; a job earns four times the
	// mean at most.
	fixedValueShare = 0.3
	maxSizeFactor   = 4
	// lateFactor times its objective after its arrival a job earns nothing any more.
	lateFactor = 3
	// minAttainable stands for nothing owed, of which all is earned or none.
	minAttainable = 1e-9
	// drainTime is how long after the last arrival jobs are waited for.
	drainTime = 40 * time.Second
	// pollPeriod is how often ends are looked for.
	pollPeriod = 50 * time.Millisecond
	// stopTime and checkpoints are those of large pools of the platform.
	stopTime           = 200 * time.Millisecond
	checkpointInterval = 500 * time.Millisecond
	reclaimTime        = 2700 * time.Millisecond
)

// Simulate plays a load by seed, with some mechanisms switched off.
func (l *Load) Simulate(seed uint64, off mechanism.Off) Result {
	arrivals := l.generateArrivals(seed)
	w := simulation.NewWorld(l.Racks, l.PerRack)
	w.Off, w.StopTime, w.Judge.Quiet = off, stopTime, true
	w.Bounds.StopTimeout, w.Bounds.CheckpointInterval, w.Bounds.Reclaim = stopTime, checkpointInterval, reclaimTime
	slowness := l.randomSlowdowns(seed)
	for i, worker := range w.Workers {
		worker.SetCapacity(workerCapacity, 0)
		worker.Slowness = slowness[i]
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
	w.Own()
	w.Run(time.Second)
	ends := l.runArrivals(w, arrivals)
	return l.evaluate(w, arrivals, ends)
}

// runArrivals hands the jobs in and returns how long each took that ended well.
func (l *Load) runArrivals(w *simulation.World, arrivals []arrival) map[string]time.Duration {
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
			if w.Judge.JobDone(id) {
				ends[id] = now + pollPeriod - since
				delete(open, id)
			}
		}
	}
	return ends
}

func (l *Load) evaluate(w *simulation.World, arrivals []arrival, ends map[string]time.Duration) Result {
	result := Result{
		Classes: make([]ClassResult, len(l.Classes)), Broken: w.Judge.Broken,
		Placed: w.Judge.Decisions["placed"], Preempted: w.Judge.Counts["stops/preempted"],
		MostStops: w.Judge.MostStops(), ThrownAway: w.Judge.ThrownAway,
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

// jobValue returns what a job of mean size earns by the time it took, and counts it.
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

// addTotals adds up the classes.
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
	r.Worth = allEarned / max(allOwed, minAttainable)
	r.Served = float64(served) / float64(max(1, jobs))
}

// size is a job's work in core-seconds.
func (a *arrival) size() float64 {
	step := &a.spec.Steps[0]
	return step.Amount.Cores() * float64(step.Count) * a.work.Seconds()
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
