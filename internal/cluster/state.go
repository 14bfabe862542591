package cluster

import (
	"maps"
	"slices"
)

// WorkerID indexes a worker in a State.
type WorkerID int32

// RackID indexes a rack in a State.
type RackID int32

// ZoneID indexes a zone in a State.
type ZoneID int32

// Worker is one machine and what of it is taken.
type Worker struct {
	Name     string
	Rack     RackID
	Capacity Amount
	// Free is the capacity that nothing occupies. It is negative while work that
	// gives way still runs where its successor is already booked.
	Free Amount
	// Firm is what work occupies that may not be pushed out.
	Firm Amount
	// Held is what guarantees keep for themselves and do not use at present.
	Held Amount
	// Schedulable is false while the machine is down, leaving or drained.
	Schedulable bool
}

// Solid returns the capacity that work which can't be pushed out may still take.
func (w *Worker) Solid() Amount { return w.Capacity.Minus(w.Firm).Minus(w.Held) }

func (w *Worker) level() int32 {
	if !w.Schedulable {
		return 0
	}
	return max(0, w.Free.Accelerators)
}

// Rack is a group of adjacent workers.
type Rack struct {
	Name    string
	Zone    ZoneID
	Workers []WorkerID
	// Free is the sum of free accelerators on schedulable workers.
	Free int32
	// Levels counts schedulable workers by their free accelerators.
	Levels []int32
	// slots remembers the rack's position in each set of the level index.
	slots    []int32
	freeSlot int32
}

// Zone is a group of racks.
type Zone struct {
	Name   string
	Region string
	Racks  []RackID
	Free   int32
}

// State is the capacity of a cluster. It is not safe for concurrent use.
type State struct {
	Workers []Worker
	Racks   []Rack
	Zones   []Zone
	byName  map[string]WorkerID
	rackIDs map[string]RackID
	zoneIDs map[string]ZoneID
	// levelRacks[f] lists the racks with a worker that has exactly f free.
	levelRacks [][]RackID
	// freeRacks[f] lists the racks with f free accelerators in total.
	freeRacks [][]RackID
	up        int64
}

// NewState returns an empty cluster.
func NewState() *State {
	return &State{byName: map[string]WorkerID{}, rackIDs: map[string]RackID{}, zoneIDs: map[string]ZoneID{}}
}

// Location names where a worker stands.
type Location struct {
	Region string
	Zone   string
	Rack   string
}

// Add enters a worker, schedulable and idle, or returns the known one's ID.
func (s *State) Add(name string, at Location, capacity Amount) WorkerID {
	if id, ok := s.byName[name]; ok {
		return id
	}
	rackID := s.rack(at)
	id := WorkerID(len(s.Workers))
	s.Workers = append(s.Workers, Worker{Name: name, Rack: rackID, Capacity: capacity, Free: capacity})
	s.byName[name] = id
	s.Racks[rackID].Workers = append(s.Racks[rackID].Workers, id)
	s.SetSchedulable(id, true)
	return id
}

func (s *State) rack(at Location) RackID {
	zoneKey := at.Region + "/" + at.Zone
	rackKey := zoneKey + "/" + at.Rack
	if id, ok := s.rackIDs[rackKey]; ok {
		return id
	}
	zoneID, ok := s.zoneIDs[zoneKey]
	if !ok {
		zoneID = ZoneID(len(s.Zones))
		s.Zones = append(s.Zones, Zone{Name: zoneKey, Region: at.Region})
		s.zoneIDs[zoneKey] = zoneID
	}
	id := RackID(len(s.Racks))
	s.Racks = append(s.Racks, Rack{Name: rackKey, Zone: zoneID, freeSlot: -1})
	s.Zones[zoneID].Racks = append(s.Zones[zoneID].Racks, id)
	s.rackIDs[rackKey] = id
	return id
}

// Lookup returns the worker of that name.
func (s *State) Lookup(name string) (WorkerID, bool) {
	id, ok := s.byName[name]
	return id, ok
}

// LookupRack returns the rack named "region/zone/rack".
func (s *State) LookupRack(name string) (RackID, bool) {
	id, ok := s.rackIDs[name]
	return id, ok
}

// Up returns the accelerators of all schedulable workers.
func (s *State) Up() int64 { return s.up }

// Free returns the free accelerators of all schedulable workers.
func (s *State) Free() int64 {
	var free int64
	for i := range s.Zones {
		free += int64(s.Zones[i].Free)
	}
	return free
}

// SetSchedulable lets a worker take new work or not.
func (s *State) SetSchedulable(id WorkerID, schedulable bool) {
	w := &s.Workers[id]
	if w.Schedulable == schedulable {
		return
	}
	s.unindex(id)
	w.Schedulable = schedulable
	if schedulable {
		s.up += int64(w.Capacity.Accelerators)
	} else {
		s.up -= int64(w.Capacity.Accelerators)
	}
	s.index(id)
}

