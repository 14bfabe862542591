package pool_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

var (
	routeSeeds     = flag.Int("route-seeds", 6, "number of histories in TestRandomRoutes")
	firstRouteSeed = flag.Uint64("first-route-seed", 1, "first seed in TestRandomRoutes")
)

// routeHistory plays configurations in which queues come, go, return and change their names, while
// jobs outlive them and owners of this version and of earlier ones replace each other.
type routeHistory struct {
	*simulation.Cluster
	random *rand.Rand
	owner  *simulation.Owner
	// names are those of all queues that there ever were.
	names []string
	jobs  int
}

const (
	routeHistoryTime = 30 * time.Second
	// earlierHeadBytes is up to how many bytes an owner of an earlier version fills a head row.
	earlierHeadBytes = 65_000
)

func playRouteHistory(seed uint64) *routeHistory {
	h := &routeHistory{Cluster: simulation.NewCluster(4, 8), random: rand.New(rand.NewPCG(seed, 80))}
	h.Checker.Quiet = true
	h.Work = func(name taskgraph.TaskName) time.Duration {
		return time.Duration(50+len(name.Job)*int(name.Job[15])%4000) * time.Millisecond
	}
	h.owner = h.AcquirePool()
	for at := time.Duration(0); at < routeHistoryTime; at += time.Duration(h.random.Int64N(int64(time.Second))) {
		h.Clock.After(at, h.step)
	}
	h.Run(routeHistoryTime + 20*time.Second)
	return h
}

func (h *routeHistory) step() {
	switch h.random.IntN(8) {
	case 0:
		h.owner.Process.Kill()
		h.owner = h.AcquirePool()
	case 1:
		h.owner.Process.Kill()
		h.learnAsEarlierVersion()
		h.owner = h.AcquirePool()
	default:
		h.changeConfiguration()
	}
}

// changeConfiguration replaces the queues by new, former and present ones, and submits jobs to them.
func (h *routeHistory) changeConfiguration() {
	next := &catalog.Catalog{Version: h.Catalog.Version + 1, Pools: h.Catalog.Pools}
	for _, queue := range h.Catalog.Queues {
		if h.random.IntN(2) == 0 {
			next.Queues = append(next.Queues, queue)
		}
	}
	for range 1 + h.random.IntN(60) {
		queue := batch
		queue.Name, queue.Pool = h.drawName(), simulation.PoolName
		next.Queues = append(next.Queues, queue)
		h.jobs++
		h.Submit(spec(h.jobs, taskgraph.Step{Count: 1, Resources: taskgraph.Resources{CPU: 500}, EstimateMillis: 1 + h.random.Int64N(5000)}), queue)
	}
	next.Index()
	h.Catalog = next
}

// drawName returns a new name or, now and then, a former one.
func (h *routeHistory) drawName() string {
	if len(h.names) > 0 && h.random.IntN(4) == 0 {
		return h.names[h.random.IntN(len(h.names))]
	}
	fillers := []string{"", "x", "<", "\u00e9"}
	name := fmt.Sprint("route-", len(h.names)) + strings.Repeat(fillers[h.random.IntN(len(fillers))], h.random.IntN(80))
	h.names = append(h.names, name)
	return name
}

// learnAsEarlierVersion fills the head rows as an owner of an earlier version does.
func (h *routeHistory) learnAsEarlierVersion() {
	for _, partition := range pool.ProgressPartitions(simulation.PoolName) {
		for _, row := range h.Store.List(pool.ProgressTable, partition, "!head").Rows {
			var head map[string]any
			if err := json.Unmarshal(row.Value, &head); err != nil {
				panic(err)
			}
			models, _ := head["durations"].(map[string]any)
			if models == nil {
				models = map[string]any{}
				head["durations"] = models
			}
			for len(pool.Encode(head)) < earlierHeadBytes {
				models[h.drawName()] = map[string]float64{"n": 1, "x": h.random.Float64(), "y": h.random.Float64(), "xx": h.random.Float64(), "xy": h.random.Float64()}
			}
			h.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: row.Key, Value: pool.Encode(head)}}})
		}
	}
}

// TestRandomRoutes guards against rows that grow with the names of queues (review case 4), in random
// histories of configurations, owners and versions.
func TestRandomRoutes(t *testing.T) {
	for i := range *routeSeeds {
		seed := *firstRouteSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := playRouteHistory(seed)
			requireInvariants(t, h.Cluster)
			for number := range h.jobs {
				require.Equal(t, taskgraph.Completed, h.StoredState(jobID(number+1)), "job %d", number+1)
			}
			t.Logf("%d jobs on %d names, largest rows in bytes: %v", h.jobs, len(h.names), h.Store.LargestRows)
			require.LessOrEqual(t, h.Store.LargestRows["head"], pool.MaxHeadBytes)
		})
	}
}
