package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// readJobTable reads the partitions of this pool's jobs, and then those of other pools, and merges
// them into one listing in the order of the rows' versions. Its version is the lowest version of the
// partitions. The other pools' partitions are listed and scanned after this pool's, so that the
// listing holds all rows of a job that are earlier than the job's row in this pool.
func (p *Pool) readJobTable(done func(rows.Listing)) {
	parts := make([]string, jobPartitions)
	for number := range parts {
		parts[number] = jobPartition(p.options.Pool, number)
	}
	p.scanJobPartitions(parts, func(own rows.Listing) {
		p.listOtherPartitions(func(others []string) {
			p.scanJobPartitions(others, func(other rows.Listing) { done(mergeListings(own, other)) })
		})
	})
}

// scanJobPartitions scans partitions of the job table. The listing's version is the lowest version of
// the scans, and 0 if there are none.
func (p *Pool) scanJobPartitions(parts []string, done func(rows.Listing)) {
	merged, remaining := rows.Listing{}, len(parts)
	if remaining == 0 {
		done(merged)
		return
	}
	for _, part := range parts {
		p.scanPartition(JobTable, part, retryDelay, func(listing rows.Listing) {
			merged.Rows = append(merged.Rows, listing.Rows...)
			if merged.Version == 0 || listing.Version < merged.Version {
				merged.Version = listing.Version
			}
			if remaining--; remaining == 0 {
				done(merged)
			}
		})
	}
}

// mergeListings merges the rows of this pool's partitions with those of other pools, if any.
func mergeListings(own, other rows.Listing) rows.Listing {
	merged := rows.Listing{Rows: slices.Concat(own.Rows, other.Rows), Version: own.Version}
	if other.Version > 0 {
		merged.Version = min(own.Version, other.Version)
	}
	slices.SortFunc(merged.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Version, b.Version) })
	return merged
}

// listOtherPartitions lists the partitions of other pools' jobs, and retries with backoff until it
// succeeds.
func (p *Pool) listOtherPartitions(done func([]string)) {
	p.listOtherPartitionsWithRetry(retryDelay, done)
}

func (p *Pool) listOtherPartitionsWithRetry(pause time.Duration, done func([]string)) {
	p.tryListOtherPartitions(func(others []string, err error) {
		if err != nil {
			p.record.Count("retries", "list_partitions")
			p.storeRetries.After(pause, func() { p.listOtherPartitionsWithRetry(nextRetryDelay(pause), done) })
			return
		}
		done(others)
	})
}

// tryListOtherPartitions lists the partitions of other pools' jobs once. If the store can't list
// partitions, the other pools are those of the configuration.
func (p *Pool) tryListOtherPartitions(done func([]string, error)) {
	p.ports.Partitions(JobTable, func(names []string, err error) {
		switch {
		case p.closed:
		case errors.Is(err, rows.ErrUnsupported):
			p.recordStoreAnswer()
			done(p.configuredOtherPartitions(), nil)
		case err != nil:
			done(nil, err)
		default:
			p.recordStoreAnswer()
			done(slices.DeleteFunc(names, p.isOwnOrNoJobPartition), nil)
		}
	})
}

func (p *Pool) isOwnOrNoJobPartition(part string) bool {
	name, ok := PoolOfJobPartition(part)
	return !ok || name == p.options.Pool
}

// configuredOtherPartitions returns the job partitions of the other pools in the configuration.
func (p *Pool) configuredOtherPartitions() []string {
	current := p.options.Catalog()
	if current == nil {
		return nil
	}
	var parts []string
	for i := range current.Pools {
		if name := current.Pools[i].Name; name != p.options.Pool {
			for number := range jobPartitions {
				parts = append(parts, jobPartition(name, number))
			}
		}
	}
	return parts
}
