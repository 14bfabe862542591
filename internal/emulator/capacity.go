package emulator

import (
	"fmt"
	"runtime"
	"time"

	"github.com/wheatroad/wheatroad/internal/control"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// The size to design for.
const (
	planZones         = 10
	planRacksPerZone  = 163
	planTasks         = 290000
	planTeams         = 67
	planJobsPerDay    = 48000
	planChangesPerDay = 22000
	workersPerRack    = 8
	tasksPerJob       = 24
	secondsPerDay     = 86400
)

// Capacity is what control costs at one size. Rates are for one node, but those of
// the store for all nodes together.
type Capacity struct {
	Workers              int     `json:"workers"`
	Tasks                int     `json:"tasks"`
	Nodes                int     `json:"nodes"`
	CPUPercent           float64 `json:"cpu_percent"`
	MemoryMB             float64 `json:"memory_mb"`
	KilobytesPerSecond   float64 `json:"kilobytes_per_second"`
	MessagesPerSecond    float64 `json:"messages_per_second"`
	StoreReadsPerSecond  float64 `json:"store_reads_per_second"`
	StoreWritesPerSecond float64 `json:"store_writes_per_second"`
	ConfigSecondsP99     float64 `json:"config_seconds_p99"`
	UrgentSecondsP99     float64 `json:"urgent_start_seconds_p99"`
}

// PlanTiming suits the size to design for: workers are renewed rarely.
func PlanTiming() control.Timing {
	timing := control.DefaultTiming()
	timing.WorkerLease = 180 * time.Second
	timing.WorkerRenewal = 60 * time.Second
	return timing
}

// MeasureCapacity runs a share of the size to design for on so many nodes, fills
// it with running work and measures for a stretch of virtual time.
func MeasureCapacity(share float64, nodes int, stretch time.Duration) Capacity {
	var before, after runtime.MemStats
	w := NewWorld(capacityOptions(share, nodes))
	runtime.GC()
	runtime.ReadMemStats(&before)
	w.Run(20 * time.Second)
	w.declare(planTenants(0))
	w.Run(5 * time.Second)
	tasks := w.fill(share)
	w.Run(5 * time.Minute)
	runtime.GC()
	runtime.ReadMemStats(&after)
	w.beginMeasuring()
	until := w.clock.now.Add(stretch)
	reads, writes := w.site.Table.Counts()
	w.shortJobs(planJobsPerDay*share/secondsPerDay, until)
	w.configurationChanges(planChangesPerDay*share/secondsPerDay, until)
	w.clock.Run(until)
	result := Capacity{Workers: len(w.site.Names()), Tasks: tasks, Nodes: nodes}
	// The platform's own tasks and rows are in the figure too, so it is an upper bound.
	result.MemoryMB = float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20) / float64(nodes)
	readsAfter, writesAfter := w.site.Table.Counts()
	result.StoreReadsPerSecond = float64(readsAfter-reads) / stretch.Seconds()
	result.StoreWritesPerSecond = float64(writesAfter-writes) / stretch.Seconds()
	result.ConfigSecondsP99 = quantile(w.InForceSeconds, 0.99)
	result.UrgentSecondsP99 = quantile(w.urgentStarts(), 0.99)
	for _, n := range w.nodes {
		result.CPUPercent += 100 * n.process.spent.Seconds() / stretch.Seconds() / float64(nodes)
		result.KilobytesPerSecond += float64(w.Bytes[n.name]) / 1024 / stretch.Seconds() / float64(nodes)
		result.MessagesPerSecond += float64(w.Messages[n.name]) / stretch.Seconds() / float64(nodes)
	}
	runtime.KeepAlive(w)
	return result
}

func capacityOptions(share float64, nodes int) Options {
	options := Options{Seed: 1, Nodes: nodes, Timing: PlanTiming(), ListLag: 20 * time.Second, ReportLag: 200 * time.Millisecond, CountBytes: true}
	for zone := range planZones {
		options.Layouts = append(options.Layouts, standin.Layout{
			Region: fmt.Sprintf("r%d", zone%4), Zone: fmt.Sprintf("z%d", zone),
			Racks: max(1, int(planRacksPerZone*share)), WorkersPerRack: workersPerRack,
			Accelerators: 8, CPUs: 256, MemoryGB: 1024, Slots: 64,
		})
	}
	return options
}

// planTenants are the teams; the variant changes one team's quota.
func planTenants(variant int) declaration.Declaration {
	declared := declaration.Declaration{}
	for team := range planTeams {
		tenant := declaration.Tenant{Name: fmt.Sprintf("team%02d", team)}
		if team == variant%planTeams {
			tenant.Quota.Accelerators = 1000 + variant
		}
		declared.Tenants = append(declared.Tenants, tenant)
	}
	declared.Normalize()
	return declared
}

func (w *World) planSpec(members, accelerators int, seconds float64, priority job.Priority) job.Spec {
	w.serial++
	return job.Spec{
		ID: fmt.Sprintf("job%d", w.serial), Tenant: fmt.Sprintf("team%02d", w.serial%planTeams), Priority: priority,
		Shape:    job.Shape{Members: members, Accelerators: accelerators, CPUs: 1, MemoryGB: 1, Spread: job.SpreadZone},
		Duration: seconds, Repeatable: true, Payload: fmt.Sprintf(`{"run_seconds":%g}`, seconds),
	}
}

// fill starts long jobs until the share of running tasks is reached.
func (w *World) fill(share float64) int {
	tasks := 0
	for tasks < int(planTasks*share) {
		spec := w.planSpec(tasksPerJob, 0, secondsPerDay, job.Normal)
		if w.serial%4 == 0 {
			spec.Accelerators = 1
		}
		w.Submit(spec, nothingToDo)
		tasks += tasksPerJob
		w.Run(20 * time.Millisecond)
	}
	return tasks
}

func (w *World) beginMeasuring() {
	for _, n := range w.nodes {
		n.process.measure = true
		n.process.spent = 0
		w.Bytes[n.name] = 0
		w.Messages[n.name] = 0
	}
	w.InForceSeconds = nil
}

// urgentEvery is how many short jobs come between two urgent ones.
const urgentEvery = 4

func (w *World) shortJobs(perSecond float64, until time.Time) {
	at := w.clock.now.Add(time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)))
	if at.After(until) {
		return
	}
	w.clock.At(at, func() {
		priority := job.Normal
		if w.serial%urgentEvery == 0 {
			priority = job.Urgent
		}
		w.Submit(w.planSpec(1+w.random.IntN(4), 1, 60, priority), nothingToDo)
		w.shortJobs(perSecond, until)
	})
}

func (w *World) configurationChanges(perSecond float64, until time.Time) {
	at := w.clock.now.Add(time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)))
	if at.After(until) {
		return
	}
	w.clock.At(at, func() {
		w.serial++
		w.declare(planTenants(w.serial))
		w.configurationChanges(perSecond, until)
	})
}

// urgentStarts lists the seconds from submission to the first member's begin of all
// urgent jobs.
func (w *World) urgentStarts() []float64 {
	began := map[string]time.Time{}
	for _, e := range w.site.History() {
		if _, known := began[e.Job]; e.Began && !known {
			began[e.Job] = e.At
		}
	}
	var seconds []float64
	for _, request := range w.History.Requests {
		if at, ok := began[request.Spec.ID]; ok && request.Spec.Priority == job.Urgent {
			seconds = append(seconds, at.Sub(request.SentAt).Seconds())
		}
	}
	return seconds
}
