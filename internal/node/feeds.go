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

// How long feeds wait for a change. Every call to the store has a cost, so a node whose
// configuration is confirmed by a pool's owner uses long waits. Changes end a wait at once.
const (
	// ownerFeedWait bounds the age of the confirmation that an owner reports to other nodes.
	// Together with pingPeriod it stays below staleConfirmationAge.
	ownerFeedWait = 300 * time.Millisecond
	// defaultFeedWait is for nodes whose configuration no owner confirms.
	defaultFeedWait = 500 * time.Millisecond
	longFeedWait    = 15 * time.Second
	// immediateFeedWait is for a feed that should be answered at once.
	immediateFeedWait = 20 * time.Millisecond
	// staleConfirmationAge is the age of the configuration's confirmation from which a node queries
	// the store itself. The strictest site allows an age of 2 s.
	staleConfirmationAge = 900 * time.Millisecond
	// confirmationCheckInterval is the interval between checks of that age.
	confirmationCheckInterval = 150 * time.Millisecond
)

// errReadCanceled is the cause of reads that cancelIdle ends.
var errReadCanceled = errors.New("feed canceled")

// cancelableReads are the pending feeds and other read-only calls, which can be canceled while they
// wait for the store. Its methods may be called from any goroutine.
type cancelableReads struct {
	mutex   sync.Mutex
	lastID  int
	pending map[int]*cancelableRead
}

type cancelableRead struct {
	wait   time.Duration
	cancel context.CancelCauseFunc
	// receiving is true once the first byte of the response has arrived.
	receiving bool
}

// add registers a read that waits for up to wait. It returns the context for the read and a
// function that unregisters it.
func (r *cancelableReads) add(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pending == nil {
		r.pending = map[int]*cancelableRead{}
	}
	r.lastID++
	id := r.lastID
	read := &cancelableRead{wait: wait, cancel: cancel}
	r.pending[id] = read
	observed := progress.WithObserver(ctx, func(int) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		read.receiving = true
	})
	return observed, func() {
		r.mutex.Lock()
		delete(r.pending, id)
		r.mutex.Unlock()
		cancel(nil)
	}
}

// cancelIdle cancels the pending reads that wait for minWait or longer and have not received a
// byte. On a slow link a large response may take longer to receive than any interval between
// cancellations.
func (r *cancelableReads) cancelIdle(minWait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, read := range r.pending {
		if read.wait >= minWait && !read.receiving {
			read.cancel(errReadCanceled)
		}
	}
}

// readCanceled reports whether a read's context was canceled by cancelIdle.
func readCanceled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errReadCanceled) }

// maxFeedDoublings is enough doublings to reach maxFeedSlack.
const maxFeedDoublings = 4

// currentFeedGrace returns how long after its wait a feed may still be answered.
func (n *Node) currentFeedGrace() time.Duration {
	grace := feedGrace
	for range min(n.feedFailures.Load(), maxFeedDoublings) {
		grace *= 2
	}
	return min(grace, maxFeedGrace)
}

// recordFeedResult counts consecutive direct feeds that were not answered in time.
func (n *Node) recordFeedResult(err error) {
	if errors.Is(err, rows.ErrOutcomeUnknown) {
		n.feedFailures.Add(1)
		return
	}
	n.feedFailures.Store(0)
}

// configurationFeedWait returns the wait of the next configuration feed.
func (n *Node) configurationFeedWait() time.Duration {
	switch {
	case age(n.confirmedAt.Load()) > staleConfirmationAge:
		return immediateFeedWait
	case len(n.owned) > 0:
		return ownerFeedWait
	case !n.options.DisabledMechanisms[mechanism.LongFeedPolls] && age(n.confirmedByPeerAt.Load()) < staleConfirmationAge:
		return longFeedWait
	}
	return defaultFeedWait
}

// checkConfirmation cancels long feeds once the configuration's confirmation is stale, so that the
// store is queried at once.
func (n *Node) checkConfirmation() {
	confirmedAge := age(n.confirmedAt.Load())
	if confirmedAge > staleConfirmationAge && !n.storeLost() {
		n.feeds.cancelIdle(longFeedWait)
	}
	// A recent confirmation is next checked when it can become stale, which saves wakeups of idle
	// nodes.
	n.dependencies.Loop.After(max(confirmationCheckInterval, staleConfirmationAge-confirmedAge), n.checkConfirmation)
}

// feedCall reads the changes of a table after a version, or waits for one.
type feedCall func(table string, after int64, wait time.Duration, done func(rows.Listing, error))

// subscription is a table whose changes a node follows.
type subscription struct {
	table string
	feed  feedCall
	// wait returns how long the next feed waits for a change.
	wait  func() time.Duration
	apply func(rows.Row)
	// onResponse is called after each response with the time of the request; it may be nil.
	onResponse func(listing rows.Listing, requestedAt time.Time)
	// needed reports whether to continue; nil means always.
	needed func() bool
	// onEnd is called when the subscription ends or the table must be read in full again.
	onEnd func()
}

// follow applies the changes of a table after a version while they are needed.
func (n *Node) follow(s subscription, after int64) {
	if s.needed != nil && !s.needed() {
		s.onEnd()
		return
	}
	requestedAt := n.now()
	s.feed(s.table, after, s.wait(), func(listing rows.Listing, err error) {
		switch {
		case errors.Is(err, rows.ErrHistoryExpired):
			n.dependencies.Recorder.Count("feed_gaps", s.table)
			n.dependencies.Recorder.LogEvent("feed history expired", "table", s.table, "after", after)
			s.onEnd()
		case errors.Is(err, errReadCanceled):
			n.follow(s, after)
		case err != nil:
			n.dependencies.Recorder.Count("retries", "feed")
			n.storeRetries.After(retryPause, func() { n.follow(s, after) })
		default:
			for i := range listing.Rows {
				s.apply(listing.Rows[i])
			}
			if s.onResponse != nil {
				s.onResponse(listing, requestedAt)
			}
			n.follow(s, listing.Version)
		}
	})
}

// leaseFeedWait returns the wait of the next lease feed.
func (n *Node) leaseFeedWait() time.Duration {
	if n.options.DisabledMechanisms[mechanism.LongFeedPolls] {
		return feedWait
	}
	return longFeedWait
}
