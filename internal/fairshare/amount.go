package fairshare

import (
	"math"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// amount is an amount of resources, possibly a mean over time.
type amount struct {
	MilliCores float64 `json:"milli_cores,omitempty"`
	MemoryMB   float64 `json:"memory_mb,omitempty"`
	GPUs       float64 `json:"gpus,omitempty"`
}

func amountOf(resources taskgraph.Resources) amount {
	return amount{MilliCores: float64(resources.CPU), MemoryMB: float64(resources.MemoryMB), GPUs: float64(resources.GPUs)}
}

func (a amount) plus(b amount) amount {
	return amount{MilliCores: a.MilliCores + b.MilliCores, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

func (a amount) times(factor float64) amount {
	return amount{MilliCores: a.MilliCores * factor, MemoryMB: a.MemoryMB * factor, GPUs: a.GPUs * factor}
}

// difference returns the distance of two amounts in each resource.
func (a amount) difference(b amount) amount {
	return amount{MilliCores: math.Abs(a.MilliCores - b.MilliCores), MemoryMB: math.Abs(a.MemoryMB - b.MemoryMB), GPUs: math.Abs(a.GPUs - b.GPUs)}
}

// dominantShare returns the largest share of the amount in one resource of a capacity.
func (a amount) dominantShare(capacity amount) float64 {
	return max(shareOf(a.MilliCores, capacity.MilliCores), shareOf(a.MemoryMB, capacity.MemoryMB), shareOf(a.GPUs, capacity.GPUs))
}

// shareOf returns the share of an amount in a capacity; 0 if there is no capacity.
func shareOf(amount, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return amount / capacity
}
