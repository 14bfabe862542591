package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the name of a kind of fault.
type Kind string

// Kinds of faults, in groups: faults of a daemon, of the store, of a worker, and of the
// configuration.
const (
	Kill          Kind = "kill"
	PlannedStop   Kind = "planned_stop"
	Pause         Kind = "pause"
	Reload        Kind = "reload"
	DelayLink     Kind = "delay_link"
	SilenceLink   Kind = "silence_link"
	CutAnswerLink Kind = "cut_answers"
	CutOrderLink  Kind = "cut_requests"
	ResetLink     Kind = "reset_link"
	KillAll       Kind = "kill_all"

	StoreUnavailable  Kind = "store_away"
	StoreUnresponsive Kind = "store_silent"
	StoreSlow         Kind = "store_slow"
	StoreLossy        Kind = "store_lossy"
	PartUnavailable   Kind = "store_part_away"

	WorkerCrash       Kind = "worker_crash"
	WorkerPartitioned Kind = "worker_cut"
	WorkerFailing     Kind = "worker_failing"
	WorkerSlow        Kind = "worker_slow"
	WorkerDrain       Kind = "worker_drain"
	LateOrders        Kind = "late_orders"

	NewKey Kind = "new_key"
)

// kinds contains all kinds with their weights.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {PlannedStop, 4}, {Pause, 3}, {Reload, 1},
	{DelayLink, 2}, {SilenceLink, 2}, {CutAnswerLink, 2}, {CutOrderLink, 2}, {ResetLink, 2}, {KillAll, 1},
	{StoreUnavailable, 1}, {StoreUnresponsive, 1}, {StoreSlow, 1}, {StoreLossy, 2}, {PartUnavailable, 1},
	{WorkerCrash, 2}, {WorkerPartitioned, 2}, {WorkerFailing, 1}, {WorkerSlow, 1}, {WorkerDrain, 1}, {LateOrders, 2},
	{NewKey, 2},
}

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	names := make([]Kind, len(kinds))
	for i := range kinds {
		names[i] = kinds[i].kind
	}
	return names
}

// Fault is one fault of a run.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Target modulo the number of daemons or workers is the index of the affected one.
	Target int `json:"target"`
	// Length is the duration of the fault; some kinds ignore it.
	Length time.Duration `json:"length"`
}

const (
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 4 * time.Second
	// faultGap is the mean time between faults. A third of the faults start together with the
	// previous fault.
	faultGap = 900 * time.Millisecond
)

// NewPlan returns the faults of a run. They depend only on the seed and length.
func NewPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, entry := range kinds {
		total += entry.weight
	}
	var plan []Fault
	for at := time.Second; at < length; {
		drawn := random.IntN(total)
		fault := Fault{At: at, Target: random.IntN(1 << 16)}
		for _, entry := range kinds {
			if drawn -= entry.weight; drawn < 0 {
				fault.Kind = entry.kind
				break
			}
		}
		fault.Length = minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength)))
		plan = append(plan, fault)
		if random.IntN(3) > 0 {
			at += time.Duration(random.ExpFloat64() * float64(faultGap) * 1.5)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}
