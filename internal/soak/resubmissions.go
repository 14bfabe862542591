package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/platform/standin"
)

const (
	// While the queue moves, one in submitAtOnceEvery jobs is submitted to several daemons within
	// submitAtOnceSpread, and one in submitAgainEvery again after up to submitAgainSpread.
	submitAtOnceEvery  = 3
	submitAtOnceCount  = 3
	submitAtOnceSpread = 50 * time.Millisecond
	submitAgainEvery   = 2
	submitAgainSpread  = 2 * time.Second
	// resubmissionsStream is the first random stream of the callers' resubmissions.
	resubmissionsStream = 600
)

// resubmissions submits jobs several times while the queue moves. A caller that draws nothing from it
// behaves as in a run without moves.
type resubmissions struct {
	run    *run
	random *rand.Rand
	caller *standin.Client
}

// newResubmissions returns the resubmissions of one caller, or nil if the queue does not move.
func newResubmissions(r *run, number int, caller *standin.Client) *resubmissions {
	if len(r.queueMoves) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(resubmissionsStream+number)))
	return &resubmissions{run: r, random: random, caller: caller}
}

// submitAtOnce submits some jobs to several daemons at the same time. It reports whether it did.
func (b *resubmissions) submitAtOnce(s *submission) bool {
	if b == nil || b.random.IntN(submitAtOnceEvery) > 0 {
		return false
	}
	var all sync.WaitGroup
	outcomes := make([]submitOutcome, submitAtOnceCount)
	for i := range outcomes {
		d := b.run.randomDaemon(b.random)
		delay := time.Duration(b.random.Int64N(int64(submitAtOnceSpread)))
		all.Go(func() {
			time.Sleep(delay)
			outcomes[i] = b.run.submitOnce(b.caller, d, s)
		})
	}
	all.Wait()
	for _, outcome := range outcomes {
		s.record(outcome)
	}
	return true
}

// submitAgain submits some accepted jobs again, as PROTOCOL allows callers to.
func (b *resubmissions) submitAgain(s *submission) {
	if b == nil || b.random.IntN(submitAgainEvery) > 0 {
		return
	}
	time.Sleep(time.Duration(b.random.Int64N(int64(submitAgainSpread))))
	s.record(b.run.submitOnce(b.caller, b.run.randomDaemon(b.random), s))
}

// submitOutcome is what a caller knows of a submission.
type submitOutcome int

const (
	// submitUnknown submissions got no response, or one that leaves the outcome open.
	submitUnknown submitOutcome = iota
	submitAccepted
	submitRefused
)

// submitOnce submits a job through one daemon.
func (r *run) submitOnce(caller *standin.Client, d *daemon, s *submission) submitOutcome {
	answer, err := r.checkedCall(d, "submit", func() (standin.Response, error) { return caller.Submit(d.callerAddress, r.key(), s.spec) })
	if err != nil {
		return submitUnknown
	}
	switch answer.Status {
	case http.StatusOK:
		return submitAccepted
	case http.StatusServiceUnavailable, http.StatusUnauthorized, http.StatusNotFound:
		return submitRefused
	case http.StatusConflict:
		r.observations.addViolation("job %s is refused at node-%d as if it were another job", s.spec.ID, d.number)
	}
	return submitUnknown
}

// record adds the outcome of a submission.
func (s *submission) record(outcome submitOutcome) {
	s.accepted = s.accepted || outcome == submitAccepted
	s.refused = s.refused && outcome == submitRefused
}
