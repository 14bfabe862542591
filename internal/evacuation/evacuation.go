// Package evacuation holds which zones operators have emptied of new work, with the revision
// of the store and the time up to which that is known. It reads no clock and does no input or
// output.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Change is one row by which an operator evacuates a zone, or its removal.
type Change struct {
	Zone string
	// Revision is the row's.
	Revision int64
	// Ended is true once the zone is taken back.
	Ended bool
}

// Changes reads the changes from rows; zoneOf tells the zone that a row evacuates, and false for
// any other row.
func Changes(listed []rows.Row, zoneOf func(rows.Key) (string, bool)) []Change {
	var changes []Change
	for i := range listed {
		if zone, ok := zoneOf(listed[i].Key); ok {
			changes = append(changes, Change{Zone: zone, Revision: listed[i].Version, Ended: listed[i].Gone})
		}
	}
	return changes
}

// Set has the evacuated zones. It is immutable; its zero value knows nothing.
type Set struct {
	zones map[string]int64
	// Revision is that of the store up to which the zones are known.
	Revision int64
	// AsOf is a time at or after which the store was asked for them: news may be older, never
	// newer, than it says.
	AsOf time.Time
}

// Of returns the set that a complete listing of the rows describes.
func Of(changes []Change, revision int64, asOf time.Time) Set {
	return Set{}.With(changes, revision, asOf)
}

// With returns the set after changes that lead up to a revision.
func (s Set) With(changes []Change, revision int64, asOf time.Time) Set {
	next := Set{zones: s.zones, Revision: max(s.Revision, revision), AsOf: latest(s.AsOf, asOf)}
	if len(changes) == 0 {
		return next
	}
	next.zones = maps.Clone(s.zones)
	if next.zones == nil {
		next.zones = map[string]int64{}
	}
	for _, change := range changes {
		if change.Revision < next.zones[change.Zone] {
			continue
		}
		if change.Ended {
			delete(next.zones, change.Zone)
			continue
		}
		next.zones[change.Zone] = change.Revision
	}
	return next
}

// Newest returns the set of two that is known up to the higher revision; with equal ones the
// one that was asked for later.
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

// Zones lists the evacuated zones in the order of their names.
func (s Set) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// SameZones reports whether two sets name the same zones.
func (s Set) SameZones(other Set) bool { return slices.Equal(s.Zones(), other.Zones()) }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
