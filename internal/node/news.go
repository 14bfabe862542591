package node

import (
	"encoding/json"
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// catalogNews says how new a node's configuration is.
type catalogNews struct {
	Version int64 `json:"version"`
	// AgeMillis is how long ago the configuration was known to be the newest.
	AgeMillis int64 `json:"age_ms"`
}

// takeNews takes in what the node at an address knows of the configuration, asked at a
// time. Its age counts from then: counted from the answer it would seem newer by the way,
// and two nodes that tell each other over slow links would never see it age.
func (n *Node) takeNews(address string, news catalogNews, askedAt time.Time) {
	current := n.catalog.Load()
	if current == nil || current.Version < news.Version {
		n.downloadConfiguration(address, news.Version)
		return
	}
	at := askedAt.Add(-time.Duration(news.AgeMillis) * time.Millisecond)
	n.confirm(at)
	n.confirmedByPeer.Store(&at)
}

// news says how new this node's configuration is. It may be called anywhere.
func (n *Node) news() catalogNews {
	news := catalogNews{AgeMillis: age(n.confirmed.Load()).Milliseconds()}
	if current := n.catalog.Load(); current != nil {
		news.Version = current.Version
	}
	return news
}

// seekPeriod is how often a node without news from the store asks another.
const seekPeriod = 400 * time.Millisecond

// seekAge is the age of the configuration's confirmation from which others are asked:
// the store has not answered this node's question by then.
const seekAge = staleConfirmationAge + 400*time.Millisecond

// seekConfiguration asks other nodes for the configuration while the store does
// not tell it.
func (n *Node) seekConfiguration() {
	limit := seekAge
	if n.storeLost() {
		// No answer of the store is under way.
		limit = staleConfirmationAge
	}
	confirmedAge := age(n.confirmed.Load())
	if confirmedAge > limit {
		others := n.otherMembersExcept("")
		askedAt := uptime.Now()
		for _, other := range others[:min(2, len(others))] {
			n.callPeer(other.Address, methodNews, struct{}{}, func(document []byte, err error) {
				var news catalogNews
				if err == nil && json.Unmarshal(document, &news) == nil {
					n.takeNews(other.Address, news, askedAt)
				}
			})
		}
	}
	n.edges.Loop.After(max(seekPeriod, staleConfirmationAge-confirmedAge), n.seekConfiguration)
}
