//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submitted is a job of the traffic. Its code is that of the last attempt, once done is closed.
type submitted struct {
	id   string
	at   time.Time
	code int
	done chan struct{}
}

// nodesFrom returns the nodes in the order in which a client tries them.
func (s *site) nodesFrom(number int) []*daemon {
	first := number % len(s.daemons)
	return append(append([]*daemon{}, s.daemons[first:]...), s.daemons[:first]...)
}

// smallJob returns a job of equal tasks and registers what they need.
func (s *site) smallJob(id string, count int, work time.Duration) *jobBody {
	each := resources{CPU: 2000, MemoryMB: 1024, GPUs: 1}
	s.log.register(id, each)
	return &jobBody{
		Specification: fmt.Sprintf("%s%d", specifiedWork, work.Milliseconds()),
		Steps:         []step{{Count: count, CPU: each.CPU, MemoryMB: each.MemoryMB, GPUs: each.GPUs, Estimate: work.Milliseconds()}},
	}
}

// warmUp runs a few jobs, so that the pool has an owner and the workers are known.
func (s *site) warmUp(c *caller, q *queue) error {
	for number := range 3 {
		id := newID()
		if code := c.submit(s.nodesFrom(number), q, id, s.smallJob(id, 1, 100*time.Millisecond), 10); code != 200 {
			return fmt.Errorf("a job before the case got %d", code)
		}
		if !s.await(10*time.Second, func() bool {
			_, state := c.state(s.daemons[number%len(s.daemons)], q, id)
			return state == "completed"
		}) {
			return fmt.Errorf("a job before the case was not completed")
		}
	}
	s.record.line("the deployment is warm")
	return nil
}

// await waits until a condition holds.
func (s *site) await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// workerOf returns the worker on which the first run of a job has started.
func (s *site) workerOf(id string) *worker {
	first := s.log.of(id)[0].worker
	for _, w := range s.workers {
		if w.id == first {
			return w
		}
	}
	return nil
}
