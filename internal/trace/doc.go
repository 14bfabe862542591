// Package trace reads and writes the files of the replay tool: the cluster, the
// recorded trace and the events that a replay writes. The format is described in
// docs/replay-format.md.
package trace
