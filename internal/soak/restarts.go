package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/simulation"
)

// Restart lets a worker start again under its identifier.
type Restart struct {
	At time.Duration `json:"at"`
	// Target numbers a living worker; it is taken modulo their count. With Series a third of all
	// workers start again.
	Target int  `json:"target"`
	Series bool `json:"series,omitempty"`
	// Away is how long the worker is gone, Unseen whether open connections stay silent instead of
	// being reset, and ClockMillis where the next life's clock begins.
	Away        time.Duration `json:"away"`
	Unseen      bool          `json:"unseen,omitempty"`
	ClockMillis int64         `json:"clock_ms"`
}

// ForeignRow is a row that another writer leaves under the name of a worker for a while, or for
// good under a name that no worker has.
type ForeignRow struct {
	At     time.Duration `json:"at"`
	Target int           `json:"target"`
	// Nobody rows stand under a name that no worker has.
	Nobody bool   `json:"nobody,omitempty"`
	Value  []byte `json:"value"`
}

// Lives is what befalls workers' lives and rows in a run beside its other troubles.
type Lives struct {
	Restarts    []Restart    `json:"restarts,omitempty"`
	ForeignRows []ForeignRow `json:"foreign_rows,omitempty"`
}

const (
	// livesEvery is one in how many seeds has them, and livesDrawn the draw that gives a seed some,
	// from the stream livesStream.
	livesEvery  = 2
	livesDrawn  = 1
	livesStream = 106
	// A run has up to mostRestarts, of which one in seriesEvery strikes a third of the workers.
	mostRestarts    = 6
	seriesEvery     = 6
	seriesShare     = 3
	longestAway     = 4 * time.Second
	shortestAway    = 20 * time.Millisecond
	mostClockMillis = 8_000_000
	mostForeignRows = 6
)

// foreignContents are what another writer leaves.
var foreignContents = [][]byte{
	[]byte("null"), []byte("{"), {0xff, 0xfe}, []byte(`{"service":"workers","state":"resting"}`),
	[]byte(`{"service":["workers"],"address":"127.0.0.1:1","zone":"z","state":"ready"}`),
}

// seedsWithoutLives were kept or played by tests before there were any. They stay as they are.
var seedsWithoutLives = []uint64{1, 619, 10001, 10113, 12000, 60601, 72014, 73019}

// NewLives draws them: the same for the same seed and length, from numbers of their own. Always gives
// them to seeds that have none.
func NewLives(seed uint64, length time.Duration, always bool) Lives {
	random := rand.New(rand.NewPCG(seed, livesStream))
	drawsSome := random.IntN(livesEvery) == livesDrawn && !slices.Contains(seedsWithoutLives, seed)
	if !drawsSome && !always {
		return Lives{}
	}
	var drawn Lives
	for range 1 + random.IntN(mostRestarts) {
		drawn.Restarts = append(drawn.Restarts, drawRestart(random, length))
	}
	for range random.IntN(mostForeignRows + 1) {
		drawn.ForeignRows = append(drawn.ForeignRows, drawForeignRow(random, length))
	}
	return drawn
}

func drawRestart(random *rand.Rand, length time.Duration) Restart {
	drawn := Restart{
		At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		Series: random.IntN(seriesEvery) == 0, Unseen: random.IntN(3) == 0,
		Away: shortestAway + time.Duration(random.Int64N(int64(longestAway-shortestAway))),
	}
	if random.IntN(2) == 0 {
		drawn.ClockMillis = random.Int64N(mostClockMillis)
	}
	return drawn
}

func drawForeignRow(random *rand.Rand, length time.Duration) ForeignRow {
	return ForeignRow{
		At: time.Duration(random.Int64N(int64(length))), Target: random.IntN(1 << 16),
		Nobody: random.IntN(2) == 0, Value: foreignContents[random.IntN(len(foreignContents))],
	}
}

// applyLives lets them happen in time.
func (r *run) applyLives(lives Lives, began time.Time, ends *sync.WaitGroup) {
	for _, restart := range lives.Restarts {
		r.at(began.Add(restart.At), ends, func() { restartWorkers(r.platform.World, restart) })
	}
	for _, foreign := range lives.ForeignRows {
		r.at(began.Add(foreign.At), ends, func() { putForeignRow(r.platform.World, foreign) })
	}
}

func restartWorkers(world *simulation.World, restart Restart) {
	living := world.Living()
	if len(living) == 0 {
		return
	}
	struck := []*simulation.Worker{living[restart.Target%len(living)]}
	if restart.Series {
		struck = living[:max(1, len(living)/seriesShare)]
	}
	for _, worker := range struck {
		if restart.Unseen {
			worker.RestartUnseen(restart.Away, restart.ClockMillis)
		} else {
			worker.Restart(restart.Away, restart.ClockMillis)
		}
	}
}

func putForeignRow(world *simulation.World, foreign ForeignRow) {
	living := world.Living()
	if foreign.Nobody || len(living) == 0 {
		world.PutForeignRow(simulation.Nobody, foreign.Value)
		return
	}
	world.PutForeignRowOver(living[foreign.Target%len(living)], foreign.Value)
}
