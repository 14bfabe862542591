// Package progress reports the bytes of a response to the caller as they arrive, and extends
// timeouts by them.
package progress

import (
	"context"
	"io"
)

type observerKey struct{}

// WithObserver returns a context for a call whose received bytes are reported to observe, on the
// goroutine that reads them. Observers of the parent context are called too.
func WithObserver(ctx context.Context, observe func(bytes int)) context.Context {
	outer, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return context.WithValue(ctx, observerKey{}, observe)
	}
	return context.WithValue(ctx, observerKey{}, func(bytes int) {
		observe(bytes)
		outer(bytes)
	})
}

// NewReader returns a reader that reports the bytes read from source to the context's observer, or
// source itself if there is none.
func NewReader(ctx context.Context, source io.Reader) io.Reader {
	observe, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return source
	}
	return &observedReader{source: source, observe: observe}
}

// maxReadBytes limits a single read. A chunked reader returns only once the buffer is full, so a
// large buffer would delay the reports by seconds on a slow link.
const maxReadBytes = 8 << 10

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
