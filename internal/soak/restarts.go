package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// Restart restarts a worker under the same identifier.
type Restart struct {
	At time.Duration `json:"at"`
	// Target is the index of a running worker, modulo their number. With Series a third of all
	// workers restart.
	Target int  `json:"target"`
	Series bool `json:"series,omitempty"`
	// Downtime is the time until the new instance starts. WithoutReset leaves open connections
	// unresponsive instead of resetting them. ClockMillis is the new instance's initial clock.
	Downtime     time.Duration `json:"away"`
	WithoutReset bool          `json:"unseen,omitempty"`
	ClockMillis  int64         `json:"clock_ms"`
}

// InvalidWorkerRow is a row that overwrites a worker's row until its next heartbeat, or stays under
// an identifier that no worker has.
type InvalidWorkerRow struct {
	At     time.Duration `json:"at"`
	Target int           `json:"target"`
	// UnknownWorker writes the row under an identifier that no worker has.
	UnknownWorker bool   `json:"nobody,omitempty"`
	Value         []byte `json:"value"`
}

// InstanceFaults are the restarts of workers and the invalid worker rows of a run.
type InstanceFaults struct {
	Restarts    []Restart          `json:"restarts,omitempty"`
	InvalidRows []InvalidWorkerRow `json:"foreign_rows,omitempty"`
}

const (
	// One in instanceFaultsEvery seeds has them: those that draw instanceFaultsDrawn from the
	// random stream instanceFaultsStream.
	instanceFaultsEvery  = 2
	instanceFaultsDrawn  = 1
	instanceFaultsStream = 106
	// A run has up to mostRestarts, of which one in seriesEvery affects a third of the workers.
	mostRestarts    = 6
	seriesEvery     = 6
	seriesShare     = 3
	maxDowntime     = 4 * time.Second
	minDowntime     = 20 * time.Millisecond
	mostClockMillis = 8_000_000
	maxInvalidRows  = 6
)

// invalidRowContents are row values that no worker writes.
var invalidRowContents = [][]byte{
	[]byte("null"), []byte("{"), {0xff, 0xfe}, []byte(`{"service":"workers","state":"resting"}`),
	[]byte(`{"service":["workers"],"address":"127.0.0.1:1","zone":"z","state":"ready"}`),
}

// seedsWithoutInstanceFaults are seeds of regressions and tests whose faults must not change.
var seedsWithoutInstanceFaults = []uint64{1, 619, 10001, 10113, 12000, 60601, 72014, 73019}

// NewInstanceFaults returns the instance faults of a run. They depend only on the seed and length
// and use a separate random stream. With always set every seed has some.
func NewInstanceFaults(seed uint64, length time.Duration, always bool) InstanceFaults {
	random := rand.New(rand.NewPCG(seed, instanceFaultsStream))
	drawsSome := random.IntN(instanceFaultsEvery) == instanceFaultsDrawn && !slices.Contains(seedsWithoutInstanceFaults, seed)
	if !drawsSome && !always {
		return InstanceFaults{}
	}
	var drawn InstanceFaults
	for range 1 + random.IntN(mostRestarts) {
		drawn.Restarts = append(drawn.Restarts, drawRestart(random, length))
	}
	for range random.IntN(maxInvalidRows + 1) {
		drawn.InvalidRows = append(drawn.InvalidRows, drawInvalidRow(random, length))
	}
	return drawn
}

func drawRestart(random *rand.Rand, length time.Duration) Restart {
	drawn := Restart{
		At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		Series: random.IntN(seriesEvery) == 0, WithoutReset: random.IntN(3) == 0,
		Downtime: minDowntime + time.Duration(random.Int64N(int64(maxDowntime-minDowntime))),
	}
	if random.IntN(2) == 0 {
		drawn.ClockMillis = random.Int64N(mostClockMillis)
	}
	return drawn
}

func drawInvalidRow(random *rand.Rand, length time.Duration) InvalidWorkerRow {
	return InvalidWorkerRow{
		At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		UnknownWorker: random.IntN(2) == 0, Value: invalidRowContents[random.IntN(len(invalidRowContents))],
	}
}

// applyInstanceFaults schedules the faults.
func (r *run) applyInstanceFaults(faults InstanceFaults, began time.Time, ends *sync.WaitGroup) {
	for _, restart := range faults.Restarts {
		r.scheduleLocked(began.Add(restart.At), ends, func() { restartWorkers(r.platform.Cluster, restart) })
	}
	for _, foreign := range faults.InvalidRows {
		r.scheduleLocked(began.Add(foreign.At), ends, func() { putInvalidRow(r.platform.Cluster, foreign) })
	}
}

func restartWorkers(world *simulation.Cluster, restart Restart) {
	living := world.RunningWorkers()
	if len(living) == 0 {
		return
	}
	affected := []*simulation.Worker{living[restart.Target%len(living)]}
	if restart.Series {
		affected = living[:max(1, len(living)/seriesShare)]
	}
	for _, worker := range affected {
		if restart.WithoutReset {
			worker.RestartWithoutReset(restart.Downtime, restart.ClockMillis)
		} else {
			worker.Restart(restart.Downtime, restart.ClockMillis)
		}
	}
}

func putInvalidRow(world *simulation.Cluster, foreign InvalidWorkerRow) {
	living := world.RunningWorkers()
	if foreign.UnknownWorker || len(living) == 0 {
		world.PutInvalidRow(simulation.UnknownWorkerID, foreign.Value)
		return
	}
	world.OverwriteWorkerRow(living[foreign.Target%len(living)], foreign.Value)
}
