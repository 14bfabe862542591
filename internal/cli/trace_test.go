package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// traceOutput returns what the command prints about a job from log lines.
func traceOutput(t *testing.T, input string) []string {
	var output bytes.Buffer
	command := newTraceCommand()
	command.SetIn(strings.NewReader(input))
	command.SetOut(&output)
	command.SetArgs([]string{"00000000000000aa"})
	require.NoError(t, command.Execute())
	return strings.Split(strings.TrimSpace(output.String()), "\n")
}

func TestTraceOrdersLinesAndMarksOutcome(t *testing.T) {
	input := strings.Join([]string{
		`  1.0 node-2 {"ts":"2026-01-01T00:00:01Z","msg":"job accepted","job":"00000000000000aa"}`,
		`  1.1 node-1 {"ts":"2026-01-01T00:00:02Z","msg":"placed","job":"00000000000000aa","step":0}`,
		`  1.2 node-1 {"ts":"2026-01-01T00:00:02Z","msg":"placed","job":"00000000000000bb","step":0}`,
		`not a JSON line 00000000000000aa`,
		`  9.9 node-1 {"ts":"2026-01-01T00:00:09Z","msg":"job ended","job":"00000000000000aa","state":"failed"}`,
	}, "\n")
	lines := traceOutput(t, input)
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "job accepted")
	require.True(t, strings.HasPrefix(lines[2], "* 9.9 node-1"), lines[2])
}

// TestTraceMarksReasonOfFailedJob checks that the trace marks the line with the reason, not the
// later one that reports the end.
func TestTraceMarksReasonOfFailedJob(t *testing.T) {
	input := strings.Join([]string{
		`1.0 node-1 {"ts":"2026-01-01T00:00:01Z","msg":"run lost","job":"00000000000000aa","worker":"w-1"}`,
		`2.0 node-1 {"ts":"2026-01-01T00:00:02Z","msg":"poison job failed","job":"00000000000000aa","reason":"crash_odds"}`,
		`2.0 node-1 {"ts":"2026-01-01T00:00:02Z","msg":"job ended","job":"00000000000000aa","state":"failed"}`,
	}, "\n")
	lines := traceOutput(t, input)
	require.Len(t, lines, 4)
	require.True(t, strings.HasPrefix(lines[1], "* 2.0 node-1"), lines[1])
}

// TestTraceShowsRuns checks that runs on a worker before and after its restart are
// distinguished.
func TestTraceShowsRuns(t *testing.T) {
	input := strings.Join([]string{
		`{"ts":"1","msg":"run lost","job":"00000000000000aa","task":"00000000000000aa.0.0.1","run":1,"worker":"w-1","born":5,"reason":"worker restarted"}`,
		`{"ts":"2","msg":"run ended","job":"00000000000000aa","task":"00000000000000aa.0.0.1","run":2,"worker":"w-1","born":9,"how":"done","reason":""}`,
		`{"ts":"3","msg":"job ended","job":"00000000000000aa","state":"completed"}`,
	}, "\n")
	lines := traceOutput(t, input)
	require.Len(t, lines, 5)
	require.Equal(t, "run: 00000000000000aa.0.0.1 run 1 in w-1@5: lost, worker restarted", strings.TrimSpace(lines[3]))
	require.Equal(t, "run: 00000000000000aa.0.0.1 run 2 in w-1@9: done", strings.TrimSpace(lines[4]))
}

// TestTraceTellsWhetherAReportProvesTheEndOfARun checks that the trace compares the worker's clock at
// the confirmation of a run with that of the report which does not list the run.
func TestTraceTellsWhetherAReportProvesTheEndOfARun(t *testing.T) {
	line := func(reportClock string) string {
		return `{"ts":"1","msg":"run missing from reports","job":"00000000000000aa","task":"00000000000000aa.0.0.1","run":1,"worker":"w-1","start_unanswered":false,` +
			`"confirmed_by":"report","confirmed_ms_ago":12,"confirmed_clock":4031,"requested_ms_ago":40,"report_clock":` + reportClock + `,"reports_in_flight":1}`
	}
	cases := map[string]string{"4029": "the report is the earlier one", "4031": "both are of one millisecond", "4032": "the report is the later one"}
	for reportClock, want := range cases {
		lines := traceOutput(t, line(reportClock))
		require.Contains(t, lines[len(lines)-1], "run 1 in w-1: missing from reports; confirmed by a report 12 ms before, at 4031 of the worker's clock; report requested 40 ms before, written at "+reportClock+": "+want)
	}
}

func TestTraceOfUnknownJobIsAnError(t *testing.T) {
	command := newTraceCommand()
	command.SetIn(strings.NewReader(""))
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetArgs([]string{"00000000000000aa"})
	require.Error(t, command.Execute())
}
