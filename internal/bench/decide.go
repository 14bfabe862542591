package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// DecisionCost is the cost of scheduling decisions at one cluster size.
type DecisionCost struct {
	Workers int `json:"workers"`
	Tasks   int `json:"tasks"`
	// DecisionMicros is the mean elapsed time of one submission, scheduling cycle and job end.
	DecisionMicros         float64 `json:"decision_micros"`
	AllocationsPerDecision float64 `json:"allocations_per_decision"`
	// LargeGangMicros is the mean time of one scheduling cycle with a gang of job.MaxMembers
	// members. FullScanMicros is the mean time of a scan over all workers, as a baseline.
	LargeGangMicros float64 `json:"large_gang_micros"`
	FullScanMicros  float64 `json:"plain_pass_micros"`
	StateMegabytes  float64 `json:"state_megabytes"`
}

func newDecideCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "decide",
		Short:   "Measure scheduling cost at 10%, 33% and 100% of the design size",
		Example: "  wheatroad-bench decide",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, share := range []float64{0.1, 0.33, 1} {
				if err := json.NewEncoder(command.OutOrStdout()).Encode(MeasureDecisions(share)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// Design size: the cluster and the load that the scheduler is designed for.
const (
	designWorkers  = 13000
	designTasks    = 290000
	workersPerRack = 8
	// meanGangSize is the mean number of members of a running job.
	meanGangSize    = 24
	decisionSamples = 2000
)

// MeasureDecisions measures scheduling decisions on a loaded cluster of the given share
// of the design size.
func MeasureDecisions(share float64) DecisionCost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, tasks := newLoadedScheduler(share)
	runtime.GC()
	runtime.ReadMemStats(&after)
	result := DecisionCost{Workers: len(s.Cluster().Workers), Tasks: tasks}
	result.StateMegabytes = float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	now := time.Unix(1e6, 0)
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range decisionSamples {
		spec := newSpec(fmt.Sprintf("probe%d", i), 1+i%2, 1+i%4)
		s.Submit(now, spec, now, time.Hour)
		s.Decide(now)
		s.Ended(now, job.Key{Tenant: spec.Tenant, ID: spec.ID})
	}
	result.DecisionMicros = float64(time.Since(start).Microseconds()) / decisionSamples
	runtime.ReadMemStats(&after)
	result.AllocationsPerDecision = float64(after.Mallocs-before.Mallocs) / decisionSamples
	result.LargeGangMicros, result.FullScanMicros = measureLargeGang(s, now)
	runtime.KeepAlive(s)
	return result
}

func newSpec(id string, members, accelerators int) job.Spec {
	return job.Spec{
		ID: id, Tenant: "t", Priority: job.Normal, Duration: 3600, Repeatable: true,
		Shape: job.Shape{Members: members, Accelerators: accelerators, CPUs: 1, Spread: job.SpreadRack},
	}
}

// newLoadedScheduler returns a scheduler with about 22 tasks per worker and the number of tasks.
func newLoadedScheduler(share float64) (*schedule.Scheduler, int) {
	random := rand.New(rand.NewPCG(1, 1))
	s := schedule.New(schedule.Default(), cluster.NewState())
	now := time.Unix(0, 0)
	workers := int(designWorkers * share)
	for number := range workers {
		rack := number / workersPerRack
		at := cluster.Location{Region: "r", Zone: "z", Rack: fmt.Sprint(rack)}
		s.AddWorker(now, fmt.Sprint(number), at, cluster.Amount{Accelerators: 8, CPUs: 256, MemoryGB: 1024, Slots: 64})
	}
	tasks := 0
	for jobNumber := 0; tasks < int(designTasks*share); jobNumber++ {
		members := 1 + random.IntN(2*meanGangSize)
		spec := newSpec(fmt.Sprintf("job%d", jobNumber), members, 0)
		spec.Spread = job.SpreadAny
		if jobNumber%8 == 0 {
			spec.Members, spec.Accelerators = 1+random.IntN(4), 1+random.IntN(6)
		}
		spec.Checkpoint, spec.Duration = false, 3600*(1+10*random.Float64())
		s.Submit(now, spec, now, time.Duration(spec.Duration)*time.Second)
		tasks += spec.Members
	}
	s.Decide(now)
	return s, tasks
}

const gangSamples = 20

func measureLargeGang(s *schedule.Scheduler, now time.Time) (gangMicros, scanMicros float64) {
	var gangTime, scanTime time.Duration
	gangCapacity := 0
	for i := range gangSamples {
		spec := newSpec(fmt.Sprintf("gang%d", i), job.MaxMembers, 1)
		spec.Spread = job.SpreadAny
		s.Submit(now, spec, now, time.Hour)
		start := time.Now()
		s.Decide(now)
		gangTime += time.Since(start)
		s.Ended(now, job.Key{Tenant: spec.Tenant, ID: spec.ID})
		start = time.Now()
		gangCapacity += scanWorkers(s.Cluster())
		scanTime += time.Since(start)
	}
	runtime.KeepAlive(gangCapacity)
	return float64(gangTime.Microseconds()) / gangSamples, float64(scanTime.Microseconds()) / gangSamples
}

// scanWorkers returns how many single-accelerator members fit on all schedulable workers.
func scanWorkers(state *cluster.State) int {
	need := cluster.Amount{Accelerators: 1, CPUs: 1, Slots: 1}
	total := 0
	for id := range state.Workers {
		w := &state.Workers[id]
		if w.Schedulable {
			total += w.Free.Min(w.Solid()).Holds(need)
		}
	}
	return total
}