// Take occupies an amount of a worker, or gives it back when negative.
func (s *State) Take(id WorkerID, amount Amount, firm bool) {
	s.unindex(id)
	w := &s.Workers[id]
	w.Free = w.Free.Minus(amount)
	if firm {
		w.Firm = w.Firm.Plus(amount)
	}
	s.index(id)
}

// Hold sets an amount of a worker aside for guarantees, or gives it back.
func (s *State) Hold(id WorkerID, amount Amount) {
	w := &s.Workers[id]
	w.Held = w.Held.Plus(amount)
}

func (s *State) unindex(id WorkerID) {
	w := &s.Workers[id]
	if !w.Schedulable {
		return
	}
	level := w.level()
	s.adjustFree(w.Rack, -level)
	rack := &s.Racks[w.Rack]
	rack.Levels[level]--
	if rack.Levels[level] == 0 {
		s.levelRacks[level] = s.removeFrom(s.levelRacks[level], rack.slots[level], func(r *Rack, slot int32) { r.slots[level] = slot })
		rack.slots[level] = -1
	}
}

func (s *State) index(id WorkerID) {
	w := &s.Workers[id]
	if !w.Schedulable {
		return
	}
	level := w.level()
	rack := &s.Racks[w.Rack]
	for int32(len(rack.Levels)) <= level {
		rack.Levels = append(rack.Levels, 0)
		rack.slots = append(rack.slots, -1)
	}
	for int32(len(s.levelRacks)) <= level {
		s.levelRacks = append(s.levelRacks, nil)
	}
	rack.Levels[level]++
	if rack.Levels[level] == 1 {
		rack.slots[level] = int32(len(s.levelRacks[level]))
		s.levelRacks[level] = append(s.levelRacks[level], w.Rack)
	}
	s.adjustFree(w.Rack, level)
}

func (s *State) adjustFree(id RackID, change int32) {
	rack := &s.Racks[id]
	if rack.freeSlot >= 0 {
		if change == 0 {
			return
		}
		s.freeRacks[rack.Free] = s.removeFrom(s.freeRacks[rack.Free], rack.freeSlot, func(r *Rack, slot int32) { r.freeSlot = slot })
	}
	rack.Free += change
	s.Zones[rack.Zone].Free += change
	for int32(len(s.freeRacks)) <= rack.Free {
		s.freeRacks = append(s.freeRacks, nil)
	}
	rack.freeSlot = int32(len(s.freeRacks[rack.Free]))
	s.freeRacks[rack.Free] = append(s.freeRacks[rack.Free], id)
}

func (s *State) removeFrom(set []RackID, slot int32, moved func(*Rack, int32)) []RackID {
	last := len(set) - 1
	if int(slot) != last {
		set[slot] = set[last]
		moved(&s.Racks[set[slot]], slot)
	}
	return set[:last]
}

// RacksAtLevel returns the racks that have a worker with exactly that many free
// accelerators. The slice is the index itself: read it, then let go.
func (s *State) RacksAtLevel(level int) []RackID {
	if level >= len(s.levelRacks) {
		return nil
	}
	return s.levelRacks[level]
}

// MaxLevel returns the largest number of free accelerators seen on a worker.
func (s *State) MaxLevel() int { return len(s.levelRacks) - 1 }

// RacksWithFree returns the racks with exactly that many free accelerators in
// total. The slice is the index itself: read it, then let go.
func (s *State) RacksWithFree(free int) []RackID {
	if free >= len(s.freeRacks) {
		return nil
	}
	return s.freeRacks[free]
}

// MaxRackFree returns the largest number of free accelerators seen in a rack.
func (s *State) MaxRackFree() int { return len(s.freeRacks) - 1 }

// Clone returns an independent copy.
func (s *State) Clone() *State {
	clone := &State{
		Workers: slices.Clone(s.Workers),
		Racks:   slices.Clone(s.Racks),
		Zones:   slices.Clone(s.Zones),
		byName:  maps.Clone(s.byName),
		rackIDs: maps.Clone(s.rackIDs),
		zoneIDs: maps.Clone(s.zoneIDs),
		up:      s.up,
	}
	for i := range clone.Racks {
		clone.Racks[i].Levels = slices.Clone(clone.Racks[i].Levels)
		clone.Racks[i].slots = slices.Clone(clone.Racks[i].slots)
	}
	clone.levelRacks = cloneSets(s.levelRacks)
	clone.freeRacks = cloneSets(s.freeRacks)
	return clone
}

func cloneSets(sets [][]RackID) [][]RackID {
	clone := make([][]RackID, len(sets))
	for i := range sets {
		clone[i] = slices.Clone(sets[i])
	}
	return clone
}
