package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// manualLoop is an event loop that runs all functions on the test's goroutine, as the daemon's loop
// runs them on one goroutine. Functions may be posted, and timers set, by the goroutines of store calls.
// The loop runs the functions, and the timers that are due, when the test advances the time or waits for
// a call.
type manualLoop struct {
	// mutex guards now, timers and posted. wake has an element if posted may be non-empty.
	mutex  sync.Mutex
	now    time.Time
	timers []manualTimer
	posted []func()
	wake   chan struct{}
}

func newManualLoop() *manualLoop {
	return &manualLoop{now: time.Now(), wake: make(chan struct{}, 1)}
}

type manualTimer struct {
	at  time.Time
	run func()
}

func (l *manualLoop) TimeOfDay() time.Time { return l.Now() }

func (l *manualLoop) Now() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.now
}

// Post implements loop.Loop.
func (l *manualLoop) Post(fn func()) {
	l.mutex.Lock()
	l.posted = append(l.posted, fn)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runPosted runs the posted functions, and those that they post.
func (l *manualLoop) runPosted() {
	for {
		l.mutex.Lock()
		batch := l.posted
		l.posted = nil
		l.mutex.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, fn := range batch {
			fn()
		}
	}
}

// wait runs call on another goroutine, and the posted functions until it returns.
func (l *manualLoop) wait(call func()) {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		call()
	}()
	for {
		select {
		case <-returned:
			l.runPosted()
			return
		case <-l.wake:
			l.runPosted()
		}
	}
}

// awaitPost waits until a function is posted, and does not run it.
func (l *manualLoop) awaitPost(t *testing.T) {
	t.Helper()
	posted := func() bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return len(l.posted) > 0
	}
	require.Eventually(t, posted, time.Minute, time.Millisecond)
}

func (l *manualLoop) After(d time.Duration, fn func()) func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timers = append(l.timers, manualTimer{at: l.now.Add(d), run: fn})
	return func() {}
}

// advance moves the time forward and runs the posted functions and the timers that are due.
func (l *manualLoop) advance(d time.Duration) {
	l.runPosted()
	for _, timer := range l.takeDue(d) {
		timer.run()
	}
	l.runPosted()
}

// skip moves the time forward and runs nothing.
func (l *manualLoop) skip(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.now = l.now.Add(d)
}

// takeDue moves the time forward and removes the timers that are due then.
func (l *manualLoop) takeDue(d time.Duration) []manualTimer {
	l.skip(d)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var due, later []manualTimer
	for _, timer := range l.timers {
		if timer.at.After(l.now) {
			later = append(later, timer)
		} else {
			due = append(due, timer)
		}
	}
	l.timers = later
	return due
}

// testNode is a node that watches the pool poolName on a manualLoop.
type testNode struct {
	*Node
	loop    *manualLoop
	watcher *poolWatcher
}

// newTestNode returns a node of the given weight. others are the weights of the other nodes of the
// cluster.
func newTestNode(t *testing.T, weight float64, others map[string]float64) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := newManualLoop()
	n := New(ctx, Options{Name: "node-1", Weight: weight}, Dependencies{Store: newFakeStore(), Loop: l, Recorder: discardRecorder{}})
	n.memberSample.members["node-1"] = member{Name: "node-1", Weight: weight}
	for name, other := range others {
		n.memberSample.members[name] = member{Name: name, Weight: other}
	}
	n.watchers[poolName] = &poolWatcher{pool: poolName, leaseRead: true}
	n.recordStoreResult(nil)
	l.runPosted()
	return &testNode{Node: n, loop: l, watcher: n.watchers[poolName]}
}

// applyLeaseOf applies a version of the pool's lease with the given owner.
func (n *testNode) applyLeaseOf(owner string, version int64) {
	key := pool.LeaseKey(poolName)
	value, _ := json.Marshal(pool.Lease{Owner: owner, Address: owner})
	n.applyLeaseTableRow(rows.Row{Key: rows.Key{Table: key.Table, Part: key.Part, Name: key.Name}, Value: value, Version: version})
}

// TestSuspicionEndsWithTheLease: failures of a previous owner must not count against the next
// owner.
func TestSuspicionEndsWithTheLease(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-2", 5)
	n.watcher.failures = suspectAfterFailures
	n.scheduleAcquire(n.watcher, "owner node-2 is unresponsive", n.ownerSuspected)
	n.applyLeaseOf("node-3", 6)
	n.loop.advance(time.Minute)
	require.False(t, n.watcher.acquiring, "the lease has changed")

	n.watcher.failures = suspectAfterFailures
	n.scheduleAcquire(n.watcher, "owner node-3 is unresponsive", n.ownerSuspected)
	n.handlePingReply(n.watcher, pingReply{Owner: true})
	n.loop.advance(time.Minute)
	require.False(t, n.watcher.acquiring, "the owner has answered since")
}

