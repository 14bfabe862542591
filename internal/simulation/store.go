// Package simulation simulates the platform's store and workers in virtual time, with fault
// injection, and checks invariants over all runs. Tests run pool owners against it.
package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Store simulates the table service: rows, conditional transactions and change feeds.
type Store struct {
	clock   *emulator.Clock
	rows    map[rows.Key]rows.Row
	changes []rows.Row
	version int64
	// UnavailablePartitions contains the partitions that refuse calls.
	UnavailablePartitions map[string]bool
	// UnresponsivePartitions contains the partitions that drop transactions without a response.
	UnresponsivePartitions map[string]bool
	// Unavailable makes the store refuse all calls.
	Unavailable bool
	// WriteOutcome chooses the outcome of each write; nil means Acknowledged.
	WriteOutcome func() Outcome
	// KnowledgeWriteOutcome chooses the outcome of each write of kept knowledge in place of
	// WriteOutcome, so that these writes do not change the other faults of a seed.
	KnowledgeWriteOutcome func() Outcome
	// LateWriteDelay returns the delay of a write whose outcome is AppliedLate.
	LateWriteDelay func() time.Duration
	// FeedsUnresponsive withholds the responses of feeds.
	FeedsUnresponsive bool
	// ScansUnresponsive makes scans and listings of partitions time out.
	ScansUnresponsive bool
	// AnswerDelay returns how long the answer to a call takes beyond Latency once the store has carried
	// out the call; nil means no time.
	AnswerDelay func(StoreCall) time.Duration
	// historyStart is the version from which the store has the changes.
	historyStart int64
	// Limits are the limits for transactions. Transactions beyond them are rejected.
	Limits rows.Limits
	// readOnly reports whether callers may not write a table; nil if they may write all tables.
	readOnly func(table string) bool
	// RejectTable is a table that the store does not take; empty for none.
	RejectTable string
	// tables are the tables that have been written.
	tables map[string]bool
	// LargestRows holds the size in bytes of the largest row that was written or rejected, by the kind
	// that pool.KindOf returns.
	LargestRows map[string]int
	// WrittenBytes holds the sum of the sizes in bytes of the rows that were written, by the same kind.
	WrittenBytes map[string]int
	// OnRejection is called with the reason of each rejected transaction; nil means no call.
	OnRejection func(error)
	// Latency is the round-trip time of a call.
	Latency time.Duration
	// TransactionTime is how long a partition takes for a transaction. A partition carries out its
	// transactions one after another. The time is part of Latency for the first of them.
	TransactionTime time.Duration
	// freeAt is when a partition will have carried out the transactions that it has received.
	freeAt map[string]time.Time
	// leases holds the versions of each pool's lease row, rising.
	leases map[string][]int64
	// waiters are called once at the next change.
	waiters []func()
	// Feeds counts the feed calls by table.
	Feeds map[string]int
	// lastFaultAt is when the store last refused a call or left a call unanswered.
	lastFaultAt time.Time
}

// Outcome is the outcome of a write or an order.
type Outcome int

// Outcomes of writes and orders.
const (
	// Acknowledged means applied and acknowledged.
	Acknowledged Outcome = iota
	// AppliedUnacknowledged means applied, with the response lost.
	AppliedUnacknowledged
	// AppliedLate means applied after a delay and never acknowledged.
	AppliedLate
	// Dropped means neither applied nor acknowledged.
	Dropped
)

// defaultLateDelay is the default delay of writes and orders whose outcome is AppliedLate.
const defaultLateDelay = 3 * time.Second

// FixedDelay returns a function that always returns the same delay.
func FixedDelay(delay time.Duration) func() time.Duration {
	return func() time.Duration { return delay }
}

// RandomDelay returns a function that draws a delay from shortest to longest.
func RandomDelay(random *rand.Rand, shortest, longest time.Duration) func() time.Duration {
	return func() time.Duration { return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1)) }
}

