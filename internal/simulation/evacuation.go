package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// evacuationPrefix comes before the zone in the name of a row that evacuates it.
const evacuationPrefix = "evacuate/"

// EvacuationBound is the time after the acknowledgement of a zone's evacuation from which nothing
// may start there, unless a world says otherwise.
const EvacuationBound = 5 * time.Second

// zoneOf names the zone of a rack: each rack is a zone of its own.
func zoneOf(rack string) string { return "zone-" + rack }

// Zones lists the zones of the workers, each once.
func (w *World) Zones() []string {
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

func (w *World) evacuationKey(zone string) rows.Key {
	return rows.Key{Table: w.OperatorTable, Name: evacuationPrefix + zone}
}

// Evacuate asks that nothing new starts in a zone; the store acknowledges it at once.
func (w *World) Evacuate(zone string) {
	w.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: w.evacuationKey(zone), Value: []byte("{}")}}})
	if _, already := w.evacuatedAt[zone]; !already {
		w.evacuatedAt[zone] = w.Clock.Now()
	}
}

// TakeBack ends the evacuation of a zone.
func (w *World) TakeBack(zone string) {
	w.Store.Apply(rows.Transaction{Removes: []rows.Key{w.evacuationKey(zone)}})
	delete(w.evacuatedAt, zone)
}

// Evacuated reports whether a zone is evacuated.
func (w *World) Evacuated(zone string) bool {
	_, evacuated := w.evacuatedAt[zone]
	return evacuated
}

// evacuatedFor returns how long a zone has been evacuated; 0 if it is not.
func (w *World) evacuatedFor(zone string) time.Duration {
	since, evacuated := w.evacuatedAt[zone]
	if !evacuated {
		return 0
	}
	return w.Clock.Now().Sub(since)
}
