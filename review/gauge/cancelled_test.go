//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// lateWrite is how much later the store does a write that got no answer; the pages say 1 to 6 s.
	lateWrite = 5500 * time.Millisecond
	// cancelBound is cancel_ms, and contactBound contact_ms.
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

func init() {
	scenarios["cancelled"] = scenario{
		daemons: 3, workers: 6,
		queues: []*queue{{name: "check", host: "check.example", prefix: "/check/", priority: 0, attempts: 3}},
		run:    runCancelled,
	}
}

// runCancelled hands in a job whose acceptance the store writes late and without an answer. The client is
// told 502, and cancels the job at another node instead of sending it again.
func runCancelled(s *site) (bool, error) {
	c, q := newCaller("key-north", s.record), s.queues[0]
	if err := s.warmUp(c, q); err != nil {
		return false, err
	}
	time.Sleep(contactBound)
	id := newID()
	var lastLost time.Time
	var writes, lostWrites int
	s.store.setLoss(func(t *transaction) (time.Duration, bool) {
		writes++
		lost := s.trouble && t.writes("jobs", ".accepted") && strings.HasPrefix(t.Put[0].Name, id)
		if lost {
			lostWrites++
			lastLost = time.Now()
		}
		return lateWrite, lost
	})
	go s.otherJobs(c, q)
	posted, _ := c.call(http.MethodPost, s.daemons[0], q, id, s.smallJob(id, 2, time.Second))
	s.store.setLoss(nil)
	s.tell("the store got %d writing calls meanwhile; %d had no answer", writes, lostWrites)
	cancelled := noAnswer
	for attempt := 1; cancelled != http.StatusOK && cancelled != http.StatusGone; attempt++ {
		if attempt > 20 {
			return false, fmt.Errorf("the cancelling got no 2xx or 410")
		}
		cancelled, _ = c.call(http.MethodDelete, s.daemons[attempt%len(s.daemons)], q, id, nil)
	}
	acknowledged := time.Now()
	s.tell("POST was answered %d; DELETE was answered %d", posted, cancelled)
	time.Sleep(12 * time.Second)
	_, state := c.state(s.daemons[1], q, id)
	s.tell("the job is shown as %q", state)
	broken := false
	for _, event := range s.log.of(id) {
		if event.how != "" || event.at.Sub(acknowledged) <= cancelBound || event.at.Sub(lastLost) <= contactBound {
			continue
		}
		s.tell("task %s started on %s %.2f s after its job's cancelling was acknowledged, %.2f s after the last lost answer",
			event.task, event.worker, event.at.Sub(acknowledged).Seconds(), event.at.Sub(lastLost).Seconds())
		broken = true
	}
	return broken, nil
}

// otherJobs hands in some jobs beside the one of the case, at the other nodes.
func (s *site) otherJobs(c *caller, q *queue) {
	for number := range 5 {
		id := newID()
		go c.submit(s.nodesFrom(1), q, id, s.smallJob(id, 1, 200*time.Millisecond), 5)
		time.Sleep(time.Duration(100+10*number) * time.Millisecond)
	}
}
