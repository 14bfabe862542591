package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// handleOperatorFeed handles a response to the feed of the operators' table, which holds the
// configuration and the evacuated zones. The response confirms the configuration, whose changes are
// already applied, and updates the evacuated zones.
func (n *Node) handleOperatorFeed(listing rows.Listing, requestedAt time.Time) {
	n.recordConfirmation(listing.AsOf)
	n.applyEvacuations(n.evacuated.Apply(n.evacuationChanges(listing.Rows), listing.Version, requestedAt))
}

// applyEvacuations replaces the set of evacuated zones unless the current set is newer, and
// notifies the owned pools if the zones changed.
func (n *Node) applyEvacuations(next evacuation.Set) {
	previous := n.evacuated
	n.evacuated = previous.Newest(next)
	if n.evacuated.SameZones(previous) {
		return
	}
	n.dependencies.Recorder.LogEvent("evacuated zones changed", "zones", n.evacuated.Zones(), "revision", n.evacuated.Revision)
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].EvacuationsChanged()
	}
}

func (n *Node) evacuationChanges(listed []rows.Row) []evacuation.Change {
	return evacuation.ParseChanges(listed, n.dependencies.Codec.ParseEvacuationKey)
}
