package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/store"
)

// watch reads the control rows that changed since the last read.
func (n *Node) watch(done func()) {
	sent := n.loop.Now()
	n.ports.Scan(controlPrefix, n.watchRevision, func(result store.ScanResult, err error) {
		defer done()
		if err != nil {
			n.record.Count(CounterTable, "watch_failed")
			return
		}
		n.board.UpdatedAt = sent
		n.watchRevision = max(result.Revision, 1)
		for _, row := range result.Rows {
			n.applyRow(row, sent)
		}
		n.applyConfiguration()
		n.considerOwnership()
		n.publish()
	})
}

func (n *Node) applyRow(row store.Row, seen time.Time) {
	switch {
	case strings.HasPrefix(row.Key, memberPrefix):
		observe(n.board.Members, strings.TrimPrefix(row.Key, memberPrefix), row, seen)
	case strings.HasPrefix(row.Key, leasePrefix):
		observe(n.board.Leases, strings.TrimPrefix(row.Key, leasePrefix), row, seen)
		n.checkOwnLease(strings.TrimPrefix(row.Key, leasePrefix))
	case strings.HasPrefix(row.Key, epochPrefix):
		domain := strings.TrimPrefix(row.Key, epochPrefix)
		n.board.EpochRevisions[domain] = row.Revision
		var epoch int64
		if json.Unmarshal(row.Value, &epoch) == nil {
			n.board.EpochValues[domain] = epoch
		}
	case strings.HasPrefix(row.Key, configPrefix):
		n.applyConfigurationRow(row)
	}
}

// observe enters a row that changed, or removes one that was deleted.
func observe[T any](into map[string]*blackboard.Observed[T], name string, row store.Row, seen time.Time) {
	if row.Deleted {
		delete(into, name)
		return
	}
	known, ok := into[name]
	if ok && known.Revision >= row.Revision {
		return
	}
	var value T
	if json.Unmarshal(row.Value, &value) != nil {
		return
	}
	into[name] = &blackboard.Observed[T]{Value: value, Revision: row.Revision, ChangedAt: seen}
}

// Head is the row that names the configuration in force.
type Head struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Write tells one confirmation from another.
	Write string `json:"write"`
}

func (n *Node) applyConfigurationRow(row store.Row) {
	switch {
	case row.Key == headKey:
		var head Head
		if json.Unmarshal(row.Value, &head) != nil {
			return
		}
		if row.Revision >= n.board.HeadRevision {
			n.head = head
			n.board.HeadRevision = row.Revision
		}
	case row.Key == racksKey:
		n.rackRow = nil
		if !row.Deleted && json.Unmarshal(row.Value, &n.rackRow) != nil {
			n.rackRow = nil
		}
	case strings.HasPrefix(row.Key, tenantPrefix):
		name := strings.TrimPrefix(row.Key, tenantPrefix)
		var tenant declaration.Tenant
		if row.Deleted || json.Unmarshal(row.Value, &tenant) != nil {
			delete(n.tenantRows, name)
			return
		}
		n.tenantRows[name] = tenant
	}
}

// applyConfiguration puts a newer configuration in force. A scan is one consistent
// read, so the tenants' rows belong to the head that came with them.
func (n *Node) applyConfiguration() {
	older := n.head.Version <= n.board.Configuration.Version
	if older && !n.options.Mechanisms.WithoutConfigurationVersions {
		return
	}
	if n.head.Version == n.board.Configuration.Version {
		return
	}
	declared := declaration.Declaration{DrainedRacks: append([]string(nil), n.rackRow...)}
	for _, name := range sortedKeys(n.tenantRows) {
		declared.Tenants = append(declared.Tenants, n.tenantRows[name])
	}
	declared.Normalize()
	n.board.Configuration = declaration.Configuration{
		Version: n.head.Version, Digest: n.head.Digest, Declaration: declared,
	}
	n.record.LogStateChange("configuration in force", "version", n.head.Version)
	for _, name := range sortedKeys(n.domains) {
		n.domains[name].configure()
	}
	n.member.now()
}
