package pool_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// changingRoutes plays configurations that replace each other, with a job on each queue.
type changingRoutes struct {
	// versions is the number of configurations, and queues the number of queues in each of them.
	versions, queues int
	// nameBytes is the length of the queues' names; 0 means that of nameOf.
	nameBytes int
	// jobDuration is how long a job runs. Configurations replace each other every 2 s.
	jobDuration time.Duration
	// stay is true if queues stay in the configuration once they are added.
	stay bool
	// storedModels is the number of models in the head rows at the start.
	storedModels int
	// takeovers is true if a new owner takes over at every sixth configuration and at the end.
	takeovers bool
}

func (c changingRoutes) nameOf(number int) string {
	name := fmt.Sprintf("route-%d", number)
	return name + strings.Repeat("x", max(0, c.nameBytes-len(name)))
}

func (c changingRoutes) play() *simulation.Cluster {
	w := simulation.NewCluster(4, 8)
	w.Checker.Quiet = true
	w.Work = func(taskgraph.TaskName) time.Duration { return c.jobDuration }
	if c.storedModels > 0 {
		replaceHeadRows(w, c.storedHead())
	}
	owner := w.AcquirePool()
	for version := range c.versions {
		if c.takeovers && version%6 == 5 {
			owner = takeOver(w, owner)
		}
		c.configure(w, version)
		w.Run(2 * time.Second)
	}
	if c.takeovers {
		takeOver(w, owner)
	}
	w.Run(20 * time.Second)
	return w
}

// takeOver kills an owner and returns the next one.
func takeOver(w *simulation.Cluster, owner *simulation.Owner) *simulation.Owner {
	owner.Process.Kill()
	return w.AcquirePool()
}

// configure replaces the configuration and submits a job to each of its new queues.
func (c changingRoutes) configure(w *simulation.Cluster, version int) {
	next := &catalog.Catalog{Version: int64(version + 2), Pools: w.Catalog.Pools}
	if c.stay {
		next.Queues = w.Catalog.Queues
	}
	for i := range c.queues {
		number := version*c.queues + i
		queue := batch
		queue.Name, queue.Pool = c.nameOf(number), simulation.PoolName
		next.Queues = append(next.Queues, queue)
		w.Submit(spec(number+1, taskgraph.Step{Count: 1, Resources: taskgraph.Resources{CPU: 1000}, EstimateMillis: 900}), queue)
	}
	next.Index()
	w.Catalog = next
}

// storedName returns the name of a queue whose model is stored at the start.
func storedName(number int) string { return fmt.Sprintf("stored-%d", number) }

// storedHead returns a head row of an earlier version, which has no limit.
func (c changingRoutes) storedHead() string {
	models := map[string]json.RawMessage{}
	for i := range c.storedModels {
		models[storedName(i)] = json.RawMessage(`{"n":1,"x":-0.10536051565782628,"y":0.00129918449,"xx":0.01110083826,"xy":-0.000136882745,"rr":0.01138284}`)
	}
	value, err := json.Marshal(map[string]any{"token": 0, "nonce": "earlier.1", "durations": models})
	if err != nil {
		panic(err)
	}
	return string(value)
}

// TestHeadRowStaysWithinLimitAsRoutesChange guards against a pool that stops for good (review case 4):
// the head rows kept a model of durations for each name that a queue ever had, until the store
// rejected them.
func TestHeadRowStaysWithinLimitAsRoutesChange(t *testing.T) {
	cases := map[string]changingRoutes{
		"routes come and go":             {versions: 18, queues: 40, jobDuration: 100 * time.Millisecond},
		"jobs outlive their routes":      {versions: 18, queues: 40, jobDuration: 3 * time.Second},
		"owners take over":               {versions: 18, queues: 40, jobDuration: 100 * time.Millisecond, takeovers: true},
		"long names":                     {versions: 8, queues: 40, nameBytes: 190, jobDuration: 100 * time.Millisecond},
		"all routes stay":                {versions: 16, queues: 40, jobDuration: 100 * time.Millisecond, stay: true},
		"all routes stay under takeover": {versions: 16, queues: 40, jobDuration: 100 * time.Millisecond, stay: true, takeovers: true},
		"stored by an earlier version":   {versions: 3, queues: 40, jobDuration: 100 * time.Millisecond, storedModels: 460},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := c.play()
			requireInvariants(t, w)
			for number := range c.versions * c.queues {
				require.Equal(t, taskgraph.Completed, w.StoredState(jobID(number+1)), "job %d", number+1)
			}
			t.Logf("largest rows in bytes: %v", w.Store.LargestRows)
			require.LessOrEqual(t, w.Store.LargestRows["head"], pool.MaxHeadBytes)
		})
	}
}
