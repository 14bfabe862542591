package pool

// A worker lists at most Bounds.MaxListedEnds ended runs in a report, the oldest first, and drops them
// once the owner acknowledges them. While the owner holds an acknowledgement back, the list grows with
// each run that ends. The owner could not see the ends beyond the limit, so it gives no more runs to a
// worker than the worker can list.

// canListRun reports whether the worker could list the end of one more run beside those of all runs
// that it may have.
func (p *Pool) canListRun(w *worker) bool {
	limit := p.options.Bounds.MaxListedEnds
	if limit == 0 {
		return true
	}
	// A full list does not tell whether the worker has further ended runs.
	return w.listedEnds+len(w.members)+len(w.unexpected)+1 < limit
}

// excludeFullReports takes no further runs in a cycle for the workers whose lists have no room left.
func (p *Pool) excludeFullReports(s *snapshot, places []int) {
	for _, place := range places {
		if !p.canListRun(s.poolWorkers[place]) {
			s.workers[place].Usable = false
		}
	}
}
