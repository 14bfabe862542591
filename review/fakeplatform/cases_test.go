//go:build review

package fakeplatform

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

var errSetup = errors.New("the case did not come about")

// playLateStart: the first copy of a start gets no answer and arrives 9 s later. The copy that the
// owner sends after it is answered, the task ends done, and the end is taken note of. Then the worker
// crashes and starts again under its id, and the first copy arrives.
func playLateStart(s *system) error {
	if err := s.start(8, 48); err != nil {
		return err
	}
	const lateBy = 9 * time.Second
	var held *worker
	var heldAt time.Time
	if s.trouble {
		s.fleet.delay = func(w *worker, path string, o *order) time.Duration {
			if path != "run-start" || held != nil {
				return 0
			}
			held, heldAt = w, time.Now()
			return lateBy
		}
	}
	j := &job{id: jobID(1), prefix: "/lohu930/", count: 1, needs: taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}}
	if s.submit(s.nodes[0], j) != http.StatusOK {
		return errSetup
	}
	if !s.waitCompleted(j, 10*time.Second) {
		return errSetup
	}
	if !s.trouble {
		time.Sleep(lateBy)
		s.judgeTwice()
		return nil
	}
	time.Sleep(time.Until(heldAt.Add(6500 * time.Millisecond)))
	s.record.line("trouble", "%s crashes", held.id)
	held.crash()
	time.Sleep(time.Second)
	held.begin()
	s.record.line("trouble", "%s is back under its id, born %d", held.id, held.life.born)
	time.Sleep(time.Until(heldAt.Add(lateBy + 4*time.Second)))
	s.judgeTwice()
	return nil
}

// playLateAcceptance: the writes that accept one job get no answer and are carried out 6 s later. The
// client is told that the outcome is unknown, and cancels.
func playLateAcceptance(s *system) error {
	if err := s.start(8, 48); err != nil {
		return err
	}
	needs := taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}
	j := &job{id: jobID(1), prefix: "/lohu930/", count: 3, needs: needs}
	if s.trouble {
		s.store.fault = func(t *transaction) writeFault {
			if t.names("jobs", j.id) && len(t.Put) > 0 && t.Put[0].Name == j.id+".accepted" {
				return writeFault{late: 6 * time.Second}
			}
			return writeFault{}
		}
	}
	writes, lost := s.store.writes, s.store.lost
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for number := 100; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				s.submit(s.nextNode(), &job{id: jobID(number), prefix: "/lohu930/", count: 1, needs: needs})
			}
		}
	}()
	time.Sleep(time.Second)
	status := s.submit(s.nodes[0], j)
	s.store.mutex.Lock()
	s.store.fault = nil
	s.record.line("trouble", "ends: %d of %d writes were left without an answer", s.store.lost-lost, s.store.writes-writes)
	s.store.mutex.Unlock()
	troubleEnd := time.Now()
	cancelStatus, text := s.nodes[1].call(http.MethodDelete, apiHost, j.prefix+j.id, apiKey, "", requestDeadline)
	cancelled := time.Now()
	s.record.line("client", "DELETE %s at %s: %d %s", j.id, s.nodes[1].name, cancelStatus, text)
	if s.trouble && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != 0 || cancelStatus != http.StatusOK && cancelStatus != http.StatusGone {
		return fmt.Errorf("%w: POST %d, DELETE %d", errSetup, status, cancelStatus)
	}
	close(stop)
	<-finished
	time.Sleep(time.Until(cancelled.Add(12 * time.Second)))
	s.judgeCancelled(j, cancelled, troubleEnd)
	return nil
}

// judgeCancelled applies UNASKED: a machine in touch starts a task more than cancel_ms after the job's
// cancelling was acknowledged.
func (s *system) judgeCancelled(j *job, cancelled, troubleEnd time.Time) {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	for _, start := range s.fleet.starts {
		inTouch := start.at.Sub(troubleEnd) > contactTime
		if len(start.task) > len(j.id) && start.task[:len(j.id)] == j.id && start.at.Sub(cancelled) > cancelTime && inTouch {
			s.record.violation("UNASKED: %s run %d starts %.1f s after the job's cancelling was acknowledged", start.task, start.run, start.at.Sub(cancelled).Seconds())
		}
	}
}