// TestIndirectCheckOfEarlierLeaseIsIgnored: an indirect check whose result arrives after a change
// of owner must not count against the new owner.
func TestIndirectCheckOfEarlierLeaseIsIgnored(t *testing.T) {
	n := newTestNode(t, 1, nil)
	n.applyLeaseOf("node-2", 5)
	n.watcher.failures = suspectAfterFailures
	handleResult := n.handleIndirectCheck(n.watcher, "owner node-2 is unresponsive")
	n.applyLeaseOf("node-3", 6)
	handleResult(false)
	n.watcher.failures = suspectAfterFailures
	n.loop.advance(time.Minute)
	require.False(t, n.watcher.acquiring)
}

func TestWeakOwnerIsReplaced(t *testing.T) {
	cases := map[string]struct {
		ownWeight, ownerWeight float64
		want                   bool
	}{
		"owner has a quarter of the weight": {0.8, 0.2, true},
		"alike":                             {0.4, 0.4, false},
		"stronger":                          {0.2, 0.8, false},
	}
	for name, c := range cases {
		n := newTestNode(t, c.ownWeight, map[string]float64{"node-2": c.ownerWeight})
		n.applyLeaseOf("node-2", 5)
		for range weakOwnerReplies {
			require.False(t, n.watcher.acquireScheduled, name)
			n.handlePingReply(n.watcher, pingReply{Owner: true})
		}
		require.Equal(t, c.want, n.watcher.acquireScheduled, name)
	}
}

// TestOwnerThatLostTheStoreIsReplacedSoon: a node must replace an owner whose ping replies report a
// lost store, unless the node has lost the store too.
func TestOwnerThatLostTheStoreIsReplacedSoon(t *testing.T) {
	cases := map[string]struct {
		reply    pingReply
		lostHere bool
		want     bool
	}{
		"recent response, feeds failing":  {pingReply{Owner: true, StoreAgeMillis: 600, StoreLost: true}, false, false},
		"failing":                         {pingReply{Owner: true, StoreAgeMillis: 800, StoreLost: true}, false, true},
		"old response, feeds not failing": {pingReply{Owner: true, StoreAgeMillis: 1100}, false, false},
		"silent":                          {pingReply{Owner: true, StoreAgeMillis: 2300}, false, true},
		"store lost to both nodes":        {pingReply{Owner: true, StoreAgeMillis: 2300, StoreLost: true}, true, false},
	}
	for name, c := range cases {
		n := newTestNode(t, 1, nil)
		n.applyLeaseOf("node-2", 5)
		if c.lostHere {
			n.recordStoreFailure(rows.ErrOutcomeUnknown)
		}
		n.handlePingReply(n.watcher, c.reply)
		require.Equal(t, c.want, n.watcher.acquireScheduled, name)
	}
}

// TestStandbysMakeIndirectChecks: only standbys ping an owner often enough for an indirect check.
func TestStandbysMakeIndirectChecks(t *testing.T) {
	others := map[string]float64{}
	for i := range 40 {
		others[fmt.Sprintf("light-%d", i)] = 0.2
	}
	for i := range standbyCount {
		others[fmt.Sprintf("heavy-%d", i)] = 0.8
	}
	n := newTestNode(t, 0.2, others)
	n.applyLeaseOf("heavy-0", 5)
	for range 20 {
		for _, checker := range n.indirectCheckers(poolName) {
			require.NotEqual(t, "heavy-0", checker.Name)
			require.Greater(t, checker.Weight, 0.0)
		}
	}
	require.Len(t, n.indirectCheckers(poolName), indirectCheckCount)
	require.GreaterOrEqual(t, n.takeoverRank(poolName), standbyCount-1, "nodes with less weight must not be standbys")
}

func TestRetriesRunWhenStoreRecovers(t *testing.T) {
	n := newTestNode(t, 1, nil)
	retried := 0
	n.storeRetries.After(time.Hour, func() { retried++ })
	n.recordStoreFailure(rows.ErrNoEffect)
	n.loop.runPosted()
	require.Zero(t, retried)
	n.recordStoreResult(nil)
	n.loop.runPosted()
	require.Equal(t, 1, retried)
	n.storeRetries.RunPending()
	require.Equal(t, 1, retried, "once")
}
