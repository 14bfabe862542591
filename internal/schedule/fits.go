package schedule

import (
	"strings"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// FitsIdle reports whether a shape would fit if every machine were up and idle.
// A zone ("region/zone") limits the search; empty searches everywhere.
func FitsIdle(state *cluster.State, shape job.Shape, zone string) bool {
	groups := map[string]int{}
	need := cluster.PerMember(shape)
	for i := range state.Workers {
		w := &state.Workers[i]
		rack := &state.Racks[w.Rack]
		if zone != "" && state.Zones[rack.Zone].Name != zone {
			continue
		}
		group := groupName(state, rack, shape.Spread)
		groups[group] += w.Capacity.Holds(need)
		if groups[group] >= shape.Members {
			return true
		}
	}
	return false
}

func groupName(state *cluster.State, rack *cluster.Rack, spread job.Spread) string {
	switch spread {
	case job.SpreadRack:
		return rack.Name
	case job.SpreadZone:
		return state.Zones[rack.Zone].Name
	case job.SpreadRegion:
		return state.Zones[rack.Zone].Region
	default:
		return ""
	}
}

// FitsFirm reports whether a shape that may not be pushed out would fit beside all
// guarantees if every machine were up and nothing else ran.
func (s *Scheduler) FitsFirm(shape job.Shape) bool {
	if s.idle == nil {
		s.idle = s.idleTwin()
	}
	state := s.idle.cluster
	groups := map[string]int{}
	need := cluster.PerMember(shape)
	for id := range state.Workers {
		w := &state.Workers[id]
		group := groupName(state, &state.Racks[w.Rack], shape.Spread)
		groups[group] += w.Solid().Holds(need)
		if groups[group] >= shape.Members {
			return true
		}
	}
	return false
}

// idleTwin returns a scheduler with the same machines, all up, and the same
// guarantees, on which nothing runs.
func (s *Scheduler) idleTwin() *Scheduler {
	twin := New(s.policy, cluster.NewState())
	for i := range s.cluster.Workers {
		w := &s.cluster.Workers[i]
		rack := &s.cluster.Racks[w.Rack]
		zone := &s.cluster.Zones[rack.Zone]
		at := cluster.Location{Region: zone.Region, Zone: strings.TrimPrefix(zone.Name, zone.Region+"/"), Rack: strings.TrimPrefix(rack.Name, zone.Name+"/")}
		twin.AddWorker(s.now, w.Name, at, w.Capacity)
	}
	twin.Configure(s.now, s.tenants)
	return twin
}

// JobsOn lists the jobs that run or vacate on a worker.
func (s *Scheduler) JobsOn(id cluster.WorkerID) []job.Key {
	var keys []job.Key
	for _, e := range s.occupants[id] {
		if e.phase == running || e.phase == vacating {
			keys = append(keys, e.key)
		}
	}
	return keys
}
