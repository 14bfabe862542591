package losses

import (
	"cmp"
	"slices"
	"time"
)

// job collects the log lines about one job.
type job struct {
	queue      string
	firstAt    time.Time
	acceptedAt time.Time
	// rejectionReason is the reason of the last rejection before acceptance, at rejectedAt.
	rejectionReason string
	rejectedAt      time.Time
	placements      []logLine
	runEnds         []logLine
	jobEnd          logLine
}

// Cause names what delayed a job.
type Cause string

// Causes. Those that end in a colon and a space are prefixes of a reason.
const (
	CauseRejectedFirst    Cause = "rejected before acceptance: "
	CauseNotAccepted      Cause = "not accepted: "
	CauseStoreUnavailable Cause = "accepted, store away"
	CauseTakeover         Cause = "takeover"
	CauseQueueWait        Cause = "waited: "
	CausePlacementWrite   Cause = "placement written late"
	CauseRerun            Cause = "rerun after: "
	CauseSlowWorkers      Cause = "ran on slow workers"
	CauseUnknown          Cause = "not told by the lines"
)

// callerErrorReasons are the rejection reasons that the caller is responsible for; ""
// is a job without a rejection.
var callerErrorReasons = map[string]bool{"unauthenticated": true, "not_found": true, "": true}

// isCounted reports whether the job was accepted, or was rejected through no fault of its caller.
func (j *job) isCounted() bool {
	return !j.acceptedAt.IsZero() || !callerErrorReasons[j.rejectionReason]
}

// late reports whether the job completed after its objective.
func (j *job) late() bool {
	return j.jobEnd.State == "completed" && j.total() > j.objective()
}

// total returns the time from the first log line about the job to its end.
func (j *job) total() time.Duration { return j.jobEnd.At.Sub(j.firstAt) }

// objective returns the target completion time, computed from the nominal durations of the
// completed and failed runs. Without log lines of such runs it falls back to the objective that
// the owner computed from estimates.
func (j *job) objective() time.Duration {
	var work time.Duration
	for step := range j.stepCount() {
		unit := j.lastUnitToEnd(step)
		for i := range j.placements {
			p := &j.placements[i]
			if p.Step != step || p.Unit != unit {
				continue
			}
			if end := j.endOf(p); end != nil && (end.Result == "done" || end.Result == "failed") {
				work += nominalDuration(p, end)
			}
		}
	}
	if work == 0 {
		return milliseconds(j.jobEnd.ObjectiveMillis)
	}
	return time.Duration(j.jobEnd.Stretch*float64(work)) + milliseconds(j.jobEnd.TargetMillis)
}

// dominantCause returns the cause that accounts for most of a late job's time, and that time.
func (j *job) dominantCause(l *Log) (Cause, time.Duration) {
	causes := map[Cause]time.Duration{}
	if j.rejectionReason != "" && !j.acceptedAt.IsZero() {
		causes[CauseRejectedFirst+Cause(j.rejectionReason)] += j.acceptedAt.Sub(j.firstAt)
	}
	for step := range j.stepCount() {
		j.addStepTime(l, causes, step)
	}
	if outage := (interval{j.jobEnd.At, j.jobEnd.At.Add(time.Millisecond)}).overlap(l.storeOutages); outage > 0 {
		causes[CauseStoreUnavailable] += l.storeOutageEnd(j.jobEnd.At).Sub(j.jobEnd.At)
	}
	return longestCause(causes)
}

// storeOutageEnd returns the end of the store outage in progress at a time, or that time
// if there is none.
func (l *Log) storeOutageEnd(at time.Time) time.Time {
	for _, outage := range l.storeOutages {
		if !outage.from.After(at) && outage.to.After(at) {
			return outage.to
		}
	}
	return at
}