// playWideJob: one job of 1,024 tasks comes, then small ones.
func playWideJob(s *system) error {
	s.fleet.quiet = true
	if err := s.start(8, 48); err != nil {
		return err
	}
	small := taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}
	before := &job{id: jobID(1), prefix: "/lohu930/", count: 3, needs: small}
	s.submit(s.nextNode(), before)
	if !s.waitCompleted(before, 12*time.Second) {
		return errSetup
	}
	if s.trouble {
		wide := &job{id: jobID(2), prefix: "/lohu930/", count: 1024, needs: taskNeeds{resources: resources{CPU: 1000, MemoryMB: 1024}, work: 7600 * time.Millisecond, checkpoints: true}}
		if s.submit(s.nextNode(), wide) != http.StatusOK {
			return errSetup
		}
	}
	time.Sleep(10 * time.Second)
	jobs := s.submitEach(10, 3, "/lohu930/", 500*time.Millisecond, small)
	return s.judgeLost(jobs)
}

func (s *system) submitEach(first, count int, prefix string, pause time.Duration, needs taskNeeds) []*job {
	var jobs []*job
	for number := first; number < first+count; number++ {
		j := &job{id: jobID(number), prefix: prefix, count: 1, needs: needs}
		if s.submit(s.nextNode(), j) == http.StatusOK {
			jobs = append(jobs, j)
		}
		time.Sleep(pause)
	}
	return jobs
}

// judgeLost applies LOST: finish_s after the end of the traffic, an accepted job that has not ended has
// nothing running for 3 s while under half of the capacity is in use.
func (s *system) judgeLost(jobs []*job) error {
	if len(jobs) == 0 {
		return errSetup
	}
	s.record.line("client", "end of the traffic")
	time.Sleep(finishTime)
	for _, j := range jobs {
		status, state := s.state(j)
		share, running := s.fleet.usage(j.id)
		s.record.line("client", "GET %s: %d %s (%.0f%% of the cores in use, runs: %v)", j.id, status, state, 100*share, running)
		if state != "completed" && state != "failed" && state != "cancelled" && s.idleFor(j, 3*time.Second) {
			s.record.violation("LOST: %s, accepted %.0f s ago, is %s and has nothing running for 3 s while under half of the capacity is in use", j.id, time.Since(j.acceptedAt).Seconds(), state)
		}
	}
	return nil
}

// playConfigNames: new versions of the configuration add and remove routes, and each new route gets a
// job. In the end one more route comes.
func playConfigNames(s *system) error {
	s.fleet.quiet = true
	if err := s.start(8, 48); err != nil {
		return err
	}
	const versions, routesEach = 18, 40
	needs := taskNeeds{resources: resources{CPU: 500, MemoryMB: 256}, work: 300 * time.Millisecond}
	number := 1000
	for version := range versions {
		routes := []route{}
		for i := range routesEach {
			name := version*routesEach + i
			if !s.trouble {
				name = i
			}
			routes = append(routes, route{fmt.Sprintf("r-%07x", 0x51a3c07+name*977), fmt.Sprintf("/r%05d/", name), 1})
		}
		s.configure(routes)
		time.Sleep(1200 * time.Millisecond)
		for _, r := range routes {
			number++
			s.submit(s.nextNode(), &job{id: jobID(number), prefix: r.prefix, count: 1, needs: needs})
		}
		time.Sleep(600 * time.Millisecond)
	}
	last := fmt.Sprintf("/r%05d/", (versions-1)*routesEach)
	if !s.trouble {
		last = "/r00000/"
	}
	return s.judgeLost(s.submitEach(1, 3, last, 300*time.Millisecond, needs))
}

