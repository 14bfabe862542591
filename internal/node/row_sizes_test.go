package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// maxNodeRowBytes bounds the rows of nodes and leases, of which there are many or which are written often.
const maxNodeRowBytes = 1000

// TestRowsOfNodesStaySmall: member and lease rows stay within their bound with the longest names that
// settings allow.
func TestRowsOfNodesStaySmall(t *testing.T) {
	g := newGateway(t, newFakeStore())
	n := g.node
	longest := strings.Repeat("n", 63)
	n.options.Name, n.options.Region, n.options.Version = longest, longest, longest
	n.options.Incarnation, n.options.PeerAddress = strings.Repeat("f", 32), strings.Repeat("a", 64)
	limits := rows.DefaultLimits()
	limits.RowBytes = maxNodeRowBytes
	self := n.self()
	join := rows.Transaction{}
	for _, key := range n.memberRowKeys() {
		join.Puts = append(join.Puts, rows.Put{Key: key, Value: pool.Encode(self)})
	}
	require.NoError(t, limits.Check(&join))
	lease := pool.Acquire(n.poolOptions(strings.Repeat("p", 180)), 1, n.options.Incarnation+"/999999")
	require.NoError(t, limits.Check(&lease))
}
