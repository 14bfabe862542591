package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// How long the nodes' own feeds wait for a change. Every call to the store is priced,
// so a node that hears from a pool's owner that its configuration is the newest follows
// the store with long waits; changes arrive at once in any case.
const (
	// ownerFeedWait bounds the age of what an owner tells other nodes. With the period
	// of pings it stays under staleConfirmation.
	ownerFeedWait = 300 * time.Millisecond
	// aloneFeedWait is for nodes that no owner tells.
	aloneFeedWait = 500 * time.Millisecond
	longFeedWait  = 15 * time.Second
	// confirmWait is for a feed that is to be answered at once.
	confirmWait = 20 * time.Millisecond
	// staleConfirmation is the age of the configuration's confirmation from which a node
	// asks the store itself. The least bound of the platform's sites is 2 s.
	staleConfirmation = 900 * time.Millisecond
	// confirmationCheck is the pause between two looks at that age.
	confirmationCheck = 150 * time.Millisecond
)

// errCalledOff ends a feed that waits too long for what is wanted now.
var errCalledOff = errors.New("feed called off")

// openFeeds are feeds, and other calls that only read, which wait for the store, so that
// they can be called off. Its methods may be called anywhere.
type openFeeds struct {
	mutex  sync.Mutex
	serial int
	open   map[int]*openFeed
}

type openFeed struct {
	wait   time.Duration
	cancel context.CancelCauseFunc
	// arriving is true once the answer has begun.
	arriving bool
}

// add returns a context for a feed that waits for up to wait, and what to do at its end.
func (f *openFeeds) add(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.open == nil {
		f.open = map[int]*openFeed{}
	}
	f.serial++
	serial := f.serial
	feed := &openFeed{wait: wait, cancel: cancel}
	f.open[serial] = feed
	observed := progress.With(ctx, func(int) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		feed.arriving = true
	})
	return observed, func() {
		f.mutex.Lock()
		delete(f.open, serial)
		f.mutex.Unlock()
		cancel(nil)
	}
}

// callOff ends the open feeds that wait for as long as least, or longer. One whose answer
// arrives no longer waits: over a small link a large change takes longer than any period
// after which feeds are called off.
func (f *openFeeds) callOff(least time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, feed := range f.open {
		if feed.wait >= least && !feed.arriving {
			feed.cancel(errCalledOff)
		}
	}
}

// calledOff reports whether a feed's context was called off.
func calledOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCalledOff) }

// maxFeedDoublings is more doublings than lead to maxFeedSlack.
const maxFeedDoublings = 4

// feedSlack is how much later than its wait a feed's answer may come.
func (n *Node) feedSlack() time.Duration {
	slack := feedSlack
	for range min(n.feedFailures.Load(), maxFeedDoublings) {
		slack *= 2
	}
	return min(slack, maxFeedSlack)
}

// noteFeed counts direct feeds in a row that got no answer in time.
func (n *Node) noteFeed(err error) {
	if errors.Is(err, rows.ErrNoAnswer) {
		n.feedFailures.Add(1)
		return
	}
	n.feedFailures.Store(0)
}

// configurationWait is how long the next feed of the configuration waits.
func (n *Node) configurationWait() time.Duration {
	switch {
	case age(n.confirmed.Load()) > staleConfirmation:
		return confirmWait
	case len(n.owned) > 0:
		return ownerFeedWait
	case !n.options.Off[mechanism.LongFeeds] && age(n.confirmedByPeer.Load()) < staleConfirmation:
		return longFeedWait
	}
	return aloneFeedWait
}

// checkConfirmation calls off long feeds once nobody confirms the configuration: the
// store is asked at once then.
func (n *Node) checkConfirmation() {
	confirmedAge := age(n.confirmed.Load())
	if confirmedAge > staleConfirmation && !n.storeLost() {
		n.feeds.callOff(longFeedWait)
	}
	// A fresh confirmation is looked at when it would be stale, not each confirmationCheck. With
	// other looks left out like this one an idle node wakes up 21 times a second, 45 before.
	n.edges.Loop.After(max(confirmationCheck, staleConfirmation-confirmedAge), n.checkConfirmation)
}

// feedCall reads the changes of a table after a version, or waits for some.
type feedCall func(table string, after int64, wait time.Duration, done func(rows.Listing, error))

// subscription is a table whose changes a node follows.
type subscription struct {
	table string
	feed  feedCall
	// wait is how long the next feed waits for a change.
	wait  func() time.Duration
	apply func(rows.Row)
	// answered is called after each answer with the time at which it was asked for; nil if nothing
	// is to be done.
	answered func(listing rows.Listing, askedAt time.Time)
	// wanted reports whether the feed goes on; nil is for ever.
	wanted func() bool
	// ended is called once it does not go on, or when the table must be read anew.
	ended func()
}

// follow reads the changes of a table after a version for as long as they are wanted.
func (n *Node) follow(s subscription, after int64) {
	if s.wanted != nil && !s.wanted() {
		s.ended()
		return
	}
	askedAt := n.now()
	s.feed(s.table, after, s.wait(), func(listing rows.Listing, err error) {
		switch {
		case errors.Is(err, rows.ErrHistoryGone):
			n.edges.Record.Count("feed_gaps", s.table)
			n.edges.Record.Decided("feed read anew", "table", s.table, "after", after)
			s.ended()
		case errors.Is(err, errCalledOff):
			n.follow(s, after)
		case err != nil:
			n.edges.Record.Count("retries", "feed")
			n.storeRetries.After(retryPause, func() { n.follow(s, after) })
		default:
			for i := range listing.Rows {
				s.apply(listing.Rows[i])
			}
			if s.answered != nil {
				s.answered(listing, askedAt)
			}
			n.follow(s, listing.Version)
		}
	})
}

// leasesWait is how long a feed of the leases waits.
func (n *Node) leasesWait() time.Duration {
	if n.options.Off[mechanism.LongFeeds] {
		return feedWait
	}
	return longFeedWait
}
