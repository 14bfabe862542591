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

// Causes. A cause that ends in a colon and a space is a prefix; the reason follows.
const (
	CauseRejectedFirst    Cause = "rejected before acceptance: "
	CauseNotAccepted      Cause = "not accepted: "
	CauseStoreUnavailable Cause = "accepted, store unavailable"
	CauseTakeover         Cause = "takeover"
	CauseQueueWait        Cause = "waited: "
	CausePlacementWrite   Cause = "placement write slow"
	CauseRerun            Cause = "rerun after: "
	CauseSlowWorkers      Cause = "ran on slow workers"
	CauseUnknown          Cause = "not shown by the log lines"
)

// callerErrorReasons are the rejection reasons that the caller is responsible for. The empty reason
// stands for a job without a rejection.
var callerErrorReasons = map[string]bool{"unauthenticated": true, "not_found": true, "": true}

// isCounted reports whether the report counts the job: one that was accepted, or that was rejected
// for a reason other than callerErrorReasons.
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

// dominantCause returns the cause that accounts for most of a late job's time, and the time that
// the cause accounts for.
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

// storeOutageEnd returns the end of the store outage in progress at the given time. If there is no
// outage, it returns the given time.
func (l *Log) storeOutageEnd(at time.Time) time.Time {
	for _, outage := range l.storeOutages {
		if !outage.from.After(at) && outage.to.After(at) {
			return outage.to
		}
	}
	return at
}

func longestCause(causes map[Cause]time.Duration) (Cause, time.Duration) {
	dominant, longest := CauseUnknown, time.Duration(0)
	for cause, d := range causes {
		if d > longest || d == longest && cause < dominant {
			dominant, longest = cause, d
		}
	}
	return dominant, longest
}

func (j *job) stepCount() int {
	count := 0
	for i := range j.placements {
		count = max(count, j.placements[i].Step+1)
	}
	return count
}

// addStepTime attributes the wait and run times of a step to causes. It considers only the unit
// that ended last.
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

func (j *job) addWaitTime(l *Log, causes map[Cause]time.Duration, placement *logLine) {
	waitInterval := interval{placement.At.Add(-milliseconds(placement.WaitedMillis)), placement.At}
	outage, takeover := waitInterval.overlap(l.storeOutages), waitInterval.overlap(l.takeovers)
	causes[CauseStoreUnavailable] += outage
	causes[CauseTakeover] += takeover
	causes[CauseQueueWait+Cause(placement.WaitedFor)] += max(0, milliseconds(placement.WaitedMillis)-outage-takeover)
}

func (j *job) addRunTime(l *Log, causes map[Cause]time.Duration, placement, end *logLine) {
	ran := runDuration(placement, end)
	started := end.At.Add(-ran)
	writePending := interval{placement.At, started}
	outage := writePending.overlap(l.storeOutages)
	causes[CauseStoreUnavailable] += outage
	causes[CausePlacementWrite] += max(0, started.Sub(placement.At)-outage)
	if end.Result == "done" {
		causes[CauseSlowWorkers] += max(0, ran-nominalDuration(placement, end))
		return
	}
	causes[CauseRerun+Cause(end.failureCause())] += ran
}

// runDuration returns how long a run took. If the owner that logged the end did not start the run,
// its line has no duration; the run then counts from its placement.
func runDuration(placement, end *logLine) time.Duration {
	if end.RanMillis > 0 {
		return milliseconds(end.RanMillis)
	}
	return end.At.Sub(placement.At)
}

// nominalDuration returns how long a run takes on workers of normal speed.
func nominalDuration(placement, end *logLine) time.Duration {
	ran := runDuration(placement, end)
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
func (j *job) endOf(placement *logLine) *logLine {
	var found *logLine
	for i := range j.runEnds {
		end := &j.runEnds[i]
		step, index := parseTaskName(end.Task)
		if step != placement.Step || end.Run != placement.Run || placement.Tasks <= 1 && index != placement.Unit {
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
