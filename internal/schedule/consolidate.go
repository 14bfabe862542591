package schedule

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
)

const (
	// movePause is the least time between two rounds of moves.
	movePause = 30 * time.Second
	// movesPerRound bounds how many jobs move at once.
	movesPerRound = 4
	// moveRacks bounds how many racks a round looks at as sources.
	moveRacks = 64
	// moveCost is the gain, in accelerators that the shapes in demand could use
	// more, below which a job does not move at full fragmentation weight.
	moveCost = 0.5
	// moveMinLeft and moveLeftFactor keep jobs in place that end soon anyway: a
	// moved job must have this much left, and this many times its checkpoint. It
	// must also have run as long, or jobs would move without end.
	moveMinLeft    = 10 * time.Minute
	moveLeftFactor = 20
)

// consolidate moves small jobs that can save their work out of places that larger
// shapes in demand could use, into places that nothing larger fits. A moved job
// gives way to itself: it saves its work and is placed anew from the queue.
func (s *Scheduler) consolidate() {
	if s.policy.Strategy != FragmentationAware || s.policy.FragmentationWeight == 0 || s.now.Sub(s.movedAt) < movePause {
		return
	}
	s.movedAt = s.now
	for range movesPerRound {
		e := s.bestMove()
		if e == nil {
			return
		}
		s.displace(e, []*entry{e})
	}
}

// bestMove returns the job whose move gains most, or nil when none is worth it.
func (s *Scheduler) bestMove() *entry {
	var best *entry
	bestGain := moveCost / s.policy.FragmentationWeight
	racks := len(s.cluster.Racks)
	for offset := range min(racks, moveRacks) {
		rack := cluster.RackID((s.moveCursor + offset) % racks)
		for _, e := range s.movableIn(rack) {
			if gain := s.moveGain(e, rack); gain > bestGain {
				best, bestGain = e, gain
			}
		}
	}
	if racks > moveRacks {
		s.moveCursor = (s.moveCursor + moveRacks) % racks
	}
	return best
}

func (s *Scheduler) movableIn(rack cluster.RackID) []*entry {
	var movable []*entry
	for _, id := range s.cluster.Racks[rack].Workers {
		for _, e := range s.occupants[id] {
			if s.movable(e) {
				movable = append(movable, e)
			}
		}
	}
	return movable
}

func (s *Scheduler) movable(e *entry) bool {
	if !e.pushable() || e.spec.Members != 1 || !e.spec.Checkpoint || e.spec.Accelerators == 0 {
		return false
	}
	least := max(moveMinLeft, secondsToDuration(moveLeftFactor*e.spec.CheckpointSeconds))
	return e.endsAt.Sub(s.now) > least && s.now.Sub(e.startedAt) > least
}

// moveGain is what leaving its rack frees for the shapes in demand, less what the
// job costs them in the best other place that has room for it now.
func (s *Scheduler) moveGain(e *entry, from cluster.RackID) float64 {
	source := e.placement[0]
	freed := s.usableChange(from, source, e.need.Accelerators)
	if freed <= 0 {
		return 0
	}
	probe := *e
	probe.remaining = e.endsAt.Sub(s.now)
	cost, found := 0.0, false
	scorer := func(rack cluster.RackID) {
		for _, id := range s.cluster.Racks[rack].Workers {
			if id == source || s.room(&probe, id) == 0 {
				continue
			}
			lost := -s.usableChange(rack, id, -e.need.Accelerators)
			if !found || lost < cost {
				cost, found = lost, true
			}
		}
	}
	s.visitTargets(&probe, scorer)
	if !found {
		return 0
	}
	return freed - cost
}

// visitTargets shows racks with a tight place for the job first.
func (s *Scheduler) visitTargets(e *entry, visit func(cluster.RackID)) {
	seen := 0
	for level := e.spec.Accelerators; level <= s.cluster.MaxLevel(); level++ {
		for _, rack := range s.cluster.RacksAtLevel(level) {
			if !s.inZone(e, rack) {
				continue
			}
			visit(rack)
			if seen++; seen >= candidateLimit {
				return
			}
		}
	}
}

// usableChange is by how much the shapes in demand could use a rack more if a
// worker's free accelerators changed.
func (s *Scheduler) usableChange(rack cluster.RackID, id cluster.WorkerID, change int32) float64 {
	before := s.cluster.Racks[rack].Levels
	var buffer [2 * maxLevels]int32
	free := max(0, s.cluster.Workers[id].Free.Accelerators)
	size := max(len(before), int(free+change)+1)
	after := buffer[:size]
	copy(after, before)
	if s.cluster.Workers[id].Schedulable {
		after[free]--
		after[max(0, free+change)]++
	}
	total := 0.0
	for _, shape := range s.demand.top() {
		total += shape.share * float64(usable(after, shape.shape)-usable(before, shape.shape))
	}
	return total
}
