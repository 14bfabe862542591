package pool

import "github.com/wheatroad/wheatroad/internal/compatibility"

// A row of the baseline format lists each complete step of each repetition, as long as its job lives. A job
// with a long schedule outgrows it. Such a job's row then lists ended repetitions as ranges, which owners of
// earlier versions do not understand: they would run the repetitions again. The pool's lease therefore
// states the format first, on condition that all known nodes read it; until then such a job begins nothing
// that its row has no room for.

const (
	// completeStepBytes is an upper bound on the size of a complete step in a row of the baseline format.
	completeStepBytes = 30
	// compactRowRatio is the share of the store's limit that complete steps may fill in a row of the baseline
	// format.
	compactRowRatio = 0.25
)

// completeStepsBytes returns the size of the complete steps in a row of the baseline format.
func (j *job) completeStepsBytes() int {
	count := j.repetitions.ended.count() * len(j.Spec.Steps)
	for _, t := range j.repetitions.open {
		count += t.ended
	}
	return count * completeStepBytes
}

// outgrowsBaseline reports whether the job's complete steps take so much room in a row of the baseline
// format that they must be listed compactly.
func (p *Pool) outgrowsBaseline(j *job) bool {
	return float64(j.completeStepsBytes()) > compactRowRatio*float64(p.options.rowLimit())
}

// chooseRowForm makes a job's row compact once it needs that and the pool's format allows it. The row
// remains compact.
func (p *Pool) chooseRowForm(j *job) {
	if j.compactRow || j.pendingState.Final() || !p.outgrowsBaseline(j) {
		return
	}
	if p.options.RowFormat >= compatibility.CompactProgress {
		j.compactRow = true
		p.record.LogEvent("row compacted", "pool", p.options.Pool, "job", j.id, "ended", j.repetitions.ended.count())
		return
	}
	if !p.needsCompactRows {
		p.needsCompactRows = true
		p.record.LogEvent("newer row format needed", "pool", p.options.Pool, "job", j.id, "queue", j.Queue.Name, "ended", j.repetitions.ended.count())
	}
}

// raiseRowFormatIfNeeded hands the pool over to an owner that writes a newer format, once a row needs it and
// all known nodes read it. The lease states the format between the two.
func (p *Pool) raiseRowFormatIfNeeded() {
	if !p.needsCompactRows || p.releasing || p.options.CommonFormat == nil || p.options.CommonFormat() < compatibility.CompactProgress {
		return
	}
	p.record.Count("takeovers", "row_format_raised")
	p.record.LogEvent("row format raised", "pool", p.options.Pool, "format", int(compatibility.CompactProgress))
	p.raisedFormat = compatibility.CompactProgress
	p.Release()
}

// releasedFormat returns the format that the lease states once this owner has released the pool: the
// oldest one in which all rows can be written.
func (p *Pool) releasedFormat() compatibility.Format {
	format := max(compatibility.Baseline, p.raisedFormat)
	for _, j := range p.jobs {
		if j.compactRow && !j.state.Final() {
			format = max(format, compatibility.CompactProgress)
		}
	}
	return format
}
