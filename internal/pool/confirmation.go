package pool

import "time"

// confirmationSource says which kind of answer showed that a worker has a run.
type confirmationSource string

// Values of confirmationSource.
const (
	confirmedByStart  confirmationSource = "start"
	confirmedByReport confirmationSource = "report"
)

// confirmation is the latest evidence that a member's run is on its worker.
type confirmation struct {
	// source is empty if the worker has not confirmed the run to this owner.
	source confirmationSource
	// receivedAt is when the owner handled the worker's answer.
	receivedAt time.Time
	// workerMillis is the worker's clock in milliseconds when the worker answered.
	workerMillis int64
}

// confirm records an answer of the worker that shows the member's run on it.
func (m *member) confirm(source confirmationSource, receivedAt time.Time, workerMillis int64) {
	m.confirmation = confirmation{source: source, receivedAt: receivedAt, workerMillis: workerMillis}
}

// confirmedBefore reports whether a report was requested after the run's latest confirmation was
// received. Answers of a worker may overtake each other. Any other report may therefore be older than
// the run, and proves nothing if it does not list the run.
func (m *member) confirmedBefore(report workerReport, disabled DisabledSafeguards) bool {
	return disabled.ReportOrder || !m.confirmation.receivedAt.After(report.requestedAt)
}
