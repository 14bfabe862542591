package node

import (
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// configurationStatus says how new a node's configuration is.
type configurationStatus struct {
	Version int64 `json:"version"`
	// AgeMillis is how long ago the configuration was known to be the newest.
	AgeMillis int64 `json:"age_ms"`
}

// handleConfigurationStatus takes in what the node at an address knows of the configuration, asked at a
// time. Its age counts from then: counted from the answer it would seem newer by the way,
// and two nodes that tell each other over slow links would never see it age.
func (n *Node) handleConfigurationStatus(address string, status configurationStatus, requestedAt time.Time) {
	current := n.catalog.Load()
	if current == nil || current.Version < status.Version {
		n.downloadConfiguration(address, status.Version)
		return
	}
	at := requestedAt.Add(-time.Duration(status.AgeMillis) * time.Millisecond)
	n.confirm(at)
	n.confirmedByPeer.Store(&at)
}

// currentConfigurationStatus says how new this node's configuration is. It may be called anywhere.
func (n *Node) currentConfigurationStatus() configurationStatus {
	status := configurationStatus{AgeMillis: age(n.confirmed.Load()).Milliseconds()}
	if current := n.catalog.Load(); current != nil {
		status.Version = current.Version
	}
	return status
}

// configurationPollInterval is how often a node without news from the store asks another.
const configurationPollInterval = 400 * time.Millisecond

// configurationPollAge is the age of the configuration's confirmation from which others are asked:
// the store has not answered this node's question by then.
const configurationPollAge = staleConfirmationAge + 400*time.Millisecond

// pollConfiguration asks other nodes for the configuration while the store does
// not tell it.
func (n *Node) pollConfiguration() {
	limit := configurationPollAge
	if n.storeLost() {
		// No answer of the store is under way.
		limit = staleConfirmationAge
	}
	confirmedAge := age(n.confirmed.Load())
	if confirmedAge > limit {
		others := n.otherMembersExcept("")
		requestedAt := uptime.Now()
		for _, other := range others[:min(2, len(others))] {
			n.callPeer(other.Address, methodConfigurationStatus, struct{}{}, func(document []byte, err error) {
				var status configurationStatus
				if err == nil && json.Unmarshal(document, &status) == nil {
					n.handleConfigurationStatus(other.Address, status, requestedAt)
				}
			})
		}
	}
	n.edges.Loop.After(max(configurationPollInterval, staleConfirmationAge-confirmedAge), n.pollConfiguration)
}
