//go:build review

package drill

import (
	"sync"
	"time"
)

// The case of failing workers beside a backlog. Urgent jobs are handed in at once, more than the workers
// can run for a while. With the disruption, some workers fail whatever they start, for a few seconds.
const (
	backlogJobs    = 8000
	backlogClients = 48
	urgentTaskTime = 8 * time.Second
	afterFailing   = 15 * time.Second
	sampleInterval = 100 * time.Millisecond
)

func prepareBacklog(w *world) error {
	w.configure(1, oldService, oldService)
	return w.addWorkers(oldService, workerCount, false)
}

func newBacklogJob(number int) *job {
	j := newJob(urgentTaskTime, urgentTaskTime, step{Count: 1, CPU: 7500, MemoryMB: 22000, GPUs: 8, Estimate: urgentTaskTime.Milliseconds()})
	j.prefix = urgentPrefix
	if number%2 == 0 {
		j.key = otherKey
	}
	return j
}

func playBacklog(p *play) int {
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	time.Sleep(beginTime)
	jobs := p.submitAll(backlogJobs)
	p.record.add("the traffic ends: %d jobs of %d are accepted", countAccepted(jobs), len(jobs))
	time.Sleep(beginTime)
	if p.trouble {
		p.failWorkers()
	}
	time.Sleep(failingTime + afterFailing)
	return p.judgeBacklog(jobs)
}

// submitAll hands jobs in at the rate that the nodes take.
func (p *play) submitAll(count int) []*job {
	jobs := make([]*job, count)
	numbers := make(chan int)
	var group sync.WaitGroup
	for range backlogClients {
		group.Go(func() {
			for number := range numbers {
				jobs[number] = newBacklogJob(number)
				p.submitUntilAccepted(p.nodes[number%len(p.nodes)], jobs[number], callTimeout)
			}
		})
	}
	for number := range count {
		numbers <- number
	}
	close(numbers)
	group.Wait()
	return jobs
}

func countAccepted(jobs []*job) int {
	accepted := 0
	for _, j := range jobs {
		if j.accepted {
			accepted++
		}
	}
	return accepted
}

// judgeBacklog applies the rule LOST: for 3 s under half of the service's room is in use, while accepted
// jobs have nothing running.
func (p *play) judgeBacklog(jobs []*job) int {
	half := len(p.workers) * capacity.GPUs / 2
	before, most, startsBefore := p.unfinished(jobs), 0, p.countStarts()
	for end := time.Now().Add(stalledTime); time.Now().Before(end); time.Sleep(sampleInterval) {
		most = max(most, p.usedGPUs())
	}
	stalled := intersection(before, p.unfinished(jobs))
	p.record.add("in 3 s at most %d of %d GPUs were in use, %d runs began, and nothing of %d accepted jobs ran", most, 2*half, p.countStarts()-startsBefore, len(stalled))
	if most >= half || len(stalled) == 0 {
		return ruleHeld
	}
	p.record.add("LOST: %d accepted jobs have nothing running for 3 s while their turn has come and there is room", len(stalled))
	for number, n := range p.nodes {
		p.state(n, stalled[number%len(stalled)])
	}
	return ruleBroken
}

func (p *play) countStarts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.runs)
}
