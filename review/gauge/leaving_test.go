//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// drainTime is drain_ms, and drainRest the little that a worker serves on beyond it.
	drainTime     = 2 * time.Second
	drainRest     = 200 * time.Millisecond
	leaveAfter    = 3 * time.Second
	leavingRounds = 5
	leavingWork   = 60 * time.Second
)

func init() {
	scenarios["leaving"] = scenario{
		daemons: 3, workers: 48,
		queues: []*queue{{name: "trend", host: "trend.example", prefix: "/trend/", priority: 1, attempts: 4}},
		run:    runLeaving,
	}
}

// runLeaving hands in one long task. The worker that runs it leaves as planned, a few times in a row.
func runLeaving(s *site) (bool, error) {
	c, q := newCaller("key-north", s.record), s.queues[0]
	if err := s.warmUp(c, q); err != nil {
		return false, err
	}
	id := newID()
	if code := c.submit(s.daemons, q, id, s.smallJob(id, 1, leavingWork), 5); code != http.StatusOK {
		return false, fmt.Errorf("the job got %d", code)
	}
	state := ""
	for round := 1; round <= leavingRounds && state != "failed"; round++ {
		if !s.await(20*time.Second, func() bool { return s.log.starts(id) == round }) {
			break
		}
		time.Sleep(leaveAfter)
		if s.trouble {
			s.lastWorkerOf(id).leave(drainTime + drainRest)
		}
		s.await(12*time.Second, func() bool {
			_, state = c.state(s.daemons[0], q, id)
			return state == "failed" || s.log.starts(id) > round
		})
		s.tell("round %d: the job is shown as %q; %d starts", round, state, s.log.starts(id))
	}
	failed := 0
	for _, event := range s.log.of(id) {
		if event.how == "failed" {
			failed++
		}
	}
	return state == "failed" && failed == 0, nil
}

// lastWorkerOf returns the worker on which the last run of a job has started.
func (s *site) lastWorkerOf(id string) *worker {
	last := ""
	for _, event := range s.log.of(id) {
		if event.how == "" {
			last = event.worker
		}
	}
	for _, w := range s.workers {
		if w.id == last {
			return w
		}
	}
	return nil
}
