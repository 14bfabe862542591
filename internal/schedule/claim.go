package schedule

import (
	"cmp"
	"slices"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
)

// claim gives a guaranteed job a place that its tenant's guarantee covers: where
// nothing has to leave if there is such a place, else by pushing out what loses
// least. It reports whether the job left the queue.
func (s *Scheduler) claim(e *entry) bool {
	if s.policy.WithoutWitness {
		return false
	}
	best := s.witness.bestClaim(e)
	if best == nil {
		return false
	}
	placement := s.witness.occupy(e, best)
	s.displace(e, best.victims)
	s.begin(e, placement, true)
	return true
}

// claimOption is one way to serve a guaranteed job.
type claimOption struct {
	slots   []*slot
	victims []*entry
	cost    float64
	// unclaimed counts the instance's unclaimed slots.
	unclaimed int
	// away is set when the slot has no worker and is put under the job at away.
	away *cluster.WorkerID
	// moveTo has a worker for each slot of the instance when it moves as a whole.
	moveTo []cluster.WorkerID
}

// bestClaim prefers the copy of the guaranteed shape that is claimed most already,
// so that whole copies stay whole for larger jobs, and then the least loss.
func (w *witness) bestClaim(e *entry) *claimOption {
	var best *claimOption
	for _, in := range w.byTenant[e.spec.Tenant] {
		option := w.claimIn(e, in)
		if option != nil && (best == nil || compareOptions(option, best) < 0) {
			best = option
		}
	}
	if best == nil {
		return w.claimAway(e)
	}
	if len(best.victims) == 0 || best.slots[0].instance.claimed() {
		return best
	}
	if moved := w.claimElsewhere(e); moved != nil {
		return moved
	}
	return best
}

// claimAway serves a job of one member from a slot that has lost its worker and found
// no other beside the rest of its copy: one member may run anywhere.
func (w *witness) claimAway(e *entry) *claimOption {
	sl := w.missingSlotFor(e)
	if sl == nil {
		return nil
	}
	var best *claimOption
	for index := range w.scheduler.cluster.Workers {
		id := cluster.WorkerID(index)
		option := w.clearWorker(e, id)
		if option != nil && (best == nil || option.cost < best.cost) {
			option.slots = []*slot{sl}
			option.away = &id
			best = option
		}
	}
	return best
}

func (w *witness) missingSlotFor(e *entry) *slot {
	if e.spec.Members != 1 || w.absent == 0 {
		return nil
	}
	for _, in := range w.byTenant[e.spec.Tenant] {
		if !in.covers(e.spec.Shape) {
			continue
		}
		for _, sl := range in.slots {
			if sl.worker == nowhere {
				return sl
			}
		}
	}
	return nil
}

// clearWorker returns what has to leave a worker for one member, or nil when firm
// work and other slots leave no room.
func (w *witness) clearWorker(e *entry, id cluster.WorkerID) *claimOption {
	s := w.scheduler
	worker := &s.cluster.Workers[id]
	if !worker.Schedulable || worker.Solid().Holds(e.need) == 0 || !s.inZone(e, worker.Rack) {
		return nil
	}
	free := map[cluster.WorkerID]cluster.Amount{id: s.soonFree(id)}
	option := &claimOption{}
	if !s.clearSlot(e, &slot{worker: id}, free, option) {
		return nil
	}
	option.cost = s.totalLoss(option.victims)
	return option
}

func compareOptions(a, b *claimOption) int {
	return cmp.Or(cmp.Compare(a.unclaimed, b.unclaimed), cmp.Compare(a.cost, b.cost))
}

func (in *instance) covers(shape job.Shape) bool {
	return shape.Members <= in.shape.Members &&
		shape.Accelerators <= in.shape.Accelerators &&
		shape.Spread.Width() >= in.shape.Spread.Width()
}

// claimIn serves the job in the instance's own slots.
func (w *witness) claimIn(e *entry, in *instance) *claimOption {
	if !in.covers(e.spec.Shape) || (e.spec.Zone != "" && in.zone != "" && e.spec.Zone != in.zone) {
		return nil
	}
	var usable []*slot
	for _, sl := range in.slots {
		if sl.claimant == nil && sl.worker != nowhere && w.scheduler.cluster.Workers[sl.worker].Schedulable && sl.amount.Holds(e.need) > 0 {
			usable = append(usable, sl)
		}
	}
	if len(usable) < e.spec.Members {
		return nil
	}
	option := w.cheapestSlots(e, usable)
	if option != nil {
		option.unclaimed = len(in.unclaimedSlots())
		slices.SortStableFunc(option.slots, func(a, b *slot) int { return int(a.worker - b.worker) })
	}
	return option
}

