package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// traceLine is a log line about the traced job.
type traceLine struct {
	at      string
	node    string
	text    string
	message string
	// end is nil unless the line reports the end of a run.
	end *runEnd
}

// runEnd holds the log fields of the end of a run.
type runEnd struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Worker string `json:"worker"`
	// StartedAt is the start time of the worker process, in Unix milliseconds; 0 if unknown.
	StartedAt int64  `json:"born"`
	Result    string `json:"how"`
	Reason    string `json:"reason"`
	unlistedRun
}

// unlistedRun holds the log fields of a run that ended since a report did not list it.
type unlistedRun struct {
	ConfirmedBy     string `json:"confirmed_by"`
	ConfirmedAgo    int64  `json:"confirmed_ms_ago"`
	ConfirmedClock  int64  `json:"confirmed_clock"`
	ReportRequested int64  `json:"requested_ms_ago"`
	ReportClock     int64  `json:"report_clock"`
	ReportsInFlight int    `json:"reports_in_flight"`
	StartUnanswered bool   `json:"start_unanswered"`
}

// format describes the evidence for the end of the run. It is empty if the log line has none.
func (u *unlistedRun) format() string {
	if u.ConfirmedBy == "" {
		return ""
	}
	order := "the report is the later one"
	switch {
	case u.ReportClock < u.ConfirmedClock:
		order = "the report is the earlier one, so it proves nothing"
	case u.ReportClock == u.ConfirmedClock:
		order = "both are of one millisecond"
	}
	return fmt.Sprintf("; confirmed by a %s %d ms before, at %d of the worker's clock; report requested %d ms before, written at %d: %s; %d other reports in flight, start unanswered: %t",
		u.ConfirmedBy, u.ConfirmedAgo, u.ConfirmedClock, u.ReportRequested, u.ReportClock, order, u.ReportsInFlight, u.StartUnanswered)
}

// runEndMessages are the log messages that report the end of a run.
var runEndMessages = map[string]bool{"run ended": true, "run lost": true, "run missing from reports": true}

// format describes the end of the run and identifies the worker process.
func (e *runEnd) format(message string) string {
	incarnation := fleet.Incarnation{ID: e.Worker, StartMillis: e.StartedAt}
	result := e.Result
	if result == "" {
		result = strings.TrimPrefix(message, "run ")
	}
	if e.Reason != "" {
		result += ", " + e.Reason
	}
	return fmt.Sprintf("%s run %d in %s: %s%s", e.Task, e.Run, incarnation, result, e.unlistedRun.format())
}

// logLine holds the log fields that the trace uses.
type logLine struct {
	Timestamp string `json:"ts"`
	Message   string `json:"msg"`
	Job       string `json:"job"`
	runEnd
}

// failureReasonMessage is the message of the log line that gives the reason why a job failed. The
// owner logs it before "job ended".
const failureReasonMessage = "poison job failed"

// outcomeMessages are the log messages that decide the response to the caller.
var outcomeMessages = map[string]bool{
	"job not accepted": true, "request refused": true, "job ended": true, "lookup refused": true, "cancellation refused": true,
}

func newTraceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "trace ID [LOGFILE...]",
		Short:   "Show all nodes' log lines about one job in order and mark the one that decided its result",
		Example: "  wheatroadctl trace 5c0e7a21d94b36f8 node-1.log node-2.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			lines, err := readTrace(command.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			return printTrace(command.OutOrStdout(), args[0], lines)
		},
	}
}

// readTrace reads the lines about a job from files, or from input if no files are given.
func readTrace(input io.Reader, id string, files []string) ([]traceLine, error) {
	if len(files) == 0 {
		return scanTrace(input, "", id)
	}
	var lines []traceLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := scanTrace(file, name, id)
		file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	return lines, nil
}

const maxLineBytes = 1 << 20

// scanTrace reads the lines about a job. Text before a line's JSON object is the name of the node;
// lines without such text belong to the given node.
func scanTrace(input io.Reader, node, id string) ([]traceLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	var lines []traceLine
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, id) {
			continue
		}
		var record logLine
		if err := json.Unmarshal([]byte(text[begin:]), &record); err != nil || record.Job != id {
			continue
		}
		source := node
		if prefix := strings.TrimSpace(text[:begin]); prefix != "" {
			source = prefix
		}
		line := traceLine{at: record.Timestamp, node: source, text: text[begin:], message: record.Message}
		if runEndMessages[record.Message] {
			line.end = &record.runEnd
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// outcomeLine returns the index of the line that decided the job's outcome, or -1.
func outcomeLine(lines []traceLine) int {
	outcome := -1
	for i := range lines {
		if lines[i].message == failureReasonMessage {
			return i
		}
		if outcomeMessages[lines[i].message] {
			outcome = i
		}
	}
	return outcome
}

func printTrace(output io.Writer, id string, lines []traceLine) error {
	if len(lines) == 0 {
		return errors.Newf("no log line mentions job %s", id)
	}
	outcome := outcomeLine(lines)
	for i := range lines {
		mark := " "
		if i == outcome {
			mark = "*"
		}
		if _, err := fmt.Fprintf(output, "%s %s %s\n", mark, lines[i].node, lines[i].text); err != nil {
			return err
		}
	}
	if outcome < 0 {
		if _, err := fmt.Fprintln(output, "no log line decides the job's result yet"); err != nil {
			return err
		}
	}
	return printRuns(output, lines)
}

// printRuns lists the ended runs with their worker processes, so that operators can see why a task
// was restarted.
func printRuns(output io.Writer, lines []traceLine) error {
	for i := range lines {
		if lines[i].end == nil {
			continue
		}
		if _, err := fmt.Fprintf(output, "  run: %s\n", lines[i].end.format(lines[i].message)); err != nil {
			return err
		}
	}
	return nil
}
