package loadsim

import (
	"fmt"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// Names of the classes.
const (
	urgentClass = "urgent"
	middleClass = "middle"
	wideClass   = "wide"
)

// Capacities of workers.
var (
	largeWorker = taskgraph.Resources{CPU: 128000, MemoryMB: 524288, GPUs: 8}
	smallWorker = taskgraph.Resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}
)

// accelerators are the choices for the number of accelerators per task of urgent and middle jobs.
var accelerators = []int{1, 2, 4, 8, 8}

// classes returns short urgent gangs, long gangs, and wide steps of small tasks, which use two
// thirds of a pool of 112 workers.
func classes() []Class {
	return []Class{
		{
			Queue: catalog.Queue{Name: urgentClass, Priority: 0, MaxAttempts: 3, Stretch: 1.5, TargetMillis: 300},
			Rate:  3.6, Width: 5.4, WidthSigma: 0.8, MaxWidth: 32, Work: 2500 * time.Millisecond, WorkSigma: 0.5, EstimateError: 0.9,
			GPUs: accelerators, Request: taskgraph.Resources{CPU: 15000, MemoryMB: 44000}, Gang: 1, SameRack: 0.8, Value: 4, LateValue: 0.8,
		},
		{
			Queue: catalog.Queue{Name: middleClass, Priority: 1, MaxAttempts: 4, Stretch: 3, TargetMillis: 1000},
			Rate:  0.39, Width: 13, WidthSigma: 0.8, MaxWidth: 64, Work: 8500 * time.Millisecond, WorkSigma: 0.3, EstimateError: 0.2,
			GPUs: accelerators, Request: taskgraph.Resources{CPU: 52000, MemoryMB: 270000}, Gang: 1, SameRack: 0.4, Checkpoints: 0.45, Value: 3, LateValue: 0.9,
		},
		{
			Queue: catalog.Queue{Name: wideClass, Priority: 2, MaxAttempts: 2, Stretch: 3, TargetMillis: 3000},
			Rate:  0.48, Width: 39, WidthSigma: 0.8, MaxWidth: 230, Work: 6100 * time.Millisecond, WorkSigma: 0.3, EstimateError: 0.2,
			GPUs: []int{1}, Request: taskgraph.Resources{CPU: 11000, MemoryMB: 59000}, Checkpoints: 0.45, Value: 1, LateValue: 0.3,
		},
	}
}

// Loads returns the predefined loads.
func Loads() []Load {
	base := Load{Racks: 14, PerRack: 8, Length: 34 * time.Second, Classes: classes(), Capacity: largeWorker}
	calm := base
	calm.Name = "calm"
	urgent := base
	urgent.Name = "urgent-burst"
	urgent.Bursts = []Burst{{Class: urgentClass, From: 10 * time.Second, Until: 16 * time.Second, Factor: 2.6}}
	threeBursts := base
	threeBursts.Name = "three-bursts"
	threeBursts.Bursts = []Burst{
		{Class: urgentClass, From: 5 * time.Second, Until: 11 * time.Second, Factor: 2.6},
		{Class: wideClass, From: 10 * time.Second, Until: 15 * time.Second, Factor: 2.6},
		{From: 15 * time.Second, Until: 20 * time.Second, Factor: 2.8},
		{From: 0, Until: base.Length, Factor: 1.45},
	}
	full := base
	full.Name = "full"
	full.Bursts = []Burst{{From: 0, Until: base.Length, Factor: 2}}
	mixed := base
	mixed.Name = "mixed-speeds"
	mixed.Speeds = []float64{0.6, 1, 1.6}
	mixed.Classes = withLongTail(classes(), 0.03, 7)
	failing := base
	failing.Name = "failing-workers"
	failing.Failures = []FailurePeriod{
		{From: 8 * time.Second, Until: 15 * time.Second, Share: 0.15},
		{From: 21 * time.Second, Until: 28 * time.Second, Share: 0.2},
	}
	return append([]Load{calm, urgent, threeBursts, full, mixed, failing}, tenantLoads()...)
}

// tenantLoads returns loads of tenants of very different size: one within the capacity, one above
// it, and one in which the largest tenant bursts over all others.
func tenantLoads() []Load {
	base := Load{Racks: 8, PerRack: 12, Length: 80 * time.Second, Classes: halvedRequests(classes()), Capacity: smallWorker}
	base.Tenants = skewedTenants(10, guaranteedShare*float64(base.Racks*base.PerRack*base.Capacity.GPUs))
	steady := base
	steady.Name = "tenants"
	full := base
	full.Name = "tenants-full"
	full.Bursts = []Burst{{From: 0, Until: base.Length, Factor: 2}}
	burst := base
	burst.Name = "tenant-burst"
	burst.Bursts = []Burst{{Tenant: burst.Tenants[0].Name, From: 10 * time.Second, Until: 40 * time.Second, Factor: 4}}
	return []Load{steady, full, burst}
}

// guaranteedShare is the share of the accelerators that are guaranteed to tenants.
const guaranteedShare = 0.62

// skewExponent makes tenant k submit and be guaranteed k^-skewExponent times as much as the first.
const skewExponent = 1.2

// skewedTenants returns tenants whose arrivals and guarantees are in proportion, the largest first.
func skewedTenants(count int, guaranteedGPUs float64) []Tenant {
	tenants := make([]Tenant, count)
	total := 0.0
	for k := range tenants {
		tenants[k] = Tenant{Name: fmt.Sprintf("tenant-%02d", k+1), Share: math.Pow(float64(k+1), -skewExponent)}
		total += tenants[k].Share
	}
	for k := range tenants {
		tenants[k].Share /= total
		tenants[k].GuaranteedGPUs = int(math.Round(tenants[k].Share * guaranteedGPUs))
	}
	return tenants
}

// halvedRequests returns classes whose tasks request half of the cores and memory.
func halvedRequests(all []Class) []Class {
	for i := range all {
		all[i].Request.CPU /= 2
		all[i].Request.MemoryMB /= 2
	}
	return all
}

// withLongTail returns classes in which the tasks of a share of the jobs take factor times as long.
func withLongTail(all []Class, share, factor float64) []Class {
	for i := range all {
		all[i].TailShare, all[i].TailFactor = share, factor
	}
	return all
}
