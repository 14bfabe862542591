package pool

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/placement"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Choices of the scheduling policy.
const (
	// reservationLimit bounds the units for which room is kept in one cycle.
	reservationLimit = 16
	// remotePatience times its estimate is how long a unit waits for a place near
	// its data, or on one rack, before it runs elsewhere.
	remotePatience = 1.0
	// A unit that has waited for idlePatience while less than idleUsage of the pool is
	// taken gets any place.
	idleUsage    = 0.55
	idlePatience = 1800 * time.Millisecond
	// patientShare of its objective is the slack above which a unit leaves the
	// emptiest racks to others.
	patientShare = 0.2
	// backfillFactor times its estimate is how long a unit is taken to run where
	// room is reserved for another.
	backfillFactor = 1
	// pressurePeriod is how long patient units of lower priority wait after others
	// were stopped for want of room.
	pressurePeriod = 2000 * time.Millisecond
	// pressingShare of its objective is the slack below which a gang without
	// priority 0 may stop others of lower priority.
	pressingShare = 0.2
	// leastLoss keeps the loss of a running unit above that of a stopping one.
	leastLoss = 0.1
	// gainLate times its work is what the start of a unit that is late already may
	// throw away.
	gainLate = 1.0
	// cheapShare of the gain is what a stop may cost if waiting would do as well by
	// estimates, which are rough.
	cheapShare = 0.5
	// waitMargin is kept from a unit's slack when it waits for others to end.
	waitMargin = 150 * time.Millisecond
	// reclaimMargin is kept from the time in which a guaranteed job must begin.
	reclaimMargin = 600 * time.Millisecond
)

// headroomShares are the shares of racks that patient units of each priority leave
// to others; the last holds for all lower priorities too.
var headroomShares = []float64{0, 0.15, 0.65}

// timelyGains price, by priority, that a unit ends in time: what may be thrown away
// for it, in core-seconds, with a part for each core-second of its own work. The
// last holds for all lower priorities too.
var timelyGains = []struct{ base, perWork float64 }{{600, 6}, {400, 0.5}, {200, 0.1}}

// wake runs a scheduling cycle soon.
func (p *Pool) wake() {
	if p.waking || !p.loaded || p.gone || p.releasing {
		return
	}
	p.waking = true
	p.loop.Post(func() {
		p.waking = false
		if !p.gone && !p.releasing {
			p.cycle()
		}
	})
}

// snapshot is what one cycle decides over.
type snapshot struct {
	now     time.Time
	workers []placement.Worker
	owners  []*worker
	index   map[*worker]int
	racks   *placement.Racks
	units   []placement.Unit
	running []*unit
	// usage is the share of the pool's room that is taken, of the scarcest kind.
	usage float64
	// reservations is how many more units may keep room free.
	reservations int
	// reserved has room kept for units that wait, by worker.
	reserved map[int]reservation
}

// reservation is room on one worker that is wanted at a time.
type reservation struct {
	after time.Duration
	// spare is what others may hold beyond then.
	spare taskgraph.Amount
}

// cycle places waiting units, the most pressing first.
func (p *Pool) cycle() {
	waiting := p.waitingUnits()
	if len(waiting) == 0 {
		return
	}
	s := p.snapshot()
	refused := map[placementClass]bool{}
	for _, u := range waiting {
		class := classOf(u)
		if refused[class] {
			continue
		}
		if !p.place(s, u) && len(u.avoid) == 0 {
			refused[class] = true
		}
	}
}

// placementClass groups units for which the answer is the same in one cycle.
type placementClass struct {
	step *step
	gang bool
}

func classOf(u *unit) placementClass {
	return placementClass{step: u.step, gang: u.spec().Gang}
}

// waitingUnits lists the units that want a place, the most pressing first.
func (p *Pool) waitingUnits() []*unit {
	var waiting []*unit
	for _, j := range p.jobs {
		if j.next.Final() {
			continue
		}
		for _, t := range j.times {
			for _, s := range t.steps {
				for _, u := range s.units {
					if u.state == unitWaiting {
						waiting = append(waiting, u)
					}
				}
			}
		}
	}
	slices.SortFunc(waiting, compareUnits)
	return waiting
}

