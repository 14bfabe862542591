package fleet

import "github.com/cockroachdb/errors"

// Reason says why an order failed. The set is closed.
type Reason string

const (
	// Fenced: the worker has seen a higher fencing token.
	Fenced Reason = "fenced"
	// Superseded: a run with the same or a higher number has stopped or ended on the worker.
	Superseded Reason = "superseded"
	// DeadlinePassed: the order's deadline has passed.
	DeadlinePassed Reason = "late"
	// InsufficientCapacity: the worker lacks capacity for the task.
	InsufficientCapacity Reason = "no_room"
	// Unhealthy: the worker is unhealthy and did not execute the order.
	Unhealthy Reason = "unhealthy"
	// OtherInstance: the address belongs to another worker instance.
	OtherInstance Reason = "other_instance"
	// Invalid: the worker rejected the order as malformed or for an unknown reason.
	Invalid Reason = "invalid"
	// Unreachable: the order did not reach the worker and had no effect.
	Unreachable Reason = "unreachable"
	// OutcomeUnknown: the worker may have executed the order, or may execute it later.
	OutcomeUnknown Reason = "no_answer"
)

// OrderError is the error of a failed order.
type OrderError struct {
	Reason Reason
	// cause is the underlying error, or nil.
	cause error
}

// These errors without a cause are targets for errors.Is.
var (
	ErrFenced               = &OrderError{Reason: Fenced}
	ErrSuperseded           = &OrderError{Reason: Superseded}
	ErrDeadlinePassed       = &OrderError{Reason: DeadlinePassed}
	ErrInsufficientCapacity = &OrderError{Reason: InsufficientCapacity}
	ErrUnhealthy            = &OrderError{Reason: Unhealthy}
	ErrOtherInstance        = &OrderError{Reason: OtherInstance}
	ErrInvalid              = &OrderError{Reason: Invalid}
	ErrUnreachable          = &OrderError{Reason: Unreachable}
	ErrOutcomeUnknown       = &OrderError{Reason: OutcomeUnknown}
)

// NewOrderError returns an OrderError with a cause.
func NewOrderError(reason Reason, cause error) *OrderError {
	return &OrderError{Reason: reason, cause: cause}
}

// Error implements error.
func (e *OrderError) Error() string {
	if e.cause == nil {
		return "order: " + string(e.Reason)
	}
	return "order: " + string(e.Reason) + ": " + e.cause.Error()
}

// Unwrap returns the underlying error.
func (e *OrderError) Unwrap() error { return e.cause }

// Is reports whether target is an OrderError with the same reason.
func (e *OrderError) Is(target error) bool {
	other, ok := target.(*OrderError)
	return ok && other.Reason == e.Reason
}

// ReasonOf returns the reason for which an order failed. The reason of an error that is not an
// OrderError is OutcomeUnknown.
func ReasonOf(err error) Reason {
	var failure *OrderError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return OutcomeUnknown
}
