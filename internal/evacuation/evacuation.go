// Package evacuation tracks the zones that operators have evacuated. Each set of zones has the
// store revision and the time up to which it is known. The package reads no clock and does no I/O.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Change is a change to the stored row that evacuates a zone.
type Change struct {
	Zone string
	// Revision is the store revision of the change.
	Revision int64
	// Removed is true if the row was removed, which ends the evacuation of the zone.
	Removed bool
}

// ParseChanges extracts the changes of evacuated zones from rows. zoneOf returns the zone that a
// row evacuates. It returns false for a row that does not evacuate a zone.
func ParseChanges(changed []rows.Row, zoneOf func(rows.Key) (string, bool)) []Change {
	var changes []Change
	for i := range changed {
		if zone, ok := zoneOf(changed[i].Key); ok {
			changes = append(changes, Change{Zone: zone, Revision: changed[i].Version, Removed: changed[i].Gone})
		}
	}
	return changes
}

// Set is an immutable set of evacuated zones. The zero value is empty, at revision 0.
type Set struct {
	// zones maps each evacuated zone to the revision of the zone's row.
	zones map[string]int64
	// Revision is the store revision up to which the zones are known.
	Revision int64
	// AsOf is a time up to which the set is known. It is no later than the last store request whose
	// response the set contains.
	AsOf time.Time
}

// NewSet returns the set for the changes from a complete listing of the rows at a revision.
func NewSet(changes []Change, revision int64, asOf time.Time) Set {
	return Set{}.Apply(changes, revision, asOf)
}

// Apply returns a copy of the set with the changes up to a revision. A change is ignored if the
// set contains a newer revision of the same zone's row.
func (s Set) Apply(changes []Change, revision int64, asOf time.Time) Set {
	result := Set{zones: s.zones, Revision: max(s.Revision, revision), AsOf: latest(s.AsOf, asOf)}
	if len(changes) == 0 {
		return result
	}
	result.zones = maps.Clone(s.zones)
	if result.zones == nil {
		result.zones = map[string]int64{}
	}
	for _, change := range changes {
		if change.Revision < result.zones[change.Zone] {
			continue
		}
		if change.Removed {
			delete(result.zones, change.Zone)
			continue
		}
		result.zones[change.Zone] = change.Revision
	}
	return result
}

// Newest returns the set with the higher revision. If the revisions are equal, Newest returns the
// set with the later AsOf.
func (s Set) Newest(other Set) Set {
	if other.Revision > s.Revision || other.Revision == s.Revision && other.AsOf.After(s.AsOf) {
		return other
	}
	return s
}

// Contains reports whether a zone is evacuated.
func (s Set) Contains(zone string) bool {
	_, evacuated := s.zones[zone]
	return evacuated
}

// Zones returns the evacuated zones in alphabetical order.
func (s Set) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// SameZones reports whether both sets contain the same zones.
func (s Set) SameZones(other Set) bool { return slices.Equal(s.Zones(), other.Zones()) }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
