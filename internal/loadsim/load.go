// Package loadsim simulates heavy load on a pool owner in virtual time. Jobs arrive in bursts, with
// random sizes and inaccurate estimates. The package compares scheduler variants on the same load
// over many seeds.
package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Class describes a class of jobs.
type Class struct {
	Queue catalog.Queue
	// Rate is the number of arrivals per second, before bursts.
	Rate float64
	// Width is the mean number of tasks. WidthSigma is the standard deviation of the logarithm of
	// the number of tasks.
	Width, WidthSigma float64
	// MaxWidth is the maximum number of tasks.
	MaxWidth int
	// Work is the mean duration of a task.
	Work time.Duration
	// WorkSigma is the standard deviation of the logarithm of the duration.
	WorkSigma float64
	// TailShare is the share of jobs whose tasks take TailFactor times as long.
	TailShare, TailFactor float64
	// EstimateError bounds the logarithm of the ratio of estimate to duration.
	EstimateError float64
	// GPUs are the choices for the number of accelerators per task. All tasks of a job use the same
	// number.
	GPUs []int
	// Request is the resource request of a task without its accelerators.
	Request taskgraph.Resources
	// Gang and Checkpoints are shares of the jobs. SameRack is a share of the gangs.
	Gang, SameRack, Checkpoints float64
	// Value is the value of a job of mean size that completes in time. LateValue is the value if the
	// job completes late.
	Value, LateValue float64
}

// Tenant is a tenant that submits jobs.
type Tenant struct {
	Name string
	// Share is the tenant's share of the arrivals outside bursts.
	Share float64
	// GuaranteedGPUs is the number of accelerators that the tenant is guaranteed.
	GuaranteedGPUs int
}

// Burst multiplies a rate for a period. It applies to all classes if Class is empty, and to all
// tenants if Tenant is empty.
type Burst struct {
	Class       string
	Tenant      string
	From, Until time.Duration
	Factor      float64
}

// FailurePeriod is a period in which a share of the workers fails all runs that they start. The
// workers are drawn anew for each period.
type FailurePeriod struct {
	From, Until time.Duration
	Share       float64
}

// Load describes a cluster and the jobs that arrive.
type Load struct {
	Name    string
	Racks   int
	PerRack int
	Length  time.Duration
	Classes []Class
	Bursts  []Burst
	// Failures are the periods in which workers fail what they start.
	Failures []FailurePeriod
	// Tenants are the tenants that submit the jobs; empty means one tenant without a guarantee.
	Tenants []Tenant
	// Capacity is the capacity of each worker.
	Capacity taskgraph.Resources
	// Speeds are the choices for the speed of a worker; empty means that all are 1.
	Speeds []float64
}

// arrival is the arrival of one job.
type arrival struct {
	at    time.Duration
	class int
	// tenant is the index in Load.Tenants; 0 if there are none.
	tenant int
	spec   taskgraph.Spec
	work   time.Duration
}

// arrivalStep is the time resolution of arrivals.
const arrivalStep = 10 * time.Millisecond

// generateArrivals returns the arrivals of a load; they depend only on the seed.
func (l *Load) generateArrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var arrivals []arrival
	for at := time.Duration(0); at < l.Length; at += arrivalStep {
		for class := range l.Classes {
			rates := l.ratesAt(class, at)
			if random.Float64() < sum(rates)*arrivalStep.Seconds() {
				next := l.randomArrival(random, class, at, len(arrivals))
				next.tenant = randomIndex(random, rates)
				arrivals = append(arrivals, next)
			}
		}
	}
	return arrivals
}

// ratesAt returns the rate of arrivals of a class for each tenant.
func (l *Load) ratesAt(class int, at time.Duration) []float64 {
	if len(l.Tenants) == 0 {
		return []float64{l.rateAt(class, "", at)}
	}
	rates := make([]float64, len(l.Tenants))
	for i := range rates {
		rates[i] = l.Tenants[i].Share * l.rateAt(class, l.Tenants[i].Name, at)
	}
	return rates
}

