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
	// One in evacuationsEvery seeds has evacuations: those that draw evacuationsDrawn. Regression
	// seeds that are older than evacuations draw another number.
	evacuationsEvery = 2
	evacuationsDrawn = 1
	// evacuationsStream separates the random stream from those of other faults.
	evacuationsStream = 32
	// A run has up to mostEvacuations, which may overlap and cover all zones at once.
	mostEvacuations    = 5
	shortestEvacuation = time.Second
	longestEvacuation  = 10 * time.Second
)

// NewEvacuations returns the evacuations of a run. They depend only on the seed and length and use
// a separate random stream.
func NewEvacuations(seed uint64, length time.Duration) []Evacuation {
	random := rand.New(rand.NewPCG(seed, evacuationsStream))
	if random.IntN(evacuationsEvery) != evacuationsDrawn {
		return nil
	}
	var drawn []Evacuation
	for range 1 + random.IntN(mostEvacuations) {
		drawn = append(drawn, Evacuation{
			At:     time.Duration(random.Int64N(int64(length))),
			Length: shortestEvacuation + time.Duration(random.Int64N(int64(longestEvacuation-shortestEvacuation))),
			Target: random.IntN(1 << 16),
		})
	}
	return drawn
}

// applyEvacuations schedules the evacuations and cancels all of them at the end of the run, so
// that all jobs can complete.
func (r *run) applyEvacuations(evacuations []Evacuation, began time.Time, ends *sync.WaitGroup) {
	world := r.platform.Cluster
	zones := world.Zones()
	for _, evacuation := range evacuations {
		zone := zones[evacuation.Target%len(zones)]
		r.scheduleLocked(began.Add(evacuation.At), ends, func() { world.Evacuate(zone) })
		if until := evacuation.At + evacuation.Length; until < r.options.FaultDuration {
			r.scheduleLocked(began.Add(until), ends, func() { world.CancelEvacuation(zone) })
		}
	}
	r.scheduleLocked(began.Add(r.options.FaultDuration), ends, func() {
		for _, zone := range zones {
			world.CancelEvacuation(zone)
		}
	})
}
