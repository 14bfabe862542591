package pool

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// writeOrder explores the orders in which a slow store may carry out and answer an owner's writes. The
// states of the jobs are numbers that grow with each change.
type writeOrder struct {
	random *rand.Rand
	pool   *Pool
	loop   *steppedLoop
	ports  *commitPorts
	stored map[rows.Key]rows.Row
	// delayed holds transactions without an answer that the store may still carry out.
	delayed []rows.Transaction
	version int64
	jobs    []*job
	changes int
	// promised holds the state of each job that a callback has relied on.
	promised map[string]int
	// live holds the jobs that were changed since their last removal, and removedAt the number of
	// changes at the last removal of each job.
	live        map[string]bool
	removedAt   map[string]int
	removals    int
	maxInFlight int
	// rejected is the job whose row the store rejects until the job has failed; empty if it takes all rows.
	rejected     string
	rejections   int
	callbacksRun int
}

func newWriteOrder(seed uint64, disabled DisabledSafeguards) *writeOrder {
	o := &writeOrder{random: rand.New(rand.NewPCG(seed, 21)), loop: &steppedLoop{now: time.Unix(1000, 0)}, ports: &commitPorts{}, stored: map[rows.Key]rows.Row{}, promised: map[string]int{}, live: map[string]bool{}, removedAt: map[string]int{}}
	o.pool = New(Options{Pool: "p", DisabledSafeguards: disabled, OnOwnershipEnded: func(string) {}}, o.loop, o.ports, noRecord{}, 1)
	for number := range 6 {
		j := jobOfBytes(number, 0)
		j.pendingState = "0"
		j.Queue.Priority = number % 3
		o.jobs = append(o.jobs, j)
	}
	return o
}

// change changes a random job for a random purpose, and relies on the write of one or two jobs.
func (o *writeOrder) change() {
	j := o.jobs[o.random.IntN(len(o.jobs))]
	o.changes++
	o.live[j.id] = true
	j.pendingState = taskgraph.State(strconv.Itoa(o.changes))
	waitFor := []*job{j}
	switch o.random.IntN(3) {
	case 0:
		o.pool.persistPlacement(j)
	case 1:
		o.pool.persistEnd(j)
		waitFor = append(waitFor, o.jobs[o.random.IntN(len(o.jobs))])
	case 2:
		o.pool.writer.add(j, writequeue.Note, confirmedStartWriteDelay)
	}
	states := map[string]int{}
	for _, waited := range waitFor {
		states[waited.id] = stateNumber(waited.pendingState)
	}
	o.pool.afterPersist(0, func() {
		o.callbacksRun++
		for id, state := range states {
			if o.live[id] && state > o.removedAt[id] && id != o.rejected {
				o.promised[id] = max(o.promised[id], state)
			}
		}
	}, waitFor...)
}

// remove ends a random job: its row is removed, and nothing is promised about it any longer.
// Another job may come later under the same identifier.
func (o *writeOrder) remove() {
	i := o.random.IntN(len(o.jobs))
	old := o.jobs[i]
	if !o.live[old.id] {
		return
	}
	o.removals++
	o.removedAt[old.id] = o.changes
	delete(o.live, old.id)
	delete(o.promised, old.id)
	o.pool.writer.remove(old.id)
	replacement := *old
	o.jobs[i] = &replacement
}

func stateNumber(state taskgraph.State) int {
	number, _ := strconv.Atoi(string(state))
	return number
}

// answerAny ends a random call: the store carries it out or not, answers or not, or carries it out
// later.
func (o *writeOrder) answerAny() {
	if len(o.ports.inFlight) == 0 {
		return
	}
	i := o.random.IntN(len(o.ports.inFlight))
	call := o.ports.inFlight[i]
	o.ports.inFlight = append(o.ports.inFlight[:i:i], o.ports.inFlight[i+1:]...)
	if o.reject(call) {
		return
	}
	switch o.random.IntN(8) {
	case 0:
		o.apply(call.transaction)
		call.done(rows.Result{}, rows.ErrOutcomeUnknown)
	case 1:
		o.delayed = append(o.delayed, call.transaction)
		call.done(rows.Result{}, rows.ErrOutcomeUnknown)
	case 2:
		call.done(rows.Result{}, rows.ErrNoEffect)
	default:
		call.done(o.apply(call.transaction), nil)
	}
}

