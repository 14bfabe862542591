package figures

import (
	"strings"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// capacity tracks the free accelerators of every worker, and how many of them whole gangs of each
// submitted shape could use.
type capacity struct {
	workers   map[string]*workerState
	up        int
	freeTotal int
	shapes    []*shapeState
}

type workerState struct {
	total  int
	used   int
	up     bool
	rack   string
	zone   string
	region string
}

func (s *workerState) free() int {
	if !s.up {
		return 0
	}
	return max(0, s.total-s.used)
}

// shapeState counts the members that fit in each placement group (rack, zone or region, by the
// spread of the shape).
type shapeState struct {
	members      int
	accelerators int
	spread       job.Spread
	weight       float64
	memberSlots  map[string]int
	// covered is the number of free accelerators that whole gangs of the shape can use.
	covered int
}

type shapeKey struct {
	members      int
	accelerators int
	spread       job.Spread
}

func newCapacity(c *trace.Cluster, lines []trace.Line) *capacity {
	k := &capacity{workers: map[string]*workerState{}}
	k.shapes = shapesOf(lines)
	for _, machine := range c.Machines() {
		zone := machine.At.Region + "/" + machine.At.Zone
		state := &workerState{
			total: int(machine.Capacity.Accelerators), rack: zone + "/" + machine.At.Rack,
			zone: zone, region: machine.At.Region,
		}
		k.workers[machine.Name] = state
		k.setUp(machine.Name, true)
	}
	return k
}

func shapesOf(lines []trace.Line) []*shapeState {
	byKey := map[shapeKey]*shapeState{}
	var shapes []*shapeState
	total := 0.0
	for i := range lines {
		line := &lines[i]
		if line.Event != trace.Submit || line.Accelerators == 0 {
			continue
		}
		key := shapeKey{line.Members, line.Accelerators, line.Spread}
		shape, ok := byKey[key]
		if !ok {
			shape = &shapeState{members: line.Members, accelerators: line.Accelerators, spread: line.Spread, memberSlots: map[string]int{}}
			byKey[key] = shape
			shapes = append(shapes, shape)
		}
		asked := line.Duration * float64(line.Members*line.Accelerators)
		shape.weight += asked
		total += asked
	}
	for _, shape := range shapes {
		shape.weight /= total
	}
	return shapes
}

func (s *shapeState) group(w *workerState) string {
	switch s.spread {
	case job.SpreadRack:
		return w.rack
	case job.SpreadZone:
		return w.zone
	case job.SpreadRegion:
		return w.region
	default:
		return ""
	}
}

func (s *shapeState) update(w *workerState, before, after int) {
	change := after/s.accelerators - before/s.accelerators
	if change == 0 {
		return
	}
	group := s.group(w)
	room := s.memberSlots[group]
	s.memberSlots[group] = room + change
	s.covered += ((room+change)/s.members - room/s.members) * s.members * s.accelerators
}

// update applies a change of one worker and updates all totals.
func (k *capacity) update(w *workerState, change func()) {
	before := w.free()
	change()
	after := w.free()
	k.freeTotal += after - before
	for _, shape := range k.shapes {
		shape.update(w, before, after)
	}
}

func (k *capacity) setUp(name string, up bool) {
	w := k.workers[name]
	if w.up == up {
		return
	}
	k.update(w, func() { w.up = up })
	if up {
		k.up += w.total
	} else {
		k.up -= w.total
	}
}

// change adds or removes a placement and returns the number of workers that it overcommits.
func (k *capacity) change(placement []trace.MemberPlacement, sign int) int {
	overfilled := 0
	for _, place := range placement {
		w := k.workers[place.Worker]
		k.update(w, func() { w.used += sign * place.Accelerators })
		if sign > 0 && (w.used > w.total || !w.up) {
			overfilled++
		}
	}
	return overfilled
}

// satisfiesSpread reports whether a placement satisfies its spread constraint.
func (k *capacity) satisfiesSpread(placement []trace.MemberPlacement, spread job.Spread) bool {
	if len(placement) == 0 {
		return false
	}
	shape := &shapeState{spread: spread}
	group := shape.group(k.workers[placement[0].Worker])
	for _, place := range placement {
		if !strings.EqualFold(shape.group(k.workers[place.Worker]), group) {
			return false
		}
	}
	return true
}

// fragmentation returns 1 minus the weighted share of free accelerators that whole gangs of the
// submitted shapes can use.
func (k *capacity) fragmentation() float64 {
	covered := 0.0
	for _, shape := range k.shapes {
		covered += shape.weight * float64(shape.covered)
	}
	return 1 - covered/float64(k.freeTotal)
}
