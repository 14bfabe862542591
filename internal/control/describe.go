package control

import "fmt"

// Describe returns a readable account of what the node owns: each domain, its jobs
// that have not ended, and its workers that are not fully in service. It must run
// on the loop.
func (n *Node) Describe() []string {
	lines := []string{fmt.Sprintf("configuration version %d, %d members alive, draining %t",
		n.board.Configuration.Version, len(n.liveMembers()), n.board.Draining)}
	for _, name := range sortedKeys(n.domains) {
		lines = append(lines, n.domains[name].describe()...)
	}
	return lines
}

func (d *domain) describe() []string {
	lines := []string{fmt.Sprintf("domain %s: epoch %d, active %t, lease valid %t, leaving %t, %d jobs in flight, %d writes waiting, %d queued, %d guaranteed members without a place",
		d.name, d.epoch, d.active, d.leaseValid(), d.leaving, d.inFlight, len(d.writer.waiting)+len(d.writer.current),
		d.scheduler.Waiting(), d.scheduler.MissingWitness())}
	for _, key := range sortedJobs(d.jobs) {
		owned := d.jobs[key]
		if owned.phase == phaseEnded {
			continue
		}
		explanation := d.scheduler.Explain(d.node.loop.Now(), key)
		lines = append(lines, fmt.Sprintf("  job %s: %s, attempt %d, %s", key, owned.record.State, owned.attempt, explanation.Reason))
	}
	return append(lines, d.describeWorkers()...)
}

func (d *domain) describeWorkers() []string {
	var lines []string
	state := d.scheduler.Cluster()
	for i := range state.Workers {
		worker := &state.Workers[i]
		known := d.workers[worker.Name]
		if worker.Schedulable && !known.saidLeaving && !known.suspect {
			continue
		}
		lines = append(lines, fmt.Sprintf("  worker %s: listed %s, says leaving %t, suspect %t, %d attempts",
			worker.Name, known.listed, known.saidLeaving, known.suspect, len(known.attempts)))
	}
	return lines
}
