package fleet

import "fmt"

// RowFault says why a worker's row is invalid. The set is closed.
type RowFault string

const (
	// RowUnreadable: the row is not a JSON object.
	RowUnreadable RowFault = "unreadable"
	// RowMissingField: a mandatory field is missing or empty.
	RowMissingField RowFault = "missing_field"
	// RowWrongType: a field has the wrong type.
	RowWrongType RowFault = "wrong_type"
	// RowOutOfRange: a field has an impossible value, such as a negative capacity or an address
	// without a port.
	RowOutOfRange RowFault = "out_of_range"
	// RowUnknownState: the worker's state is unknown.
	RowUnknownState RowFault = "unknown_state"
)

// RowError is the error of an invalid worker row.
type RowError struct {
	Fault RowFault
	// Field is the invalid field; empty if the whole row is invalid.
	Field string
}

// Error implements error.
func (e *RowError) Error() string {
	if e.Field == "" {
		return "invalid worker row: " + string(e.Fault)
	}
	return fmt.Sprintf("invalid worker row: field %s: %s", e.Field, e.Fault)
}
