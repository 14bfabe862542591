package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
)

// nowhere marks a slot that has no worker at present.
const nowhere cluster.WorkerID = -1

// witness is a concrete set of workers for every guaranteed shape of every
// tenant, all at once. What it holds may be used by work that can be pushed out,
// and by nothing else, so that each shape can be reclaimed at any time.
//
// The idea of keeping guaranteed capacity as concrete cells is HiveD's (Zhao et
// al., OSDI 2020). Cells here are moved freely instead of split from a fixed tree.
type witness struct {
	scheduler *Scheduler
	instances []*instance
	byTenant  map[string][]*instance
	// absent counts slots without a worker.
	absent int
	// repackedAt is when all instances were last placed anew.
	repackedAt time.Time
}

// instance is one copy of a guaranteed shape.
type instance struct {
	tenant string
	shape  job.Shape
	zone   string
	slots  []*slot
}

// slot is the place of one guaranteed member.
type slot struct {
	instance *instance
	worker   cluster.WorkerID
	// amount is what the slot keeps on its worker.
	amount cluster.Amount
	// claimant is the job that sits in the slot.
	claimant *entry
	// astray slots were put under a job that ran, or had to run, away from the rest
	// of the copy. They find a new place when the job leaves.
	astray bool
}

func newWitness(s *Scheduler) *witness {
	return &witness{scheduler: s, byTenant: map[string][]*instance{}}
}

// configure replaces all instances, keeps running claims where they still fit a
// guarantee, and finds a place for the rest.
func (w *witness) configure(tenants []declaration.Tenant) {
	claimants := w.clear()
	for i := range tenants {
		for _, guarantee := range tenants[i].Guarantees {
			for range guarantee.Count {
				w.add(tenants[i].Name, guarantee)
			}
		}
	}
	slices.SortStableFunc(w.instances, func(a, b *instance) int {
		return cmp.Or(
			cmp.Compare(a.shape.Spread.Width(), b.shape.Spread.Width()),
			cmp.Compare(b.shape.TotalAccelerators(), a.shape.TotalAccelerators()),
		)
	})
	for _, e := range claimants {
		w.reclaim(e)
	}
	w.repair()
}

func (w *witness) add(tenant string, guarantee declaration.Guarantee) {
	added := &instance{tenant: tenant, shape: guarantee.Shape, zone: guarantee.Domain}
	w.absent += guarantee.Members
	for range guarantee.Members {
		added.slots = append(added.slots, &slot{instance: added, worker: nowhere})
	}
	w.instances = append(w.instances, added)
	w.byTenant[tenant] = append(w.byTenant[tenant], added)
}

// clear drops all instances and returns the jobs that sat in them.
func (w *witness) clear() []*entry {
	var claimants []*entry
	for _, in := range w.instances {
		for _, sl := range in.slots {
			if sl.claimant != nil && !slices.Contains(claimants, sl.claimant) {
				claimants = append(claimants, sl.claimant)
			}
		}
	}
	for _, e := range claimants {
		w.unclaim(e)
	}
	for _, in := range w.instances {
		for _, sl := range in.slots {
			w.lift(sl)
		}
	}
	w.absent = 0
	w.instances = nil
	w.byTenant = map[string][]*instance{}
	return claimants
}

// reclaim finds new slots for a running job whose old ones were dropped.
func (w *witness) reclaim(e *entry) {
	wasFirm := e.firm
	placement := e.placement
	w.setFirm(e, false)
	e.claims = w.claimAt(e, placement)
	w.setFirm(e, e.claims != nil || (wasFirm && !e.spec.Repeatable))
	w.makeWay(placement)
}

func (w *witness) setFirm(e *entry, firm bool) {
	if e.firm == firm {
		return
	}
	for _, id := range e.placement {
		w.scheduler.cluster.Take(id, e.need.Times(-1), e.firm)
		w.scheduler.cluster.Take(id, e.need, firm)
	}
	e.firm = firm
}

// settle puts an unclaimed slot on a worker.
func (w *witness) settle(sl *slot, id cluster.WorkerID) {
	w.put(sl, id, slotAmount(sl.instance.shape, &w.scheduler.cluster.Workers[id]))
}

// put places a slot that has no worker.
func (w *witness) put(sl *slot, id cluster.WorkerID, amount cluster.Amount) {
	sl.worker = id
	sl.amount = amount
	w.absent--
	w.scheduler.cluster.Hold(id, amount)
}

// lift takes an unclaimed slot off its worker.
func (w *witness) lift(sl *slot) {
	if sl.worker == nowhere {
		return
	}
	w.scheduler.cluster.Hold(sl.worker, sl.amount.Times(-1))
	w.absent++
	sl.worker = nowhere
	sl.astray = false
}

// slotAmount is what a member of a guaranteed shape keeps on a worker. A shape
// that states no processors or memory keeps the accelerators' fair share of them.
func slotAmount(shape job.Shape, w *cluster.Worker) cluster.Amount {
	amount := cluster.PerMember(shape)
	if w.Capacity.Accelerators == 0 {
		return amount
	}
	if amount.CPUs == 0 {
		amount.CPUs = w.Capacity.CPUs * amount.Accelerators / w.Capacity.Accelerators
	}
	if amount.MemoryGB == 0 {
		amount.MemoryGB = w.Capacity.MemoryGB * amount.Accelerators / w.Capacity.Accelerators
	}
	return amount
}