func compareUnits(a, b *unit) int {
	if a.job.Queue.Priority != b.job.Queue.Priority {
		return a.job.Queue.Priority - b.job.Queue.Priority
	}
	if order := a.job.acceptedAt.Compare(b.job.acceptedAt); order != 0 {
		return order
	}
	if order := strings.Compare(a.job.id, b.job.id); order != 0 {
		return order
	}
	if a.time.number != b.time.number {
		return a.time.number - b.time.number
	}
	if a.step.index != b.step.index {
		return a.step.index - b.step.index
	}
	return a.index - b.index
}

func (p *Pool) snapshot() *snapshot {
	now := p.loop.Now()
	s := &snapshot{now: now, index: map[*worker]int{}, reservations: reservationLimit, reserved: map[int]reservation{}}
	numbers := map[*unit]int{}
	for _, w := range p.sortedWorkers() {
		entry := placement.Worker{Rack: w.rack, Free: w.Capacity, Usable: p.usable(w, now)}
		place := len(s.workers)
		for _, m := range w.sortedMembers() {
			room := m.unit.spec().Room()
			entry.Free = entry.Free.Minus(room)
			number, known := numbers[m.unit]
			if !known {
				number = len(s.units)
				numbers[m.unit] = number
				s.units = append(s.units, p.describeUnit(m.unit, now))
				s.running = append(s.running, m.unit)
			}
			s.units[number].Places = append(s.units[number].Places, place)
			entry.Holders = append(entry.Holders, placement.Holder{Unit: number, Room: room})
		}
		for _, room := range w.strangers {
			entry.Free = entry.Free.Minus(room)
		}
		s.index[w] = place
		s.workers = append(s.workers, entry)
		s.owners = append(s.owners, w)
	}
	s.usage = usageOf(s.owners, s.workers)
	s.racks = placement.NewRacks(s.workers)
	placement.MeasureRacks(s.workers, s.racks)
	return s
}

// usageOf returns the share of all room that is taken, of the scarcest kind.
func usageOf(owners []*worker, workers []placement.Worker) float64 {
	var all, free taskgraph.Amount
	for i := range workers {
		if workers[i].Usable {
			all = all.Plus(owners[i].Capacity)
			free = free.Plus(workers[i].Free)
		}
	}
	return max(takenShare(all.CPU, free.CPU), takenShare(all.MemoryMB, free.MemoryMB), takenShare(all.GPUs, free.GPUs))
}

func takenShare(all, free int) float64 {
	if all == 0 {
		return 0
	}
	return 1 - float64(free)/float64(all)
}

// usable reports whether a worker may take new work.
func (p *Pool) usable(w *worker, now time.Time) bool {
	return w.greeted && w.unanswered == 0 && !w.leaving() && now.After(w.penaltyUntil)
}

// describeUnit renders a unit that holds room.
func (p *Pool) describeUnit(u *unit, now time.Time) placement.Unit {
	described := placement.Unit{Room: u.spec().Room(), Remaining: p.remaining(u, now), Loss: -1, Priority: u.job.Queue.Priority}
	switch {
	case u.state == unitStopping || u.state == unitEnded:
		described.Remaining = min(described.Remaining, p.options.Bounds.StopTimeout)
		described.Loss = 0
	case u.state == unitActive && u.job.Queue.Priority > 0 && !u.spec().LongRunning:
		described.Loss = max(leastLoss, p.stopLoss(u, now))
	}
	return described
}

// stopLoss prices, in core-seconds, what a stop of the unit throws away, and its
// lateness if the stop would make it late.
func (p *Pool) stopLoss(u *unit, now time.Time) float64 {
	lost := now.Sub(u.startedAt)
	restart := u.spec().Estimate()
	if u.spec().Checkpoints {
		lost = min(lost, p.options.Bounds.CheckpointInterval)
		restart = p.remaining(u, now)
	}
	loss := u.spec().Amount.Cores() * float64(len(u.members)) * lost.Seconds()
	left := u.wantedAt().Sub(now) - u.job.tails[u.step.index] + u.spec().Estimate()
	if left > p.remaining(u, now) && left < restart+restartMargin {
		loss += timelyGain(u)
	}
	return loss
}

