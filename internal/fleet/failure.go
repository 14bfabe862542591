package fleet

import "github.com/cockroachdb/errors"

// Reason says why an order did not succeed. The list is closed.
type Reason string

const (
	// Fenced: the worker has seen a newer owner.
	Fenced Reason = "fenced"
	// Superseded: the run is not above one that stopped or ended there.
	Superseded Reason = "superseded"
	// Late: the order's deadline has passed.
	Late Reason = "late"
	// NoRoom: the task does not fit.
	NoRoom Reason = "no_room"
	// Unhealthy: the worker did nothing because it is unwell.
	Unhealthy Reason = "unhealthy"
	// OtherInstance: another instance answers at the address.
	OtherInstance Reason = "other_instance"
	// Invalid: the worker did not understand the order.
	Invalid Reason = "invalid"
	// Unreachable: the order did not reach the worker, so it surely had no effect.
	Unreachable Reason = "unreachable"
	// NoAnswer: the order may have been carried out, or may be later.
	NoAnswer Reason = "no_answer"
)

// Failure is the error of an order.
type Failure struct {
	Reason Reason
	// cause may be nil.
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

// Fail returns a failure with a cause.
func Fail(reason Reason, cause error) *Failure { return &Failure{Reason: reason, cause: cause} }

// Error implements error.
func (f *Failure) Error() string {
	if f.cause == nil {
		return "order: " + string(f.Reason)
	}
	return "order: " + string(f.Reason) + ": " + f.cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Is reports whether target is a failure for the same reason.
func (f *Failure) Is(target error) bool {
	other, ok := target.(*Failure)
	return ok && other.Reason == f.Reason
}

// ReasonOf returns why an order failed. Errors of other types mean that no answer came.
func ReasonOf(err error) Reason {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return NoAnswer
}
