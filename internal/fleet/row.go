package fleet

import "fmt"

// RowFault says why a worker's row names no worker to use. The list is closed.
type RowFault string

const (
	// RowUnreadable: the row is no document.
	RowUnreadable RowFault = "unreadable"
	// RowIncomplete: a field is missing.
	RowIncomplete RowFault = "missing_field"
	// RowMistyped: a field is of another type.
	RowMistyped RowFault = "wrong_type"
	// RowOutOfRange: a field has a value that no worker has, such as a negative capacity or an
	// address without a port.
	RowOutOfRange RowFault = "out_of_range"
	// RowUnknownState: the worker's state is none that is known.
	RowUnknownState RowFault = "unknown_state"
)

// RowError is the error of a worker's row that another writer left.
type RowError struct {
	Fault RowFault
	// Field is the one at fault; empty if the whole row is.
	Field string
}

// Error names fault and field.
func (e *RowError) Error() string {
	if e.Field == "" {
		return "row of a worker: " + string(e.Fault)
	}
	return fmt.Sprintf("row of a worker: %s: %s", e.Field, e.Fault)
}
