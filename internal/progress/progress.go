// Package progress lets the one who makes a call see the bytes of its answer arrive.
package progress

import (
	"context"
	"io"
)

type observerKey struct{}

// With returns a context for a call whose answer's bytes are reported to arrived, as they
// come, on the goroutine that reads them.
func With(ctx context.Context, arrived func(bytes int)) context.Context {
	return context.WithValue(ctx, observerKey{}, arrived)
}

// Reader returns a reader that reports what is read from source to the context's
// observer, and source itself if there is none.
func Reader(ctx context.Context, source io.Reader) io.Reader {
	arrived, ok := ctx.Value(observerKey{}).(func(bytes int))
	if !ok {
		return source
	}
	return &observedReader{source: source, arrived: arrived}
}

type observedReader struct {
	source  io.Reader
	arrived func(bytes int)
}

// Read implements io.Reader.
func (r *observedReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if count > 0 {
		r.arrived(count)
	}
	return count, err
}
