package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a refusal or failure of a listed kind.
type Error struct {
	Kind Kind
	// Field is the request or settings field at fault, empty when none is.
	Field string
	// Detail is shown to the caller and holds nothing secret.
	Detail string
	// Outcome replaces the table's outcome when it is not empty.
	Outcome Outcome
}

// Error renders kind, field and detail on one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind, e.Field, e.Detail)
}

// New returns an error of kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// NewField returns an error of kind that names the field at fault.
func NewField(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// From returns err as an Error. An error of no listed kind becomes Internal.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// IsKind reports whether err carries the given kind.
func IsKind(err error, kind Kind) bool {
	var known *Error
	return errors.As(err, &known) && known.Kind == kind
}

// OutcomeOf returns the error's own outcome or the table's for its kind.
func (e *Error) OutcomeOf() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return AnswerFor(e.Kind).Outcome
}
