package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/rows"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/internal/telemetry"
	"github.com/wheatroad/wheatroad/internal/writequeue"
)

// steppedLoop is a loop.Loop that runs posted functions immediately, and timers when the test
// advances the clock.
type steppedLoop struct {
	now    time.Time
	timers []*steppedTimer
}

type steppedTimer struct {
	at  time.Time
	run func()
}

func (l *steppedLoop) Now() time.Time       { return l.now }
func (l *steppedLoop) TimeOfDay() time.Time { return l.now }
func (l *steppedLoop) Post(fn func())       { fn() }
func (l *steppedLoop) After(d time.Duration, fn func()) func() {
	timer := &steppedTimer{at: l.now.Add(d), run: fn}
	l.timers = append(l.timers, timer)
	return func() { timer.run = func() {} }
}

// advance advances the clock and runs the timers that are due.
func (l *steppedLoop) advance(d time.Duration) {
	l.now = l.now.Add(d)
	due := slices.Clone(l.timers)
	l.timers = slices.DeleteFunc(l.timers, func(t *steppedTimer) bool { return !t.at.After(l.now) })
	for _, timer := range due {
		if !timer.at.After(l.now) {
			timer.run()
		}
	}
}

// commitPorts holds commits in flight until the test answers them.
type commitPorts struct {
	Ports
	inFlight []pendingCommit
	sent     int
	// takesAnyRow is true if the store has no limits.
	takesAnyRow bool
}

type pendingCommit struct {
	transaction rows.Transaction
	done        func(rows.Result, error)
}

// Commit implements Ports. It panics if a real store would reject the transaction.
func (p *commitPorts) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
	if err := rows.DefaultLimits().Check(&transaction); err != nil && !p.takesAnyRow {
		panic(err)
	}
	p.sent++
	p.inFlight = append(p.inFlight, pendingCommit{transaction, done})
}

// answer completes the oldest commit in flight successfully, and returns its number of rows
// without the head row.
func (p *commitPorts) answer() int {
	first := p.inFlight[0]
	p.inFlight = p.inFlight[1:]
	first.done(rows.Result{Committed: true, Version: int64(p.sent)}, nil)
	return len(first.transaction.Puts) - 1
}

type noRecord struct{}

func (noRecord) Count(string, string)          {}
func (noRecord) Set(string, int64)             {}
func (noRecord) Observe(string, time.Duration) {}
func (noRecord) LogEvent(string, ...any)       {}

// newWriterPool returns a pool for tests of its writer.
func newWriterPool() (*Pool, *steppedLoop, *commitPorts) {
	l := &steppedLoop{now: time.Now()}
	ports := &commitPorts{}
	return New(Options{Pool: "p"}, l, ports, noRecord{}, 1), l, ports
}

// jobOfBytes returns a job whose row is slightly larger than the given size.
func jobOfBytes(number, bytes int) *job {
	return &job{id: fmt.Sprintf("%016x", number), pendingState: taskgraph.State(strings.Repeat("x", bytes))}
}

func TestBatchesStayWithinTheirSize(t *testing.T) {
	p, _, ports := newWriterPool()
	const row = maxBatchBytes/12 - 1<<10
	for number := range 25 {
		p.persist(jobOfBytes(number, row))
	}
	require.Equal(t, 1, ports.answer(), "the first row is sent immediately")
	require.Equal(t, 12, ports.answer(), "a thirteenth row would exceed the size limit")
	require.Equal(t, 12, ports.answer())
	require.Empty(t, ports.inFlight)
	ports.takesAnyRow = true
	p.persist(jobOfBytes(10, 2*maxBatchBytes))
	require.Equal(t, 1, ports.answer(), "a row above the size limit is sent alone")
}

// TestRemainingRowsAreSentImmediately: rows that did not fit into a batch must not wait for the
// delay of a run result that was added meanwhile.
func TestRemainingRowsAreSentImmediately(t *testing.T) {
	p, l, ports := newWriterPool()
	p.persist(jobOfBytes(0, 1))
	for number := range 2 * maxBatchRows {
		p.persist(jobOfBytes(number+1, 1))
	}
	require.Equal(t, 1, ports.answer())
	p.persistEnd(jobOfBytes(1000, 1))
	l.advance(time.Millisecond)
	require.Equal(t, maxBatchRows, ports.answer())
	require.Len(t, ports.inFlight, 1, "the remaining rows are sent immediately")
	require.Equal(t, maxBatchRows, ports.answer())
	require.Equal(t, 1, ports.answer(), "the run result is sent after them")
	require.Empty(t, ports.inFlight)
}

