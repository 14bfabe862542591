package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is an API error of a defined kind.
type Error struct {
	Kind Kind
	// Field is the invalid request or settings field, if any.
	Field string
	// Detail is shown to the caller and must not contain secrets.
	Detail string
	// Outcome overrides the kind's default outcome unless it is empty.
	Outcome Outcome
}

// Error formats kind, field and detail on one line.
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

// NewField returns an error of kind about an invalid field.
func NewField(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// From returns err as an Error. Other errors become Internal.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// IsKind reports whether err is or wraps an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var known *Error
	return errors.As(err, &known) && known.Kind == kind
}

// EffectiveOutcome returns the error's outcome, which defaults to that of its kind.
func (e *Error) EffectiveOutcome() Outcome {
	if e.Outcome != "" {
		return e.Outcome
	}
	return ResponseFor(e.Kind).Outcome
}