// restartMargin is how long a stopped unit waits, as a guess, until it runs again.
const restartMargin = 2 * time.Second

// request renders what a unit asks for.
func (s *snapshot) request(u *unit) *placement.Request {
	spec := u.spec()
	request := &placement.Request{Room: spec.Room(), Count: len(u.members), Priority: u.job.Queue.Priority, MaxPerWorker: spec.MaxPerWorker}
	request.Allowed = func(i int) bool {
		w := s.owners[i]
		return !u.avoid[w.ID] && w.HasLabel(spec.RequiredLabel)
	}
	if spec.MaxPerWorker > 0 {
		request.Present = func(i int) int {
			count := 0
			for m := range s.owners[i].members {
				if m.unit.step == u.step {
					count++
				}
			}
			return count
		}
	}
	return request
}

// place finds a place for a unit and begins it. It returns false if none is found.
func (p *Pool) place(s *snapshot, u *unit) bool {
	request := s.request(u)
	if places := p.findPlace(s, u, request); places != nil {
		p.beginAt(s, u, request, places)
		return true
	}
	promise := s.earliest(u, request)
	if p.pressing(s, u) && p.preemptFor(s, u, request, promise) {
		return false
	}
	s.reserveFor(u, request, promise)
	return false
}

func (p *Pool) beginAt(s *snapshot, u *unit, request *placement.Request, places []int) {
	placement.Reserve(s.workers, places, request.Room)
	workers := make([]*worker, len(places))
	for i, place := range places {
		workers[i] = s.owners[place]
	}
	p.begin(u, workers)
}

// findPlace looks for room that is free now.
func (p *Pool) findPlace(s *snapshot, u *unit, request *placement.Request) []int {
	if s.overdue(u) {
		return p.findAnyPlace(s, u, request)
	}
	spec := u.spec()
	visible := s.visibleTo(spec.Estimate())
	if p.patient(s, u) {
		if u.job.Queue.Priority > p.pressurePriority && s.now.Before(p.pressureUntil) {
			return nil
		}
		visible = s.withoutHeadroom(visible, u.job.Queue.Priority)
	}
	if rack := spec.PreferredRack; rack != "" {
		if places := placement.Fit(visible, s.racks.Members[rack], request); places != nil {
			return places
		}
	}
	if spec.SameRack && len(u.members) > 1 && spec.PreferredRack == "" {
		if places := placement.FitOneRack(visible, s.racks, request); places != nil {
			return places
		}
	}
	if p.bound(s, u) {
		return nil
	}
	if len(u.members) > 1 && spec.Gang {
		if places := placement.FitOneRack(visible, s.racks, request); places != nil {
			return places
		}
	}
	return placement.Fit(visible, s.racks.All, request)
}

// findAnyPlace looks for room that is free now, whoever else might want it.
func (p *Pool) findAnyPlace(s *snapshot, u *unit, request *placement.Request) []int {
	for _, scope := range s.scopes(u) {
		if places := placement.Fit(s.workers, scope, request); places != nil {
			return places
		}
	}
	if places := placement.FitOneRack(s.workers, s.racks, request); places != nil {
		return places
	}
	return placement.Fit(s.workers, s.racks.All, request)
}

// overdue reports whether a unit has waited for long while much of the pool is free:
// then nothing is worth keeping it back.
func (s *snapshot) overdue(u *unit) bool {
	return s.usage < idleUsage && s.now.Sub(u.readyAt) > idlePatience
}

// bound reports whether a unit still waits for a place where it runs at full speed.
func (p *Pool) bound(s *snapshot, u *unit) bool {
	spec := u.spec()
	near := spec.PreferredRack != "" && len(s.racks.Members[spec.PreferredRack]) > 0
	together := spec.SameRack && len(u.members) > 1
	if !near && !together {
		return false
	}
	waited := s.now.Sub(u.readyAt)
	return waited < time.Duration(remotePatience*float64(spec.Estimate()))
}

