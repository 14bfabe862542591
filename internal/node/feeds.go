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

// A feed is a store call that waits for changes of a table and returns as soon as there is one.
// These constants set how long configuration and lease feeds wait. Every store call has a cost, so
// a node whose configuration is confirmed by a pool's owner uses long waits.
const (
	// ownerFeedWait is for owners. It bounds the age of the confirmation that an owner reports to
	// other nodes. The sum of ownerFeedWait and pingPeriod is below staleConfirmationAge.
	ownerFeedWait = 300 * time.Millisecond
	// defaultFeedWait is for nodes whose configuration no owner confirms.
	defaultFeedWait = 500 * time.Millisecond
	longFeedWait    = 15 * time.Second
	// immediateFeedWait is for a feed that should return at once, with or without changes.
	immediateFeedWait = 20 * time.Millisecond
	// staleConfirmationAge is the age from which the configuration's confirmation is stale. The
	// node then queries the store itself. It must be well below MaxConfigurationAge, which is at
	// least 2 s.
	staleConfirmationAge = 900 * time.Millisecond
	// confirmationCheckInterval is the minimum interval between checks for a stale confirmation.
	confirmationCheckInterval = 150 * time.Millisecond
)

// errReadCanceled is the cancellation cause of reads that cancelIdle ends.
var errReadCanceled = errors.New("feed canceled")

// cancelableReads tracks pending feeds and other read-only calls, so that they can be canceled
// while they wait for the store. The methods may be called from any goroutine.
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
// function that unregisters the read.
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
// byte. Reads that have received a byte continue: on a slow link a large response may take longer
// to receive than the interval between cancellations.
func (r *cancelableReads) cancelIdle(minWait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, read := range r.pending {
		if read.wait >= minWait && !read.receiving {
			read.cancel(errReadCanceled)
		}
	}
}

// readCanceled reports whether cancelIdle canceled a read's context.
func readCanceled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errReadCanceled) }

// maxFeedDoublings is enough doublings of feedGrace to reach maxFeedGrace.
const maxFeedDoublings = 4

// currentFeedGrace returns how long the store may take to respond after a feed's wait.
func (n *Node) currentFeedGrace() time.Duration {
	grace := feedGrace
	for range min(n.feedFailures.Load(), maxFeedDoublings) {
		grace *= 2
	}
	return min(grace, maxFeedGrace)
}

// recordFeedResult counts consecutive direct feeds that timed out.
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
	n.updateConfigurationFeed()
	confirmedAge := age(n.confirmedAt.Load())
	if confirmedAge > staleConfirmationAge && !n.storeLost() {
		n.feeds.cancelIdle(longFeedWait)
	}
	// A recent confirmation is next checked when it would become stale. Idle nodes wake up less
	// often this way.
	n.dependencies.Loop.After(max(confirmationCheckInterval, staleConfirmationAge-confirmedAge), n.checkConfirmation)
}

// feedFunc reads the changes of a table after a version. If there are none, it waits for one.
type feedFunc func(table string, after int64, wait time.Duration, done func(rows.Listing, error))

// subscription describes a table whose changes a node follows: one feed after another, each from
// the version that the previous feed returned.
type subscription struct {
	table string
	feed  feedFunc
	// wait returns how long the next feed waits for a change.
	wait  func() time.Duration
	apply func(rows.Row)
	// onResponse is called once the rows of a response are applied; it may be nil. requestedAt is
	// the time of the request.
	onResponse func(listing rows.Listing, requestedAt time.Time)
	// needed reports whether to continue following the table; nil means always.
	needed func() bool
	// onEnd is called when the subscription ends or the table must be read in full again.
	onEnd func()
}

// follow applies the changes of a table after a version, until they are no longer needed or the
// store no longer has the history.
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
