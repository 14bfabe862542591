package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// handleOperatorFeed handles a response of the feed of the operators' rows after its rows are
// applied: the configuration and the evacuations are current as of it.
func (n *Node) handleOperatorFeed(listing rows.Listing, requestedAt time.Time) {
	n.recordConfirmation(listing.AsOf)
	n.applyEvacuations(n.evacuated.Apply(n.evacuationChanges(listing.Rows), listing.Version, requestedAt))
}

// applyEvacuations updates the set of evacuated zones and notifies the owned pools of changes.
func (n *Node) applyEvacuations(next evacuation.Set) {
	previous := n.evacuated
	n.evacuated = previous.Newest(next)
	if n.evacuated.SameZones(previous) {
		return
	}
	n.dependencies.Recorder.LogEvent("evacuated zones read", "zones", n.evacuated.Zones(), "revision", n.evacuated.Revision)
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].EvacuationsChanged()
	}
}

func (n *Node) evacuationChanges(listed []rows.Row) []evacuation.Change {
	return evacuation.ParseChanges(listed, n.dependencies.Codec.ParseEvacuationKey)
}