func (l *Load) rateAt(class int, tenant string, at time.Duration) float64 {
	rate := l.Classes[class].Rate
	for i := range l.Bursts {
		burst := &l.Bursts[i]
		applies := (burst.Class == "" || burst.Class == l.Classes[class].Queue.Name) && (burst.Tenant == "" || burst.Tenant == tenant)
		if applies && at >= burst.From && at < burst.Until {
			rate *= burst.Factor
		}
	}
	return rate
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// randomIndex returns an index with a probability in proportion to its weight. It draws no random
// number if there is only one.
func randomIndex(random *rand.Rand, weights []float64) int {
	if len(weights) == 1 {
		return 0
	}
	left := random.Float64() * sum(weights)
	for i, weight := range weights {
		if left -= weight; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (l *Load) randomArrival(random *rand.Rand, class int, at time.Duration, number int) arrival {
	c := &l.Classes[class]
	work := time.Duration(float64(c.Work) * logNormalFactor(random, c.WorkSigma))
	if c.TailShare > 0 && random.Float64() < c.TailShare {
		work = time.Duration(c.TailFactor * float64(work))
	}
	step := taskgraph.Step{
		Count:          min(c.MaxWidth, max(1, int(math.Round(c.Width*logNormalFactor(random, c.WidthSigma))))),
		Resources:      c.Request,
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

// randomSlowdowns returns the factor on the duration of work for each worker.
func (l *Load) randomSlowdowns(seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 13))
	slowdowns := make([]float64, l.Racks*l.PerRack)
	for i := range slowdowns {
		slowdowns[i] = 1
		if len(l.Speeds) > 0 {
			slowdowns[i] = 1 / l.Speeds[random.IntN(len(l.Speeds))]
		}
	}
	return slowdowns
}

// randomFailingWorkers returns for each failure period which workers fail.
func (l *Load) randomFailingWorkers(seed uint64) [][]bool {
	random := rand.New(rand.NewPCG(seed, 17))
	failing := make([][]bool, len(l.Failures))
	for k := range l.Failures {
		failing[k] = make([]bool, l.Racks*l.PerRack)
		count := int(math.Round(l.Failures[k].Share * float64(len(failing[k]))))
		for _, i := range random.Perm(len(failing[k]))[:count] {
			failing[k][i] = true
		}
	}
	return failing
}

// scaled returns the load for a share of the racks. It reduces the arrival rates in proportion.
func (l *Load) scaled(share float64) *Load {
	small := *l
	small.Racks = max(1, int(math.Round(share*float64(l.Racks))))
	small.Classes = slices.Clone(l.Classes)
	ratio := float64(small.Racks) / float64(l.Racks)
	for i := range small.Classes {
		small.Classes[i].Rate *= ratio
	}
	small.Tenants = slices.Clone(l.Tenants)
	for i := range small.Tenants {
		small.Tenants[i].GuaranteedGPUs = int(math.Round(ratio * float64(l.Tenants[i].GuaranteedGPUs)))
	}
	return &small
}

// fitsOnRack reports whether all tasks of a step fit on one rack at the same time.
func (l *Load) fitsOnRack(step *taskgraph.Step) bool {
	perWorker := l.Capacity.GPUs / max(1, step.GPUs)
	perWorker = min(perWorker, l.Capacity.CPU/max(1, step.CPU), l.Capacity.MemoryMB/max(1, step.MemoryMB))
	return step.Count <= perWorker*l.PerRack
}

// logNormalFactor returns a log-normal random factor with mean 1. deviation is the standard
// deviation of the factor's logarithm.
func logNormalFactor(random *rand.Rand, deviation float64) float64 {
	return math.Exp(random.NormFloat64()*deviation - deviation*deviation/2)
}
