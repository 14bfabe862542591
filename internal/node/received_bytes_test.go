package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/rows"
)

func TestReceivedBytesAreCountedByPurpose(t *testing.T) {
	n := newTestNode(t, 1, nil)
	received := map[string]int64{}
	n.dependencies.RecordReceived = func(purpose string, bytes int64) { received[purpose] += bytes }
	response := &observedResponse{node: n.Node, table: "op"}
	response.recordBytes(700)
	response.recordBytes(50)
	_, err := response.finish(rows.Listing{}, nil)
	require.NoError(t, err)
	empty := &observedResponse{node: n.Node, table: "members"}
	_, err = empty.finish(rows.Listing{}, nil)
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"store op": 750}, received)
}
