package schedule

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// push is a way to make room: where the job goes and who gives way.
type push struct {
	placement []cluster.WorkerID
	victims   []*entry
	cost      float64
}

// pushOut makes room for an urgent job, or for a short one where the policy
// allows it, and reports whether it did.
func (s *Scheduler) pushOut(e *entry) bool {
	mayPush := s.pushRule(e)
	if mayPush == nil {
		return false
	}
	best := s.cheapestPush(e, mayPush)
	if best == nil || !s.worthwhile(e, best) {
		return false
	}
	s.displace(e, best.victims)
	s.begin(e, best.placement, !e.spec.Repeatable)
	return true
}

// pushRule returns which jobs e may push out, or nil when it may push out none.
func (s *Scheduler) pushRule(e *entry) func(*entry) bool {
	if !s.policy.Backfill || !e.spec.Repeatable {
		return nil
	}
	if e.spec.Priority == job.Urgent {
		return func(other *entry) bool { return other.spec.Priority != job.Urgent }
	}
	// A job that may claim a guarantee waits for that instead of booking elsewhere.
	if s.policy.PreemptRatio > 0 && e.spec.Priority != job.Low && !e.spec.Guaranteed {
		return func(other *entry) bool { return s.muchLonger(e, other) }
	}
	return nil
}

func (s *Scheduler) muchLonger(e, other *entry) bool {
	left := other.endsAt.Sub(s.now).Seconds()
	return other.spec.Checkpoint && other.spec.Priority != job.Urgent &&
		left > s.policy.PreemptRatio*(e.remaining.Seconds()+other.spec.CheckpointSeconds)
}

// worthwhile compares what a short job gains with what its victims lose.
func (s *Scheduler) worthwhile(e *entry, p *push) bool {
	if e.spec.Priority == job.Urgent {
		return true
	}
	delay := 0.0
	for _, victim := range p.victims {
		delay += e.remaining.Seconds() + 2*victim.spec.CheckpointSeconds
	}
	left := 0.0
	for _, victim := range p.victims {
		left = max(left, victim.endsAt.Sub(s.now).Seconds())
	}
	return left > delay
}