// TestCallbacksWaitForEarlierRowsOnly: callbacks must not wait for rows added after them, or they
// would never run under steady load.
func TestCallbacksWaitForEarlierRowsOnly(t *testing.T) {
	p, _, ports := newWriterPool()
	ran := false
	p.persist(jobOfBytes(0, 1))
	p.persist(jobOfBytes(1, 1))
	p.afterPersist(0, func() { ran = true })
	ports.answer()
	require.False(t, ran, "the second row is still in flight")
	for number := range 2 * maxBatchRows {
		p.persist(jobOfBytes(number+2, 1))
	}
	ports.answer()
	require.True(t, ran, "the callback does not wait for later rows")
}

// TestLargeBatchGetsTheTimeItTakesToSend: the timeout of a batch must include its transfer time, or
// copies for other partitions slow the first transfer down further.
func TestLargeBatchGetsTheTimeItTakesToSend(t *testing.T) {
	p, l, ports := newWriterPool()
	for number := range 13 {
		p.persist(jobOfBytes(number, maxBatchBytes/12-1<<10))
	}
	ports.answer()
	require.Len(t, ports.inFlight[0].transaction.Puts, 13, "twelve rows and the head row")
	l.advance(partitionTimeout)
	require.Len(t, ports.inFlight, 1)
	l.advance(rows.SendTime(ports.inFlight[0].transaction))
	require.Len(t, ports.inFlight, 2)
}

// slowAnswers makes the store slow for a writer: a write of a job's end stays without an answer. It
// returns the job.
func slowAnswers(p *Pool, l *steppedLoop) *job {
	j := jobOfBytes(0, 1)
	p.persist(j)
	l.advance(2 * writequeue.SlowAnswer)
	return j
}

// TestUrgentPlacementPassesBatchInFlight: while the store is slow, the start of an urgent placement
// waits neither for a batch in flight nor for rows that are less urgent.
func TestUrgentPlacementPassesBatchInFlight(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	for number := range 2 * maxBatchRows {
		p.persist(jobOfBytes(number+10, 1))
	}
	require.Len(t, ports.inFlight, 1, "ends use one partition")
	urgent, started := jobOfBytes(1, 1), false
	p.persistPlacement(urgent)
	p.afterPersist(0, func() { started = true }, urgent)
	require.Len(t, ports.inFlight, 2)
	second := ports.inFlight[1].transaction
	require.Equal(t, progressPartition("p", 1), second.Conditions[0].Part)
	require.Equal(t, urgent.id, second.Puts[1].Name)
	require.Len(t, second.Puts, 1+maxBatchRows, "other rows fill the batch")
	ports.inFlight[1].done(rows.Result{Committed: true, Version: 1}, nil)
	require.True(t, started)
}

// TestAcknowledgementWaitsForAllItsRows: a callback on several jobs waits for the last of their rows.
func TestAcknowledgementWaitsForAllItsRows(t *testing.T) {
	p, l, ports := newWriterPool()
	first, second, other := slowAnswers(p, l), jobOfBytes(1, 1), jobOfBytes(2, 1)
	p.persistPlacement(second)
	p.persistEnd(other)
	acknowledged := false
	p.afterPersist(0, func() { acknowledged = true }, first, second)
	require.Len(t, ports.inFlight, 2)
	ports.inFlight[1].done(rows.Result{Committed: true, Version: 1}, nil)
	require.False(t, acknowledged, "the first row is still in flight")
	ports.inFlight[0].done(rows.Result{Committed: true, Version: 1}, nil)
	require.True(t, acknowledged)
}

