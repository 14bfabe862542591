// Package workload generates traces from a seed: bursts of arrivals, heavy-tailed run times, gang
// sizes that are mostly powers of two, and failures of machines, racks and zones.
package workload