func longestCause(causes map[Cause]time.Duration) (Cause, time.Duration) {
	deciding, longest := CauseUnknown, time.Duration(0)
	for cause, d := range causes {
		if d > longest || d == longest && cause < deciding {
			deciding, longest = cause, d
		}
	}
	return deciding, longest
}

func (j *job) stepCount() int {
	count := 0
	for i := range j.placements {
		count = max(count, j.placements[i].Step+1)
	}
	return count
}

// addStepTime attributes the time of the unit that ended last in a step to causes.
func (j *job) addStepTime(l *Log, causes map[Cause]time.Duration, step int) {
	unit := j.lastUnitToEnd(step)
	for i := range j.placements {
		p := &j.placements[i]
		if p.Step != step || p.Unit != unit {
			continue
		}
		j.addWaitTime(l, causes, p)
		if end := j.endOf(p); end != nil {
			j.addRunTime(l, causes, p, end)
		}
	}
}

func (j *job) addWaitTime(l *Log, causes map[Cause]time.Duration, p *logLine) {
	waitInterval := interval{p.At.Add(-milliseconds(p.WaitedMillis)), p.At}
	outage, takeover := waitInterval.overlap(l.storeOutages), waitInterval.overlap(l.takeovers)
	causes[CauseStoreUnavailable] += outage
	causes[CauseTakeover] += takeover
	causes[CauseQueueWait+Cause(p.WaitedFor)] += max(0, milliseconds(p.WaitedMillis)-outage-takeover)
}

func (j *job) addRunTime(l *Log, causes map[Cause]time.Duration, p, end *logLine) {
	ran := runDuration(p, end)
	started := end.At.Add(-ran)
	writePending := interval{p.At, started}
	outage := writePending.overlap(l.storeOutages)
	causes[CauseStoreUnavailable] += outage
	causes[CausePlacementWrite] += max(0, started.Sub(p.At)-outage)
	if end.Result == "done" {
		causes[CauseSlowWorkers] += max(0, ran-nominalDuration(p, end))
		return
	}
	causes[CauseRerun+Cause(end.failureCause())] += ran
}

// runDuration returns how long a run took. Log lines of an owner that did not start the run
// have no duration; the placement then counts as its start.
func runDuration(p, end *logLine) time.Duration {
	if end.RanMillis > 0 {
		return milliseconds(end.RanMillis)
	}
	return end.At.Sub(p.At)
}

// nominalDuration returns how long a run takes on workers of normal speed.
func nominalDuration(p, end *logLine) time.Duration {
	ran := runDuration(p, end)
	if end.Slowness <= 0 {
		return ran
	}
	return time.Duration(float64(ran) / end.Slowness)
}

// lastUnitToEnd returns the unit of a step whose last run ended last.
func (j *job) lastUnitToEnd(step int) int {
	gang := slices.ContainsFunc(j.placements, func(p logLine) bool { return p.Step == step && p.Tasks > 1 })
	last, unit := time.Time{}, 0
	for i := range j.runEnds {
		endStep, index := parseTaskName(j.runEnds[i].Task)
		if endStep == step && j.runEnds[i].At.After(last) {
			last, unit = j.runEnds[i].At, index
		}
	}
	if gang {
		return 0
	}
	return unit
}

// endOf returns the end of a placed run. For a gang, a failed member takes precedence.
func (j *job) endOf(p *logLine) *logLine {
	var found *logLine
	for i := range j.runEnds {
		end := &j.runEnds[i]
		step, index := parseTaskName(end.Task)
		if step != p.Step || end.Run != p.Run || p.Tasks <= 1 && index != p.Unit {
			continue
		}
		if found == nil || end.Result == "failed" {
			found = end
		}
	}
	return found
}

// sortedJobs returns the job identifiers ordered by first log line.
func (l *Log) sortedJobs() []string {
	ids := make([]string, 0, len(l.jobs))
	for id := range l.jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(l.jobs[a].firstAt.Compare(l.jobs[b].firstAt), cmp.Compare(a, b))
	})
	return ids
}