// cheapestSlots takes the slots that need no victim first, then pushes out.
func (w *witness) cheapestSlots(e *entry, usable []*slot) *claimOption {
	s := w.scheduler
	free := map[cluster.WorkerID]cluster.Amount{}
	for _, sl := range usable {
		free[sl.worker] = s.soonFree(sl.worker)
	}
	option := &claimOption{}
	var blocked []*slot
	for _, sl := range usable {
		if len(option.slots) == e.spec.Members {
			break
		}
		if free[sl.worker].Holds(e.need) == 0 {
			blocked = append(blocked, sl)
			continue
		}
		free[sl.worker] = free[sl.worker].Minus(e.need)
		option.slots = append(option.slots, sl)
	}
	for _, sl := range blocked {
		if len(option.slots) == e.spec.Members {
			break
		}
		if !s.clearSlot(e, sl, free, option) {
			return nil
		}
	}
	option.cost = s.totalLoss(option.victims)
	return option
}

// clearSlot adds victims until one more member fits on the slot's worker.
func (s *Scheduler) clearSlot(e *entry, sl *slot, free map[cluster.WorkerID]cluster.Amount, option *claimOption) bool {
	for free[sl.worker].Holds(e.need) == 0 {
		victim := s.cheapestVictim(sl.worker, option.victims)
		if victim == nil {
			return false
		}
		option.victims = append(option.victims, victim)
		shift(free, victim, 1)
	}
	free[sl.worker] = free[sl.worker].Minus(e.need)
	option.slots = append(option.slots, sl)
	return true
}

func (s *Scheduler) cheapestVictim(id cluster.WorkerID, chosen []*entry) *entry {
	var best *entry
	for _, other := range s.occupants[id] {
		cancellable := other.phase == booked && !other.firm
		if !other.pushable() && !cancellable || slices.Contains(chosen, other) {
			continue
		}
		if best == nil || s.compareVictims(other, best) < 0 {
			best = other
		}
	}
	return best
}

// claimElsewhere moves a wholly unclaimed instance to free capacity.
func (w *witness) claimElsewhere(e *entry) *claimOption {
	for _, in := range w.byTenant[e.spec.Tenant] {
		if !in.covers(e.spec.Shape) || in.claimed() || in.missing() > 0 {
			continue
		}
		if places := w.freeRack(e, in); places != nil {
			return &claimOption{slots: in.slots[:e.spec.Members], moveTo: places}
		}
	}
	return nil
}

// freeRack returns a rack's workers that take the whole instance with nothing
// pushed out and no other slot disturbed, or nil.
func (w *witness) freeRack(e *entry, in *instance) []cluster.WorkerID {
	s := w.scheduler
	tried := 0
	for free := in.shape.TotalAccelerators(); free <= s.cluster.MaxRackFree(); free++ {
		for _, rack := range s.cluster.RacksWithFree(free) {
			if !s.inZone(e, rack) {
				continue
			}
			if places := w.freeInRack(e, in, rack); places != nil {
				return places
			}
			if tried++; tried >= candidateLimit {
				return nil
			}
		}
	}
	return nil
}

func (w *witness) freeInRack(e *entry, in *instance, rack cluster.RackID) []cluster.WorkerID {
	places := make([]cluster.WorkerID, 0, in.shape.Members)
	for _, id := range w.scheduler.cluster.Racks[rack].Workers {
		worker := &w.scheduler.cluster.Workers[id]
		amount := slotAmount(in.shape, worker)
		if !worker.Schedulable || amount.Holds(e.need) == 0 {
			continue
		}
		room := min(w.solidHolds(in, id), worker.Free.Holds(amount))
		for range min(room, in.shape.Members-len(places)) {
			places = append(places, id)
		}
	}
	if len(places) < in.shape.Members {
		return nil
	}
	return places
}

