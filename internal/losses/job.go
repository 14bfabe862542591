package losses

import (
	"cmp"
	"slices"
	"time"
)

// job is what the lines say of one job.
type job struct {
	queue      string
	firstAt    time.Time
	acceptedAt time.Time
	// refusal is the last reason for which it was not taken, at refusedAt.
	refusal   string
	refusedAt time.Time
	placed    []record
	ends      []record
	ended     record
}

// Cause names what took a job's time.
type Cause string

// The causes that are not a reason of a wait or of an end.
const (
	CauseRefused   Cause = "refused at first: "
	CauseNotTaken  Cause = "not taken: "
	CauseStoreAway Cause = "accepted, store away"
	CauseTakeover  Cause = "takeover"
	CauseWait      Cause = "waited: "
	CauseWrite     Cause = "placement written late"
	CauseRerun     Cause = "run again after: "
	CauseSlow      Cause = "ran on slow workers"
	CauseUnknown   Cause = "not told by the lines"
)

// notAllowed are the refusals of what the configuration does not allow.
var notAllowed = map[string]bool{"unauthenticated": true, "not_found": true, "": true}

// owed reports whether the job was taken, or should have been.
func (j *job) owed() bool { return !j.acceptedAt.IsZero() || !notAllowed[j.refusal] }

// late reports whether the job was completed after its objective.
func (j *job) late() bool {
	return j.ended.State == "completed" && j.total() > j.objective()
}

// total is the time from the first line about the job to its end.
func (j *job) total() time.Duration { return j.ended.At.Sub(j.firstAt) }

// objective is the time in which the job should have ended, by how long its work, and
// the runs that failed, take on ordinary workers. The owner had only estimates to go by; its own
// objective counts where lines about the job's runs were left out.
func (j *job) objective() time.Duration {
	var work time.Duration
	for step := range j.stepCount() {
		unit := j.lastUnit(step)
		for i := range j.placed {
			p := &j.placed[i]
			if p.Step != step || p.Unit != unit {
				continue
			}
			if end := j.endOf(p); end != nil && (end.How == "done" || end.How == "failed") {
				work += workOf(p, end)
			}
		}
	}
	if work == 0 {
		return milliseconds(j.ended.Objective)
	}
	return time.Duration(j.ended.Stretch*float64(work)) + milliseconds(j.ended.Target)
}

// decidingCause returns what took most of a late job's time, and how much of it.
func (j *job) decidingCause(l *Log) (Cause, time.Duration) {
	causes := map[Cause]time.Duration{}
	if j.refusal != "" && !j.acceptedAt.IsZero() {
		causes[CauseRefused+Cause(j.refusal)] += j.acceptedAt.Sub(j.firstAt)
	}
	for step := range j.stepCount() {
		j.addStep(l, causes, step)
	}
	if away := (span{j.ended.At, j.ended.At.Add(time.Millisecond)}).overlap(l.storeAway); away > 0 {
		causes[CauseStoreAway] += l.storeBack(j.ended.At).Sub(j.ended.At)
	}
	return largest(causes)
}

// storeBack returns when the store was back that was away at a time.
func (l *Log) storeBack(at time.Time) time.Time {
	for _, away := range l.storeAway {
		if !away.from.After(at) && away.to.After(at) {
			return away.to
		}
	}
	return at
}

func largest(causes map[Cause]time.Duration) (Cause, time.Duration) {
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
	for i := range j.placed {
		count = max(count, j.placed[i].Step+1)
	}
	return count
}

// addStep adds up what the unit of a step that ended last lost its time to.
func (j *job) addStep(l *Log, causes map[Cause]time.Duration, step int) {
	unit := j.lastUnit(step)
	for i := range j.placed {
		p := &j.placed[i]
		if p.Step != step || p.Unit != unit {
			continue
		}
		j.addWait(l, causes, p)
		if end := j.endOf(p); end != nil {
			j.addRun(l, causes, p, end)
		}
	}
}

func (j *job) addWait(l *Log, causes map[Cause]time.Duration, p *record) {
	waited := span{p.At.Add(-milliseconds(p.Waited)), p.At}
	away, taken := waited.overlap(l.storeAway), waited.overlap(l.takeovers)
	causes[CauseStoreAway] += away
	causes[CauseTakeover] += taken
	causes[CauseWait+Cause(p.WaitedFor)] += max(0, milliseconds(p.Waited)-away-taken)
}

func (j *job) addRun(l *Log, causes map[Cause]time.Duration, p, end *record) {
	ran := ranFor(p, end)
	started := end.At.Add(-ran)
	written := span{p.At, started}
	away := written.overlap(l.storeAway)
	causes[CauseStoreAway] += away
	causes[CauseWrite] += max(0, started.Sub(p.At)-away)
	if end.How == "done" {
		causes[CauseSlow] += max(0, ran-workOf(p, end))
		return
	}
	causes[CauseRerun+Cause(end.endCause())] += ran
}

// ranFor returns how long a run took. An owner that did not start the run does not
// know; then it is taken to have begun when it was placed.
func ranFor(p, end *record) time.Duration {
	if end.Ran > 0 {
		return milliseconds(end.Ran)
	}
	return end.At.Sub(p.At)
}

// workOf returns how long a run takes on ordinary workers.
func workOf(p, end *record) time.Duration {
	ran := ranFor(p, end)
	if end.Slowness <= 0 {
		return ran
	}
	return time.Duration(float64(ran) / end.Slowness)
}

// lastUnit returns the unit of a step whose last run ended last.
func (j *job) lastUnit(step int) int {
	gang := slices.ContainsFunc(j.placed, func(p record) bool { return p.Step == step && p.Tasks > 1 })
	last, unit := time.Time{}, 0
	for i := range j.ends {
		endStep, index := taskPlace(j.ends[i].Task)
		if endStep == step && j.ends[i].At.After(last) {
			last, unit = j.ends[i].At, index
		}
	}
	if gang {
		return 0
	}
	return unit
}

// endOf returns the end of a placed run: of a gang the member's that says most.
func (j *job) endOf(p *record) *record {
	var found *record
	for i := range j.ends {
		end := &j.ends[i]
		step, index := taskPlace(end.Task)
		if step != p.Step || end.Run != p.Run || p.Tasks <= 1 && index != p.Unit {
			continue
		}
		if found == nil || end.How == "failed" {
			found = end
		}
	}
	return found
}

// sortedJobs lists the jobs in the order in which they came.
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
