//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case "flood". Every floodEvery-th job can never be done, which is the largest share that
// the site files name.
const (
	floodEvery       = 20
	floodJobs        = 180
	floodRepetitions = 40000
	floodInterval    = 60_000
	trafficPeriod    = 200 * time.Millisecond
	finishTime       = 14 * time.Second
)

func init() {
	scenarios["flood"] = scenario{
		daemons: 3, workers: 24,
		queues: []*queue{{name: "trend", host: "trend.example", prefix: "/trend/", priority: 1, attempts: 3}},
		run:    runFlood,
	}
}

// runFlood hands in small jobs. Among them are a few of another tenant that can never be done, as no worker
// has their label. They are scheduled jobs, and their times have all come.
func runFlood(s *site) (bool, error) {
	north, south := newCaller("key-north", s.record), newCaller("key-south", s.record)
	q := s.queues[0]
	if err := s.warmUp(south, q); err != nil {
		return false, err
	}
	var jobs []*submitted
	for number := range floodJobs {
		j := &submitted{id: newID(), at: time.Now(), done: make(chan struct{})}
		hopeless := s.trouble && number%floodEvery == floodEvery-1
		if hopeless {
			go s.handIn(north, q, j, number, s.hopelessJob(j.id))
		} else {
			jobs = append(jobs, j)
			go s.handIn(south, q, j, number, s.smallJob(j.id, 2, 500*time.Millisecond))
		}
		time.Sleep(trafficPeriod)
	}
	for _, j := range jobs {
		<-j.done
	}
	time.Sleep(finishTime)
	s.tellMemory()
	return s.judgeIdleJobs(south, q, jobs), nil
}

// hopelessJob returns a scheduled job that asks for a label which no worker has.
func (s *site) hopelessJob(id string) *jobBody {
	each := resources{CPU: 1000, MemoryMB: 512, GPUs: 1}
	s.log.register(id, each)
	s.record.line("job %s can never be done; %d repetitions", id, floodRepetitions)
	return &jobBody{
		Specification: "work_ms=500", Repetitions: floodRepetitions, Interval: floodInterval,
		Steps: []step{{Count: 1, CPU: each.CPU, MemoryMB: each.MemoryMB, GPUs: each.GPUs, Estimate: 500, Requirements: "b"}},
	}
}

// judgeIdleJobs looks at all accepted jobs finishTime after the traffic. The rule is broken if one has had
// nothing running for idleBound while its turn has come and nearly all of the service is free.
func (s *site) judgeIdleJobs(c *caller, q *queue, jobs []*submitted) bool {
	from := time.Now()
	var idle []*submitted
	accepted, longest := 0, time.Duration(0)
	for _, j := range jobs {
		if j.code != http.StatusOK {
			continue
		}
		accepted++
		events := s.log.of(j.id)
		if len(events) == 0 {
			idle = append(idle, j)
			continue
		}
		longest = max(longest, events[0].at.Sub(j.at))
	}
	s.tell("%d of %d jobs accepted; %d of them have not begun %d s after the traffic; the longest wait of the others was %d ms",
		accepted, len(jobs), len(idle), int(finishTime.Seconds()), longest.Milliseconds())
	time.Sleep(idleBound + 200*time.Millisecond)
	still := 0
	for _, j := range idle {
		if s.log.starts(j.id) == 0 {
			still++
		}
	}
	inUse, room := s.mostInUse(from), 8*len(s.workers)
	s.tell("%d jobs have had nothing running for %.1f s, while at most %d of %d GPUs were in use", still, time.Since(from).Seconds(), inUse, room)
	s.tellExamples(c, q, idle)
	return still > 0 && 2*inUse < room
}

func (s *site) tellExamples(c *caller, q *queue, idle []*submitted) {
	for _, j := range idle[:min(len(idle), 3)] {
		status, state := c.state(s.daemons[0], q, j.id)
		s.tell("job %s, handed in at %.1f s, is answered %d %q", j.id, j.at.Sub(began).Seconds(), status, state)
	}
}

// mostInUse returns how many runs, of one GPU each, were on the workers at once since a time, at most.
func (s *site) mostInUse(since time.Time) int {
	s.log.mutex.Lock()
	defer s.log.mutex.Unlock()
	running, most := 0, 0
	for _, event := range s.log.events {
		if event.how == "" {
			running++
		} else {
			running--
		}
		if event.at.After(since) {
			most = max(most, running)
		}
	}
	return max(most, running)
}

// tellMemory tells the memory of the processes beside that of their machines. It is not judged.
func (s *site) tellMemory() {
	for _, d := range s.daemons {
		s.tell("%s takes %d MB; its machine has %d MB", d.name, d.residentMB(), memoryLimit)
	}
}

// handIn hands a job in, with the retries of a client.
func (s *site) handIn(c *caller, q *queue, j *submitted, number int, job *jobBody) {
	j.code = c.submit(s.nodesFrom(number), q, j.id, job, 5)
	if j.code != http.StatusOK {
		s.record.line("job %s is not accepted: %s", j.id, fmt.Sprint(j.code))
	}
	close(j.done)
}