// evict takes unclaimed slots off a worker that takes no new work.
func (w *witness) evict(id cluster.WorkerID) {
	for _, in := range w.instances {
		for _, sl := range in.slots {
			if sl.worker == id && sl.claimant == nil {
				w.lift(sl)
			}
		}
	}
}

// missing counts slots without a worker.
func (w *witness) missing() int { return w.absent }

func (in *instance) missing() int {
	count := 0
	for _, sl := range in.slots {
		if sl.worker == nowhere {
			count++
		}
	}
	return count
}

func (in *instance) claimed() bool {
	for _, sl := range in.slots {
		if sl.claimant != nil {
			return true
		}
	}
	return false
}

// repair finds workers for slots that have none. Where an instance finds no place
// by itself, all unclaimed ones are placed anew together.
func (w *witness) repair() {
	if w.absent == 0 {
		return
	}
	for _, in := range w.instances {
		if in.missing() == 0 || w.complete(in) || in.claimed() {
			continue
		}
		w.move(in)
	}
	if w.absent > 0 && w.mayRepack() {
		w.repack()
	}
}

// repackPause bounds how often all instances are placed anew.
const repackPause = 5 * time.Second

func (w *witness) mayRepack() bool {
	now := w.scheduler.now
	if !w.repackedAt.IsZero() && now.Sub(w.repackedAt) < repackPause {
		return false
	}
	w.repackedAt = now
	return true
}

// complete places the missing slots beside the placed ones.
func (w *witness) complete(in *instance) bool {
	var missing []*slot
	anchor := nowhere
	for _, sl := range in.slots {
		switch {
		case sl.worker == nowhere:
			missing = append(missing, sl)
		case !sl.astray:
			anchor = sl.worker
		}
	}
	places := w.solidPlaces(in, anchor, len(missing))
	if places == nil {
		return false
	}
	for index, sl := range missing {
		w.settle(sl, places[index])
	}
	return true
}

// move places an unclaimed instance anew as a whole.
func (w *witness) move(in *instance) {
	old := make([]cluster.WorkerID, len(in.slots))
	for index, sl := range in.slots {
		old[index] = sl.worker
		w.lift(sl)
	}
	if w.complete(in) {
		return
	}
	for index, sl := range in.slots {
		if old[index] != nowhere {
			w.settle(sl, old[index])
		}
	}
}

// repack places all unclaimed instances anew, the narrowest and largest first, each
// in the tightest place, so that room which failures and ended jobs left scattered
// comes together again. It changes nothing if that leaves more without a place.
func (w *witness) repack() {
	missing := w.absent
	old := map[*slot]cluster.WorkerID{}
	for _, in := range w.instances {
		if in.claimed() {
			continue
		}
		for _, sl := range in.slots {
			old[sl] = sl.worker
			w.lift(sl)
		}
	}
	for _, in := range w.instances {
		if !in.claimed() {
			w.complete(in)
		}
	}
	if w.absent <= missing {
		return
	}
	for sl := range old {
		w.lift(sl)
	}
	for sl, id := range old {
		if id != nowhere {
			w.settle(sl, id)
		}
	}
}

// solidPlaces returns workers for count members of an instance in capacity that
// neither firm work nor other slots need, tightest rack first, or nil.
func (w *witness) solidPlaces(in *instance, anchor cluster.WorkerID, count int) []cluster.WorkerID {
	scopes := w.solidScopes(in, anchor)
	var best []cluster.RackID
	bestRoom := 0
	for _, racks := range scopes {
		room := w.solidRoom(in, racks)
		if room >= count && (best == nil || room < bestRoom) {
			best, bestRoom = racks, room
		}
	}
	if best == nil {
		return nil
	}
	places := make([]cluster.WorkerID, 0, count)
	for _, id := range w.scheduler.workersOf(best) {
		for range min(w.solidHolds(in, id), count-len(places)) {
			places = append(places, id)
		}
	}
	return places
}

// solidScopes are the groups of racks the instance may lie in, given the worker
// of a slot that is placed already.
func (w *witness) solidScopes(in *instance, anchor cluster.WorkerID) [][]cluster.RackID {
	state := w.scheduler.cluster
	var scopes [][]cluster.RackID
	switch in.shape.Spread {
	case job.SpreadRack:
		for i := range state.Racks {
			scopes = append(scopes, []cluster.RackID{cluster.RackID(i)})
		}
	case job.SpreadZone:
		for i := range state.Zones {
			scopes = append(scopes, state.Zones[i].Racks)
		}
	case job.SpreadRegion:
		scopes = w.scheduler.regionScopes()
	default:
		scopes = [][]cluster.RackID{w.scheduler.allRacks()}
	}
	return slices.DeleteFunc(scopes, func(racks []cluster.RackID) bool {
		if len(racks) == 0 || (in.zone != "" && state.Zones[state.Racks[racks[0]].Zone].Name != in.zone) {
			return true
		}
		return anchor != nowhere && !slices.Contains(racks, state.Workers[anchor].Rack)
	})
}

func (w *witness) solidRoom(in *instance, racks []cluster.RackID) int {
	room := 0
	for _, rack := range racks {
		for _, id := range w.scheduler.cluster.Racks[rack].Workers {
			room += w.solidHolds(in, id)
		}
	}
	return room
}

func (w *witness) solidHolds(in *instance, id cluster.WorkerID) int {
	worker := &w.scheduler.cluster.Workers[id]
	if !worker.Schedulable {
		return 0
	}
	return worker.Solid().Holds(slotAmount(in.shape, worker))
}