// responseTimeout is how long a caller waits for the store's response.
const responseTimeout = 1500 * time.Millisecond

// NewStore returns an empty store.
func NewStore(clock *emulator.Clock) *Store {
	return &Store{clock: clock, rows: map[rows.Key]rows.Row{}, UnavailablePartitions: map[string]bool{}, UnresponsivePartitions: map[string]bool{}, Feeds: map[string]int{}, freeAt: map[string]time.Time{}, leases: map[string][]int64{}, Latency: 5 * time.Millisecond, LateWriteDelay: FixedDelay(defaultLateDelay),
		Limits: rows.DefaultLimits(), LargestRows: map[string]int{}, WrittenBytes: map[string]int{}, tables: map[string]bool{}}
}

func (s *Store) unavailable(part string) bool { return s.Unavailable || s.UnavailablePartitions[part] }

// Commit applies a transaction and passes the result to done.
func (s *Store) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	s.clock.After(s.queueTime(partitionOf(transaction))+s.Latency/2, func() {
		if s.unavailable(partitionOf(transaction)) {
			s.lastFaultAt = s.clock.Now()
			s.clock.After(s.Latency/2, func() { done(rows.Result{}, rows.ErrNoEffect) })
			return
		}
		if err := s.check(&transaction); err != nil {
			s.clock.After(s.Latency/2, func() { done(rows.Result{}, err) })
			return
		}
		outcome := s.writeOutcome(transaction)
		if s.UnresponsivePartitions[partitionOf(transaction)] {
			outcome = Dropped
		}
		if outcome != Acknowledged {
			s.lastFaultAt = s.clock.Now()
		}
		switch outcome {
		case Acknowledged:
			result := s.Apply(transaction)
			call := StoreCall{Kind: CommitCall, Table: tableOf(transaction)}
			s.afterAnswerDelay(call, func() { s.clock.After(s.Latency/2, func() { done(result, nil) }) })
			return
		case AppliedUnacknowledged:
			s.Apply(transaction)
		case AppliedLate:
			s.clock.After(s.LateWriteDelay(), func() { s.Apply(transaction) })
		}
		s.clock.After(responseTimeout, func() { done(rows.Result{}, rows.ErrOutcomeUnknown) })
	})
}

// check returns an error if a transaction exceeds the store's limits.
func (s *Store) check(transaction *rows.Transaction) error {
	for i := range transaction.Puts {
		put := &transaction.Puts[i]
		kind := pool.KindOf(put.Key)
		s.LargestRows[kind] = max(s.LargestRows[kind], len(put.Value))
	}
	err := s.Limits.Check(transaction)
	if err == nil {
		err = s.checkTables(transaction)
	}
	if err != nil && s.OnRejection != nil {
		s.OnRejection(err)
	}
	return err
}

// ErrReadOnly means that a transaction writes a table that callers may not write.
var ErrReadOnly = errors.New("simulation: table is read-only")

// maxTables is the number of tables that the store keeps.
const maxTables = 100

// checkTables returns an error if a transaction writes a table that callers may not write, or more
// tables than the store keeps.
func (s *Store) checkTables(transaction *rows.Transaction) error {
	written := transaction.Removes
	for i := range transaction.Puts {
		written = append(written[:len(written):len(written)], transaction.Puts[i].Key)
	}
	for _, key := range written {
		if s.RejectTable != "" && key.Table == s.RejectTable {
			return rows.Rejected(errors.Newf("table %s is not taken", key.Table))
		}
		if s.readOnly != nil && s.readOnly(key.Table) {
			return rows.Rejected(errors.Wrap(ErrReadOnly, key.Table))
		}
		s.tables[key.Table] = true
	}
	if len(s.tables) > maxTables {
		return rows.Rejected(errors.Newf("more than %d tables", maxTables))
	}
	return nil
}

