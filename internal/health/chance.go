package health

import "time"

// The chance that a worker fails its next run is the share of failing workers among those like it,
// corrected by its own runs. A group or worker of which little is known is assumed to be like the
// next larger group.
const (
	// baseShare is the assumed share of failing workers of a pool of which nothing is known.
	baseShare = 0.001
	// poolWeight, groupWeight and ownWeight are the number of workers, or runs, that the assumption
	// about a pool, a group or a worker is worth.
	poolWeight  = 10
	groupWeight = 4
	ownWeight   = 1
)

// tally counts workers by what is known of them, with the weight of its age.
type tally struct {
	failing, healthy float64
}

// share returns the share of failing workers. assumed is the share that holds without any evidence,
// and weight the number of workers that it is worth.
func (t tally) share(assumed, weight float64) float64 {
	return (t.failing + weight*assumed) / (t.failing + t.healthy + weight)
}

// tallies counts the workers of a pool and of its groups, and the suspects whatever their age.
type tallies struct {
	pool            tally
	racks, versions map[string]tally
	suspects        int
	// severalJobs is true if the suspects have failed runs of different jobs, and suspectJob is the
	// job of the suspects counted so far.
	severalJobs bool
	suspectJob  string
}

// addSuspect counts a suspect. The job is empty if the suspect has failed several jobs, or if they are
// not known.
func (t *tallies) addSuspect(job string) {
	if job == "" || t.suspects > 0 && job != t.suspectJob {
		t.severalJobs = true
	}
	t.suspects++
	t.suspectJob = job
}

// tallyWorkers counts the known workers. Failures of exceptJob don't count, unless it is empty.
func (r *Record) tallyWorkers(exceptJob string, now time.Time) tallies {
	counted := tallies{racks: map[string]tally{}, versions: map[string]tally{}}
	for _, w := range r.workers {
		if w.suspected(now) {
			counted.addSuspect(w.failedJob)
		}
		var added tally
		switch {
		case w.suspected(now) && (exceptJob == "" || w.failedJob != exceptJob):
			added.failing = weightAt(now.Sub(w.failedAt))
		case w.provenSince(r.onset, now):
			added.healthy = weightAt(now.Sub(w.healthyAt))
		default:
			continue
		}
		counted.pool = counted.pool.plus(added)
		counted.racks[w.machine.Rack] = counted.racks[w.machine.Rack].plus(added)
		counted.versions[w.machine.Version] = counted.versions[w.machine.Version].plus(added)
	}
	return counted
}

func (t tally) plus(other tally) tally {
	return tally{failing: t.failing + other.failing, healthy: t.healthy + other.healthy}
}

// assumedShare returns the share of failing workers among the workers like one, as far as known.
func (t *tallies) assumedShare(machine Machine) float64 {
	pool := t.pool.share(baseShare, poolWeight)
	share := pool
	if machine.Rack != "" {
		share = max(share, t.racks[machine.Rack].share(pool, groupWeight))
	}
	if machine.Version != "" {
		share = max(share, t.versions[machine.Version].share(pool, groupWeight))
	}
	return share
}

// chance returns the chance that a worker fails its next run.
func (t *tallies) chance(w *workerRecord, machine Machine, now time.Time) float64 {
	assumed := t.assumedShare(machine)
	if w == nil {
		return assumed
	}
	failures := float64(w.failures) * weightAt(now.Sub(w.failedAt))
	successes := float64(w.successes) * weightAt(now.Sub(w.healthyAt))
	return (failures + ownWeight*assumed) / (failures + successes + ownWeight)
}
