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
	// Target modulo the number of running workers is the index of the worker that restarts.
	Target int `json:"target"`
	// Series restarts a third of the running workers instead.
	Series bool `json:"series,omitempty"`
	// Downtime is the time until the new instance starts.
	Downtime time.Duration `json:"away"`
	// WithoutReset leaves open connections unresponsive instead of resetting them.
	WithoutReset bool `json:"unseen,omitempty"`
	// ClockMillis is the new instance's initial clock.
	ClockMillis int64 `json:"clock_ms"`
}

// InvalidWorkerRow overwrites a worker's row until the worker's next heartbeat. With UnknownWorker
// it is a row of its own, which stays.
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
	// One in instanceFaultsEvery seeds has instance faults: the seeds that draw instanceFaultsDrawn
	// from the random stream instanceFaultsStream.
	instanceFaultsEvery  = 2
	instanceFaultsDrawn  = 1
	instanceFaultsStream = 106
	// A run has up to maxRestarts restarts. One in seriesEvery of them is a series, which affects
	// one in seriesShare workers.
	maxRestarts    = 6
	seriesEvery    = 6
	seriesShare    = 3
	maxDowntime    = 4 * time.Second
	minDowntime    = 20 * time.Millisecond
	maxClockMillis = 8_000_000
	maxInvalidRows = 6
)

// invalidRowContents are row values that no worker writes.
var invalidRowContents = [][]byte{
	[]byte("null"), []byte("{"), {0xff, 0xfe}, []byte(`{"service":"workers","state":"resting"}`),
	[]byte(`{"service":["workers"],"address":"127.0.0.1:1","zone":"z","state":"ready"}`),
}

// seedsWithoutInstanceFaults are seeds of regressions and tests whose faults must not change.
var seedsWithoutInstanceFaults = []uint64{1, 619, 10001, 10113, 12000, 60601, 72014, 73019}

// NewInstanceFaults returns the instance faults of a run. They depend only on the seed and the
// length of the run, and are drawn from a separate random stream. If always is set, every seed has
// instance faults.
func NewInstanceFaults(seed uint64, length time.Duration, always bool) InstanceFaults {
	random := rand.New(rand.NewPCG(seed, instanceFaultsStream))
	drawsSome := random.IntN(instanceFaultsEvery) == instanceFaultsDrawn && !slices.Contains(seedsWithoutInstanceFaults, seed)
	if !drawsSome && !always {
		return InstanceFaults{}
	}
	var drawn InstanceFaults
	for range 1 + random.IntN(maxRestarts) {
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
		drawn.ClockMillis = random.Int64N(maxClockMillis)
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
func (r *run) applyInstanceFaults(faults InstanceFaults, began time.Time, pending *sync.WaitGroup) {
	for _, restart := range faults.Restarts {
		r.scheduleLocked(began.Add(restart.At), pending, func() { restartWorkers(r.platform.Cluster, restart) })
	}
	for _, row := range faults.InvalidRows {
		r.scheduleLocked(began.Add(row.At), pending, func() { putInvalidRow(r.platform.Cluster, row) })
	}
}

func restartWorkers(cluster *simulation.Cluster, restart Restart) {
	running := cluster.RunningWorkers()
	if len(running) == 0 {
		return
	}
	affected := []*simulation.Worker{running[restart.Target%len(running)]}
	if restart.Series {
		affected = running[:max(1, len(running)/seriesShare)]
	}
	for _, worker := range affected {
		if restart.WithoutReset {
			worker.RestartWithoutReset(restart.Downtime, restart.ClockMillis)
		} else {
			worker.Restart(restart.Downtime, restart.ClockMillis)
		}
	}
}

func putInvalidRow(cluster *simulation.Cluster, row InvalidWorkerRow) {
	running := cluster.RunningWorkers()
	if row.UnknownWorker || len(running) == 0 {
		cluster.PutInvalidRow(simulation.UnknownWorkerID, row.Value)
		return
	}
	cluster.OverwriteWorkerRow(running[row.Target%len(running)], row.Value)
}
