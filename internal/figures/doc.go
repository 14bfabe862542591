// Package figures computes the metrics of a replay from its trace, its cluster and its events
// only, so that they can be verified independently of the scheduler.
package figures