// patient reports whether a unit can leave the emptiest racks to urgent jobs.
func (p *Pool) patient(s *snapshot, u *unit) bool {
	return u.job.Queue.Priority > 0 && u.spec().PreferredRack == "" &&
		u.slack(s.now) > time.Duration(patientShare*float64(u.job.objective))
}

// withoutHeadroom hides the emptiest racks, the more the less urgent the priority.
func (s *snapshot) withoutHeadroom(workers []placement.Worker, priority int) []placement.Worker {
	share := headroomShares[min(priority, len(headroomShares)-1)]
	hidden := int(math.Ceil(share * float64(len(s.racks.Names))))
	if len(s.racks.Names) <= hidden {
		return workers
	}
	names := slices.Clone(s.racks.Names)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(s.workers[s.racks.Members[b][0]].RackFree, s.workers[s.racks.Members[a][0]].RackFree)
	})
	visible := slices.Clone(workers)
	for _, name := range names[:hidden] {
		for _, i := range s.racks.Members[name] {
			visible[i].Usable = false
		}
	}
	return visible
}

// visibleTo returns the workers with reserved room hidden from units that would not
// be gone in time.
func (s *snapshot) visibleTo(estimate time.Duration) []placement.Worker {
	if len(s.reserved) == 0 {
		return s.workers
	}
	visible := slices.Clone(s.workers)
	for i, reserved := range s.reserved {
		if backfillFactor*estimate > reserved.after {
			visible[i].Free = visible[i].Free.Least(reserved.spare)
		}
	}
	return visible
}

// scopes lists the groups of workers in which a unit should stand, best first.
func (s *snapshot) scopes(u *unit) [][]int {
	spec := u.spec()
	if members := s.racks.Members[spec.PreferredRack]; spec.PreferredRack != "" && len(members) > 0 {
		return [][]int{members}
	}
	if spec.SameRack && len(u.members) > 1 {
		groups := make([][]int, 0, len(s.racks.Names))
		for _, name := range s.racks.Names {
			groups = append(groups, s.racks.Members[name])
		}
		return groups
	}
	return [][]int{s.racks.All}
}

// preemptFor stops what is cheapest so that a unit can start, and keeps the room.
// It returns false if waiting is better or nothing helps.
func (p *Pool) preemptFor(s *snapshot, u *unit, request *placement.Request, promise *placement.Promise) bool {
	places, victims, loss := bestPreemption(s, s.scopes(u), request)
	if places == nil {
		places, victims, loss = bestPreemption(s, [][]int{s.racks.All}, request)
	}
	if places == nil {
		return false
	}
	gain := preemptionGain(u, s.now)
	if !p.mustBegin(s, u) && (loss > gain || loss > cheapShare*gain && p.mayWait(s, u, promise)) {
		return false
	}
	s.promise(victims, places, request.Room)
	if len(victims) > 0 {
		p.pressurePriority = u.job.Queue.Priority
		p.pressureUntil = s.now.Add(pressurePeriod)
	}
	for _, number := range victims {
		p.stopUnit(s.running[number], "preempted")
	}
	return true
}

// promise gives the room of victims to places. What the victims hold beyond that
// is not free before they have stopped, so no other unit of this cycle gets it.
func (s *snapshot) promise(victims, places []int, room taskgraph.Amount) {
	before := map[int]taskgraph.Amount{}
	for _, number := range victims {
		for _, i := range s.units[number].Places {
			if _, known := before[i]; !known {
				before[i] = s.workers[i].Free
			}
			s.workers[i].Free = s.workers[i].Free.Plus(s.units[number].Room)
		}
		s.units[number].Loss = -1
		s.units[number].Places = nil
	}
	placement.Reserve(s.workers, places, room)
	for i, free := range before {
		s.workers[i].Free = s.workers[i].Free.Least(free)
	}
}

