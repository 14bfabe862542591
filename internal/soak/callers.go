package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/catalog"
	"github.com/wheatroad/wheatroad/internal/taskgraph"
	"github.com/wheatroad/wheatroad/platform/standin"
)

const (
	// callLimit is how long a caller waits for an answer.
	callLimit = 3 * time.Second
	// finalLimit is the time in which a daemon without trouble refuses.
	finalLimit = 2500 * time.Millisecond
	// lossSlack is how soon a connection may break at a planned stop without an answer:
	// a request that crosses the closing of an idle connection.
	lossSlack     = 200 * time.Millisecond
	submitTries   = 4
	submitPause   = 200 * time.Millisecond
	cancelShare   = 0.1
	callerPause   = 250 * time.Millisecond
	maxAttempts   = 40
	shortestWork  = 200 * time.Millisecond
	longestWork   = 1500 * time.Millisecond
	longestWide   = 6
	gangShare     = 0.3
	secondStep    = 0.3
	conditionSpan = 4 * time.Second
)

// submission is what a caller knows of its job.
type submission struct {
	spec *taskgraph.Spec
	// accepted is true once an answer said so, and refused while every answer said that
	// the job was not taken.
	accepted  bool
	refused   bool
	cancelled bool
	// cancelTried is true once a cancellation was sent, answered or not.
	cancelTried bool
	// poison is true if one of the job's tasks crashes the workers that start it.
	poison bool
	state  taskgraph.State
}

// ledger collects what callers see.
type ledger struct {
	mutex       sync.Mutex
	submissions []*submission
	broken      []string
	answers     map[string]int
}

func (l *ledger) fail(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

func (l *ledger) count(what string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[what]++
}

// callerLoop submits jobs, one at a time, until the run closes.
func (r *run) callerLoop(number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+number)))
	caller := standin.NewCaller(callLimit)
	for serial := 0; !r.closing(); serial++ {
		s := &submission{spec: r.drawSpec(random, number, serial), refused: true}
		r.ledger.mutex.Lock()
		r.ledger.submissions = append(r.ledger.submissions, s)
		r.ledger.mutex.Unlock()
		r.platform.Locked(func() {
			r.platform.World.Expect(*s.spec, catalog.Queue{Name: standin.QueueName, MaxAttempts: maxAttempts})
			if s.poison = r.workers.poisons(number, serial, s.spec); s.poison {
				r.platform.World.Crashing[taskgraph.TaskName{Job: s.spec.ID}] = r.workers.Crash
			}
		})
		r.submit(caller, random, s)
		if s.accepted && random.Float64() < cancelShare {
			r.cancel(caller, random, s)
		}
		r.look(caller, random, s)
		time.Sleep(callerPause)
	}
}

// drawSpec draws a job of one or two steps.
func (r *run) drawSpec(random *rand.Rand, caller, serial int) *taskgraph.Spec {
	draw := func() taskgraph.Step {
		work := shortestWork + time.Duration(random.Int64N(int64(longestWork-shortestWork)))
		return taskgraph.Step{
			Count:          1 + random.IntN(longestWide),
			Amount:         taskgraph.Amount{CPU: 2000, MemoryMB: 4000, GPUs: 1 << random.IntN(3)},
			EstimateMillis: work.Milliseconds(), Gang: random.Float64() < gangShare,
		}
	}
	spec := &taskgraph.Spec{
		ID:      fmt.Sprintf("%08x%04x%04x", uint32(r.options.Seed), caller, serial),
		Payload: fmt.Sprintf("job %d of caller %d", serial, caller), Steps: []taskgraph.Step{draw()},
	}
	if random.Float64() < secondStep {
		second := draw()
		second.After = []int{0}
		spec.Steps = append(spec.Steps, second)
	}
	return spec
}

// daemonFor picks a daemon, ready or not: clients keep using open connections.
func (r *run) daemonFor(random *rand.Rand) *daemon { return r.daemons[random.IntN(len(r.daemons))] }

// timed makes a call and judges what can be said of it by itself.
func (r *run) timed(d *daemon, what string, call func() (standin.Answer, error)) (standin.Answer, error) {
	began := time.Now()
	answer, err := call()
	took := time.Since(began)
	around := d.since(began.Add(-conditionSpan))
	switch {
	case err != nil:
		r.ledger.count(what + " no answer")
		if around.planned && !around.troubled && took > lossSlack {
			r.ledger.fail("%s at node-%d lost its answer after %v around a planned stop: %v", what, d.number, took, err)
		}
	case !answer.Whole:
		r.ledger.fail("%s at node-%d: status %d without a whole body", what, d.number, answer.Status)
	default:
		r.ledger.count(fmt.Sprintf("%s %d", what, answer.Status))
		if answer.Status == http.StatusServiceUnavailable && took > finalLimit && !around.troubled {
			r.ledger.fail("%s at node-%d was refused after %v", what, d.number, took)
		}
		if answer.Status == http.StatusUnauthorized && !around.troubled {
			r.ledger.fail("%s at node-%d: a key in force was refused", what, d.number)
		}
	}
	return answer, err
}

// submit hands a job in as PROTOCOL lets clients do: again after no answer, not after
// a refusal.
func (r *run) submit(caller *standin.Caller, random *rand.Rand, s *submission) {
	for range submitTries {
		d := r.daemonFor(random)
		answer, err := r.timed(d, "submit", func() (standin.Answer, error) { return caller.Submit(d.callers, r.key(), s.spec) })
		switch {
		case err == nil && answer.Status == http.StatusOK:
			s.accepted, s.refused = true, false
			return
		case err == nil && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusUnauthorized):
			return
		}
		s.refused = false
		time.Sleep(submitPause)
	}
}

func (r *run) cancel(caller *standin.Caller, random *rand.Rand, s *submission) {
	d := r.daemonFor(random)
	s.cancelTried = true
	answer, err := r.timed(d, "cancel", func() (standin.Answer, error) { return caller.Cancel(d.callers, r.key(), s.spec.ID) })
	if err != nil {
		return
	}
	switch answer.Status {
	case http.StatusOK:
		s.cancelled = true
		r.platform.Locked(func() { r.platform.World.Judge.Cancelled(s.spec.ID) })
	case http.StatusGone:
		r.ledger.fail("cancel of accepted job %s at node-%d: 410", s.spec.ID, d.number)
	}
}

// look asks for a job's state once and notes what the answer claims.
func (r *run) look(caller *standin.Caller, random *rand.Rand, s *submission) {
	d := r.daemonFor(random)
	answer, err := r.timed(d, "look", func() (standin.Answer, error) { return caller.State(d.callers, r.key(), s.spec.ID) })
	if err != nil {
		return
	}
	switch {
	case answer.Status == http.StatusOK:
		s.state = answer.State
		if s.refused {
			r.ledger.fail("job %s was refused and is shown as %s", s.spec.ID, answer.State)
		}
	case answer.Status == http.StatusGone && s.accepted:
		r.ledger.fail("accepted job %s at node-%d: 410", s.spec.ID, d.number)
	}
}
