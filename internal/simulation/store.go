// Package simulation has stand-ins for the platform's store and workers in virtual
// time, with faults, and a judge that watches every run. Tests drive the owner of a
// pool against them.
package simulation

import (
	"sort"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/emulator"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// Store is the table service: rows, conditional transactions and feeds.
type Store struct {
	clock   *emulator.Clock
	rows    map[rows.Key]rows.Row
	changes []rows.Row
	version int64
	// Away lists parts that are not served; All stands for every part.
	Away map[string]bool
	// Silent lists parts that leave transactions undone and unanswered.
	Silent map[string]bool
	// AwayAll is true while nothing is served.
	AwayAll bool
	// Lose decides the fate of each write.
	Lose func() Fate
	// FeedsSilent holds the answers of feeds back.
	FeedsSilent bool
	// ScansSilent leaves scans without an answer.
	ScansSilent bool
	// Latency is the time of a call's way to the store and back.
	Latency time.Duration
	waiters []func()
	// Feeds counts the feeds that were asked for, by table.
	Feeds map[string]int
	// troubledAt is when a call was last refused or left without an answer.
	troubledAt time.Time
}

// Fate is what becomes of a write.
type Fate int

// The fates of writes.
const (
	// Answered writes are done and answered.
	Answered Fate = iota
	// AnswerLost writes are done and not answered.
	AnswerLost
	// DoneLate writes are not answered and done seconds later.
	DoneLate
	// NeverDone writes are neither answered nor done.
	NeverDone
)

// lateBy is how much later a write of the fate DoneLate is done.
const lateBy = 3 * time.Second

// silence is how long a caller waits for an answer that does not come.
const silence = 1500 * time.Millisecond

// NewStore returns an empty store.
func NewStore(clock *emulator.Clock) *Store {
	return &Store{clock: clock, rows: map[rows.Key]rows.Row{}, Away: map[string]bool{}, Silent: map[string]bool{}, Feeds: map[string]int{}, Latency: 5 * time.Millisecond}
}

func (s *Store) away(part string) bool { return s.AwayAll || s.Away[part] }

// Commit applies a transaction and answers through done.
func (s *Store) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	s.clock.After(s.Latency/2, func() {
		if s.away(partOf(transaction)) {
			s.troubledAt = s.clock.Now()
			s.clock.After(s.Latency/2, func() { done(rows.Result{}, rows.ErrRefused) })
			return
		}
		fate := Answered
		if s.Lose != nil {
			fate = s.Lose()
		}
		if s.Silent[partOf(transaction)] {
			fate = NeverDone
		}
		if fate != Answered {
			s.troubledAt = s.clock.Now()
		}
		switch fate {
		case Answered:
			result := s.Apply(transaction)
			s.clock.After(s.Latency/2, func() { done(result, nil) })
			return
		case AnswerLost:
			s.Apply(transaction)
		case DoneLate:
			s.clock.After(lateBy, func() { s.Apply(transaction) })
		}
		s.clock.After(silence, func() { done(rows.Result{}, rows.ErrNoAnswer) })
	})
}

func partOf(transaction rows.Transaction) string {
	switch {
	case len(transaction.Conditions) > 0:
		return transaction.Conditions[0].Part
	case len(transaction.Puts) > 0:
		return transaction.Puts[0].Part
	case len(transaction.Removes) > 0:
		return transaction.Removes[0].Part
	}
	return ""
}

// Apply applies a transaction at once.
func (s *Store) Apply(transaction rows.Transaction) rows.Result {
	holds := true
	var current []rows.Row
	for _, condition := range transaction.Conditions {
		row := s.rows[condition.Key]
		if row.Version > 0 {
			current = append(current, row)
		}
		holds = holds && row.Version == condition.Version
	}
	if !holds {
		return rows.Result{Current: current}
	}
	s.version++
	for _, put := range transaction.Puts {
		row := rows.Row{Key: put.Key, Value: put.Value, Version: s.version}
		s.rows[put.Key] = row
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

// Scan answers with the rows of a part.
func (s *Store) Scan(table, part, prefix string, done func(rows.Listing, error)) {
	s.clock.After(s.Latency, func() {
		if s.away(part) {
			s.troubledAt = s.clock.Now()
			done(rows.Listing{}, rows.ErrRefused)
			return
		}
		if s.ScansSilent {
			s.troubledAt = s.clock.Now()
			s.clock.After(silence, func() { done(rows.Listing{}, rows.ErrNoAnswer) })
			return
		}
		done(s.List(table, part, prefix), nil)
	})
}

// List returns the rows of a part.
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

// Feed answers with the changes of a table as soon as there are any, or without any
// after a wait.
func (s *Store) Feed(table string, after int64, wait time.Duration, done func(rows.Listing, error)) {
	s.Feeds[table]++
	deadline := s.clock.Now().Add(wait)
	s.clock.After(s.Latency, func() { s.poll(table, after, deadline, done) })
}

func (s *Store) poll(table string, after int64, deadline time.Time, done func(rows.Listing, error)) {
	if s.AwayAll {
		s.troubledAt = s.clock.Now()
		done(rows.Listing{}, rows.ErrRefused)
		return
	}
	if s.FeedsSilent {
		s.troubledAt = s.clock.Now()
		s.pollLater(table, after, deadline, done)
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
		done(listing, nil)
		return
	}
	s.pollLater(table, after, deadline, done)
}

// feedLimit bounds the rows of one answer of a feed, those of one transaction together.
const feedLimit = 500

// firstAfter returns the place of the first change after a version.
func (s *Store) firstAfter(version int64) int {
	return sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > version })
}

// pollLater looks again at the next change, and at the deadline at the latest. A silent
// feed is looked at again soon.
func (s *Store) pollLater(table string, after int64, deadline time.Time, done func(rows.Listing, error)) {
	if s.FeedsSilent {
		s.clock.After(silentFeedPause, func() { s.poll(table, after, deadline, done) })
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

// silentFeedPause is the pause between two looks whether feeds are silent still.
const silentFeedPause = 50 * time.Millisecond