// pressing reports whether a unit may stop others: those of priority 0 always, gangs
// of others while their slack is nearly used up.
func (p *Pool) pressing(s *snapshot, u *unit) bool {
	if u.job.Queue.Priority == 0 {
		return true
	}
	slack := u.slack(s.now)
	return len(u.members) > 1 && slack > 0 && slack < time.Duration(pressingShare*float64(u.job.objective))
}

// mayWait reports whether a unit can wait for room that is promised to it.
func (p *Pool) mayWait(s *snapshot, u *unit, promise *placement.Promise) bool {
	if promise == nil || u.slack(s.now) < promise.After+waitMargin {
		return false
	}
	latest := u.job.acceptedAt.Add(p.options.Bounds.Reclaim - p.options.Bounds.StopTimeout - reclaimMargin)
	return s.now.Add(promise.After).Before(latest)
}

// mustBegin reports whether a guarantee obliges the unit to begin soon.
func (p *Pool) mustBegin(s *snapshot, u *unit) bool {
	latest := u.job.acceptedAt.Add(p.options.Bounds.Reclaim - p.options.Bounds.StopTimeout - reclaimMargin)
	return s.now.After(latest.Add(-tickPeriod)) && p.guaranteed(u.job)
}

// preemptionGain is the loss, in core-seconds, that a unit's start is worth.
func preemptionGain(u *unit, now time.Time) float64 {
	if u.slack(now) <= 0 {
		return gainLate * u.work()
	}
	return timelyGain(u)
}

// timelyGain is what it is worth, in core-seconds, that a unit ends in time.
func timelyGain(u *unit) float64 {
	gain := timelyGains[min(u.job.Queue.Priority, len(timelyGains)-1)]
	return gain.base + gain.perWork*u.work()
}

// work is the unit's estimated work in core-seconds.
func (u *unit) work() float64 {
	spec := u.spec()
	return spec.Amount.Cores() * float64(len(u.members)) * spec.Estimate().Seconds()
}

func bestPreemption(s *snapshot, scopes [][]int, request *placement.Request) (places, victims []int, lowest float64) {
	for _, scope := range scopes {
		found, stopped, loss := placement.Preempt(s.workers, scope, s.units, request)
		if found != nil && (places == nil || loss < lowest) {
			places, victims, lowest = found, stopped, loss
		}
	}
	return places, victims, lowest
}

// earliest returns where the unit fits first if it waits, or nil.
func (s *snapshot) earliest(u *unit, request *placement.Request) *placement.Promise {
	if s.reservations == 0 && u.job.Queue.Priority > 0 {
		return nil
	}
	var best *placement.Promise
	for _, scope := range s.scopes(u) {
		promise := placement.EarliestFit(s.workers, scope, s.units, request)
		if promise != nil && (best == nil || promise.After < best.After) {
			best = promise
		}
	}
	return best
}

// reserveFor keeps the room where a unit fits first from units that would be in
// its way.
func (s *snapshot) reserveFor(u *unit, request *placement.Request, promise *placement.Promise) {
	if promise == nil {
		return
	}
	if u.job.Queue.Priority > 0 {
		s.reservations--
	}
	for i, spare := range promise.Spare {
		known, any := s.reserved[i]
		if any {
			spare = spare.Least(known.spare)
		}
		if !any || promise.After < known.after {
			known.after = promise.After
		}
		s.reserved[i] = reservation{after: known.after, spare: spare}
	}
}

// guaranteed reports whether a job's tenant may claim its guarantee for it.
func (p *Pool) guaranteed(j *job) bool {
	if j.Queue.Priority != 0 {
		return false
	}
	used := taskgraph.Amount{}
	for _, other := range p.jobs {
		if other.Tenant == j.Tenant && other.Queue.Priority == 0 && !other.next.Final() {
			for i := range other.Spec.Steps {
				used = used.Plus(other.Spec.Steps[i].Amount.Times(other.Spec.Steps[i].Count))
			}
		}
	}
	return used.GPUs <= p.options.Catalog().Guarantee(j.Tenant).GPUs
}
