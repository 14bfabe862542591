// Package schedule decides which jobs start, on which workers, and which give
// way. It is a deterministic state machine: events go in with their time,
// decisions come out, and nothing is read or written besides. The daemon and the
// replay tool drive the same code.
//
// A cycle filters (placement.go), scores (score.go), books capacity (cycle.go)
// and leaves the binding to its caller. Guaranteed capacity is kept by a witness
// (witness.go), work is pushed out by the least loss (preempt.go), and a job that
// has waited past its due time gets a dated reservation (reservation.go).
package schedule
