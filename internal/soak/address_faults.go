package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// FalseRows writes worker rows that describe workers wrongly, and moves workers to other addresses.
type FalseRows struct {
	At time.Duration `json:"at"`
	// Seed selects the rows or the moves, together with the state of the workers.
	Seed uint64 `json:"seed"`
	// Moves moves workers instead of writing rows.
	Moves bool `json:"moves,omitempty"`
	// Rows is the number of rows.
	Rows int `json:"rows,omitempty"`
	// Kill kills a daemon just before, and KillAll all of them, for Downtime.
	Kill     bool          `json:"kill,omitempty"`
	KillAll  bool          `json:"kill_all,omitempty"`
	Target   int           `json:"target,omitempty"`
	Downtime time.Duration `json:"downtime,omitempty"`
}

// WorkerCut cuts the path between a worker and single owners of its pool.
type WorkerCut struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	// Target is the index of a worker, modulo their number.
	Target int `json:"target"`
	// LaterOwners cuts off the owners that follow the present one, instead of the present one and those
	// before it.
	LaterOwners bool `json:"later_owners,omitempty"`
}

// AddressFaults are the false rows and the cuts between owners and workers of a run.
type AddressFaults struct {
	FalseRows []FalseRows `json:"false_rows,omitempty"`
	Cuts      []WorkerCut `json:"cuts,omitempty"`
}

const (
	// One in addressFaultsEvery seeds has address faults: those that draw addressFaultsDrawn from the
	// random stream addressFaultsStream. The rows of each time are drawn from the stream falseRowsStream.
	addressFaultsEvery  = 2
	addressFaultsDrawn  = 1
	addressFaultsStream = 107
	falseRowsStream     = 108
	// False rows are about falseRowsGap apart, with up to maxFalseRows of them at once. One time in
	// movesEvery moves workers, one in falseRowKillEvery kills a daemon, and one in
	// falseRowKillAllEvery of these kills all.
	falseRowsGap         = 700 * time.Millisecond
	maxFalseRows         = 4
	movesEvery           = 3
	falseRowKillEvery    = 4
	falseRowKillAllEvery = 4
	maxFalseRowDowntime  = 1500 * time.Millisecond
	// A run has up to maxWorkerCuts cuts.
	maxWorkerCuts      = 6
	maxWorkerCutLength = 9 * time.Second
)

// seedsWithoutAddressFaults are seeds of regressions and tests whose faults must not change.
var seedsWithoutAddressFaults = []uint64{
	1, 2, 3, 619, 10001, 10113, 12000, 20063, 60601, 72014, 73019, 120341, 660034, 662010, 777047, 920100, 930004, 950000, 970011, 970020,
}

// NewAddressFaults returns the address faults of a run. They depend only on the seed and the length of
// the run, and are drawn from a separate random stream.
func NewAddressFaults(seed uint64, length time.Duration) AddressFaults {
	random := rand.New(rand.NewPCG(seed, addressFaultsStream))
	if random.IntN(addressFaultsEvery) != addressFaultsDrawn || slices.Contains(seedsWithoutAddressFaults, seed) {
		return AddressFaults{}
	}
	var drawn AddressFaults
	for at := time.Second; at < length; at += time.Duration(random.ExpFloat64() * float64(falseRowsGap)) {
		drawn.FalseRows = append(drawn.FalseRows, drawFalseRows(random, at))
	}
	for range random.IntN(maxWorkerCuts + 1) {
		drawn.Cuts = append(drawn.Cuts, WorkerCut{
			At: time.Duration(random.Int64N(int64(length))), Length: time.Duration(random.Int64N(int64(maxWorkerCutLength))),
			Target: random.IntN(1 << 16), LaterOwners: random.IntN(2) == 0,
		})
	}
	return drawn
}

func drawFalseRows(random *rand.Rand, at time.Duration) FalseRows {
	drawn := FalseRows{
		At: at, Seed: random.Uint64(), Moves: random.IntN(movesEvery) == 0, Rows: 1 + random.IntN(maxFalseRows),
		Kill: random.IntN(falseRowKillEvery) == 0, KillAll: random.IntN(falseRowKillAllEvery) == 0,
		Target: random.IntN(1 << 16), Downtime: time.Duration(random.Int64N(int64(maxFalseRowDowntime))),
	}
	if drawn.Moves {
		drawn.Rows = 0
	}
	drawn.KillAll = drawn.Kill && drawn.KillAll
	return drawn
}

// applyAddressFaults schedules the faults. The cuts end with the run at the latest.
func (r *run) applyAddressFaults(faults AddressFaults, began time.Time, pending *sync.WaitGroup) {
	for _, rows := range faults.FalseRows {
		pending.Go(func() {
			time.Sleep(time.Until(began.Add(rows.At)))
			restart := r.killFor(rows)
			r.platform.WithLock(func() { applyFalseRows(r.platform.Cluster, rows) })
			time.Sleep(rows.Downtime)
			restart()
		})
	}
	for _, cut := range faults.Cuts {
		r.scheduleLocked(began.Add(cut.At), pending, func() { r.cutWorker(cut) })
	}
}

// killFor kills the daemons that false rows select, and returns the function that starts them again.
func (r *run) killFor(rows FalseRows) func() {
	if !rows.Kill {
		return func() {}
	}
	kind := Kill
	if rows.KillAll {
		kind = KillAll
	}
	return r.inject(Fault{Kind: kind, Target: rows.Target, Length: rows.Downtime})
}

// applyFalseRows writes false rows or moves workers.
func applyFalseRows(cluster *simulation.Cluster, rows FalseRows) {
	random := rand.New(rand.NewPCG(rows.Seed, falseRowsStream))
	if rows.Moves {
		cluster.MoveRandomWorkers(random)
		return
	}
	for range rows.Rows {
		if len(cluster.RunningWorkers()) > 0 {
			cluster.PutFalseRow(cluster.DrawFalseRow(random))
		}
	}
}

// cutWorker cuts the path between a worker and owners of its pool until the cut or the run is over.
func (r *run) cutWorker(cut WorkerCut) {
	cluster := r.platform.Cluster
	worker := cluster.Workers[cut.Target%len(cluster.Workers)]
	present := worker.Token()
	worker.CutOff = func(token int64) bool { return token > present == cut.LaterOwners }
	length := min(cut.Length, r.options.FaultDuration-cut.At)
	cluster.Clock.After(length, func() { worker.CutOff = nil })
}
