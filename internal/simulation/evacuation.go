package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// evacuationPrefix is the prefix of the row names that mark evacuated zones.
const evacuationPrefix = "evacuate/"

// EvacuationBound is the default time after the acknowledgement of an evacuation from which no run
// may start in the zone.
const EvacuationBound = 5 * time.Second

// zoneOf returns the zone of a rack; each rack is its own zone.
func zoneOf(rack string) string { return "zone-" + rack }

// Zones returns the distinct zones of the workers.
func (w *Cluster) Zones() []string {
	var zones []string
	known := map[string]bool{}
	for _, worker := range w.Workers {
		if !known[worker.Zone] {
			known[worker.Zone] = true
			zones = append(zones, worker.Zone)
		}
	}
	return zones
}

func (w *Cluster) evacuationKey(zone string) rows.Key {
	return rows.Key{Table: w.OperatorTable, Name: evacuationPrefix + zone}
}

// Evacuate marks a zone as evacuated; the store acknowledges the write immediately.
func (w *Cluster) Evacuate(zone string) {
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: w.evacuationKey(zone), Value: []byte("{}")}}})
	if _, already := w.evacuatedAt[zone]; !already {
		w.evacuatedAt[zone] = w.Clock.Now()
	}
}

// CancelEvacuation ends the evacuation of a zone.
func (w *Cluster) CancelEvacuation(zone string) {
	w.Store.Apply(rows.Transaction{Removes: []rows.Key{w.evacuationKey(zone)}})
	delete(w.evacuatedAt, zone)
}

// Evacuated reports whether a zone is evacuated.
func (w *Cluster) Evacuated(zone string) bool {
	_, evacuated := w.evacuatedAt[zone]
	return evacuated
}

// evacuatedFor returns the time since a zone was evacuated, or 0 if it is not.
func (w *Cluster) evacuatedFor(zone string) time.Duration {
	since, evacuated := w.evacuatedAt[zone]
	if !evacuated {
		return 0
	}
	return w.Clock.Now().Sub(since)
}
