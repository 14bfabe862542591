//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	repeatedSteps    = 30
	longSchedule     = 110
	shortSchedule    = 30
	repeatedInterval = 500 * time.Millisecond
)

func init() {
	scenarios["repeated"] = scenario{
		daemons: 3, workers: 24,
		queues: []*queue{{name: "trend", host: "trend.example", prefix: "/trend/", priority: 1, attempts: 3}},
		run:    runRepeated,
	}
}

// runRepeated hands in one scheduled job and follows its state. No task fails.
func runRepeated(s *site) (bool, error) {
	c, q := newCaller("key-north", s.record), s.queues[0]
	if err := s.warmUp(c, q); err != nil {
		return false, err
	}
	repetitions := shortSchedule
	if s.trouble {
		repetitions = longSchedule
	}
	id := newID()
	each := resources{CPU: 1000, MemoryMB: 512}
	s.log.register(id, each)
	job := &jobBody{Specification: specifiedWork + "20", Repetitions: repetitions, FirstRun: time.Now().Add(time.Second).UnixMilli(), Interval: repeatedInterval.Milliseconds()}
	for range repeatedSteps {
		job.Steps = append(job.Steps, step{Count: 1, CPU: each.CPU, MemoryMB: each.MemoryMB, Estimate: 20})
	}
	if code := c.submit(s.daemons, q, id, job, 5); code != http.StatusOK {
		return false, fmt.Errorf("the scheduled job got %d", code)
	}
	s.record.line("job %s: %d repetitions of %d steps", id, repetitions, repeatedSteps)
	state := ""
	for until := time.Now().Add(time.Duration(repetitions)*repeatedInterval + 20*time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if _, state = c.state(s.daemons[1], q, id); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	done, failed := 0, 0
	for _, event := range s.log.of(id) {
		switch event.how {
		case "done":
			done++
		case "failed":
			failed++
		}
	}
	s.tell("the job is shown as %q; %d of %d runs ended done, %d failed", state, done, repetitions*repeatedSteps, failed)
	return failed == 0 && (state == "failed" || state == "cancelled" || state == "completed" && done < repetitions*repeatedSteps), nil
}
