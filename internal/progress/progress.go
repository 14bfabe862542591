// Package progress reports the number of received bytes while a response arrives, and extends the
// timeout of the call when bytes arrive.
package progress

import (
	"context"
	"io"
)

type observerKey struct{}

// WithObserver returns a context for a call. The reader of the response calls observe with the
// number of bytes of each read, and also calls the observers of the parent context.
func WithObserver(ctx context.Context, observe func(bytes int)) context.Context {
	observeParent, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return context.WithValue(ctx, observerKey{}, observe)
	}
	return context.WithValue(ctx, observerKey{}, func(bytes int) {
		observe(bytes)
		observeParent(bytes)
	})
}

// NewReader returns a reader that reads from source and reports the number of bytes to the
// context's observer. If the context has no observer, NewReader returns source itself.
func NewReader(ctx context.Context, source io.Reader) io.Reader {
	observe, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return source
	}
	return &observedReader{source: source, observe: observe}
}

// maxReadBytes limits a single read. The reader of a chunked response returns only once the buffer
// is full. On a slow link a large buffer would delay the reports by seconds.
const maxReadBytes = 8 << 10

// observedReader calls observe after each read from source.
type observedReader struct {
	source  io.Reader
	observe func(bytes int)
}

// Read implements io.Reader.
func (r *observedReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer[:min(len(buffer), maxReadBytes)])
	if count > 0 {
		r.observe(count)
	}
	return count, err
}
