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
	// OutcomeUnknown: the order may have been executed, or may be later.
	OutcomeUnknown Reason = "no_answer"
)

// OrderError is the error of a failed order.
type OrderError struct {
	Reason Reason
	// cause is the underlying error, or nil.
	cause error
}

// Failures without a cause.
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
func (f *OrderError) Error() string {
	if f.cause == nil {
		return "order to worker failed: " + string(f.Reason)
	}
	return "order to worker failed: " + string(f.Reason) + ": " + f.cause.Error()
}

// Unwrap returns the underlying error.
func (f *OrderError) Unwrap() error { return f.cause }

// Is reports whether target is an OrderError with the same reason.
func (f *OrderError) Is(target error) bool {
	other, ok := target.(*OrderError)
	return ok && other.Reason == f.Reason
}

// ReasonOf returns the reason of a failed order. Errors of other types count as OutcomeUnknown.
func ReasonOf(err error) Reason {
	var failure *OrderError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return OutcomeUnknown
}
