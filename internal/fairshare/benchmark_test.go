package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheatroad/wheatroad/internal/taskgraph"
)

// BenchmarkTurns measures one cycle's order of the waiting tasks of 67 tenants, of which a thousandth
// is tried, and the tasks' accounts.
func BenchmarkTurns(b *testing.B) {
	const tasks, tenants, triedEvery = 290000, 67, 1000
	all := make([]Item, tasks)
	for i := range all {
		all[i] = Item{Tenant: fmt.Sprint("tenant-", i/100%tenants), Demand: gpus(1), Group: 3 * i / tasks}
	}
	l := newTestLedger()
	b.Run("order", func(b *testing.B) {
		for range b.N {
			turns := l.Turns(all, start)
			for index, _ := turns.Next(); index != NoItem; index, _ = turns.Next() {
				if index%triedEvery == 0 {
					turns.Charge(index)
				}
			}
		}
	})
	b.Run("account", func(b *testing.B) {
		now := start
		for i := range b.N {
			now = now.Add(time.Millisecond)
			l.Take(all[i%tasks].Tenant, taskgraph.Resources{GPUs: 1}, now)
		}
	})
}
