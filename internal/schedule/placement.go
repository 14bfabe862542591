package schedule

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// candidateLimit bounds how many feasible racks are scored for one job. It keeps
// a decision's cost from growing with the cluster.
const candidateLimit = 32

// find returns a placement in free capacity, one worker a member, or nil.
func (s *Scheduler) find(e *entry) []cluster.WorkerID {
	if s.policy.Strategy == FirstFit {
		return s.findFirst(e)
	}
	if rack, ok := s.bestRack(e); ok {
		return s.fillRack(e, rack)
	}
	return s.findWide(e)
}

// room returns how many members of e a worker takes now.
func (s *Scheduler) room(e *entry, id cluster.WorkerID) int {
	w := &s.cluster.Workers[id]
	if !w.Schedulable {
		return 0
	}
	available := w.Free
	if !e.spec.Repeatable {
		if s.witness.missing() > 0 {
			return 0
		}
		available = available.Min(w.Solid())
	}
	count := available.Holds(e.need)
	if count > 0 {
		count = s.holds.limit(e, id, count)
	}
	return count
}

func (s *Scheduler) rackRoom(e *entry, rack cluster.RackID) int {
	total := 0
	for _, id := range s.cluster.Racks[rack].Workers {
		total += s.room(e, id)
	}
	return total
}

func (s *Scheduler) inZone(e *entry, rack cluster.RackID) bool {
	return e.spec.Zone == "" || s.cluster.Zones[s.cluster.Racks[rack].Zone].Name == e.spec.Zone
}

// bestRack returns the best rack that takes the whole gang.
func (s *Scheduler) bestRack(e *entry) (cluster.RackID, bool) {
	scorer := rackScorer{scheduler: s, entry: e}
	if e.spec.Members == 1 && e.spec.Accelerators > 0 {
		s.visitRacksByLevel(e, &scorer)
		return scorer.best, scorer.found
	}
	s.visitRacksByFree(e, &scorer, candidateLimit)
	if !scorer.found {
		// The racks looked at were all too scattered; look at the rest too.
		s.visitRacksByFree(e, &scorer, len(s.cluster.Racks))
	}
	return scorer.best, scorer.found
}

func (s *Scheduler) visitRacksByLevel(e *entry, scorer *rackScorer) {
	for level := e.spec.Accelerators; level <= s.cluster.MaxLevel(); level++ {
		for _, rack := range s.cluster.RacksAtLevel(level) {
			if scorer.consider(rack) >= candidateLimit {
				return
			}
		}
	}
}

// visitRacksByFree shows the scorer racks with enough free accelerators, the fullest
// first, and of those with the same number at most so many.
func (s *Scheduler) visitRacksByFree(e *entry, scorer *rackScorer, most int) {
	for free := e.accelerators(); free <= s.cluster.MaxRackFree(); free++ {
		racks := s.cluster.RacksWithFree(free)
		for _, rack := range racks[:min(most, len(racks))] {
			if scorer.consider(rack) >= candidateLimit {
				return
			}
		}
	}
}

// fillRack chooses workers of one rack that is known to take the whole gang:
// the fullest first, so that empty workers stay empty.
func (s *Scheduler) fillRack(e *entry, rack cluster.RackID) []cluster.WorkerID {
	workers := slices.Clone(s.cluster.Racks[rack].Workers)
	s.sortByFree(workers)
	return s.fill(e, workers, make([]cluster.WorkerID, 0, e.spec.Members))
}

