package node

import (
	"encoding/json"
	"math"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// configurationStatus is the version and the age of a node's configuration.
type configurationStatus struct {
	Version int64 `json:"version"`
	// AgeMillis is how long ago the configuration was last known to be the newest.
	AgeMillis int64 `json:"age_ms"`
}

// known reports whether the status tells of a configuration. A node without one reports version 0, and so
// does a reply without a status. An age that is negative or can't be expressed is of no node.
func (s *configurationStatus) known() bool {
	return s.Version > 0 && s.AgeMillis >= 0 && s.AgeMillis <= time.Duration(math.MaxInt64).Milliseconds()
}

// handleConfigurationStatus handles the status reported by the node at an address. The
// confirmation's age is counted from the time of the request. Counted from the reply, the age would
// omit the transit time, and two nodes that confirm each other over slow links would never see the
// confirmation age.
func (n *Node) handleConfigurationStatus(address string, status configurationStatus, requestedAt time.Time) {
	if !status.known() {
		return
	}
	current := n.catalog.Load()
	if current == nil || current.Version < status.Version {
		n.downloadConfiguration(n.downloadAddress(address), status.Version)
		return
	}
	at := requestedAt.Add(-time.Duration(status.AgeMillis) * time.Millisecond)
	n.recordConfirmation(at)
	n.confirmedByPeerAt.Store(&at)
}

// currentConfigurationStatus returns the status that this node reports. It may be called from any
// goroutine.
func (n *Node) currentConfigurationStatus() configurationStatus {
	status := configurationStatus{AgeMillis: age(n.confirmedAt.Load()).Milliseconds()}
	if current := n.catalog.Load(); current != nil {
		status.Version = current.Version
	}
	return status
}

// configurationPollInterval is the interval between polls of other nodes by a node whose
// confirmation is stale.
const configurationPollInterval = 400 * time.Millisecond

// configurationPollAge is the confirmation's age from which a node polls other nodes. It exceeds
// staleConfirmationAge, so that the store has time to respond first.
const configurationPollAge = staleConfirmationAge + 400*time.Millisecond

// pollConfiguration polls other nodes for their configuration status while the store does not
// confirm this node's configuration.
func (n *Node) pollConfiguration() {
	limit := configurationPollAge
	if n.storeLost() || n.isConfigurationFollower() {
		// The store will not respond or is not asked, so there is nothing to wait for.
		limit = staleConfirmationAge
	}
	confirmedAge := age(n.confirmedAt.Load())
	if confirmedAge > limit {
		requestedAt := uptime.Now()
		for _, other := range n.configurationPollTargets() {
			n.callPeer(other.Address, methodConfigurationStatus, struct{}{}, func(document []byte, err error) {
				var status configurationStatus
				if err == nil && json.Unmarshal(document, &status) == nil {
					n.handleConfigurationStatus(other.Address, status, requestedAt)
				}
			})
		}
	}
	n.dependencies.Loop.After(max(configurationPollInterval, staleConfirmationAge-confirmedAge), n.pollConfiguration)
}
