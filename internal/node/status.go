package node

import (
	"context"

	"github.com/wheatroad/wheatroad/internal/loop"
	"github.com/wheatroad/wheatroad/internal/pool"
)

// Status is a node's state for operators.
type Status struct {
	Name string `json:"name"`
	// Ready is the state reported to the load balancer.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigurationVersion is the version of the node's configuration. ConfigurationAgeMillis is
	// how long ago the configuration was last known to be the newest.
	ConfigurationVersion   int64 `json:"configuration_version"`
	ConfigurationAgeMillis int64 `json:"configuration_age_ms"`
	// StoreAgeMillis is how long ago the store last responded to this node directly.
	StoreAgeMillis int64 `json:"store_age_ms"`
	StoreLost      bool  `json:"store_lost"`
	// EvacuatedZones receive no new work.
	EvacuatedZones []string `json:"evacuated_zones"`
	// Members are the nodes that this node knows. In large clusters this is a sample.
	Members []string `json:"members"`
	// Version is the version of this node's build. MemberVersions counts the known members by the
	// version of their build; the version is empty for builds that state none.
	Version        string         `json:"version"`
	MemberVersions map[string]int `json:"member_versions"`
	Pools          []PoolStatus   `json:"pools"`
}

// PoolStatus is what a node knows of one pool.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Owner string `json:"owner"`
	// Token is the owner's fencing token.
	Token int64 `json:"token"`
	// OwnerFailures counts consecutive failed pings of the owner.
	OwnerFailures int `json:"owner_failures"`
	// Owned is the pool's summary if the node owns it.
	Owned *pool.Summary `json:"owned,omitempty"`
}

// Status returns the node's state. It may be called from any goroutine.
func (n *Node) Status(ctx context.Context) (Status, error) {
	gateway := Gateway{node: n}
	status := Status{
		Name: n.options.Name, Version: n.options.Version, Ready: gateway.Ready(), Stopping: gateway.Stopping(),
		ConfigurationAgeMillis: age(n.confirmedAt.Load()).Milliseconds(),
		StoreAgeMillis:         n.storeAge().Milliseconds(), StoreLost: n.storeLost(),
	}
	if current := n.catalog.Load(); current != nil {
		status.ConfigurationVersion = current.Version
	}
	err := loop.Call(ctx, n.dependencies.Loop, func() {
		status.Members = sortedKeys(n.memberSample.members)
		status.MemberVersions = n.memberSample.versions()
		status.EvacuatedZones = n.evacuated.Zones()
		for _, name := range sortedKeys(n.watchers) {
			status.Pools = append(status.Pools, n.poolStatus(name))
		}
	})
	return status, err
}

func (n *Node) poolStatus(name string) PoolStatus {
	lease := n.leases[name]
	status := PoolStatus{Pool: name, Owner: lease.Owner, Token: lease.version, OwnerFailures: n.watchers[name].failures}
	if owned := n.owned[name]; owned != nil {
		summary := owned.Summary()
		status.Owned = &summary
	}
	return status
}
