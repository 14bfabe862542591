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
	// defaultFeedWait is for nodes that no owner tells.
	defaultFeedWait = 500 * time.Millisecond
	longFeedWait    = 15 * time.Second
	// immediateFeedWait is for a feed that is to be answered at once.
	immediateFeedWait = 20 * time.Millisecond
	// staleConfirmationAge is the age of the configuration's confirmation from which a node
	// asks the store itself. The least bound of the platform's sites is 2 s.
	staleConfirmationAge = 900 * time.Millisecond
	// confirmationCheckInterval is the pause between two looks at that age.
	confirmationCheckInterval = 150 * time.Millisecond
)

// errFeedCanceled ends a feed that waits too long for what is wanted now.
var errFeedCanceled = errors.New("feed called off")

// cancelableReads are feeds, and other calls that only read, which wait for the store, so that
// they can be called off. Its methods may be called anywhere.
type cancelableReads struct {
	mutex   sync.Mutex
	lastID  int
	pending map[int]*cancelableRead
}

type cancelableRead struct {
	wait   time.Duration
	cancel context.CancelCauseFunc
	// receiving is true once the answer has begun.
	receiving bool
}

// add returns a context for a feed that waits for up to wait, and what to do at its end.
func (f *cancelableReads) add(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.pending == nil {
		f.pending = map[int]*cancelableRead{}
	}
	f.lastID++
	id := f.lastID
	read := &cancelableRead{wait: wait, cancel: cancel}
	f.pending[id] = read
	observed := progress.With(ctx, func(int) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		read.receiving = true
	})
	return observed, func() {
		f.mutex.Lock()
		delete(f.pending, id)
		f.mutex.Unlock()
		cancel(nil)
	}
}

// cancelIdle ends the open feeds that wait for as long as least, or longer. One whose answer
// arrives no longer waits: over a small link a large change takes longer than any period
// after which feeds are called off.
func (f *cancelableReads) cancelIdle(minWait time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, feed := range f.pending {
		if feed.wait >= minWait && !feed.receiving {
			feed.cancel(errFeedCanceled)
		}
	}
}

// feedCanceled reports whether a feed's context was called off.
func feedCanceled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errFeedCanceled) }

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

// recordFeedResult counts direct feeds in a row that got no answer in time.
func (n *Node) recordFeedResult(err error) {
	if errors.Is(err, rows.ErrNoAnswer) {
		n.feedFailures.Add(1)
		return
	}
	n.feedFailures.Store(0)
}

// configurationFeedWait is how long the next feed of the configuration waits.
func (n *Node) configurationFeedWait() time.Duration {
	switch {
	case age(n.confirmed.Load()) > staleConfirmationAge:
		return immediateFeedWait
	case len(n.owned) > 0:
		return ownerFeedWait
	case !n.options.Off[mechanism.LongFeeds] && age(n.confirmedByPeer.Load()) < staleConfirmationAge:
		return longFeedWait
	}
	return defaultFeedWait
}

// checkConfirmation calls off long feeds once nobody confirms the configuration: the
// store is asked at once then.
func (n *Node) checkConfirmation() {
	confirmedAge := age(n.confirmed.Load())
	if confirmedAge > staleConfirmationAge && !n.storeLost() {
		n.feeds.cancelIdle(longFeedWait)
	}
	// A fresh confirmation is looked at when it would be stale, not each confirmationCheck. With
	// other looks left out like this one an idle node wakes up 21 times a second, 45 before.
	n.edges.Loop.After(max(confirmationCheckInterval, staleConfirmationAge-confirmedAge), n.checkConfirmation)
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
	// onAnswer is called after each answer with the time at which it was asked for; nil if nothing
	// is to be done.
	onAnswer func(listing rows.Listing, requestedAt time.Time)
	// needed reports whether the feed goes on; nil is for ever.
	needed func() bool
	// onEnd is called once it does not go on, or when the table must be read anew.
	onEnd func()
}

// follow reads the changes of a table after a version for as long as they are wanted.
func (n *Node) follow(s subscription, after int64) {
	if s.needed != nil && !s.needed() {
		s.onEnd()
		return
	}
	requestedAt := n.now()
	s.feed(s.table, after, s.wait(), func(listing rows.Listing, err error) {
		switch {
		case errors.Is(err, rows.ErrHistoryGone):
			n.edges.Record.Count("feed_gaps", s.table)
			n.edges.Record.Decided("feed read anew", "table", s.table, "after", after)
			s.onEnd()
		case errors.Is(err, errFeedCanceled):
			n.follow(s, after)
		case err != nil:
			n.edges.Record.Count("retries", "feed")
			n.storeRetries.After(retryPause, func() { n.follow(s, after) })
		default:
			for i := range listing.Rows {
				s.apply(listing.Rows[i])
			}
			if s.onAnswer != nil {
				s.onAnswer(listing, requestedAt)
			}
			n.follow(s, listing.Version)
		}
	})
}

// leaseFeedWait is how long a feed of the leases waits.
func (n *Node) leaseFeedWait() time.Duration {
	if n.options.Off[mechanism.LongFeeds] {
		return feedWait
	}
	return longFeedWait
}