func (s *Scheduler) cheapestPush(e *entry, mayPush func(*entry) bool) *push {
	var best *push
	for _, workers := range s.somePushScopes(e) {
		p := s.pushWithin(e, workers, mayPush)
		if p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// pushScopeLimit bounds how many places a job that is not urgent looks at for others
// to push out. Over time it looks everywhere.
const pushScopeLimit = 32

func (s *Scheduler) somePushScopes(e *entry) [][]cluster.WorkerID {
	scopes := s.pushScopes(e)
	if len(scopes) <= pushScopeLimit || e.spec.Priority == job.Urgent {
		return scopes
	}
	s.pushCursor = (s.pushCursor + pushScopeLimit) % len(scopes)
	end := min(len(scopes), s.pushCursor+pushScopeLimit)
	return scopes[s.pushCursor:end]
}

// pushScopes returns groups of workers that the gang may be placed within.
func (s *Scheduler) pushScopes(e *entry) [][]cluster.WorkerID {
	var scopes [][]cluster.WorkerID
	for i := range s.cluster.Racks {
		if s.inZone(e, cluster.RackID(i)) {
			scopes = append(scopes, s.cluster.Racks[i].Workers)
		}
	}
	if e.spec.Spread == job.SpreadRack {
		return scopes
	}
	for _, racks := range s.scopes(e) {
		scopes = append(scopes, s.workersOf(racks))
	}
	return scopes
}

func (s *Scheduler) workersOf(racks []cluster.RackID) []cluster.WorkerID {
	var workers []cluster.WorkerID
	for _, rack := range racks {
		workers = append(workers, s.cluster.Racks[rack].Workers...)
	}
	return workers
}

// soonFree is what a worker has free once everything that vacates has left.
func (s *Scheduler) soonFree(id cluster.WorkerID) cluster.Amount {
	free := s.cluster.Workers[id].Free
	for _, other := range s.occupants[id] {
		if other.phase == vacating {
			free = free.Plus(other.amountOn(id))
		}
	}
	return free
}

// pushWithin finds victims among the workers so that the gang fits, the least
// loss first, and drops those that turn out not to be needed.
func (s *Scheduler) pushWithin(e *entry, workers []cluster.WorkerID, mayPush func(*entry) bool) *push {
	free := make(map[cluster.WorkerID]cluster.Amount, len(workers))
	for _, id := range workers {
		if s.cluster.Workers[id].Schedulable {
			free[id] = s.soonFree(id)
		}
	}
	victims := s.victimsOn(workers, free, mayPush)
	chosen := 0
	for roomIn(free, workers, e.need) < e.spec.Members {
		if chosen == len(victims) {
			return nil
		}
		shift(free, victims[chosen], 1)
		chosen++
	}
	needed := s.prune(e, free, workers, victims[:chosen])
	return &push{placement: placeIn(free, workers, e), victims: needed, cost: s.totalLoss(needed)}
}

func (s *Scheduler) victimsOn(workers []cluster.WorkerID, free map[cluster.WorkerID]cluster.Amount, mayPush func(*entry) bool) []*entry {
	var victims []*entry
	seen := map[*entry]bool{}
	for _, id := range workers {
		if _, schedulable := free[id]; !schedulable {
			continue
		}
		for _, other := range s.occupants[id] {
			if !seen[other] && other.pushable() && mayPush(other) {
				seen[other] = true
				victims = append(victims, other)
			}
		}
	}
	slices.SortFunc(victims, s.compareVictims)
	return victims
}

// compareVictims puts lower priority first, then the least loss an accelerator.
func (s *Scheduler) compareVictims(a, b *entry) int {
	if c := cmp.Compare(a.spec.Priority.Rank(), b.spec.Priority.Rank()); c != 0 {
		return c
	}
	lossA := a.loss(s.now) / float64(max(1, a.accelerators()))
	lossB := b.loss(s.now) / float64(max(1, b.accelerators()))
	if c := cmp.Compare(lossA, lossB); c != 0 {
		return c
	}
	return earlier(a, b)
}

func (s *Scheduler) prune(e *entry, free map[cluster.WorkerID]cluster.Amount, workers []cluster.WorkerID, victims []*entry) []*entry {
	needed := make([]*entry, 0, len(victims))
	for index := len(victims) - 1; index >= 0; index-- {
		shift(free, victims[index], -1)
		if roomIn(free, workers, e.need) < e.spec.Members {
			shift(free, victims[index], 1)
			needed = append(needed, victims[index])
		}
	}
	return needed
}

func (s *Scheduler) totalLoss(victims []*entry) float64 {
	total := 0.0
	for _, victim := range victims {
		total += victim.loss(s.now)
	}
	return total
}

func shift(free map[cluster.WorkerID]cluster.Amount, victim *entry, sign int) {
	for _, run := range runsOf(victim.placement) {
		if have, ok := free[run.worker]; ok {
			free[run.worker] = have.Plus(victim.need.Times(sign * run.members))
		}
	}
}

func roomIn(free map[cluster.WorkerID]cluster.Amount, workers []cluster.WorkerID, need cluster.Amount) int {
	total := 0
	for _, id := range workers {
		if have, ok := free[id]; ok {
			total += have.Holds(need)
		}
	}
	return total
}

func placeIn(free map[cluster.WorkerID]cluster.Amount, workers []cluster.WorkerID, e *entry) []cluster.WorkerID {
	placement := make([]cluster.WorkerID, 0, e.spec.Members)
	for _, id := range workers {
		have, ok := free[id]
		if !ok {
			continue
		}
		for range min(have.Holds(e.need), e.spec.Members-len(placement)) {
			placement = append(placement, id)
		}
	}
	return placement
}

// displace tells the victims to give way to e. A job that was only booked goes back
// to the queue at once.
func (s *Scheduler) displace(e *entry, victims []*entry) {
	for _, victim := range victims {
		if victim.phase == booked {
			s.unplace(victim)
			s.enqueue(victim)
			continue
		}
		victim.phase = vacating
		victim.beneficiary = e
		victim.endsAt = s.now.Add(secondsToDuration(victim.vacateSeconds()))
		s.decisions = append(s.decisions, Decision{Job: victim.key, For: e.key})
	}
}
