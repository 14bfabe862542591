package rows

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSendingTakesTime(t *testing.T) {
	require.Zero(t, SendTime(Transaction{}))
	transaction := Transaction{Puts: []Put{{Value: make([]byte, smallLink)}, {Value: make([]byte, 2*smallLink)}}}
	require.InDelta(t, 4*time.Second, SendTime(transaction), float64(time.Millisecond), "a third more in base64")
}