// reject rejects a transaction that writes the rejected job, unless the job has failed. It reports whether it
// did. Some answers are lost.
func (o *writeOrder) reject(call pendingCommit) bool {
	for _, put := range call.transaction.Puts {
		var progress Progress
		if put.Name != o.rejected || json.Unmarshal(put.Value, &progress) != nil || progress.State == taskgraph.Failed {
			continue
		}
		o.rejections++
		if o.rejections%5 == 0 {
			call.done(rows.Result{}, rows.ErrOutcomeUnknown)
		} else {
			call.done(rows.Result{}, rows.Rejected(errors.New("row is too large")))
		}
		return true
	}
	return false
}

func (o *writeOrder) applyDelayed() {
	if len(o.delayed) > 0 {
		i := o.random.IntN(len(o.delayed))
		o.apply(o.delayed[i])
		o.delayed = append(o.delayed[:i:i], o.delayed[i+1:]...)
	}
}

// apply carries a transaction out if its conditions hold.
func (o *writeOrder) apply(transaction rows.Transaction) rows.Result {
	for _, condition := range transaction.Conditions {
		if current := o.stored[condition.Key]; current.Version != condition.Version {
			return rows.Result{Current: []rows.Row{current}}
		}
	}
	o.version++
	for _, put := range transaction.Puts {
		o.stored[put.Key] = rows.Row{Key: put.Key, Value: put.Value, Version: o.version}
	}
	for _, key := range transaction.Removes {
		delete(o.stored, key)
	}
	return rows.Result{Committed: true, Version: o.version}
}

// replaceOwner replaces all head rows, as a takeover does.
func (o *writeOrder) replaceOwner() {
	for part := range progressPartitions {
		key := headKey(progressPartition("p", part))
		o.version++
		o.stored[key] = rows.Row{Key: key, Value: mustEncode(headRecord{Token: 2}), Version: o.version}
	}
}

// loadedStates returns the states that the next owner reads.
func (o *writeOrder) loadedStates(t *testing.T) map[string]int {
	newest := map[string]Progress{}
	for key, row := range o.stored {
		var progress Progress
		if key.Name == headRow {
			continue
		}
		require.NoError(t, json.Unmarshal(row.Value, &progress))
		if known, found := newest[key.Name]; !found || progress.NewerThan(&known) {
			newest[key.Name] = progress
		}
	}
	states := map[string]int{}
	for id := range newest {
		states[id] = stateNumber(newest[id].State)
	}
	return states
}

// brokenPromise returns a job of which the next owner reads an older state than a callback has relied
// on; "" if there is none.
func (o *writeOrder) brokenPromise(t *testing.T) string {
	states := o.loadedStates(t)
	for id, state := range o.promised {
		if states[id] < state {
			return fmt.Sprintf("job %s: state %d is promised, and %d is stored", id, state, states[id])
		}
	}
	return ""
}

// run makes random steps and returns the first broken promise, or "".
func (o *writeOrder) run(t *testing.T) string {
	for range 400 {
		version, callbacksRun := o.version, o.callbacksRun
		switch o.random.IntN(7) {
		case 0, 1:
			o.change()
		case 6:
			if o.random.IntN(4) == 0 {
				o.remove()
			}
		case 2, 3:
			o.answerAny()
		case 4:
			o.applyDelayed()
		case 5:
			o.loop.advance(time.Duration(o.random.IntN(250)) * time.Millisecond)
		}
		o.maxInFlight = max(o.maxInFlight, o.pool.writer.queue.Batches())
		if version == o.version && callbacksRun == o.callbacksRun {
			continue
		}
		if broken := o.brokenPromise(t); broken != "" {
			return broken
		}
	}
	return ""
}

// writeOrderSeeds is the number of seeds of the tests of write orders.
const writeOrderSeeds = 100

