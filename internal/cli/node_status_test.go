package cli

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/node"
	"github.com/wheatroad/wheatroad/internal/pool"
)

func TestNodeStatusShowsTenants(t *testing.T) {
	summary := &pool.Summary{Tenants: []pool.TenantStatus{{Tenant: "a", Due: 0.4, Held: 0.5, Used: 0.45, Credit: -0.05, WaitingUnits: 3, LongestWaitMillis: 1200}}}
	var out strings.Builder
	require.NoError(t, printStatus(&out, &node.Status{Pools: []node.PoolStatus{{Pool: "p", Owned: summary}}}, false))
	require.Contains(t, out.String(), "tenant a: due 40.0%, holds 50.0%, used lately 45.0%, credit -5.0%, waiting units 3, longest wait 1200 ms")
}
