package simulation

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// evacuationPrefix is the prefix of the names of evacuation rows; the zone follows.
const evacuationPrefix = "evacuate/"

// EvacuationBound is the default of Bounds.EvacuationTimeout. Once that time has passed since the
// store acknowledged an evacuation, no run may start in the zone.
const EvacuationBound = 5 * time.Second

// zoneOf returns the zone of a rack; each rack is its own zone.
func zoneOf(rack string) string { return "zone-" + rack }

// Zones returns the distinct zones of the workers.
func (c *Cluster) Zones() []string {
	var zones []string
	known := map[string]bool{}
	for _, worker := range c.Workers {
		if !known[worker.Zone] {
			known[worker.Zone] = true
			zones = append(zones, worker.Zone)
		}
	}
	return zones
}

func (c *Cluster) evacuationKey(zone string) rows.Key {
	return rows.Key{Table: c.OperatorTable, Name: evacuationPrefix + zone}
}

// Evacuate marks a zone as evacuated; the store acknowledges the write immediately.
func (c *Cluster) Evacuate(zone string) {
	c.Store.Apply(rows.Transaction{Puts: []rows.Put{{Key: c.evacuationKey(zone), Value: []byte("{}")}}})
	if _, already := c.evacuatedAt[zone]; !already {
		c.evacuatedAt[zone] = c.Clock.Now()
	}
}

// CancelEvacuation ends the evacuation of a zone.
func (c *Cluster) CancelEvacuation(zone string) {
	c.Store.Apply(rows.Transaction{Removes: []rows.Key{c.evacuationKey(zone)}})
	delete(c.evacuatedAt, zone)
}

// Evacuated reports whether a zone is evacuated.
func (c *Cluster) Evacuated(zone string) bool {
	_, evacuated := c.evacuatedAt[zone]
	return evacuated
}

// evacuatedFor returns the time since the evacuation of a zone, or 0 if the zone is not evacuated.
func (c *Cluster) evacuatedFor(zone string) time.Duration {
	since, evacuated := c.evacuatedAt[zone]
	if !evacuated {
		return 0
	}
	return c.Clock.Now().Sub(since)
}
