package cluster

import (
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
)

// Amount is a quantity of each resource. CPUs are cores, MemoryGB gigabytes.
type Amount struct {
	Accelerators int32
	CPUs         int32
	MemoryGB     int32
	// Slots counts gang members; each takes one.
	Slots int32
}

// PerMember returns what one member of a shape takes.
func PerMember(shape job.Shape) Amount {
	return Amount{
		Accelerators: int32(shape.Accelerators),
		CPUs:         int32(shape.CPUs),
		MemoryGB:     int32(shape.MemoryGB),
		Slots:        1,
	}
}

// CapacityOf returns what a machine of the platform's list has.
func CapacityOf(machine *machines.Machine) Amount {
	return Amount{
		Accelerators: int32(machine.Accelerators),
		CPUs:         int32(machine.CPUs),
		MemoryGB:     int32(machine.MemoryGB),
		Slots:        int32(machine.Slots),
	}
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Accelerators + b.Accelerators, a.CPUs + b.CPUs, a.MemoryGB + b.MemoryGB, a.Slots + b.Slots}
}

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Accelerators - b.Accelerators, a.CPUs - b.CPUs, a.MemoryGB - b.MemoryGB, a.Slots - b.Slots}
}

// Times returns n copies of a.
func (a Amount) Times(n int) Amount {
	k := int32(n)
	return Amount{a.Accelerators * k, a.CPUs * k, a.MemoryGB * k, a.Slots * k}
}

// Min returns the smaller of both in each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Accelerators, b.Accelerators), min(a.CPUs, b.CPUs), min(a.MemoryGB, b.MemoryGB), min(a.Slots, b.Slots)}
}

// Holds returns how many copies of need fit into a.
func (a Amount) Holds(need Amount) int {
	count := int32(job.MaxMembers)
	count = holds(count, a.Accelerators, need.Accelerators)
	count = holds(count, a.CPUs, need.CPUs)
	count = holds(count, a.MemoryGB, need.MemoryGB)
	count = holds(count, a.Slots, need.Slots)
	return int(count)
}

func holds(bound, have, need int32) int32 {
	if need <= 0 {
		return bound
	}
	if have < need {
		return 0
	}
	return min(bound, have/need)
}
