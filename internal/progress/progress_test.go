package progress

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReaderReportsBytesRead(t *testing.T) {
	total := 0
	ctx := WithObserver(context.Background(), func(bytes int) { total += bytes })
	reader := NewReader(ctx, strings.NewReader("abcdef"))
	_, err := io.ReadFull(reader, make([]byte, 4))
	require.NoError(t, err)
	require.Equal(t, 4, total)
	content, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "ef", string(content))
	require.Equal(t, 6, total)
}

func TestReaderWithoutObserverReturnsSource(t *testing.T) {
	source := strings.NewReader("abc")
	require.Same(t, source, NewReader(context.Background(), source))
}

// fullReader fills every buffer.
type fullReader struct{}

func (fullReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

func TestReaderLimitsReadSize(t *testing.T) {
	reported := 0
	ctx := WithObserver(context.Background(), func(bytes int) { reported = bytes })
	_, err := NewReader(ctx, fullReader{}).Read(make([]byte, 1<<20))
	require.NoError(t, err)
	require.Equal(t, maxReadBytes, reported)
}