func (s *Scheduler) sortByFree(workers []cluster.WorkerID) {
	slices.SortFunc(workers, func(a, b cluster.WorkerID) int {
		if c := cmp.Compare(s.cluster.Workers[a].Free.Accelerators, s.cluster.Workers[b].Free.Accelerators); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// fill appends members until the gang is whole or the workers are used up.
func (s *Scheduler) fill(e *entry, workers, placement []cluster.WorkerID) []cluster.WorkerID {
	for _, id := range workers {
		for range min(s.room(e, id), e.spec.Members-len(placement)) {
			placement = append(placement, id)
		}
		if len(placement) == e.spec.Members {
			break
		}
	}
	return placement
}

// findWide places a gang over several racks, in the narrowest scope that its
// spread allows and that has room.
func (s *Scheduler) findWide(e *entry) []cluster.WorkerID {
	if e.spec.Spread == job.SpreadRack {
		return nil
	}
	for _, scope := range s.scopes(e) {
		if placement := s.fillScope(e, scope); placement != nil {
			return placement
		}
	}
	return nil
}

// scopes returns the groups of racks that a gang may span, fullest zone first,
// then regions and the whole cluster as far as the spread allows.
func (s *Scheduler) scopes(e *entry) [][]cluster.RackID {
	zones := s.zonesByFree(e)
	scopes := make([][]cluster.RackID, 0, len(zones)+1)
	for _, zone := range zones {
		scopes = append(scopes, s.cluster.Zones[zone].Racks)
	}
	if e.spec.Zone != "" || len(s.cluster.Zones) == 1 {
		return scopes
	}
	if e.spec.Spread.Width() >= job.SpreadRegion.Width() {
		scopes = append(scopes, s.regionScopes()...)
	}
	if e.spec.Spread == job.SpreadAny {
		scopes = append(scopes, s.allRacks())
	}
	return scopes
}

func (s *Scheduler) zonesByFree(e *entry) []cluster.ZoneID {
	var zones []cluster.ZoneID
	for i := range s.cluster.Zones {
		zone := &s.cluster.Zones[i]
		if int(zone.Free) >= e.accelerators() && (e.spec.Zone == "" || zone.Name == e.spec.Zone) {
			zones = append(zones, cluster.ZoneID(i))
		}
	}
	slices.SortStableFunc(zones, func(a, b cluster.ZoneID) int {
		return cmp.Compare(s.cluster.Zones[a].Free, s.cluster.Zones[b].Free)
	})
	return zones
}

func (s *Scheduler) regionScopes() [][]cluster.RackID {
	byRegion := map[string]int{}
	var scopes [][]cluster.RackID
	for i := range s.cluster.Zones {
		zone := &s.cluster.Zones[i]
		index, ok := byRegion[zone.Region]
		if !ok {
			index = len(scopes)
			byRegion[zone.Region] = index
			scopes = append(scopes, nil)
		}
		scopes[index] = append(scopes[index], zone.Racks...)
	}
	return scopes
}

func (s *Scheduler) allRacks() []cluster.RackID {
	racks := make([]cluster.RackID, len(s.cluster.Racks))
	for i := range racks {
		racks[i] = cluster.RackID(i)
	}
	return racks
}

type rackWithRoom struct {
	rack cluster.RackID
	room int
}

// fillScope uses as few racks as it can: those with most room first, and for the
// rest of the gang the rack that it fills best.
func (s *Scheduler) fillScope(e *entry, racks []cluster.RackID) []cluster.WorkerID {
	candidates := make([]rackWithRoom, 0, len(racks))
	total := 0
	for _, rack := range racks {
		if int(s.cluster.Racks[rack].Free) < e.spec.Accelerators {
			continue
		}
		room := s.rackRoom(e, rack)
		if room > 0 {
			candidates = append(candidates, rackWithRoom{rack, room})
			total += room
		}
	}
	if total < e.spec.Members {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b rackWithRoom) int { return cmp.Compare(b.room, a.room) })
	placement := make([]cluster.WorkerID, 0, e.spec.Members)
	for len(placement) < e.spec.Members {
		index := tightest(candidates, e.spec.Members-len(placement))
		workers := slices.Clone(s.cluster.Racks[candidates[index].rack].Workers)
		s.sortByFree(workers)
		placement = s.fill(e, workers, placement)
		candidates = slices.Delete(candidates, index, index+1)
	}
	return placement
}

// tightest returns the last candidate that takes all missing members, or the
// first when none does. Candidates are sorted by falling room.
func tightest(candidates []rackWithRoom, missing int) int {
	index := 0
	for index+1 < len(candidates) && candidates[index+1].room >= missing {
		index++
	}
	return index
}

// findFirst takes workers in the order of their names.
func (s *Scheduler) findFirst(e *entry) []cluster.WorkerID {
	for i := range s.cluster.Racks {
		rack := cluster.RackID(i)
		if !s.inZone(e, rack) || int(s.cluster.Racks[rack].Free) < e.accelerators() || s.rackRoom(e, rack) < e.spec.Members {
			continue
		}
		return s.fill(e, s.cluster.Racks[rack].Workers, make([]cluster.WorkerID, 0, e.spec.Members))
	}
	return s.findWide(e)
}