// TestWriteOrders: whatever answers are lost or delayed with several batches in flight, the next owner
// reads what a start or an acknowledgement has relied on, also of jobs that come back after a removal
// of their row. In the end all callbacks run, and the row of each live job is stored.
func TestWriteOrders(t *testing.T) {
	t.Parallel()
	inFlight, removals := 0, 0
	for seed := range uint64(writeOrderSeeds) {
		o := newWriteOrder(seed, DisabledSafeguards{})
		require.Empty(t, o.run(t), "seed %d", seed)
		inFlight = max(inFlight, o.maxInFlight)
		for range 200 {
			for len(o.ports.inFlight) > 0 {
				call := o.ports.inFlight[0]
				o.ports.inFlight = o.ports.inFlight[1:]
				call.done(o.apply(call.transaction), nil)
			}
			o.loop.advance(50 * time.Millisecond)
		}
		require.False(t, o.pool.writer.busy(), "seed %d", seed)
		require.Equal(t, o.changes, o.callbacksRun, "seed %d", seed)
		require.Empty(t, o.brokenPromise(t), "seed %d", seed)
		states := o.loadedStates(t)
		for id := range o.live {
			require.Equal(t, o.promised[id], states[id], "seed %d", seed)
		}
		removals += o.removals
	}
	require.Equal(t, progressPartitions, inFlight)
	require.Greater(t, removals, writeOrderSeeds)
}

// TestWriteOrdersBesideRejectedRow: whatever answers are lost or delayed while the store rejects the row of one
// job, nothing that is promised of the others is lost, and no callback waits for good.
func TestWriteOrdersBesideRejectedRow(t *testing.T) {
	t.Parallel()
	rejections := 0
	for seed := range uint64(writeOrderSeeds) {
		o := newWriteOrder(seed, DisabledSafeguards{})
		o.rejected = o.jobs[0].id
		require.Empty(t, o.run(t), "seed %d", seed)
		for range 400 {
			for len(o.ports.inFlight) > 0 {
				call := o.ports.inFlight[0]
				o.ports.inFlight = o.ports.inFlight[1:]
				if !o.reject(call) {
					call.done(o.apply(call.transaction), nil)
				}
			}
			o.loop.advance(50 * time.Millisecond)
		}
		require.False(t, o.pool.writer.busy(), "seed %d", seed)
		require.Equal(t, o.changes, o.callbacksRun, "seed %d", seed)
		require.Empty(t, o.brokenPromise(t), "seed %d", seed)
		states := o.loadedStates(t)
		for id := range o.live {
			if id != o.rejected {
				require.Equal(t, o.promised[id], states[id], "seed %d", seed)
			}
		}
		rejections += o.rejections
	}
	require.Greater(t, rejections, writeOrderSeeds)
}

// TestTakeoverWithBatchesInFlight: once the head rows are replaced, no batch in flight takes effect and
// no callback runs.
func TestTakeoverWithBatchesInFlight(t *testing.T) {
	t.Parallel()
	inFlight := 0
	for seed := range uint64(writeOrderSeeds) {
		o := newWriteOrder(seed, DisabledSafeguards{})
		require.Empty(t, o.run(t), "seed %d", seed)
		inFlight = max(inFlight, o.pool.writer.queue.Batches())
		o.replaceOwner()
		loaded, callbacksRun := o.loadedStates(t), o.callbacksRun
		for range 100 {
			o.answerAny()
			o.applyDelayed()
			o.loop.advance(50 * time.Millisecond)
		}
		require.Equal(t, loaded, o.loadedStates(t), "seed %d", seed)
		require.Equal(t, callbacksRun, o.callbacksRun, "seed %d", seed)
	}
	require.Greater(t, inFlight, 1)
}

// TestWriteOrdersDetectDisabledSafeguards: without one of the safeguards some order breaks a promise.
func TestWriteOrdersDetectDisabledSafeguards(t *testing.T) {
	cases := map[string]DisabledSafeguards{
		"row in one batch":      {RowInOneBatch: true},
		"rows before callbacks": {RowsBeforeCallbacks: true},
		"head condition":        {HeadCondition: true},
	}
	for name, disabled := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(writeOrderSeeds) {
				if broken := newWriteOrder(seed, disabled).run(t); broken != "" {
					t.Logf("seed %d: %s", seed, broken)
					return
				}
			}
			require.Fail(t, "no order breaks a promise without the safeguard")
		})
	}
}
