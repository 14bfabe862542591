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
}

type pendingCommit struct {
	transaction rows.Transaction
	done        func(rows.Result, error)
}

func (p *commitPorts) Commit(transaction rows.Transaction, done func(rows.Result, error)) {
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
	const row = maxBatchBytes/4 - 1<<10
	for number := range 9 {
		p.persist(jobOfBytes(number, row))
	}
	require.Equal(t, 1, ports.answer(), "the first row is sent immediately")
	require.Equal(t, 4, ports.answer(), "a fifth row would exceed the size limit")
	require.Equal(t, 4, ports.answer())
	require.Empty(t, ports.inFlight)
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
	p.persist(jobOfBytes(0, maxBatchBytes))
	l.advance(partitionTimeout)
	require.Len(t, ports.inFlight, 1)
	l.advance(rows.SendTime(ports.inFlight[0].transaction))
	require.Len(t, ports.inFlight, 2)
}