// playCrashUnderTask: each worker runs one task that lasts and takes an eighth of it at most. One worker
// crashes soon after it has started a short task, and comes back.
func playCrashUnderTask(s *system) error {
	if err := s.start(8, 48); err != nil {
		return err
	}
	serving := &job{
		id: jobID(1), prefix: "/pufi791/", count: 48, perWorker: 1,
		needs: taskNeeds{resources: resources{CPU: 2000, MemoryMB: 1024, GPUs: 1}, work: 2 * time.Second, lasts: true},
	}
	if s.submit(s.nextNode(), serving) != http.StatusOK {
		return errSetup
	}
	time.Sleep(4 * time.Second)
	short := taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}
	j := &job{id: jobID(2), prefix: "/lohu930/", count: 1, needs: short}
	if s.submit(s.nextNode(), j) != http.StatusOK {
		return errSetup
	}
	w := s.waitStarted(j)
	if w == nil {
		return errSetup
	}
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		s.record.line("trouble", "%s crashes", w.id)
		w.crash()
		time.Sleep(2 * time.Second)
		w.begin()
		s.record.line("trouble", "%s is back under its id, born %d", w.id, w.life.born)
	}
	time.Sleep(3 * time.Second)
	others := s.submitEach(10, 3, "/lohu930/", 500*time.Millisecond, short)
	return s.judgeLost(append([]*job{j}, others...))
}

// playDrainedService: a job of one task that lasts loses one worker by a crash. Then the workers that it
// runs on are emptied and taken away, one after the other.
func playDrainedService(s *system) error {
	const drains = 4
	if err := s.start(8, 48); err != nil {
		return err
	}
	j := &job{
		id: jobID(1), prefix: "/pufi791/", count: 1,
		needs: taskNeeds{resources: resources{CPU: 2000, MemoryMB: 1024, GPUs: 1}, work: 2 * time.Second, lasts: true},
	}
	if s.submit(s.nextNode(), j) != http.StatusOK {
		return errSetup
	}
	w := s.waitStarted(j)
	if w == nil {
		return errSetup
	}
	if !s.trouble {
		time.Sleep(60 * time.Second)
		return s.judgeFailed(j, 0)
	}
	time.Sleep(time.Second)
	s.record.line("trouble", "%s crashes", w.id)
	w.crash()
	time.Sleep(2 * time.Second)
	w.begin()
	s.record.line("trouble", "%s is back under its id, born %d", w.id, w.life.born)
	for number := range drains {
		if w = s.waitStartedLong(j); w == nil {
			break
		}
		time.Sleep(2 * time.Second)
		s.record.line("trouble", "%s is draining, number %d", w.id, number+1)
		w.drain()
		s.record.line("trouble", "%s has left", w.id)
	}
	s.waitStartedLong(j)
	return s.judgeFailed(j, 1)
}

// waitStartedLong is waitStarted with as long as three leases.
func (s *system) waitStartedLong(j *job) *worker {
	for range 4 {
		if w := s.waitStarted(j); w != nil {
			return w
		}
		if _, state := s.state(j); state == "failed" {
			return nil
		}
	}
	return nil
}

// judgeFailed applies LOST: a job is shown as failed without cause. Crashes of two workers under one task
// would be one.
func (s *system) judgeFailed(j *job, crashes int) error {
	status, state := s.state(j)
	s.record.line("client", "GET %s: %d %s", j.id, status, state)
	if status != http.StatusOK {
		return errSetup
	}
	if state == "failed" {
		s.record.violation("LOST: %s, which lasts, is shown as failed; no run of it has ended failed, and %d worker has crashed under it", j.id, crashes)
	}
	return nil
}

