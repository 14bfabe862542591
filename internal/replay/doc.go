// Package replay runs a recorded trace through the scheduler in virtual time and emits the
// resulting events. It is deterministic.
package replay