// queueTime returns how long a transaction that is sent now waits for earlier ones in its partition.
func (s *Store) queueTime(part string) time.Duration {
	now := s.clock.Now()
	startAt := now
	if freeAt := s.freeAt[part]; freeAt.After(now) {
		startAt = freeAt
	}
	s.freeAt[part] = startAt.Add(s.TransactionTime)
	return startAt.Sub(now)
}

func (s *Store) writeOutcome(transaction rows.Transaction) Outcome {
	choose := s.WriteOutcome
	if len(transaction.Puts) > 0 && transaction.Puts[0].Table == pool.KnowledgeTable {
		choose = s.KnowledgeWriteOutcome
	}
	if choose == nil {
		return Acknowledged
	}
	return choose()
}

func partitionOf(transaction rows.Transaction) string { return firstKey(transaction).Part }

func tableOf(transaction rows.Transaction) string { return firstKey(transaction).Table }

// firstKey returns a key of the transaction's partition.
func firstKey(transaction rows.Transaction) rows.Key {
	switch {
	case len(transaction.Conditions) > 0:
		return transaction.Conditions[0].Key
	case len(transaction.Puts) > 0:
		return transaction.Puts[0].Key
	case len(transaction.Removes) > 0:
		return transaction.Removes[0]
	}
	return rows.Key{}
}

// LeaseAt returns the version of a pool's lease row that was in force at a version of the store; 0 if
// there was none. A fencing token of an owner is a version at which the owner's lease row was in force.
func (s *Store) LeaseAt(poolName string, version int64) int64 {
	leases := s.leases[poolName]
	after := sort.Search(len(leases), func(i int) bool { return leases[i] > version })
	if after == 0 {
		return 0
	}
	return leases[after-1]
}

// Apply applies a transaction immediately, regardless of faults.
func (s *Store) Apply(transaction rows.Transaction) rows.Result {
	conditionsHold := true
	var current []rows.Row
	for _, condition := range transaction.Conditions {
		row := s.rows[condition.Key]
		if row.Version > 0 {
			current = append(current, row)
		}
		conditionsHold = conditionsHold && row.Version == condition.Version
	}
	if !conditionsHold {
		return rows.Result{Current: current}
	}
	s.version++
	for _, put := range transaction.Puts {
		row := rows.Row{Key: put.Key, Value: put.Value, Version: s.version}
		s.rows[put.Key] = row
		s.WrittenBytes[pool.KindOf(put.Key)] += len(put.Value)
		if pool.KindOf(put.Key) == "lease" {
			s.leases[put.Key.Part] = append(s.leases[put.Key.Part], s.version)
		}
		s.changes = append(s.changes, row)
	}
	for _, key := range transaction.Removes {
		if _, present := s.rows[key]; present {
			delete(s.rows, key)
			s.changes = append(s.changes, rows.Row{Key: key, Version: s.version, Gone: true})
		}
	}
	waiters := s.waiters
	s.waiters = nil
	for _, wake := range waiters {
		s.clock.After(0, wake)
	}
	return rows.Result{Committed: true, Version: s.version}
}

// Scan passes the rows of a partition to done.
func (s *Store) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	s.clock.After(s.Latency, func() {
		if s.unavailable(part) {
			s.lastFaultAt = s.clock.Now()
			done(rows.Listing{}, rows.ErrNoEffect)
			return
		}
		if s.ScansUnresponsive {
			s.lastFaultAt = s.clock.Now()
			s.clock.After(responseTimeout, func() { done(rows.Listing{}, rows.ErrOutcomeUnknown) })
			return
		}
		listing := s.List(table, part, prefix)
		s.afterAnswerDelay(StoreCall{Kind: ScanCall, Table: table}, func() { done(listing, nil) })
	})
}