// playFailedOnce: of two workers of a kind, one is held by a task that lasts. A short task that needs the
// kind fails once on the other one, which is sound again after that.
func playFailedOnce(s *system) error {
	s.fleet.special = 2
	if err := s.start(8, 48); err != nil {
		return err
	}
	serving := &job{
		id: jobID(1), prefix: "/pufi791/", count: 1, label: specialLabel,
		needs: taskNeeds{resources: resources{CPU: 2000, MemoryMB: 1024, GPUs: 8}, work: 2 * time.Second, lasts: true},
	}
	if s.submit(s.nextNode(), serving) != http.StatusOK {
		return errSetup
	}
	held := s.waitStarted(serving)
	if held == nil {
		return errSetup
	}
	for _, w := range s.fleet.workers[:s.fleet.special] {
		w.fail(s.trouble && w != held)
	}
	time.Sleep(2 * time.Second)
	short := taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}
	j := &job{id: jobID(2), prefix: "/lohu930/", count: 1, label: specialLabel, needs: short}
	if s.submit(s.nextNode(), j) != http.StatusOK || s.waitStarted(j) == nil {
		return errSetup
	}
	for _, w := range s.fleet.workers[:s.fleet.special] {
		w.fail(false)
	}
	time.Sleep(3 * time.Second)
	later := &job{id: jobID(3), prefix: "/lohu930/", count: 1, label: specialLabel, needs: short}
	s.submit(s.nextNode(), later)
	time.Sleep(time.Second)
	return s.judgeLost([]*job{j, later})
}

// fail lets a worker begin or cease to fail all that it starts.
func (w *worker) fail(failing bool) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	if w.failing != failing {
		w.fleet.record.line("trouble", "%s fails what it starts: %v", w.id, failing)
	}
	w.failing = failing
}

// playGuarantee: tasks that last, of low priority and of one tenant, take all accelerators while they are
// idle. Then another tenant hands in a job of priority 0 that needs less than its guarantee.
func playGuarantee(s *system) error {
	if err := s.start(8, 48); err != nil {
		return err
	}
	filling := &job{
		id: jobID(1), prefix: "/pule252/", count: 384, key: otherKey,
		needs: taskNeeds{resources: resources{CPU: 2000, MemoryMB: 1024, GPUs: 1}, work: 2 * time.Second, lasts: true},
	}
	if !s.trouble {
		filling.count = 48
	}
	s.fleet.quiet = true
	if s.submit(s.nextNode(), filling) != http.StatusOK {
		return errSetup
	}
	time.Sleep(8 * time.Second)
	share, _ := s.fleet.usage(filling.id)
	s.record.line("workers", "%d tasks that last are running, %.0f%% of the cores in use", s.fleet.running(filling.id), 100*share)
	s.fleet.quiet = false
	urgent := &job{
		id: jobID(2), prefix: "/pufi791/", count: 3,
		needs: taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 4}, work: 2500 * time.Millisecond},
	}
	if s.submit(s.nextNode(), urgent) != http.StatusOK {
		return errSetup
	}
	time.Sleep(time.Until(urgent.acceptedAt.Add(reclaimTime)))
	begun := s.fleet.begun(urgent.id)
	s.record.line("workers", "%d of %d tasks have begun reclaim_ms after the acknowledgement", begun, urgent.count)
	time.Sleep(20 * time.Second)
	status, state := s.state(urgent)
	s.record.line("client", "GET %s: %d %s; %d of %d tasks have begun", urgent.id, status, state, s.fleet.begun(urgent.id), urgent.count)
	if begun < urgent.count {
		s.record.violation("RECLAIM: %s of priority 0, %d accelerators of 72 guaranteed, has begun %d of %d tasks after reclaim_ms, and %d after 23 s",
			urgent.id, urgent.count*urgent.needs.GPUs, begun, urgent.count, s.fleet.begun(urgent.id))
	}
	return nil
}

// running returns how many tasks of a job run, and begun how many have started.
func (f *fleet) running(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, w := range f.workers {
		for task := range w.life.runs {
			if strings.HasPrefix(task, id) {
				count++
			}
		}
	}
	return count
}

func (f *fleet) begun(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	tasks := map[string]bool{}
	for _, start := range f.starts {
		if strings.HasPrefix(start.task, id) {
			tasks[start.task] = true
		}
	}
	return len(tasks)
}

// waitStarted returns the worker that starts the first task of a job.
func (s *system) waitStarted(j *job) *worker {
	for range 500 {
		s.fleet.mutex.Lock()
		for _, w := range s.fleet.workers {
			if w.life.runs[j.id+".0.0.0"] != nil {
				s.fleet.mutex.Unlock()
				return w
			}
		}
		s.fleet.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