// TestRefusingPartitionGetsNoBatchBesideOthers: a partition that has refused a batch must not delay the
// batches that are sent beside it.
func TestRefusingPartitionGetsNoBatchBesideOthers(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	ports.inFlight[0].done(rows.Result{}, rows.ErrNoEffect)
	require.Len(t, ports.inFlight, 2)
	require.Equal(t, progressPartition("p", 1), ports.inFlight[1].transaction.Conditions[0].Part)
	for number := range 3 {
		p.persistPlacement(jobOfBytes(number+1, 1))
	}
	require.Len(t, ports.inFlight, 3, "the refusing partition gets nothing")
	require.Equal(t, progressPartition("p", 2), ports.inFlight[2].transaction.Conditions[0].Part)
	l.advance(failedPartitionPause)
	p.persistPlacement(jobOfBytes(9, 1))
	require.Equal(t, progressPartition("p", 0), ports.inFlight[len(ports.inFlight)-1].transaction.Conditions[0].Part)
}

// TestRefusedBatchLeavesItsPartition: a batch that one partition refuses goes to another, whichever one
// the other batches use, and does not move them.
func TestRefusedBatchLeavesItsPartition(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	for number := range 2 {
		p.persistPlacement(jobOfBytes(number+1, 1))
	}
	require.Len(t, ports.inFlight, progressPartitions)
	ports.inFlight[1].done(rows.Result{}, rows.ErrNoEffect)
	require.Len(t, ports.inFlight, progressPartitions+1)
	again := ports.inFlight[progressPartitions].transaction
	require.Equal(t, ports.inFlight[1].transaction.Puts[1].Name, again.Puts[1].Name)
	require.Equal(t, progressPartition("p", 2), again.Conditions[0].Part)
	require.Zero(t, p.writer.partition)
}

// TestCopiesGoToAllPartitions: no partition gets a batch twice while another has not got it.
func TestCopiesGoToAllPartitions(t *testing.T) {
	p, l, ports := newWriterPool()
	first := slowAnswers(p, l)
	p.persistPlacement(jobOfBytes(1, 1))
	for range 12 {
		l.advance(100 * time.Millisecond)
	}
	var parts []string
	for _, call := range ports.inFlight {
		if call.transaction.Puts[1].Name == first.id {
			parts = append(parts, call.transaction.Conditions[0].Part)
		}
	}
	require.Equal(t, []string{progressPartition("p", 0), progressPartition("p", 2), progressPartition("p", 1)}, parts)
}

// TestCallbacksAreNotNested: a callback that changes a job must not run other callbacks, also if an
// answer that arrives before its timer shows that the store is slow.
func TestCallbacksAreNotNested(t *testing.T) {
	p, l, ports := newWriterPool()
	var steps []string
	first := jobOfBytes(1, 1)
	p.persist(jobOfBytes(0, 1))
	p.persist(first)
	p.afterPersist(0, func() {
		steps = append(steps, "first begins")
		p.persist(jobOfBytes(3, 1))
		steps = append(steps, "first ends")
	}, first)
	ports.answer()
	p.persist(jobOfBytes(2, 1))
	p.afterPersist(0, func() { steps = append(steps, "second") }, first)
	l.now = l.now.Add(2 * writequeue.SlowAnswer)
	ports.answer()
	require.Equal(t, []string{"first begins", "first ends", "second"}, steps)
}

// TestWaitingBatchGetsAFailedPartition: a partition that failed gets the next batch as soon as its
// pause is over, though no call is answered then.
func TestWaitingBatchGetsAFailedPartition(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	for part := range progressPartitions {
		p.writer.failedAt[part] = l.now
	}
	p.persistPlacement(jobOfBytes(1, 1))
	require.Len(t, ports.inFlight, 1)
	l.advance(failedPartitionPause)
	urgent := 0
	for _, call := range ports.inFlight {
		if call.transaction.Puts[1].Name == jobOfBytes(1, 1).id {
			urgent++
		}
	}
	require.Equal(t, 1, urgent)
}

// TestReleasePutsNothingOff: a release of the pool sends what was put off, and waits for all batches in
// flight.
func TestReleasePutsNothingOff(t *testing.T) {
	p, l, ports := newWriterPool()
	p.options.OnOwnershipEnded = func(string) {}
	slowAnswers(p, l)
	p.writer.add(jobOfBytes(1, 1), writequeue.Note, confirmedStartWriteDelay)
	p.writer.remove(jobOfBytes(2, 1).id)
	require.Len(t, ports.inFlight, 1)
	p.Release()
	require.Len(t, ports.inFlight, 2)
	require.Len(t, ports.inFlight[1].transaction.Removes, 1)
	ports.answer()
	l.advance(releaseRetryInterval)
	require.Len(t, ports.inFlight, 1, "the second batch is still in flight")
	ports.answer()
	l.advance(releaseRetryInterval)
	require.Len(t, ports.inFlight, 1)
	require.Equal(t, LeaseKey("p"), ports.inFlight[0].transaction.Conditions[0].Key)
}

