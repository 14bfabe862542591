package fleet

import "github.com/cockroachdb/errors"

// Reason says why an order failed. The set is closed.
type Reason string

const (
	// Fenced: the worker has seen a higher fencing token.
	Fenced Reason = "fenced"
	// Superseded: a run with the same or a higher number has stopped or ended on the worker.
	Superseded Reason = "superseded"
	// Late: the order's deadline has passed.
	Late Reason = "late"
	// NoRoom: the worker lacks capacity for the task.
	NoRoom Reason = "no_room"
	// Unhealthy: the worker is unhealthy and did not execute the order.
	Unhealthy Reason = "unhealthy"
	// OtherInstance: the address belongs to another worker instance.
	OtherInstance Reason = "other_instance"
	// Invalid: the worker rejected the order as malformed or for an unknown reason.
	Invalid Reason = "invalid"
	// Unreachable: the order did not reach the worker and had no effect.
	Unreachable Reason = "unreachable"
	// NoAnswer: the order may have been executed, or may be later.
	NoAnswer Reason = "no_answer"
)

// Failure is the error of a failed order.
type Failure struct {
	Reason Reason
	// cause is the underlying error, or nil.
	cause error
}

// Failures without a cause.
var (
	ErrFenced        = &Failure{Reason: Fenced}
	ErrSuperseded    = &Failure{Reason: Superseded}
	ErrLate          = &Failure{Reason: Late}
	ErrNoRoom        = &Failure{Reason: NoRoom}
	ErrUnhealthy     = &Failure{Reason: Unhealthy}
	ErrOtherInstance = &Failure{Reason: OtherInstance}
	ErrInvalid       = &Failure{Reason: Invalid}
	ErrUnreachable   = &Failure{Reason: Unreachable}
	ErrNoAnswer      = &Failure{Reason: NoAnswer}
)

// Fail returns a Failure with a cause.
func Fail(reason Reason, cause error) *Failure { return &Failure{Reason: reason, cause: cause} }

// Error implements error.
func (f *Failure) Error() string {
	if f.cause == nil {
		return "order: " + string(f.Reason)
	}
	return "order: " + string(f.Reason) + ": " + f.cause.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.cause }

// Is reports whether target is a Failure with the same reason.
func (f *Failure) Is(target error) bool {
	other, ok := target.(*Failure)
	return ok && other.Reason == f.Reason
}

// ReasonOf returns the reason of a failed order. Errors of other types count as NoAnswer.
func ReasonOf(err error) Reason {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return NoAnswer
}
