package pool_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/simulation"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Seeds of the random fault test of small clusters.
var (
	smallSeeds     = flag.Int("small-seeds", 60, "number of seeds of the random fault test of small clusters")
	firstSmallSeed = flag.Int("first-small-seed", 0, "first seed of the random fault test of small clusters")
)

const (
	// The random streams of small clusters: the load, the delays and most faults; and lost orders,
	// partitions and pauses.
	smallClusterStream = 512
	lossesStream       = 1024
	// smallClusterLoad is how long jobs are submitted to a small cluster, and faults are injected.
	smallClusterLoad = 6 * time.Second
	// smallClusterRest is how long a small cluster may take to finish its jobs without faults.
	smallClusterRest = 40 * time.Second
	// leastInterval is the shortest interval between two partitions or pauses.
	leastInterval = 50 * time.Millisecond
)

// smallCluster is a simulation of a few workers with short jobs. The seed draws how often each fault
// occurs, so that many seeds cover many combinations of few faults.
type smallCluster struct {
	*simulation.Cluster
	random    *rand.Rand
	jobs      int
	cancelled map[int]bool
}

func newSmallCluster(seed uint64, disabled pool.DisabledSafeguards) *smallCluster {
	random := rand.New(rand.NewPCG(seed, smallClusterStream))
	s := &smallCluster{Cluster: simulation.NewCluster(1, 1+random.IntN(3)), random: random, cancelled: map[int]bool{}}
	s.DisabledSafeguards = disabled
	s.SkipCapacityCheck = random.IntN(2) == 0
	s.Catalog.Pools[0].EnforcesCapacity = !s.SkipCapacityCheck
	s.Work = func(taskgraph.TaskName) time.Duration { return s.below(time.Second) }
	s.drawDelays()
	s.drawFaults()
	s.drawPolls()
	s.drawLosses(rand.New(rand.NewPCG(seed, lossesStream)))
	return s
}

// below draws a duration.
func (s *smallCluster) below(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

// drawDelays draws a class of delays for each kind of message.
func (s *smallCluster) drawDelays() {
	longest := []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 690 * time.Millisecond, 4 * time.Second}
	type direction struct {
		kind   simulation.MessageKind
		answer bool
	}
	delays := map[direction]func(simulation.Message) time.Duration{}
	for _, kind := range []simulation.MessageKind{simulation.StartMessage, simulation.StopMessage, simulation.PollMessage} {
		for _, answer := range []bool{false, true} {
			class := simulation.DelayClass{Probability: 0.6 * s.random.Float64(), Longest: longest[s.random.IntN(len(longest))]}
			delays[direction{kind, answer}] = simulation.RandomDelays(s.random, class)
		}
	}
	s.MessageDelay = func(message simulation.Message) time.Duration {
		return delays[direction{message.Kind, message.Answer}](message)
	}
	if s.random.IntN(4) == 0 {
		s.TimeoutDelay = func() time.Duration { return s.below(3 * time.Second) }
	}
	if s.random.IntN(3) == 0 {
		probability := 0.3 * s.random.Float64()
		s.BreakCall = func() (time.Duration, bool) { return s.below(200 * time.Millisecond), s.random.Float64() < probability }
	}
}

// drawFaults draws which faults repeat, and how often.
func (s *smallCluster) drawFaults() {
	faults := []func(){
		s.replaceWorker,
		func() { s.AcquirePool() },
		func() { changeEvacuationsAtRandom(s.Cluster, s.random) },
		s.changeCapacity,
	}
	for _, fault := range faults {
		if s.random.IntN(3) == 0 {
			s.repeat(200*time.Millisecond+s.below(3*time.Second), fault)
		}
	}
}

// drawPolls draws how often owners poll in addition to the polls in flight.
func (s *smallCluster) drawPolls() {
	if s.random.IntN(2) == 0 {
		interval := 10*time.Millisecond + s.below(200*time.Millisecond)
		s.OwnerStarted = func(owner *simulation.Owner) {
			s.repeat(interval, func() {
				worker := s.Workers[s.random.IntN(len(s.Workers))]
				owner.Process.Post(func() { owner.PollNow(worker.ID) })
			})
		}
	}
}

