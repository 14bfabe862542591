// Package progress lets the one who makes a call see the bytes of its answer arrive.
package progress

import (
	"context"
	"io"
)

type observerKey struct{}

// With returns a context for a call whose answer's bytes are reported to arrived, as they
// come, on the goroutine that reads them. Observers of the given context are told too.
func With(ctx context.Context, observe func(bytes int)) context.Context {
	outer, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return context.WithValue(ctx, observerKey{}, observe)
	}
	return context.WithValue(ctx, observerKey{}, func(bytes int) {
		observe(bytes)
		outer(bytes)
	})
}

// Reader returns a reader that reports what is read from source to the context's
// observer, and source itself if there is none.
func Reader(ctx context.Context, source io.Reader) io.Reader {
	observe, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return source
	}
	return &observedReader{source: source, observe: observe}
}

// maxReadBytes is the most that one read asks for. A reader of chunked answers returns only
// once the buffer is full, so that a large buffer would hide for seconds that bytes arrive.
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
