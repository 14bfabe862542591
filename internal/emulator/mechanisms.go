package emulator

import (
	"slices"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// mechanism is one that can be turned off.
type mechanism struct {
	name string
	off  func(*Options)
}

func mechanisms() []mechanism {
	return []mechanism{
		{"configuration_versions", func(o *Options) { o.Mechanisms.WithoutConfigurationVersions = true }},
		{"fencing_at_the_worker", func(o *Options) { o.WithoutWorkerFencing = true }},
		{"fencing_at_the_writer", func(o *Options) { o.Mechanisms.WithoutWriterFencing = true }},
		{"gang_commit", func(o *Options) { o.Mechanisms.WithoutGangCommit = true }},
		{"guarantee_witness", func(o *Options) { o.WithoutWitness = true }},
		{"lease_clock", func(o *Options) { o.Mechanisms.WithoutLeaseClock = true }},
		{"operation_markers", func(o *Options) { o.Mechanisms.WithoutOperationMarkers = true }},
		{"planned_stop", func(o *Options) { o.Mechanisms.WithoutPlannedStop = true }},
		{"single_dispatch", func(o *Options) { o.Mechanisms.WithoutSingleDispatch = true }},
		{"worker_leaving", func(o *Options) { o.Mechanisms.WithoutWorkerLeaving = true }},
	}
}

// MechanismNames lists the mechanisms that can be turned off.
func MechanismNames() []string {
	var names []string
	for _, m := range mechanisms() {
		names = append(names, m.name)
	}
	return names
}

// Without turns a mechanism off by its name.
func (o *Options) Without(name string) error {
	index := slices.IndexFunc(mechanisms(), func(m mechanism) bool { return m.name == name })
	if index < 0 {
		return fault.NewField(fault.InvalidRequest, "without", "%q is not a mechanism", name)
	}
	mechanisms()[index].off(o)
	return nil
}
