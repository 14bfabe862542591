//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// gangMembers is the largest gang that the users' letter names.
	gangMembers = 1024
	gangWork    = 8 * time.Second
	gangCrashAt = 4 * time.Second
	gangDown    = 4 * time.Second
	gangBound   = 45 * time.Second
)

func init() {
	scenarios["gang"] = scenario{
		daemons: 3, workers: 48,
		queues: []*queue{{name: "trend", host: "trend.example", prefix: "/trend/", priority: 1, attempts: 3}},
		run:    runGang,
	}
}

// runGang hands in one job, a gang. While it runs, one worker crashes, and is back after some seconds.
func runGang(s *site) (bool, error) {
	c, q := newCaller("key-north", s.record), s.queues[0]
	if err := s.warmUp(c, q); err != nil {
		return false, err
	}
	id := newID()
	each := resources{CPU: 1000, MemoryMB: 512}
	s.log.register(id, each)
	s.gangs.register(id, gangMembers)
	job := &jobBody{
		Specification: fmt.Sprintf("%s%d", specifiedWork, gangWork.Milliseconds()),
		Steps:         []step{{Count: gangMembers, CPU: each.CPU, MemoryMB: each.MemoryMB, Estimate: gangWork.Milliseconds(), Gang: true}},
	}
	if code := c.submit(s.daemons, q, id, job, 5); code != http.StatusOK {
		return false, fmt.Errorf("the job got %d", code)
	}
	time.Sleep(gangCrashAt)
	s.tellProgress(id)
	if s.trouble {
		its := s.workerOf(id)
		its.crash()
		time.Sleep(gangDown)
		if err := its.restart(); err != nil {
			return false, err
		}
	}
	state := ""
	for until := time.Now().Add(gangBound); time.Now().Before(until); time.Sleep(time.Second) {
		if _, state = c.state(s.daemons[0], q, id); state == "completed" {
			break
		}
	}
	s.tell("the job is shown as %q", state)
	return s.standsStill(id, gangMembers), nil
}

// standsStill reports whether a job has nothing running for idleBound while not all of its tasks are done.
// Nothing else is handed in, so that the whole service is free.
func (s *site) standsStill(id string, tasks int) bool {
	s.tellProgress(id)
	before := s.log.starts(id)
	running, done := s.runningAndDone(id)
	time.Sleep(idleBound + 200*time.Millisecond)
	started := s.log.starts(id) - before
	s.tell("in %.1f s more, with %d of its tasks running and %d of %d done, %d have started", (idleBound + 200*time.Millisecond).Seconds(), running, done, tasks, started)
	return running == 0 && done < tasks && started == 0
}

// runningAndDone counts the tasks of a job that run now and those of which a run has ended done.
func (s *site) runningAndDone(id string) (running, done int) {
	tasks := map[string]bool{}
	for _, event := range s.log.of(id) {
		switch event.how {
		case "":
			running++
		case "done":
			tasks[event.task] = true
			running--
		default:
			running--
		}
	}
	return running, len(tasks)
}

func (s *site) tellProgress(id string) {
	running, done := s.runningAndDone(id)
	s.tell("job %s: %d starts, %d tasks run now, %d are done", id, s.log.starts(id), running, done)
}
