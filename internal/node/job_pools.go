package node

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// poolsWithJobs returns the names of all pools that have jobs. If the store can't list partitions,
// these are all pools that this node knows. It may be called from any goroutine.
func (n *Node) poolsWithJobs(ctx context.Context) ([]string, error) {
	partitions, err := n.store.Partitions(ctx, pool.JobTable)
	if errors.Is(err, rows.ErrUnsupported) {
		return n.knownPools(), nil
	}
	if err != nil {
		return nil, storeReadFault(err)
	}
	names := poolsOfPartitions(partitions)
	n.dependencies.Loop.Post(func() { n.watchPools(names) })
	return names, nil
}

// poolsOfPartitions returns the sorted names of the pools of partitions of the job table.
func poolsOfPartitions(partitions []string) []string {
	var names []string
	for _, part := range partitions {
		if name, ok := pool.PoolOfJobPartition(part); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// knownPools returns the sorted names of the pools in the configuration, and of those that this node
// watches. It may be called from any goroutine.
func (n *Node) knownPools() []string {
	var names []string
	if current := n.catalog.Load(); current != nil {
		for i := range current.Pools {
			names = append(names, current.Pools[i].Name)
		}
	}
	names = append(names, n.snapshot.Load().watched...)
	slices.Sort(names)
	return slices.Compact(names)
}

// discoverPools starts watching the pools that have jobs, whether or not the configuration lists
// them. Their jobs need an owner.
func (n *Node) discoverPools() {
	if n.discoveringPools {
		return
	}
	n.discoveringPools = true
	n.ports.Partitions(pool.JobTable, func(partitions []string, err error) {
		n.discoveringPools = false
		switch {
		case errors.Is(err, rows.ErrUnsupported):
		case err != nil:
			n.storeRetries.After(retryPause, n.discoverPools)
		default:
			n.watchPools(poolsOfPartitions(partitions))
		}
	})
}

func (n *Node) watchPools(names []string) {
	for _, name := range names {
		n.watchPool(name)
	}
}
