//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	waitingJobs = 8
	// countBound is visible_ms + 2 s.
	countBound = 5 * time.Second
)

func init() {
	scenarios["waiting"] = scenario{
		daemons: 3, workers: 8,
		queues: []*queue{
			{name: "check", host: "check.example", prefix: "/check/", priority: 1, attempts: 3},
			{name: "trend", host: "trend.example", prefix: "/trend/", priority: 1, attempts: 3},
		},
		run: runWaiting,
	}
}

// runWaiting fills all workers but one with long tasks. The last one is lost for good, and at the same time
// some jobs are handed in. Then the nodes are asked how many jobs wait.
func runWaiting(s *site) (bool, error) {
	c, check, trend := newCaller("key-north", s.record), s.queues[0], s.queues[1]
	if err := s.warmUp(c, check); err != nil {
		return false, err
	}
	full := newID()
	if code := c.submit(s.daemons, trend, full, s.smallJob(full, 8*(len(s.workers)-1), time.Minute), 5); code != http.StatusOK {
		return false, fmt.Errorf("the long job got %d", code)
	}
	if !s.await(10*time.Second, func() bool { return s.log.starts(full) == 8*(len(s.workers)-1) }) {
		return false, fmt.Errorf("the workers are not full")
	}
	time.Sleep(contactBound)
	if s.trouble {
		s.idleWorker().crash()
	}
	var jobs []*submitted
	for number := range waitingJobs {
		j := &submitted{id: newID(), at: time.Now(), done: make(chan struct{})}
		jobs = append(jobs, j)
		go s.handIn(c, check, j, number, s.smallJob(j.id, 1, 30*time.Second))
	}
	for _, j := range jobs {
		<-j.done
	}
	broken := false
	for range 3 {
		time.Sleep(countBound)
		broken = s.countsWrong(c, check, jobs) || broken
	}
	return broken, nil
}

// idleWorker returns a worker without runs.
func (s *site) idleWorker() *worker {
	for _, w := range s.workers {
		w.mutex.Lock()
		idle := len(w.life.runs) == 0
		w.mutex.Unlock()
		if idle {
			return w
		}
	}
	return nil
}

// countsWrong asks all nodes how many jobs wait. It reports whether one gives under half of the accepted jobs
// of which no task has begun.
func (s *site) countsWrong(c *caller, q *queue, jobs []*submitted) bool {
	begunNot := 0
	for _, j := range jobs {
		if j.code == http.StatusOK && s.log.starts(j.id) == 0 {
			begunNot++
		}
	}
	wrong := false
	for _, d := range s.daemons {
		status, document := c.call(http.MethodGet, d, q, "", nil)
		var body struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal(document, &body) != nil {
			continue
		}
		s.tell("%s gives %d as waiting; of %d accepted jobs no task has begun", d.name, body.Waiting, begunNot)
		wrong = wrong || 2*body.Waiting < begunNot
	}
	return wrong
}
