//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lateOrder is how much later the worker carries the order out; the pages say 2 to 12 s.
	lateOrder = 11500 * time.Millisecond
	// crashAfter and downTime tell when the worker crashes, after the order was sent, and for how long.
	crashAfter = 8 * time.Second
	downTime   = 2 * time.Second
)

func init() {
	scenarios["latestart"] = scenario{
		daemons: 3, workers: 6,
		queues: []*queue{{name: "check", host: "check.example", prefix: "/check/", priority: 0, attempts: 3}},
		run:    runLateStart,
	}
}

// runLateStart hands in a job of one task. The first copy of its start gets no answer and is carried out
// late, after the worker has crashed and started again under its id.
func runLateStart(s *site) (bool, error) {
	c, q := newCaller("key-north", s.record), s.queues[0]
	if err := s.warmUp(c, q); err != nil {
		return false, err
	}
	id := newID()
	var once sync.Once
	for _, w := range s.workers {
		w.setLoss(func(kind string, o *order) (time.Duration, bool) {
			lost := false
			if s.trouble && kind == "run-start" && jobOf(o.Task) == id {
				once.Do(func() { lost = true })
			}
			return lateOrder, lost
		})
	}
	if code := c.submit(s.daemons, q, id, s.smallJob(id, 1, time.Second), 5); code != http.StatusOK {
		return false, fmt.Errorf("the job got %d", code)
	}
	if !s.await(10*time.Second, func() bool { return s.log.starts(id) > 0 }) {
		return false, fmt.Errorf("the job was not started")
	}
	started := time.Now()
	its := s.workerOf(id)
	time.Sleep(time.Until(started.Add(crashAfter)))
	_, state := c.state(s.daemons[0], q, id)
	s.tell("before the crash the job is shown as %q", state)
	its.crash()
	time.Sleep(downTime)
	if err := its.restart(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	return s.startedAfterDone(id), nil
}

// startedAfterDone reports whether a task of a job started after a run of it had ended done, if that end was
// taken note of.
func (s *site) startedAfterDone(id string) bool {
	broken := false
	events := s.log.of(id)
	for i, ended := range events {
		if ended.how != "done" || ended.noted.IsZero() {
			continue
		}
		for _, later := range events[i+1:] {
			if later.how == "" && later.task == ended.task {
				s.tell("task %s started again %.2f s after its run %d had ended done, which was taken note of", later.task, later.at.Sub(ended.at).Seconds(), ended.run)
				broken = true
			}
		}
	}
	return broken
}
