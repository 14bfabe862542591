package pool_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Stored rows may be corrupt or written by another program. A new owner must take over regardless.

// takeOverWithRow starts an owner that reads the given row beside those of valid jobs.
func takeOverWithRow(key rows.Key, value []byte) *simulation.Cluster {
	w := simulation.NewCluster(1, 2)
	w.Checker.Quiet = true
	for _, worker := range w.Workers {
		worker.Unhealthy = key.Table == pool.JobTable
	}
	w.Submit(spec(1, singleTaskStep(2), gangStep(2)), batch)
	w.Submit(spec(2, singleTaskStep(1)), batch)
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: key, Value: value}}})
	w.AcquirePool()
	w.Run(300 * time.Millisecond)
	return w
}

// requireJobEnds fails the test if a job has not ended by the rules.
func requireJobEnds(t *testing.T, w *simulation.Cluster, id string) {
	t.Helper()
	if state := w.StoredState(id); state != taskgraph.Completed {
		t.Fatalf("job %s is %s", id, state)
	}
	for _, violation := range w.Checker.Violations {
		if strings.Contains(violation, id) {
			t.Fatal(violation)
		}
	}
}

func FuzzProgressRow(f *testing.F) {
	f.Add([]byte(`{"token":3,"serial":4,"state":"running","steps":[{"s":0,"e":"AQ==","u":[{"i":1,"r":2,"f":1,"w":["w-0-0"],"b":[5],"n":"AQ==","a":{"w-0-0":"w-0-0"},"l":[{"l":[{"w":"x","r":3}]}]}]}]}`))
	f.Add([]byte(`{"state":"failed","ended_ms":5,"steps":[{"s":1,"u":[{"i":0,"r":1,"w":["w-0-1","gone"],"a":{"gone":"z"}}]}]}`))
	for _, damaged := range []string{
		`{"state":"running","steps":[{"s":-1}]}`, `{"state":"running","steps":[{"s":9}]}`, `{"state":"running","steps":[{"k":-1}]}`, `{"state":"running","steps":[{"k":2000000000}]}`, `{"state":"running","steps":[{"s":0,"u":[{"i":-1,"r":1}]}]}`,
		`{"state":"running","steps":[{"s":0,"u":[{"i":0,"r":-1,"w":["a","b","c","d"]}]}]}`,
	} {
		f.Add([]byte(damaged))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		key := rows.Key{Table: pool.ProgressTable, Part: pool.ProgressPartitions(simulation.PoolName)[0], Name: jobID(1)}
		w := takeOverWithRow(key, value)
		w.Run(20 * time.Second)
		requireJobEnds(t, w, jobID(2))
	})
}

func FuzzAcceptedRow(f *testing.F) {
	f.Add(pool.Encode(pool.Accepted{Spec: spec(3, singleTaskStep(2)), Queue: batch}))
	f.Fuzz(func(t *testing.T, value []byte) {
		var accepted pool.Accepted
		if json.Unmarshal(value, &accepted) == nil && maxStepCount(&accepted.Spec) > fuzzedTasks {
			t.Skip("too many tasks in one step for a fuzz iteration")
		}
		// The simulation does not know the job, so the workers must not start it.
		takeOverWithRow(pool.AcceptedKey(pool.JobPartitions(simulation.PoolName, jobID(3))[0], jobID(3)), value)
	})
}

// fuzzedTasks limits the tasks of one step of a fuzzed job.
const fuzzedTasks = 500

// maxStepCount returns the number of tasks of the job's widest step.
func maxStepCount(spec *taskgraph.Spec) int {
	most := 0
	for i := range spec.Steps {
		most = max(most, spec.Steps[i].Count)
	}
	return most
}

func FuzzHeadRow(f *testing.F) {
	f.Add([]byte(`{"token":1,"nonce":"n","durations":{"q":{}}}`))
	f.Add([]byte(`{"token":1,"nonce":"n","durations":{"batch":{"n":60,"x":-1400,"y":1400,"xx":30000,"xy":-30000,"rr":60}},"lost_after_serial":3}`))
	f.Add([]byte(`{"token":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := takeOverWithRow(rows.Key{Table: pool.ProgressTable, Part: pool.ProgressPartitions(simulation.PoolName)[0], Name: "!head"}, value)
		w.Run(20 * time.Second)
		requireJobEnds(t, w, jobID(1))
		requireJobEnds(t, w, jobID(2))
	})
}

func FuzzKnowledgeRow(f *testing.F) {
	const head = `{"format":1,"token":1,"serial":1,"written_ms":1767225600000,"sections":`
	f.Add([]byte(head + `{"speeds":{"age_ms":5,"document":{"machines":{"w-0-0":[-470,60],"gone":[300,90]},"work":{"sum":1.5,"weight":20}}}}}`))
	f.Add([]byte(head + `{"losses":{"age_ms":5,"document":{"losses":[{"worker":"w-0-1@5","age_ms":900,"chance":0.93}],"started":20,"poison":1,"watched_ms":10000}}}}`))
	f.Add([]byte(head + `{"speeds":{"age_ms":5,"document":{"machines":{"w-0-0":[1e9,0]}}},"losses":{"age_ms":0,"document":{"losses":[{}]}}}}`))
	f.Add([]byte(`{"format":9,"token":999999999}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := takeOverWithRow(pool.KnowledgeKey(simulation.PoolName), value)
		w.Run(3 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatal(w.Checker.Violations)
		}
	})
}

func FuzzDurationsRow(f *testing.F) {
	const head = `{"format":1,"token":1,"serial":1,"written_ms":1767225600000,"sections":`
	f.Add([]byte(head + `{"durations":{"age_ms":5,"document":{"queues":{"batch":[60,-1400,1400,30000,-30000,60],"gone":[1,0,0.5,0,0,0.1]}}}}}`))
	f.Add([]byte(head + `{"durations":{"age_ms":5,"document":{"queues":{"batch":[1,2],"urgent":["a"],"":null}}}}}`))
	f.Add([]byte(head + `{"durations":{"age_ms":5,"document":[]}}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := takeOverWithRow(pool.DurationsKey(simulation.PoolName), value)
		w.Run(20 * time.Second)
		requireJobEnds(t, w, jobID(1))
		requireJobEnds(t, w, jobID(2))
	})
}
