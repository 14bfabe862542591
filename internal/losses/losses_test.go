package losses

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// line renders a log line of a node at a time in milliseconds.
func line(node string, at int, message, fields string) string {
	stamp := time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z07:00")
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`%s {"ts":"%s","msg":"%s"%s}`, node, stamp, message, fields)
}

func placed(at int, job string, run, waitedMillis int, waitedFor string) string {
	return line("a", at, "placed", fmt.Sprintf(`"job":"%s","step":0,"unit":0,"run":%d,"tasks":1,"waited_ms":%d,"waited_for":"%s"`, job, run, waitedMillis, waitedFor))
}

func runEnded(at int, job string, run, ranMillis int, result, reason string) string {
	return line("a", at, "run ended", fmt.Sprintf(`"job":"%s","task":"%s.0.0.0","run":%d,"ran_ms":%d,"how":"%s","reason":"%s","unsaved_core_s":5`, job, job, run, ranMillis, result, reason))
}

// runEndedOn renders the line of a run that completed on workers with the given slowness.
func runEndedOn(slowness float64, at int, job string, ranMillis int) string {
	return line("a", at, "run ended", fmt.Sprintf(`"job":"%s","task":"%s.0.0.0","run":1,"ran_ms":%d,"how":"done","slowness":%g`, job, job, ranMillis, slowness))
}

func jobEnded(at int, job, state string) string {
	return line("a", at, "job ended", fmt.Sprintf(`"job":"%s","queue":"urgent","state":"%s","stretch":1.5,"target_ms":200`, job, state))
}

func accepted(at int, job string) string {
	return line("b", at, "job accepted", fmt.Sprintf(`"job":"%s","queue":"urgent"`, job))
}

func requestRefused(at int, job, reason string) string {
	return line("b", at, "request refused", fmt.Sprintf(`"job":"%s","reason":"%s"`, job, reason))
}

func summarize(t *testing.T, lines ...string) *Summary {
	t.Helper()
	log := New()
	require.NoError(t, log.Read(strings.NewReader(strings.Join(lines, "\n"))))
	return log.Summarize()
}

func TestLateJobsAreAttributedToDominantCause(t *testing.T) {
	cases := map[string]struct {
		lines []string
		cause Cause
	}{
		"insufficient capacity": {[]string{accepted(0, "x"), placed(3000, "x", 1, 2990, "no room"), runEnded(4000, "x", 1, 1000, "done", ""), jobEnded(4000, "x", "completed")},
			"waited: no room"},
		"preempted": {[]string{accepted(0, "x"), placed(0, "x", 1, 0, ""), runEnded(2000, "x", 1, 2000, "stopped", "preempted"),
			placed(2000, "x", 2, 0, ""), runEnded(3000, "x", 2, 1000, "done", ""), jobEnded(3000, "x", "completed")},
			"rerun after: stopped: preempted"},
		"rejected before acceptance": {[]string{requestRefused(0, "x", "configuration_old"), accepted(2500, "x"), placed(2500, "x", 1, 0, ""),
			runEnded(3500, "x", 1, 1000, "done", ""), jobEnded(3500, "x", "completed")},
			"rejected before acceptance: configuration_old"},
		"store unavailable": {[]string{line("a", 0, "pool acquired", ""), accepted(10, "x"), line("a", 100, "store unreachable", `"reason":"reset"`), placed(120, "x", 1, 0, ""),
			line("a", 3000, "store reachable again", ""), runEnded(4000, "x", 1, 1000, "done", ""), jobEnded(4000, "x", "completed")},
			CauseStoreUnavailable},
		"takeover": {[]string{accepted(0, "x"), line("b", 10, "owner unresponsive", ""), line("a", 2900, "pool acquired", ""), line("a", 3000, "pool state loaded", ""),
			placed(3000, "x", 1, 3000, ""), runEnded(4000, "x", 1, 1000, "done", ""), jobEnded(4000, "x", "completed")},
			CauseTakeover},
		"slow workers": {[]string{accepted(0, "x"), placed(0, "x", 1, 0, ""), runEndedOn(2.5, 2000, "x", 2000), jobEnded(2000, "x", "completed")},
			CauseSlowWorkers},
		"never accepted": {[]string{requestRefused(0, "x", "store_unavailable"), requestRefused(1000, "x", "store_unavailable")}, "not accepted: store_unavailable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := summarize(t, c.lines...)
			require.Len(t, s.causeCounts, 1)
			require.Equal(t, c.cause, s.causeCounts[0].cause)
		})
	}
}

// TestOnTimeAndRejectedJobsAreNotLosses checks that failed runs extend a job's objective, and
// that requests without valid credentials are not counted.
func TestOnTimeAndRejectedJobsAreNotLosses(t *testing.T) {
	s := summarize(t,
		accepted(0, "x"), placed(0, "x", 1, 0, ""), runEnded(1500, "x", 1, 1500, "failed", ""),
		placed(1500, "x", 2, 0, ""), runEnded(3000, "x", 2, 1500, "done", ""), jobEnded(3000, "x", "completed"),
		requestRefused(0, "y", "unauthenticated"), "not a JSON line", `{"no":"decision"}`)
	require.Empty(t, s.causeCounts)
	require.Equal(t, &queueCounts{jobs: 1, onTime: 1}, s.queues["urgent"])
	require.Equal(t, map[string]float64{"failed": 5}, s.wastedCoreSeconds)
}

// TestJobsWithDroppedLinesUseOwnersObjective guards against counting a job as late
// because the log lines of its runs were dropped.
func TestJobsWithDroppedLinesUseOwnersObjective(t *testing.T) {
	ended := func(at int, objective int) string {
		return line("a", at, "job ended", fmt.Sprintf(`"job":"x","queue":"urgent","state":"completed","stretch":1.5,"target_ms":200,"objective_ms":%d`, objective))
	}
	s := summarize(t, accepted(0, "x"), ended(9000, 12000))
	require.Equal(t, &queueCounts{jobs: 1, onTime: 1}, s.queues["urgent"])
	s = summarize(t, accepted(0, "x"), ended(9000, 7000))
	require.Equal(t, &queueCounts{jobs: 1, late: 1}, s.queues["urgent"])
}

func TestLinesOfSeveralNodesAreOrderedByTime(t *testing.T) {
	s := summarize(t, jobEnded(1000, "x", "completed"), runEnded(1000, "x", 1, 1000, "done", ""), placed(0, "x", 1, 0, ""), accepted(0, "x"))
	require.Equal(t, 1, s.queues["urgent"].onTime)
}

func TestPrint(t *testing.T) {
	s := summarize(t, accepted(0, "x"), placed(3000, "x", 1, 2990, "no room"), runEnded(4000, "x", 1, 1000, "done", ""), jobEnded(4000, "x", "completed"))
	var output bytes.Buffer
	require.NoError(t, s.Print(&output, true))
	require.Contains(t, output.String(), "waited: no room")
	require.Contains(t, output.String(), "1.7s")
}
