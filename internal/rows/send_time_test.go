package rows

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSendTimeIncludesBase64Overhead(t *testing.T) {
	require.Zero(t, SendTime(Transaction{}))
	transaction := Transaction{Puts: []Put{{Value: make([]byte, sendBytesPerSecond)}, {Value: make([]byte, 2*sendBytesPerSecond)}}}
	require.InDelta(t, 4*time.Second, SendTime(transaction), float64(time.Millisecond), "base64 adds a third")
}
