package node

import (
	"math/rand/v2"
	"time"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// Regions share links of limited bandwidth, and the store is in one region. In a cluster of several
// regions only the owners and the candidates therefore read the configuration from the store. All
// other nodes are followers: they learn of a new version from the owner's ping replies and download
// it from a candidate of their own region.

const (
	// sampleWait is how long a node that starts waits for its first member sample, which tells
	// whether the node is a follower.
	sampleWait = 500 * time.Millisecond
	// fallbackShare is the share of MaxConfigurationAge after which a follower without confirmation
	// reads the store itself, and fallbackJitterShare the largest addition. Followers do not fall
	// back together, since reading all at once would fill the link.
	fallbackShare       = 0.5
	fallbackJitterShare = 0.2
)

// newFallbackAge returns the age of the confirmation from which a follower reads the store.
func newFallbackAge(maxConfigurationAge time.Duration) time.Duration {
	share := fallbackShare + fallbackJitterShare*rand.Float64()
	return time.Duration(share * float64(maxConfigurationAge))
}

// updateConfigurationFeed starts to read the configuration from the store unless this node is a
// follower. It must be called when the answer of isConfigurationFollower may have changed.
func (n *Node) updateConfigurationFeed() {
	switch {
	case n.startedAt.IsZero():
	case n.isConfigurationFollower():
		n.watchStore()
	case !n.readingConfiguration:
		n.readingConfiguration = true
		n.readConfiguration()
	}
}

// endConfigurationFeed is called when the feed of the operators' table has ended.
func (n *Node) endConfigurationFeed() {
	n.readingConfiguration = false
	n.updateConfigurationFeed()
}

// reachabilityTable is an empty table. A follower keeps a feed of it open, which shows at once when
// the store fails for this node, as the feed of the operators' table does on other nodes.
const reachabilityTable = "reachability"

// watchStore keeps a feed of reachabilityTable open while this node is a follower.
func (n *Node) watchStore() {
	if n.watchingStore {
		return
	}
	n.watchingStore = true
	n.ports.scanDirect(reachabilityTable, "", func(listing rows.Listing, err error) {
		if err != nil {
			n.storeRetries.After(retryPause, n.endStoreWatch)
			return
		}
		n.follow(subscription{
			table: reachabilityTable, feed: n.ports.feedDirect, wait: n.reachabilityFeedWait, apply: func(rows.Row) {},
			needed: n.isConfigurationFollower, onEnd: n.endStoreWatch,
		}, listing.Version)
	})
}

// endStoreWatch is called when the feed of reachabilityTable has ended.
func (n *Node) endStoreWatch() {
	n.watchingStore = false
	n.updateConfigurationFeed()
}

// reachabilityFeedWait returns the wait of the next feed of reachabilityTable.
func (n *Node) reachabilityFeedWait() time.Duration {
	return max(defaultFeedWait, n.configurationFeedWait())
}

// isConfigurationFollower reports whether this node gets the configuration from other nodes of its
// region instead of the store.
func (n *Node) isConfigurationFollower() bool {
	if !n.options.SeveralRegions || len(n.owned) > 0 {
		return false
	}
	sinceStart := n.now().Sub(n.startedAt)
	if n.memberSample.readAt.IsZero() {
		return sinceStart < sampleWait
	}
	if n.memberSample.isCandidate(n.options.Name) || len(n.configurationSources()) == 0 {
		return false
	}
	return min(sinceStart, age(n.confirmedAt.Load())) < n.fallbackAge
}

// configurationSources returns the candidates of this node's region, in random order.
func (n *Node) configurationSources() []member {
	var sources []member
	for _, candidate := range n.candidatesExcept("") {
		if candidate.Region == n.options.Region {
			sources = append(sources, candidate)
		}
	}
	return sources
}

// downloadAddress returns the address of the node from which to download a version that the node at
// the given address has reported.
func (n *Node) downloadAddress(reportedBy string) string {
	sources := n.configurationSources()
	if len(sources) == 0 || !n.isConfigurationFollower() {
		return reportedBy
	}
	for _, source := range sources {
		if source.Address == reportedBy {
			return reportedBy
		}
	}
	return sources[0].Address
}

// configurationPollTargets returns the nodes whose configuration status this node polls.
func (n *Node) configurationPollTargets() []member {
	targets := n.otherMembersExcept("")
	if n.isConfigurationFollower() {
		targets = n.configurationSources()
	}
	return targets[:min(configurationPollCount, len(targets))]
}

// configurationPollCount is the number of nodes that a poll asks.
const configurationPollCount = 2
