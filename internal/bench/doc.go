// Package bench implements the wheatroad-bench command, which generates and replays
// traces, measures scheduling and control-plane cost, and simulates faults.
package bench
