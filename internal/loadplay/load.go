// Package loadplay plays load at its worst against a pool's owner in virtual time: arrivals in
// bursts, sizes, estimates with errors. The same load is played with several ways of a decision
// side by side, over many seeds.
package loadplay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Class is one kind of job.
type Class struct {
	Queue catalog.Queue
	// Rate is how many jobs come in a second, before bursts.
	Rate float64
	// Width is the mean number of tasks, WidthSigma its spread in logarithms, MaxWidth its bound.
	Width, WidthSigma float64
	MaxWidth          int
	// Work is the mean time of a task, WorkSpread its spread in logarithms.
	Work      time.Duration
	WorkSigma float64
	// TailShare is the share of jobs whose tasks take TailFactor as long as others.
	TailShare, TailFactor float64
	// EstimateError is the spread of estimates in logarithms.
	EstimateError float64
	// GPUs are drawn from for each task, all tasks of a job alike.
	GPUs []int
	// Request is a task's without its accelerators.
	Request taskgraph.Amount
	// Gang, SameRack and Checkpoints are the shares of jobs that are so.
	Gang, SameRack, Checkpoints float64
	// Value of a job of mean size that ends in time, and of a late one.
	Value, LateValue float64
}

// Burst multiplies the rate of a class, or of all if its name is empty, for a while.
type Burst struct {
	Class       string
	From, Until time.Duration
	Factor      float64
}

// Load is what comes.
type Load struct {
	Name    string
	Racks   int
	PerRack int
	Length  time.Duration
	Classes []Class
	Bursts  []Burst
	// Speeds of workers are drawn from these; all are 1 if there are none.
	Speeds []float64
}

// arrival is one job of a load.
type arrival struct {
	at    time.Duration
	class int
	spec  taskgraph.Spec
	work  time.Duration
}

// arrivalStep is the grid on which arrivals are drawn.
const arrivalStep = 10 * time.Millisecond

// generateArrivals returns the arrivals of a load: the same for the same seed.
func (l *Load) generateArrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var arrivals []arrival
	for at := time.Duration(0); at < l.Length; at += arrivalStep {
		for class := range l.Classes {
			if random.Float64() < l.rateAt(class, at)*arrivalStep.Seconds() {
				arrivals = append(arrivals, l.randomArrival(random, class, at, len(arrivals)))
			}
		}
	}
	return arrivals
}

func (l *Load) rateAt(class int, at time.Duration) float64 {
	rate := l.Classes[class].Rate
	for i := range l.Bursts {
		burst := &l.Bursts[i]
		if at >= burst.From && at < burst.Until && (burst.Class == "" || burst.Class == l.Classes[class].Queue.Name) {
			rate *= burst.Factor
		}
	}
	return rate
}

func (l *Load) randomArrival(random *rand.Rand, class int, at time.Duration, number int) arrival {
	c := &l.Classes[class]
	work := time.Duration(float64(c.Work) * logNormalFactor(random, c.WorkSigma))
	if c.TailShare > 0 && random.Float64() < c.TailShare {
		work = time.Duration(c.TailFactor * float64(work))
	}
	step := taskgraph.Step{
		Count:          min(c.MaxWidth, max(1, int(math.Round(c.Width*logNormalFactor(random, c.WidthSigma))))),
		Amount:         c.Request,
		EstimateMillis: int64(float64(work.Milliseconds()) * math.Exp((2*random.Float64()-1)*c.EstimateError)),
		Gang:           random.Float64() < c.Gang,
		Checkpoints:    random.Float64() < c.Checkpoints,
	}
	step.GPUs = c.GPUs[random.IntN(len(c.GPUs))]
	wantsRack := step.Gang && random.Float64() < c.SameRack
	step.SameRack = wantsRack && l.fitsOnRack(&step)
	return arrival{at: at, class: class, work: work, spec: taskgraph.Spec{
		ID: fmt.Sprintf("%016x", number+1), Payload: "load", Steps: []taskgraph.Step{step},
	}}
}

// randomSlowdowns returns how many times longer work takes on each worker.
func (l *Load) randomSlowdowns(seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 13))
	slowness := make([]float64, l.Racks*l.PerRack)
	for i := range slowness {
		slowness[i] = 1
		if len(l.Speeds) > 0 {
			slowness[i] = 1 / l.Speeds[random.IntN(len(l.Speeds))]
		}
	}
	return slowness
}

// scaled returns the load for a share of the racks, with as much less to do.
func (l *Load) scaled(share float64) *Load {
	small := *l
	small.Racks = max(1, int(math.Round(share*float64(l.Racks))))
	small.Classes = slices.Clone(l.Classes)
	for i := range small.Classes {
		small.Classes[i].Rate *= float64(small.Racks) / float64(l.Racks)
	}
	return &small
}

// fitsOnRack reports whether all tasks of a step fit on one rack at once.
func (l *Load) fitsOnRack(step *taskgraph.Step) bool {
	perWorker := workerCapacity.GPUs / max(1, step.GPUs)
	perWorker = min(perWorker, workerCapacity.CPU/max(1, step.CPU), workerCapacity.MemoryMB/max(1, step.MemoryMB))
	return step.Count <= perWorker*l.PerRack
}

// workerCapacity is the room of each worker.
var workerCapacity = taskgraph.Amount{CPU: 128000, MemoryMB: 524288, GPUs: 8}

// logNormalFactor draws a factor of mean 1 whose logarithm has a logNormalFactor.
func logNormalFactor(random *rand.Rand, deviation float64) float64 {
	return math.Exp(random.NormFloat64()*deviation - deviation*deviation/2)
}
