package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// handleOperatorFeed takes in an answer of the feed of the operators' rows, whose rows are
// applied: the configuration and the evacuations are known as of it.
func (n *Node) handleOperatorFeed(listing rows.Listing, requestedAt time.Time) {
	n.confirm(listing.AsOf)
	n.applyEvacuations(n.evacuated.With(n.evacuationChanges(listing.Rows), listing.Version, requestedAt))
}

// applyEvacuations takes in what is known of evacuated zones, and tells this node's pools of
// changes at once.
func (n *Node) applyEvacuations(next evacuation.Set) {
	previous := n.evacuated
	n.evacuated = previous.Newest(next)
	if n.evacuated.SameZones(previous) {
		return
	}
	n.edges.Record.Decided("evacuated zones read", "zones", n.evacuated.Zones(), "revision", n.evacuated.Revision)
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].NoteEvacuations()
	}
}

func (n *Node) evacuationChanges(listed []rows.Row) []evacuation.Change {
	return evacuation.Changes(listed, n.edges.Codec.EvacuatedZone)
}