// occupy sits the job in the option's slots and returns its placement.
func (w *witness) occupy(e *entry, option *claimOption) []cluster.WorkerID {
	if option.moveTo != nil {
		in := option.slots[0].instance
		for index, sl := range in.slots {
			w.lift(sl)
			w.settle(sl, option.moveTo[index])
		}
	}
	if option.away != nil {
		// Other slots on the worker stay where they are.
		w.settleAround(e, option.slots, *option.away, w.scheduler.cluster.Workers[*option.away].Solid())
		e.claims = option.slots
		return []cluster.WorkerID{*option.away}
	}
	placement := make([]cluster.WorkerID, 0, len(option.slots))
	for _, sl := range option.slots {
		w.sit(e, sl)
		placement = append(placement, sl.worker)
	}
	e.claims = option.slots
	return placement
}

// sit lets the job use its part of a slot; the rest stays held.
func (w *witness) sit(e *entry, sl *slot) {
	sl.claimant = e
	w.scheduler.cluster.Hold(sl.worker, e.need.Times(-1))
}

// unclaim gives a job's slots back to the guarantee.
func (w *witness) unclaim(e *entry) {
	if e.claims == nil {
		return
	}
	displaced := false
	for _, sl := range e.claims {
		sl.claimant = nil
		w.scheduler.cluster.Hold(sl.worker, e.need)
		worker := &w.scheduler.cluster.Workers[sl.worker]
		if !worker.Schedulable || sl.astray {
			w.lift(sl)
			displaced = true
		}
	}
	e.claims = nil
	if displaced {
		w.repair()
	}
}

// claimAt sits a job that runs already into its tenant's guarantee, and moves
// the slots to where the job is. It returns nil when no guarantee covers the job.
func (w *witness) claimAt(e *entry, placement []cluster.WorkerID) []*slot {
	for _, in := range w.byTenant[e.spec.Tenant] {
		if !in.covers(e.spec.Shape) {
			continue
		}
		unclaimed := in.unclaimedSlots()
		if len(unclaimed) < len(placement) {
			continue
		}
		for _, sl := range unclaimed {
			w.lift(sl)
		}
		claims := unclaimed[:len(placement)]
		next := 0
		for _, run := range runsOf(placement) {
			// The job runs there already, so unclaimed slots have to move away.
			room := w.scheduler.cluster.Workers[run.worker].Solid().Plus(w.unclaimedOn(run.worker))
			w.settleAround(e, claims[next:next+run.members], run.worker, room)
			next += run.members
		}
		return claims
	}
	return nil
}

// settleAround puts slots under the members of a job on a worker. Where the worker
// has no room for the whole slots, they shrink to the job until that ends.
func (w *witness) settleAround(e *entry, slots []*slot, id cluster.WorkerID, room cluster.Amount) {
	amount := slotAmount(slots[0].instance.shape, &w.scheduler.cluster.Workers[id])
	if room.Holds(amount) < len(slots) || amount.Holds(e.need) == 0 {
		amount = e.need
	}
	for _, sl := range slots {
		w.put(sl, id, amount)
		sl.astray = true
		w.sit(e, sl)
	}
}

// unclaimedOn adds up what unclaimed slots hold on a worker; they can move away.
func (w *witness) unclaimedOn(id cluster.WorkerID) cluster.Amount {
	var total cluster.Amount
	for _, in := range w.instances {
		for _, sl := range in.slots {
			if sl.worker == id && sl.claimant == nil {
				total = total.Plus(sl.amount)
			}
		}
	}
	return total
}

func (in *instance) unclaimedSlots() []*slot {
	var unclaimed []*slot
	for _, sl := range in.slots {
		if sl.claimant == nil {
			unclaimed = append(unclaimed, sl)
		}
	}
	return unclaimed
}

// makeWay evicts unclaimed slots from workers where firm work and slots together
// exceed the capacity, and finds them another place.
func (w *witness) makeWay(placement []cluster.WorkerID) {
	for _, run := range runsOf(placement) {
		solid := w.scheduler.cluster.Workers[run.worker].Solid()
		if solid.Accelerators < 0 || solid.CPUs < 0 || solid.MemoryGB < 0 || solid.Slots < 0 {
			w.evict(run.worker)
		}
	}
	w.repair()
}
