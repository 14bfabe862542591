package node

import (
	"slices"
	"time"

	"github.com/wheatroad/wheatroad/internal/evacuation"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// readConfiguration reads the configuration and the evacuated zones, then follows the changes of
// the operators' table, which holds both.
func (n *Node) readConfiguration() {
	codec := n.dependencies.Codec
	key := codec.ConfigurationKey()
	requestedAt := n.now()
	n.ports.scanDirect(key.Table, key.Part, func(listing rows.Listing, err error) {
		if err != nil {
			n.storeRetries.After(retryPause, n.endConfigurationFeed)
			return
		}
		for i := range listing.Rows {
			n.applyConfiguration(listing.Rows[i])
		}
		n.recordConfirmation(listing.AsOf)
		n.applyEvacuations(evacuation.NewSet(n.evacuationChanges(listing.Rows), listing.Version, requestedAt))
		n.follow(subscription{
			table: key.Table, feed: n.ports.feedDirect, wait: n.configurationFeedWait, apply: n.applyConfiguration,
			onResponse: n.handleOperatorFeed, onEnd: n.endConfigurationFeed,
			needed: func() bool { return !n.isConfigurationFollower() },
		}, listing.Version)
	})
}

func (n *Node) applyConfiguration(row rows.Row) {
	if row.Key == n.dependencies.Codec.ConfigurationKey() && !row.Gone {
		n.applyDocument(row.Value, "feed")
	}
}

// applyDocument decodes a configuration and makes it current, unless the current configuration is
// as new or newer.
func (n *Node) applyDocument(content []byte, source string) {
	decoded, err := n.dependencies.Codec.DecodeCatalog(content)
	if err != nil {
		n.dependencies.Recorder.Count("refusals", "configuration_invalid")
		n.dependencies.Recorder.LogEvent("configuration rejected", "source", source, "reason", err.Error())
		return
	}
	if current := n.catalog.Load(); current != nil && decoded.Version <= current.Version {
		return
	}
	decoded.Index()
	n.document.Store(&document{version: decoded.Version, content: content})
	n.catalog.Store(decoded)
	n.dependencies.Recorder.LogEvent("configuration applied", "version", decoded.Version, "source", source, "bytes", len(content))
	for _, name := range decoded.PoolNames() {
		n.watchPool(name)
	}
}

// recordConfirmation records that the current configuration was the newest at the given time.
func (n *Node) recordConfirmation(at time.Time) {
	if known := n.confirmedAt.Load(); known == nil || at.After(*known) {
		n.confirmedAt.Store(&at)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
