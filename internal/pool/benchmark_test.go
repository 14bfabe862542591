package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// submitMix submits a mix of urgent gangs, most of them on one rack, gangs of larger tasks, and
// wide steps of small tasks.
func submitMix(w *simulation.Cluster, random *rand.Rand, first, count, racks int) {
	sizes := []int{1, 2, 4, 8, 8}
	for n := first; n < first+count; n++ {
		step := taskgraph.Step{Resources: taskgraph.Resources{CPU: 7500, MemoryMB: 22000, GPUs: sizes[random.IntN(5)]},
			Count: 1 + random.IntN(9), EstimateMillis: 2500, Gang: true, SameRack: random.IntN(5) > 0}
		queue := urgent
		switch kind := random.IntN(10); {
		case kind >= 8:
			queue = batch
			step = taskgraph.Step{Resources: taskgraph.Resources{CPU: 5600, MemoryMB: 23000, GPUs: 1}, Count: 1 + random.IntN(70), EstimateMillis: 7600, Checkpoints: true}
		case kind >= 6:
			queue = catalog.Queue{Name: "middle", Priority: 1, MaxAttempts: 4, Stretch: 3, TargetMillis: 1000}
			step.Resources = taskgraph.Resources{CPU: 26000, MemoryMB: 140000, GPUs: step.GPUs}
			step.Count, step.EstimateMillis = 1+random.IntN(24), 6800
			if random.IntN(3) == 0 {
				step.PreferredRack = fmt.Sprintf("r-%d", random.IntN(racks))
			}
		}
		w.Submit(spec(n+1, step), queue)
	}
}

// BenchmarkTakeover measures the processor time until a new owner has read its rows, by the number of
// jobs that wait in its pool and in another pool.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ own, other int }{{10_000, 0}, {10_000, 10_000}, {48_000, 0}} {
		b.Run(fmt.Sprintf("own=%d,other=%d", size.own, size.other), func(b *testing.B) {
			b.StopTimer()
			w := simulation.NewCluster(1, 1)
			w.Checker.Quiet = true
			for n := range size.own + size.other {
				poolName := simulation.PoolName
				if n >= size.own {
					poolName = otherPool
				}
				job := spec(n+1, singleTaskStep(4))
				w.RegisterJob(job, batch)
				accept(w, job, poolName, 0)
			}
			b.StartTimer()
			for range b.N {
				owner := w.AcquirePool()
				for !owner.Loaded() {
					w.Run(time.Millisecond)
				}
				owner.Process.Kill()
			}
		})
	}
}

// BenchmarkOwner measures the CPU time per virtual second of a busy pool's owner, by the number
// of workers.
func BenchmarkOwner(b *testing.B) {
	for _, racks := range []int{4, 30, 92, 250} {
		b.Run(fmt.Sprintf("workers=%d", racks*12), func(b *testing.B) {
			for range b.N {
				w := simulation.NewCluster(racks, 12)
				w.Work = func(name taskgraph.TaskName) time.Duration { return 5 * time.Second }
				random := rand.New(rand.NewPCG(1, 2))
				w.AcquirePool()
				perTick := racks * 12 / 35
				for tick := range 100 {
					submitMix(w, random, tick*perTick/10, (tick+1)*perTick/10-tick*perTick/10, racks)
					w.Run(100 * time.Millisecond)
				}
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N)/10, "ms/virtual-s")
			}
		})
	}
}