// drawLosses draws how often orders are lost or late, workers are partitioned, and owners are
// suspended.
func (s *smallCluster) drawLosses(random *rand.Rand) {
	if random.IntN(2) == 0 {
		outcome := randomFateFrom(random, 0.15*random.Float64())
		for _, worker := range s.Workers {
			worker.OrderOutcome = outcome
		}
	}
	if random.IntN(3) == 0 {
		s.repeat(leastInterval+time.Duration(random.Int64N(int64(2*time.Second))), func() {
			worker := s.Workers[random.IntN(len(s.Workers))]
			worker.Partitioned = !worker.Partitioned
		})
	}
	if random.IntN(3) == 0 {
		started := s.OwnerStarted
		interval := leastInterval + time.Duration(random.Int64N(int64(2*time.Second)))
		s.OwnerStarted = func(owner *simulation.Owner) {
			if started != nil {
				started(owner)
			}
			s.repeat(interval, func() {
				if now := s.Clock.Now(); now.After(owner.Process.PausedUntil()) {
					owner.Process.Suspend(now.Add(time.Duration(1 + random.Int64N(int64(time.Second)))))
				}
			})
		}
	}
}

// repeat injects a fault at a fixed interval while jobs are submitted.
func (s *smallCluster) repeat(interval time.Duration, inject func()) {
	s.Clock.After(interval, func() {
		if s.Clock.Now().Sub(s.StartedAt()) < smallClusterLoad {
			inject()
			s.repeat(interval, inject)
		}
	})
}

// replaceWorker crashes a random worker. Another instance follows at its address.
func (s *smallCluster) replaceWorker() {
	running := s.RunningWorkers()
	if len(running) > 0 {
		running[s.random.IntN(len(running))].CrashAndRestart()
	}
}

// changeCapacity changes the capacity of a random worker.
func (s *smallCluster) changeCapacity() {
	running := s.RunningWorkers()
	if len(running) == 0 {
		return
	}
	capacity := simulation.WorkerCapacity
	capacity.GPUs = 4 + 4*s.random.IntN(2)
	running[s.random.IntN(len(running))].SetCapacity(capacity, s.below(time.Second))
}

// submit submits a job of a few tasks, or of a gang that fits on one worker, and cancels some jobs.
func (s *smallCluster) submit() {
	queue := batch
	if s.random.IntN(3) == 0 {
		queue = urgent
	}
	queue.MaxAttempts = 40
	step := taskgraph.Step{
		Count: 1 + s.random.IntN(3), Gang: s.random.IntN(4) == 0, EstimateMillis: 500,
		Resources: taskgraph.Resources{CPU: 2000, MemoryMB: 4000, GPUs: 1 << s.random.IntN(2)},
	}
	number := s.jobs
	s.jobs++
	s.Submit(spec(number, step), queue)
	if s.random.IntN(5) == 0 {
		s.cancelled[number] = true
		s.Clock.After(s.below(2*time.Second), func() { s.Cancel(jobID(number)) })
	}
}

// play submits jobs, clears the faults and lets a new owner finish the jobs.
func (s *smallCluster) play() {
	s.AcquirePool()
	for s.Clock.Now().Sub(s.StartedAt()) < smallClusterLoad {
		s.submit()
		s.Run(s.below(500 * time.Millisecond))
	}
	endAllEvacuations(s.Cluster)
	for _, worker := range s.RunningWorkers() {
		worker.Partitioned, worker.OrderOutcome = false, nil
		worker.SetCapacity(simulation.WorkerCapacity, 0)
	}
	s.AcquirePool()
	s.Run(smallClusterRest)
}

// TestRandomFaultsOfSmallClusters guards against orders of messages that are rare in large
// simulations.
func TestRandomFaultsOfSmallClusters(t *testing.T) {
	for seed := uint64(*firstSmallSeed); seed < uint64(*firstSmallSeed+*smallSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSmallCluster(seed, pool.DisabledSafeguards{})
			s.play()
			requireInvariants(t, s.Cluster)
			for n := range s.jobs {
				require.True(t, s.StoredState(jobID(n)).Final(), "job %d", n)
			}
		})
	}
}
