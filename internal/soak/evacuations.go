package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Evacuation is a period in which no run may start in a zone.
type Evacuation struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	// Target is the index of a zone, modulo the number of zones.
	Target int `json:"target"`
}

const (
	// One in evacuationsEvery seeds has evacuations: the seeds that draw evacuationsDrawn. Regression
	// seeds from before evacuations were added draw another number.
	evacuationsEvery = 2
	evacuationsDrawn = 1
	// evacuationsStream separates the random stream from those of other faults.
	evacuationsStream = 32
	// A run has up to maxEvacuations evacuations. They may overlap and cover all zones at once.
	maxEvacuations      = 5
	minEvacuationLength = time.Second
	maxEvacuationLength = 10 * time.Second
)

// NewEvacuations returns the evacuations of a run. They depend only on the seed and the length of
// the run, and are drawn from a separate random stream.
func NewEvacuations(seed uint64, length time.Duration) []Evacuation {
	random := rand.New(rand.NewPCG(seed, evacuationsStream))
	if random.IntN(evacuationsEvery) != evacuationsDrawn {
		return nil
	}
	var drawn []Evacuation
	for range 1 + random.IntN(maxEvacuations) {
		drawn = append(drawn, Evacuation{
			At:     time.Duration(random.Int64N(int64(length))),
			Length: minEvacuationLength + time.Duration(random.Int64N(int64(maxEvacuationLength-minEvacuationLength))),
			Target: random.IntN(1 << 16),
		})
	}
	return drawn
}

// applyEvacuations schedules the evacuations and cancels all of them at the end of the run, so
// that all jobs can complete.
func (r *run) applyEvacuations(evacuations []Evacuation, began time.Time, pending *sync.WaitGroup) {
	cluster := r.platform.Cluster
	zones := cluster.Zones()
	for _, evacuation := range evacuations {
		zone := zones[evacuation.Target%len(zones)]
		r.scheduleLocked(began.Add(evacuation.At), pending, func() { cluster.Evacuate(zone) })
		if until := evacuation.At + evacuation.Length; until < r.options.FaultDuration {
			r.scheduleLocked(began.Add(until), pending, func() { cluster.CancelEvacuation(zone) })
		}
	}
	r.scheduleLocked(began.Add(r.options.FaultDuration), pending, func() {
		for _, zone := range zones {
			cluster.CancelEvacuation(zone)
		}
	})
}
