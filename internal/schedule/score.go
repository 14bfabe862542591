package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// rackScorer keeps the best of the racks it is shown.
type rackScorer struct {
	scheduler  *Scheduler
	entry      *entry
	best       cluster.RackID
	bestScore  rackScore
	found      bool
	considered int
}

// rackScore is compared field by field; lower is better.
type rackScore struct {
	cost     float64
	leftover int32
	free     int32
	rack     cluster.RackID
}

func compareScores(a, b rackScore) int {
	if c := cmp.Compare(a.cost, b.cost); c != 0 {
		return c
	}
	if c := cmp.Compare(a.leftover, b.leftover); c != 0 {
		return c
	}
	if c := cmp.Compare(a.free, b.free); c != 0 {
		return c
	}
	return cmp.Compare(a.rack, b.rack)
}

// consider scores a rack if the whole gang fits and returns how many did so far.
func (r *rackScorer) consider(rack cluster.RackID) int {
	s := r.scheduler
	if !s.inZone(r.entry, rack) || s.rackRoom(r.entry, rack) < r.entry.spec.Members {
		return r.considered
	}
	r.considered++
	score := s.scoreRack(r.entry, rack)
	if !r.found || compareScores(score, r.bestScore) < 0 {
		r.best, r.bestScore, r.found = rack, score, true
	}
	return r.considered
}

func (s *Scheduler) scoreRack(e *entry, rack cluster.RackID) rackScore {
	score := rackScore{free: s.cluster.Racks[rack].Free, rack: rack}
	score.leftover = s.tightestWorker(e, rack)
	if s.policy.Strategy == FragmentationAware {
		score.cost = s.fragmentationCost(e, rack) + s.alignmentCost(e, rack)
	}
	return score
}

// tightestWorker returns the free accelerators of the fullest worker that takes
// a member.
func (s *Scheduler) tightestWorker(e *entry, rack cluster.RackID) int32 {
	best := int32(math.MaxInt32)
	for _, id := range s.cluster.Racks[rack].Workers {
		free := s.cluster.Workers[id].Free.Accelerators
		if free < best && s.room(e, id) > 0 {
			best = free
		}
	}
	return best
}

// fragmentationCost is how many accelerators the shapes in demand can no longer
// use in the rack once the job is there, beyond those the job itself takes. It is
// the gradient of Weng et al. (FGD, ATC 2023), taken for a rack and for gangs.
func (s *Scheduler) fragmentationCost(e *entry, rack cluster.RackID) float64 {
	before := s.cluster.Racks[rack].Levels
	var buffer [maxLevels]int32
	after := buffer[:len(before)]
	copy(after, before)
	for _, run := range runsOf(s.fillRack(e, rack)) {
		free := s.cluster.Workers[run.worker].Free.Accelerators
		after[free]--
		after[free-int32(run.members)*e.need.Accelerators]++
	}
	cost := 0.0
	for _, shape := range s.demand.top() {
		lost := usable(before, shape.shape) - usable(after, shape.shape)
		cost += shape.share * float64(lost)
	}
	return cost * s.policy.FragmentationWeight
}

// maxLevels is how many numbers of free accelerators a worker can have.
const maxLevels = job.MaxAccelerators + 1

// alignmentWeight prices an hour by which a rack stays busy longer, per
// accelerator of the job.
const alignmentWeight = 0.1

// alignmentCost prefers racks whose work ends no earlier than the job does, so
// that racks become free as a whole.
func (s *Scheduler) alignmentCost(e *entry, rack cluster.RackID) float64 {
	var latest time.Time
	for _, id := range s.cluster.Racks[rack].Workers {
		for _, other := range s.occupants[id] {
			if other.endsAt.After(latest) {
				latest = other.endsAt
			}
		}
	}
	end := s.now.Add(e.remaining)
	if !end.After(latest) {
		return 0
	}
	if latest.Before(s.now) {
		latest = s.now
	}
	return end.Sub(latest).Hours() * alignmentWeight * s.policy.FragmentationWeight
}

// usable returns the accelerators that whole copies of a shape can cover in a
// rack. A shape wider than a rack counts by its members.
func usable(levels []int32, shape job.Shape) int {
	room := 0
	for level := shape.Accelerators; level < len(levels); level++ {
		room += int(levels[level]) * (level / shape.Accelerators)
	}
	members := shape.Members
	if shape.Spread != job.SpreadRack {
		members = 1
	}
	return room / members * members * shape.Accelerators
}

// demandLimit bounds how many shapes count in a score.
const demandLimit = 8

// demand keeps the shares of accelerator-seconds asked for by shape.
type demand struct {
	seconds map[job.Shape]float64
	total   float64
	ranked  []shapeShare
	// observed counts jobs since the ranking was made.
	observed int
}

type shapeShare struct {
	shape job.Shape
	share float64
}

func newDemand() *demand { return &demand{seconds: map[job.Shape]float64{}} }

// rankEvery is how many jobs pass between two rankings.
const rankEvery = 64

func (d *demand) observe(shape job.Shape, duration float64) {
	if shape.Accelerators == 0 {
		return
	}
	shape.CPUs, shape.MemoryGB = 0, 0
	asked := duration * float64(shape.TotalAccelerators())
	d.seconds[shape] += asked
	d.total += asked
	d.observed++
	if d.observed%rankEvery == 1 {
		d.ranked = nil
	}
}

// top returns the shapes most in demand with their shares.
func (d *demand) top() []shapeShare {
	if d.ranked != nil {
		return d.ranked
	}
	for shape, seconds := range d.seconds {
		d.ranked = append(d.ranked, shapeShare{shape, seconds / d.total})
	}
	slices.SortFunc(d.ranked, func(a, b shapeShare) int {
		if c := cmp.Compare(b.share, a.share); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.shape.Members, b.shape.Members), cmp.Compare(a.shape.Accelerators, b.shape.Accelerators), cmp.Compare(a.shape.Spread, b.shape.Spread))
	})
	d.ranked = d.ranked[:min(len(d.ranked), demandLimit)]
	return d.ranked
}
