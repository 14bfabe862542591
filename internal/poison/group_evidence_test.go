package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gangBesideTask is a gang of which several members run on one worker, beside one other task.
type gangBesideTask struct {
	tracker *LossTracker
	members []*History
	task    *History
}

func newGangBesideTask(members int) gangBesideTask {
	b := gangBesideTask{tracker: newTestTracker(12), task: newHistory()}
	// One in 40 tasks crashes its workers.
	b.tracker.prior = prior{started: 4 * priorWeight, poison: 5 * priorWeight * 0.025}
	gang := NewGroup()
	for range members {
		b.members = append(b.members, gang.NewHistory(nil))
	}
	return b
}

func (b *gangBesideTask) loseWorker(when float64) {
	loseWorker(b.tracker, when, 12*time.Millisecond, append([]*History{b.task}, b.members...)...)
}

// TestGangMembersAreOneSuspect guards against healthy gangs that fail because each of their members
// on a worker was weighed as a suspect of its own (soak seed 920100). A gang and a task that are
// always lost together can't be told apart, so neither may be much likelier than the other.
func TestGangMembersAreOneSuspect(t *testing.T) {
	const evenOdds = 1.5
	for _, members := range []int{1, 2, 6} {
		for _, others := range []int{0, 5} {
			t.Run(fmt.Sprintf("%d members, %d other losses", members, others), func(t *testing.T) {
				b := newGangBesideTask(members)
				for n := range others {
					loseWorker(b.tracker, float64(n)/10, 2*time.Second, newHistory())
				}
				b.loseWorker(0.6)
				b.loseWorker(1)
				for _, history := range append(b.members, b.task) {
					require.LessOrEqual(t, history.Odds(), evenOdds)
					require.False(t, history.Verdict().Poison())
				}
				require.InEpsilon(t, b.members[0].Odds(), b.task.Odds(), 0.01)
			})
		}
	}
}

// TestEarlierGangMembersAreOneSuspect is the same for losses that an earlier owner recorded: several
// members of a gang must not make it certain that the gang caused its loss.
func TestEarlierGangMembersAreOneSuspect(t *testing.T) {
	gang := NewGroup()
	loss := &workerLoss{}
	for range 6 {
		member := gang.NewHistory([]Record{{Worker: "lost", Ratio: 0.25 / priorOdds}})
		loss.earlierSuspects = append(loss.earlierSuspects, member)
	}
	require.InDelta(t, 1-probability(0.25), loss.chanceByEarlierSuspects(), 1e-9)
}
