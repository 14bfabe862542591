//go:build review

package rowsite

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer chooses the node for each new connection. Each second it asks each node for its readiness, on a
// connection of its own; a node that misses twice gets no new connections until it answers 200 once more.
type balancer struct {
	site   *site
	mutex  sync.Mutex
	misses map[*node]int
}

const missesUntilOut = 2

func newBalancer(s *site) *balancer {
	b := &balancer{site: s, misses: map[*node]int{}}
	for _, n := range s.nodes {
		go b.watch(n)
	}
	return b
}

func (b *balancer) watch(n *node) {
	for {
		answered := readyOnce(n.ready)
		b.mutex.Lock()
		if answered {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mutex.Unlock()
		time.Sleep(time.Second)
	}
}

func readyOnce(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/readiness", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := caller.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choose returns the node for a connection of a client: one of its zone, or, if none there is in, one of the other
// zones. If none is in at all, it uses all. Retries reach other nodes.
func (b *balancer) choose(client, attempt int) *node {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	nodes := b.site.nodes
	home := nodes[client%len(nodes)]
	if attempt == 0 && b.misses[home] < missesUntilOut {
		return home
	}
	var in []*node
	for _, n := range nodes {
		if n != home && b.misses[n] < missesUntilOut {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = nodes
	}
	return in[(client/len(nodes)+attempt)%len(in)]
}
