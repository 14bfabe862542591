package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// queueCounts counts the jobs of one queue by how they ended.
type queueCounts struct {
	jobs, onTime, late, notAccepted, failed, cancelled, open int
}

// causeCount counts the jobs of one queue that share a dominant cause.
type causeCount struct {
	cause    Cause
	queue    string
	jobs     int
	timeLost time.Duration
}

// Summary counts late and rejected jobs, by queue and by cause, and wasted work.
type Summary struct {
	queues      map[string]*queueCounts
	causeCounts []causeCount
	// lateJobs contains a table row for each late or rejected job.
	lateJobs          []string
	wastedCoreSeconds map[string]float64
}

// Summarize orders the lines by time and determines the dominant cause of each late job.
func (l *Log) Summarize() *Summary {
	slices.SortStableFunc(l.lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	for i := range l.lines {
		l.apply(l.lines[i])
	}
	s := &Summary{queues: map[string]*queueCounts{}, wastedCoreSeconds: l.wastedCoreSeconds}
	for _, id := range l.sortedJobs() {
		j := l.jobs[id]
		if !j.isCounted() {
			continue
		}
		counts := s.queues[j.queue]
		if counts == nil {
			counts = &queueCounts{}
			s.queues[j.queue] = counts
		}
		counts.jobs++
		switch {
		case j.acceptedAt.IsZero() && j.jobEnd.Message == "":
			counts.notAccepted++
			s.add(id, j, CauseNotAccepted+Cause(j.rejectionReason), j.rejectedAt.Sub(j.firstAt))
		case j.late():
			counts.late++
			cause, timeLost := j.dominantCause(l)
			s.add(id, j, cause, timeLost)
		case j.jobEnd.State == "completed":
			counts.onTime++
		case j.jobEnd.State == "failed":
			counts.failed++
		case j.jobEnd.State == "cancelled":
			counts.cancelled++
		default:
			counts.open++
		}
	}
	slices.SortFunc(s.causeCounts, func(a, b causeCount) int {
		return cmp.Or(b.jobs-a.jobs, cmp.Compare(a.cause, b.cause), cmp.Compare(a.queue, b.queue))
	})
	return s
}

func (s *Summary) add(id string, j *job, cause Cause, timeLost time.Duration) {
	s.lateJobs = append(s.lateJobs, fmt.Sprintf("%s\t%s\t%v\t%v\t%s\t%v", id, j.queue, max(0, j.total()).Round(time.Millisecond),
		j.objective().Round(time.Millisecond), cause, timeLost.Round(time.Millisecond)))
	for i := range s.causeCounts {
		if s.causeCounts[i].cause == cause && s.causeCounts[i].queue == j.queue {
			s.causeCounts[i].jobs++
			s.causeCounts[i].timeLost += timeLost
			return
		}
	}
	s.causeCounts = append(s.causeCounts, causeCount{cause: cause, queue: j.queue, jobs: 1, timeLost: timeLost})
}

// Print writes the tables. With jobs set, it also lists each late or rejected job.
func (s *Summary) Print(output io.Writer, jobs bool) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "queue\tjobs\ton time\tlate\tnot accepted\tfailed\tcancelled\topen")
	for _, name := range sortedKeys(s.queues) {
		c := s.queues[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, c.jobs, c.onTime, c.late, c.notAccepted, c.failed, c.cancelled, c.open)
	}
	fmt.Fprintln(table, "\ncause\tqueue\tjobs\tseconds")
	for _, c := range s.causeCounts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\n", c.cause, c.queue, c.jobs, c.timeLost.Seconds())
	}
	fmt.Fprintln(table, "\nwasted work\tcore-seconds")
	for _, cause := range sortedKeys(s.wastedCoreSeconds) {
		fmt.Fprintf(table, "%s\t%.0f\n", cause, s.wastedCoreSeconds[cause])
	}
	if jobs {
		fmt.Fprintln(table, "\njob\tqueue\tduration\tobjective\tmain cause\ttime lost to it")
		for _, line := range s.lateJobs {
			fmt.Fprintln(table, line)
		}
	}
	return table.Flush()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
