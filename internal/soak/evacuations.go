package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Evacuation is a zone to which nothing new may be sent for a while.
type Evacuation struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	// Target numbers a zone; it is taken modulo their count.
	Target int `json:"target"`
}

const (
	// evacuationsEvery is one in how many seeds has evacuations, and evacuationsDrawn the draw
	// that gives a seed some. The seeds that were kept before there were evacuations have none.
	evacuationsEvery = 2
	evacuationsDrawn = 1
	// evacuationsStream tells the numbers drawn here from those of other troubles.
	evacuationsStream = 32
	// A series has up to mostEvacuations, which overlap: all zones at once are among them.
	mostEvacuations    = 5
	shortestEvacuation = time.Second
	longestEvacuation  = 10 * time.Second
)

// NewEvacuations draws the evacuations of a run: the same for the same seed and length, from
// numbers of their own.
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

// applyEvacuations evacuates zones in time and takes all back at the end of the run, so that
// all jobs can be done.
func (r *run) applyEvacuations(evacuations []Evacuation, began time.Time, ends *sync.WaitGroup) {
	world := r.platform.World
	zones := world.Zones()
	for _, evacuation := range evacuations {
		zone := zones[evacuation.Target%len(zones)]
		r.scheduleLocked(began.Add(evacuation.At), ends, func() { world.Evacuate(zone) })
		if until := evacuation.At + evacuation.Length; until < r.options.Length {
			r.scheduleLocked(began.Add(until), ends, func() { world.TakeBack(zone) })
		}
	}
	r.scheduleLocked(began.Add(r.options.Length), ends, func() {
		for _, zone := range zones {
			world.TakeBack(zone)
		}
	})
}