// Partitions passes the names of the partitions of a table that have rows to done.
func (s *Store) Partitions(table string, done func([]string, error)) {
	s.clock.After(s.Latency, func() {
		if s.Unavailable {
			s.lastFaultAt = s.clock.Now()
			done(nil, rows.ErrNoEffect)
			return
		}
		if s.ScansUnresponsive {
			s.lastFaultAt = s.clock.Now()
			s.clock.After(responseTimeout, func() { done(nil, rows.ErrOutcomeUnknown) })
			return
		}
		done(s.ListPartitions(table), nil)
	})
}

// ListPartitions returns the sorted names of the partitions of a table that have rows, regardless of
// faults.
func (s *Store) ListPartitions(table string) []string {
	found := map[string]bool{}
	for key := range s.rows {
		if key.Table == table {
			found[key.Part] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// ForgetHistory drops all changes, so that feeds that continue from an earlier version fail.
func (s *Store) ForgetHistory() {
	s.version++
	s.historyStart = s.version
	s.changes = nil
}

// List returns the rows of a partition, regardless of faults.
func (s *Store) List(table, part, prefix string) rows.Listing {
	listing := rows.Listing{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && strings.HasPrefix(key.Name, prefix) {
			listing.Rows = append(listing.Rows, row)
		}
	}
	sort.Slice(listing.Rows, func(i, j int) bool { return listing.Rows[i].Name < listing.Rows[j].Name })
	return listing
}

// Feed passes the changes of a table after a version to done. If there are none, it waits for a
// change, and passes an empty listing after wait.
func (s *Store) Feed(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	s.Feeds[table]++
	deadline := s.clock.Now().Add(wait)
	s.clock.After(s.Latency, func() { s.poll(table, after, deadline, done) })
}

func (s *Store) poll(table string, after int64, deadline time.Time, done func(rows.Listing, error)) {
	if s.Unavailable {
		s.lastFaultAt = s.clock.Now()
		done(rows.Listing{}, rows.ErrNoEffect)
		return
	}
	if s.FeedsUnresponsive {
		s.lastFaultAt = s.clock.Now()
		s.pollOnChange(table, after, deadline, done)
		return
	}
	if after < s.historyStart {
		done(rows.Listing{}, rows.ErrHistoryExpired)
		return
	}
	listing := rows.Listing{Version: s.version}
	for _, row := range s.changes[s.firstAfter(after):] {
		if row.Table != table {
			continue
		}
		if full := len(listing.Rows) >= feedLimit; full && row.Version > listing.Rows[len(listing.Rows)-1].Version {
			listing.Version = listing.Rows[len(listing.Rows)-1].Version
			break
		}
		listing.Rows = append(listing.Rows, row)
	}
	if len(listing.Rows) > 0 || !s.clock.Now().Before(deadline) {
		s.afterAnswerDelay(StoreCall{Kind: FeedCall, Table: table}, func() { done(listing, nil) })
		return
	}
	s.pollOnChange(table, after, deadline, done)
}

// feedLimit is the number of rows after which a feed response ends. A response contains more rows
// if the last transaction exceeds the limit, because a transaction is never split.
const feedLimit = 500

// firstAfter returns the index of the first change after a version.
func (s *Store) firstAfter(version int64) int {
	return sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > version })
}

// pollOnChange polls again at the next change or at the deadline. If feeds are unresponsive, it
// polls again after unresponsiveFeedPollPeriod instead.
func (s *Store) pollOnChange(table string, after int64, deadline time.Time, done func(rows.Listing, error)) {
	if s.FeedsUnresponsive {
		s.clock.After(unresponsiveFeedPollPeriod, func() { s.poll(table, after, deadline, done) })
		return
	}
	answered := false
	again := func() {
		if !answered {
			answered = true
			s.poll(table, after, deadline, done)
		}
	}
	s.waiters = append(s.waiters, again)
	s.clock.At(deadline, again)
}

// unresponsiveFeedPollPeriod is the interval at which a feed checks whether feeds are still
// unresponsive.
const unresponsiveFeedPollPeriod = 50 * time.Millisecond
