package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wheatroad/wheatroad/internal/progress"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// observedStore is the store as this node reaches it directly. Each byte of an answer
// tells that the store is there: small calls may wait behind a large answer for longer
// than they are given. Answers that were given up midway are told of.
type observedStore struct {
	rows.Store
	node *Node
}

// Scan implements rows.Store.
func (s *observedStore) Scan(ctx context.Context, table, part, prefix string) (rows.Listing, error) {
	ctx, ended := s.observe(ctx, table)
	listing, err := s.Store.Scan(ctx, table, part, prefix)
	ended(err)
	return listing, err
}

// Feed implements rows.Store.
func (s *observedStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Listing, error) {
	ctx, ended := s.observe(ctx, table)
	listing, err := s.Store.Feed(ctx, table, after, wait)
	ended(err)
	return listing, err
}

// observe counts the bytes of an answer about a table as they arrive. It returns what to
// do at the answer's end.
func (s *observedStore) observe(ctx context.Context, table string) (context.Context, func(error)) {
	began := time.Now()
	var arrived atomic.Int64
	observed := progress.With(ctx, func(bytes int) {
		arrived.Add(int64(bytes))
		s.node.noteStore(nil)
	})
	return observed, func(err error) {
		if err == nil || arrived.Load() == 0 {
			return
		}
		s.node.edges.Record.Count("answers_given_up", table)
		s.node.edges.Record.Decided("answer given up", "table", table, "bytes", arrived.Load(),
			"after_ms", time.Since(began).Milliseconds(), "reason", err.Error())
	}
}
