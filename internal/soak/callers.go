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
	// callTimeout is how long a caller waits for a response.
	callTimeout = 3 * time.Second
	// maxRefusalTime is the time within which a daemon without an injected fault must refuse a
	// call.
	maxRefusalTime = 2500 * time.Millisecond
	// A caller may send a request while a stopping daemon closes the idle connection. Such a request
	// fails within idleCloseSlack.
	idleCloseSlack  = 200 * time.Millisecond
	submitAttempts  = 4
	submitPause     = 200 * time.Millisecond
	cancelShare     = 0.1
	callerPause     = 250 * time.Millisecond
	maxAttempts     = 40
	minTaskDuration = 200 * time.Millisecond
	maxTaskDuration = 1500 * time.Millisecond
	maxTaskCount    = 6
	gangShare       = 0.3
	secondStepShare = 0.3
	faultLookback   = 4 * time.Second
)

// submission is a job and the responses that its caller received.
type submission struct {
	spec *taskgraph.Spec
	// accepted is set once a daemon accepted the job.
	accepted bool
	// refused is true unless a submission was accepted or its outcome is unknown.
	refused bool
	// cancelled is set once a daemon acknowledged the cancellation.
	cancelled bool
	// cancelTried is set once the caller sent a cancellation, whatever the response.
	cancelTried bool
	// poison is set if one of the tasks crashes the workers that start it.
	poison bool
	state  taskgraph.State
}

// observations collects violations and counts the responses to callers.
type observations struct {
	mutex       sync.Mutex
	submissions []*submission
	violations  []string
	answers     map[string]int
}

func (o *observations) addViolation(format string, args ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *observations) count(what string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.answers[what]++
}

// callerLoop submits jobs one at a time until the run ends.
func (r *run) callerLoop(number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+number)))
	caller := standin.NewClient(callTimeout)
	again := newResubmissions(r, number, caller)
	for serial := 0; !r.closing(); serial++ {
		s := &submission{spec: r.randomSpec(random, number, serial), refused: true}
		r.observations.mutex.Lock()
		r.observations.submissions = append(r.observations.submissions, s)
		r.observations.mutex.Unlock()
		r.platform.WithLock(func() {
			r.platform.Cluster.RegisterJob(*s.spec, catalog.Queue{Name: standin.QueueName, MaxAttempts: maxAttempts})
			if s.poison = r.workers.poisons(number, serial, s.spec); s.poison {
				r.platform.Cluster.Crashing[taskgraph.TaskName{Job: s.spec.ID}] = r.workers.Crash
			}
		})
		if !again.submitAtOnce(s) {
			r.submit(caller, random, s)
		}
		if s.accepted {
			again.submitAgain(s)
		}
		if s.accepted && random.Float64() < cancelShare {
			r.cancel(caller, random, s)
		}
		r.checkState(caller, random, s)
		time.Sleep(callerPause)
	}
}

// randomSpec returns a random job of one or two steps.
func (r *run) randomSpec(random *rand.Rand, caller, serial int) *taskgraph.Spec {
	draw := func() taskgraph.Step {
		work := minTaskDuration + time.Duration(random.Int64N(int64(maxTaskDuration-minTaskDuration)))
		return taskgraph.Step{
			Count:          1 + random.IntN(maxTaskCount),
			Resources:      taskgraph.Resources{CPU: 2000, MemoryMB: 4000, GPUs: 1 << random.IntN(3)},
			EstimateMillis: work.Milliseconds(), Gang: random.Float64() < gangShare,
		}
	}
	spec := &taskgraph.Spec{
		ID:      fmt.Sprintf("%08x%04x%04x", uint32(r.options.Seed), caller, serial),
		Payload: fmt.Sprintf("job %d of caller %d", serial, caller), Steps: []taskgraph.Step{draw()},
	}
	if random.Float64() < secondStepShare {
		second := draw()
		second.After = []int{0}
		spec.Steps = append(spec.Steps, second)
	}
	return spec
}

// randomDaemon returns a random daemon. The daemon need not be ready, because clients keep using
// open connections.
func (r *run) randomDaemon(random *rand.Rand) *daemon { return r.daemons[random.IntN(len(r.daemons))] }

// checkedCall makes a call and checks the invariants on a single response.
func (r *run) checkedCall(d *daemon, what string, call func() (standin.Response, error)) (standin.Response, error) {
	began := time.Now()
	answer, err := call()
	took := time.Since(began)
	around := d.conditionSince(began.Add(-faultLookback))
	switch {
	case err != nil:
		r.observations.count(what + " no answer")
		if around.plannedStop && !around.faulty && took > idleCloseSlack {
			r.observations.addViolation("%s at node-%d: no response after %v around a planned stop: %v", what, d.number, took, err)
		}
	case !answer.Valid:
		r.observations.addViolation("%s at node-%d: status %d with an invalid body", what, d.number, answer.Status)
	default:
		r.observations.count(fmt.Sprintf("%s %d", what, answer.Status))
		if answer.Status == http.StatusServiceUnavailable && took > maxRefusalTime && !around.faulty {
			r.observations.addViolation("%s at node-%d: 503 only after %v without an injected fault", what, d.number, took)
		}
		if answer.Status == http.StatusUnauthorized && !around.faulty {
			r.observations.addViolation("%s at node-%d: 401 for a valid key without an injected fault", what, d.number)
		}
	}
	return answer, err
}

// submit submits a job. As PROTOCOL requires, it retries if there was no response but not after a
// refusal.
func (r *run) submit(caller *standin.Client, random *rand.Rand, s *submission) {
	for range submitAttempts {
		outcome := r.submitOnce(caller, r.randomDaemon(random), s)
		s.record(outcome)
		if outcome != submitUnknown {
			return
		}
		time.Sleep(submitPause)
	}
}

func (r *run) cancel(caller *standin.Client, random *rand.Rand, s *submission) {
	d := r.randomDaemon(random)
	s.cancelTried = true
	answer, err := r.checkedCall(d, "cancel", func() (standin.Response, error) { return caller.Cancel(d.callerAddress, r.key(), s.spec.ID) })
	if err != nil {
		return
	}
	switch answer.Status {
	case http.StatusOK:
		s.cancelled = true
		r.platform.WithLock(func() { r.platform.Cluster.Checker.Cancelled(s.spec.ID) })
	case http.StatusGone:
		r.observations.addViolation("cancellation of accepted job %s: job is unknown at node-%d (410)", s.spec.ID, d.number)
	}
}

// checkState queries the state of a job once and checks the response.
func (r *run) checkState(caller *standin.Client, random *rand.Rand, s *submission) {
	d := r.randomDaemon(random)
	answer, err := r.checkedCall(d, "look", func() (standin.Response, error) { return caller.State(d.callerAddress, r.key(), s.spec.ID) })
	if err != nil {
		return
	}
	switch {
	case answer.Status == http.StatusOK:
		s.state = answer.State
		if s.refused {
			r.observations.addViolation("job %s was refused but is reported as %s", s.spec.ID, answer.State)
		}
	case answer.Status == http.StatusGone && s.accepted:
		r.observations.addViolation("accepted job %s is unknown at node-%d (410)", s.spec.ID, d.number)
	}
}
