package fairshare

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/knowledge"
)

const (
	// sectionName identifies the faded use in an owner's kept knowledge.
	sectionName = "tenant_use"
	// maxSectionBytes bounds the section. On export, the tenants with the least use are left out.
	maxSectionBytes = knowledge.MaxSectionBytes
	// maxStoredAmount bounds each amount that is imported, far above any pool.
	maxStoredAmount = 1e15
	// materialShare is the change of a tenant's use, as a share of the pool, that is worth a write. A
	// smaller one seldom changes whose turn it is.
	materialShare = 0.1
)

var _ knowledge.Section = (*Ledger)(nil)

// storedUse is the exported faded use by tenant, as of the export.
type storedUse struct {
	Used map[string]amount `json:"used"`
}

// Name implements knowledge.Section.
func (l *Ledger) Name() string { return sectionName }

// Export implements knowledge.Section. It exports what was used; what is held is known from the
// placements.
func (l *Ledger) Export(now time.Time) (json.RawMessage, error) {
	stored := storedUse{Used: map[string]amount{}}
	for tenant, a := range l.accounts {
		if !l.negligible(a, now) {
			stored.Used[tenant] = a.fadedAt(now)
		}
	}
	for len(stored.Used) > 0 {
		document, err := json.Marshal(stored)
		if err != nil || len(document) <= maxSectionBytes {
			return document, err
		}
		l.dropLeastUsed(stored.Used)
	}
	return nil, nil
}

// dropLeastUsed removes the half of the tenants that used the least.
func (l *Ledger) dropLeastUsed(used map[string]amount) {
	tenants := slices.SortedFunc(maps.Keys(used), func(a, b string) int {
		return cmp.Or(cmp.Compare(used[a].dominantShare(l.capacity), used[b].dominantShare(l.capacity)), cmp.Compare(a, b))
	})
	for _, tenant := range tenants[:(len(tenants)+1)/2] {
		delete(used, tenant)
	}
}

// Import implements knowledge.Section. What an earlier owner's tenants used is added to what was
// used since.
func (l *Ledger) Import(document json.RawMessage, now time.Time, age time.Duration) error {
	if len(document) > maxSectionBytes {
		return errors.Newf("use of tenants has %d bytes; at most %d are imported", len(document), maxSectionBytes)
	}
	stored, err := parseUse(document)
	if err != nil {
		return err
	}
	for tenant, used := range stored.Used {
		a := l.settle(tenant, now)
		a.faded = a.faded.plus(used.times(remainingAfter(age)))
	}
	return nil
}

// parseUse parses and checks a section.
func parseUse(document json.RawMessage) (storedUse, error) {
	var stored storedUse
	if err := json.Unmarshal(document, &stored); err != nil {
		return storedUse{}, errors.Wrap(err, "use of tenants")
	}
	for tenant, used := range stored.Used {
		if !used.valid() {
			return storedUse{}, errors.Newf("use of tenant %q is out of range", tenant)
		}
	}
	return stored, nil
}

// MateriallyChanged reports whether the current section is worth writing over one that was written the
// given time ago. It is if the use of some tenant differs by more than materialShare of the pool from
// what the next owner would compute from the written section. So time alone makes no difference. While
// the capacity of the pool is not known, nothing is worth a write.
func (l *Ledger) MateriallyChanged(written, current json.RawMessage, elapsed time.Duration) bool {
	// A written section that cannot be read is worth as much as none.
	before, _ := parseUse(written)
	var after storedUse
	if len(current) > 0 {
		var err error
		if after, err = parseUse(current); err != nil {
			return true
		}
	}
	remaining := remainingAfter(elapsed)
	for tenant, used := range before.Used {
		if l.material(used.times(remaining), after.Used[tenant]) {
			return true
		}
	}
	for tenant, used := range after.Used {
		if l.material(before.Used[tenant].times(remaining), used) {
			return true
		}
	}
	return false
}

// material reports whether two amounts of use differ by more than materialShare.
func (l *Ledger) material(a, b amount) bool {
	return a.difference(b).dominantShare(l.capacity) > materialShare
}

// valid reports whether all amounts are within the range of a pool.
func (a amount) valid() bool {
	lowest, highest := min(a.MilliCores, a.MemoryMB, a.GPUs), max(a.MilliCores, a.MemoryMB, a.GPUs)
	return lowest >= 0 && highest <= maxStoredAmount
}
