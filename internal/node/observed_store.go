package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

// observedStore makes this node's direct calls to the store. It records each received byte as a
// sign that the store is reachable, since small calls may time out behind a large response. It also
// logs responses that were abandoned midway.
type observedStore struct {
	rows.Store
	node *Node
}

// Commit implements rows.Store.
func (s *observedStore) Commit(ctx context.Context, transaction rows.Transaction) (rows.Result, error) {
	requestedAt := uptime.Now()
	result, err := s.Store.Commit(ctx, transaction)
	s.recordLatency(requestedAt, err)
	return result, err
}

// recordLatency records the latency of a successful call.
func (s *observedStore) recordLatency(requestedAt time.Time, err error) {
	if err == nil {
		now := uptime.Now()
		s.node.storeLatency.record(now, now.Sub(requestedAt))
	}
}

// Scan implements rows.Store.
func (s *observedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	ctx, response := s.observe(ctx, table)
	listing, err := s.Store.Scan(ctx, table, part, prefix)
	s.recordLatency(response.requestedAt, err)
	return response.finish(listing, err)
}

// Page implements rows.Store.
func (s *observedStore) Page(ctx context.Context, table, part, from string, limit int) (rows.Listing, error) {
	ctx, response := s.observe(ctx, table)
	listing, err := s.Store.Page(ctx, table, part, from, limit)
	s.recordLatency(response.requestedAt, err)
	return response.finish(listing, err)
}

// Partitions implements rows.Store.
func (s *observedStore) Partitions(ctx context.Context, table string) ([]string, error) {
	ctx, response := s.observe(ctx, table)
	names, err := s.Store.Partitions(ctx, table)
	s.recordLatency(response.requestedAt, err)
	_, err = response.finish(rows.Listing{}, err)
	return names, err
}

// Feed implements rows.Store.
func (s *observedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	ctx, response := s.observe(ctx, table)
	listing, err := s.Store.Feed(ctx, table, after, wait)
	return response.finish(listing, err)
}

// observe returns a context that tracks the response to a call about a table.
func (s *observedStore) observe(ctx context.Context, table string) (context.Context, *observedResponse) {
	response := &observedResponse{node: s.node, table: table, requestedAt: uptime.Now()}
	return progress.WithObserver(ctx, response.recordBytes), response
}

// observedResponse tracks the receipt of one response.
type observedResponse struct {
	node        *Node
	table       string
	requestedAt time.Time
	bytes       atomic.Int64
	// firstByteAt is when the first byte was received.
	firstByteAt atomic.Pointer[time.Time]
}

// recordReceived counts the bytes of a response by purpose.
func (n *Node) recordReceived(purpose string, bytes int64) {
	if record := n.dependencies.RecordReceived; record != nil && bytes > 0 {
		record(purpose, bytes)
	}
}

func (r *observedResponse) recordBytes(bytes int) {
	r.bytes.Add(int64(bytes))
	now := uptime.Now()
	r.firstByteAt.CompareAndSwap(nil, &now)
	r.node.recordStoreResult(nil)
}

// finish sets a listing's AsOf to the arrival of the first byte. The store had composed the listing
// by then, however long the other bytes took to arrive.
func (r *observedResponse) finish(listing rows.Listing, err error) (rows.Listing, error) {
	firstByteAt := r.firstByteAt.Load()
	listing.AsOf = uptime.Now()
	if firstByteAt != nil {
		listing.AsOf = *firstByteAt
	}
	r.node.recordReceived("store "+r.table, r.bytes.Load())
	if err != nil && firstByteAt != nil {
		r.node.dependencies.Recorder.Count("answers_given_up", r.table)
		r.node.dependencies.Recorder.LogEvent("store response abandoned", "table", r.table, "bytes", r.bytes.Load(),
			"after_ms", uptime.Since(r.requestedAt).Milliseconds(), "reason", err.Error())
	}
	return listing, err
}
