package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/trace"
)

// BurstKind is the kind of jobs that arrive in bursts.
type BurstKind string

const (
	SmallBursts BurstKind = "small"
	LargeBursts BurstKind = "large"
	MixedBursts BurstKind = "mixed"
)

// Options are the parameters of a generated trace.
type Options struct {
	Seed uint64
	// Load is the ratio of requested to available accelerator-seconds.
	Load float64
	// Hours is the length of the trace.
	Hours  float64
	Bursts BurstKind
	// Failures adds machine, rack and zone failures.
	Failures bool
	// JobsPerDay fixes the number of jobs and scales their run times to Load; 0 means that Load
	// determines the number of jobs.
	JobsPerDay int
}

const (
	secondsPerHour = 3600.0
	hoursPerDay    = 24.0
	// medianRun and runSigma are the parameters of the log-normal run times, in seconds.
	medianRun = 2400
	runSigma  = 1.4
	minRun    = 60
	maxRun    = 24 * 3600
	// burstShare is the share of jobs that arrive in bursts.
	burstShare       = 0.35
	burstSpread      = 60.0
	smallBurstSize   = 40
	largeBurstSize   = 6
	urgentShare      = 0.04
	lowShare         = 0.2
	checkpointShare  = 0.75
	guaranteedShare  = 0.25
	maxCheckpoint    = 60
	minCheckpoint    = 5
	widestRackFactor = 2
)

type generator struct {
	options Options
	random  *rand.Rand
	cluster *trace.Cluster
	pool    trace.Pool
	lines   []trace.Line
	serial  int
}

// Generate returns a trace for the cluster, sorted by time.
func Generate(c *trace.Cluster, options Options) []trace.Line {
	g := &generator{
		options: options, cluster: c, pool: c.Pool[0],
		random: rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
	}
	g.submissions()
	g.scaleRuns()
	if options.Failures {
		g.failures()
	}
	slices.SortStableFunc(g.lines, func(a, b trace.Line) int { return cmp.Compare(a.At, b.At) })
	return g.lines
}

// submissions adds jobs until they request the accelerator-seconds of the load, or reach the
// number of jobs.
func (g *generator) submissions() {
	horizon := g.options.Hours * secondsPerHour
	target := g.options.Load * horizon * float64(g.cluster.Accelerators())
	if g.options.JobsPerDay > 0 {
		target = math.Inf(1)
	}
	wanted := int(float64(g.options.JobsPerDay) * g.options.Hours / hoursPerDay)
	asked := 0.0
	for asked < target && (g.options.JobsPerDay == 0 || len(g.lines) < wanted) {
		at := g.random.Float64() * horizon
		if g.random.Float64() < burstShare/g.meanBurst() {
			asked += g.burst(at)
			continue
		}
		asked += g.add(at, g.shape())
	}
}

func (g *generator) meanBurst() float64 {
	switch g.options.Bursts {
	case SmallBursts:
		return smallBurstSize
	case LargeBursts:
		return largeBurstSize
	default:
		return (smallBurstSize + largeBurstSize) / 2
	}
}

func (g *generator) burst(at float64) float64 {
	small := g.options.Bursts == SmallBursts || (g.options.Bursts == MixedBursts && g.random.Float64() < 0.5)
	size := largeBurstSize
	if small {
		size = smallBurstSize
	}
	asked := 0.0
	for range 1 + g.random.IntN(2*size) {
		shape := g.largeShape()
		if small {
			shape = g.smallShape()
		}
		asked += g.add(at+g.random.Float64()*burstSpread, shape)
	}
	return asked
}