// eventRecord records the events that are logged.
type eventRecord struct {
	noRecord
	events []string
	fields map[string][]any
}

func (r *eventRecord) LogEvent(event string, fields ...any) {
	r.events = append(r.events, event)
	r.fields[event] = fields
}

// TestSlowPhaseEndsWithoutAWrite: an idle owner notices that the store is fast again.
func TestSlowPhaseEndsWithoutAWrite(t *testing.T) {
	l, ports, record := &steppedLoop{now: time.Unix(1000, 0)}, &commitPorts{}, &eventRecord{fields: map[string][]any{}}
	p := New(Options{Pool: "p"}, l, ports, record, 1)
	slowAnswers(p, l)
	slowSince := l.now
	ports.answer()
	answeredAt := l.now
	l.advance(999 * time.Millisecond)
	require.Equal(t, []string{"store slow"}, record.events)
	l.advance(time.Millisecond)
	require.Equal(t, []string{"store slow", "store fast again"}, record.events)
	lasted := answeredAt.Add(time.Second).Sub(slowSince)
	require.Equal(t, []any{"slow_ms", lasted.Milliseconds()}, record.fields["store fast again"][2:4])
	l.advance(time.Hour)
	p.persist(jobOfBytes(1, 1))
	require.Len(t, record.events, 2)
}

// TestExpiredJobsAreKeptWhileTheStoreIsSlow: their removal is put off, but not without end.
func TestExpiredJobsAreKeptWhileTheStoreIsSlow(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	expired := jobOfBytes(1, 1)
	expired.state, expired.endedAt = taskgraph.Completed, l.TimeOfDay().Add(-2*retentionMargin)
	p.jobs[expired.id] = expired
	p.removeExpiredJobs()
	sent := ports.sent
	l.advance(maxCleaningDelay)
	sentMeanwhile := ports.sent
	p.removeExpiredJobs()
	require.Equal(t, 1, sent)
	require.Equal(t, sentMeanwhile+jobPartitionChoices, ports.sent)
}

// TestRecoveredStoreGetsOneBatchPerPartition: batches that are sent again when the store is back must
// not meet in one partition, as only one of them could be written there.
func TestRecoveredStoreGetsOneBatchPerPartition(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	p.persistPlacement(jobOfBytes(1, 1))
	p.persistPlacement(jobOfBytes(2, 1))
	for range progressPartitions * progressPartitions {
		ports.inFlight[0].done(rows.Result{}, rows.ErrNoEffect)
		ports.inFlight = ports.inFlight[1:]
	}
	require.Empty(t, ports.inFlight, "all partitions have refused all batches")
	p.StoreRecovered()
	used := map[string]bool{}
	for _, call := range ports.inFlight {
		used[call.transaction.Conditions[0].Part] = true
	}
	require.Len(t, used, progressPartitions)
}

// TestWrittenHistogramsAreDefined: undefined histograms are ignored when a node records them.
func TestWrittenHistogramsAreDefined(t *testing.T) {
	for _, purpose := range writequeue.Purposes() {
		require.Contains(t, telemetry.Histograms(), writtenHistogram(purpose))
	}
}

// TestSlowStoreGetsCopiesLate: copies double the load of a slow store, so that they wait for longer than
// its answers take.
func TestSlowStoreGetsCopiesLate(t *testing.T) {
	p, l, ports := newWriterPool()
	slowAnswers(p, l)
	l.advance(2 * writequeue.SlowAnswer)
	ports.answer()
	p.persist(jobOfBytes(1, 1))
	l.advance(partitionTimeout + time.Millisecond)
	require.Len(t, ports.inFlight, 1)
	l.advance(2 * writequeue.SlowAnswer)
	require.Len(t, ports.inFlight, 2)
}