func (g *generator) add(at float64, shape job.Shape) float64 {
	g.serial++
	run := math.Exp(math.Log(medianRun) + runSigma*g.random.NormFloat64())
	run = math.Round(min(maxRun, max(minRun, run)))
	tenant := g.cluster.Tenant[g.tenant()].Name
	line := trace.Line{
		At: math.Round(at*1000) / 1000, Event: trace.Submit, Job: fmt.Sprintf("j%d", g.serial), Tenant: tenant,
		Priority: g.priority(shape), Members: shape.Members, Accelerators: shape.Accelerators,
		CPUs: shape.CPUs, MemoryGB: shape.MemoryGB, Spread: shape.Spread, Duration: run,
		Guaranteed: g.random.Float64() < guaranteedShare,
	}
	if g.random.Float64() < checkpointShare {
		line.Checkpoint = true
		line.CheckpointSeconds = float64(minCheckpoint + g.random.IntN(maxCheckpoint-minCheckpoint))
	}
	g.lines = append(g.lines, line)
	return run * float64(shape.TotalAccelerators())
}

// tenant returns a random tenant index; each tenant but the last gets 40% of the jobs not assigned
// to earlier tenants.
func (g *generator) tenant() int {
	last := len(g.cluster.Tenant) - 1
	index := 0
	for index < last && g.random.Float64() < 0.6 {
		index++
	}
	return index
}

func (g *generator) priority(shape job.Shape) job.Priority {
	draw := g.random.Float64()
	switch {
	case draw < urgentShare && shape.TotalAccelerators() <= g.pool.Accelerators:
		return job.Urgent
	case draw > 1-lowShare:
		return job.Low
	default:
		return job.Normal
	}
}

func (g *generator) shape() job.Shape {
	if g.random.Float64() < 0.75 {
		return g.smallShape()
	}
	return g.largeShape()
}

// smallShape returns a random job that uses part of one worker.
func (g *generator) smallShape() job.Shape {
	sizes := []int{1, 1, 1, 1, 2, 2, 4, 4, 3, 8}
	size := min(sizes[g.random.IntN(len(sizes))], g.pool.Accelerators)
	return g.withCPUsAndMemory(job.Shape{Members: 1, Accelerators: size, Spread: job.SpreadZone})
}

// largeShape returns a random gang, mostly of whole workers within one rack.
func (g *generator) largeShape() job.Shape {
	members := []int{2, 2, 2, 4, 4, 4, 6, 8}
	shape := job.Shape{Members: members[g.random.IntN(len(members))], Accelerators: g.pool.Accelerators, Spread: job.SpreadRack}
	if g.random.Float64() < 0.25 {
		shape.Accelerators = max(1, g.pool.Accelerators/2)
	}
	if shape.Members > g.pool.WorkersPerRack {
		shape.Members = g.pool.WorkersPerRack
	}
	if g.random.Float64() < 0.1 {
		shape.Members = widestRackFactor * g.pool.WorkersPerRack
		shape.Spread = job.SpreadRegion
		if g.pool.Racks > 4*widestRackFactor && g.random.Float64() < 0.2 {
			shape.Members = min(job.MaxMembers, 8*widestRackFactor*g.pool.WorkersPerRack)
		}
		if g.pool.Racks > 8*widestRackFactor && g.random.Float64() < 0.05 {
			shape.Members, shape.Accelerators = job.MaxMembers, 1
		}
	}
	return g.withCPUsAndMemory(shape)
}

// withCPUsAndMemory sets the CPUs and memory of a member in proportion to its accelerators.
func (g *generator) withCPUsAndMemory(shape job.Shape) job.Shape {
	shape.CPUs = g.pool.CPUs * shape.Accelerators / (2 * max(1, g.pool.Accelerators))
	shape.MemoryGB = g.pool.MemoryGB * shape.Accelerators / (2 * max(1, g.pool.Accelerators))
	return shape
}

// scaleRuns scales the run times so that a fixed number of jobs requests the load.
func (g *generator) scaleRuns() {
	if g.options.JobsPerDay == 0 {
		return
	}
	asked := 0.0
	for i := range g.lines {
		asked += g.lines[i].Duration * float64(g.lines[i].Members*g.lines[i].Accelerators)
	}
	factor := g.options.Load * g.options.Hours * secondsPerHour * float64(g.cluster.Accelerators()) / asked
	for i := range g.lines {
		g.lines[i].Duration = math.Round(max(minRun, g.lines[i].Duration*factor))
	}
}
