//go:build review

package drill

import (
	"fmt"
	"time"
)

// The case of a guarantee. A tenant's lasting jobs run on what is idle. With the disruption, 2.4 times
// as many of them come. Then another tenant hands in an urgent job within its guarantee.
const (
	lastingJobs  = 5
	burstFactor  = 2.4
	lastingWidth = 4
	reclaimTime  = 3400 * time.Millisecond
	// reclaimWatched is how long the case waits to see whether the urgent job begins at all.
	reclaimWatched = 30 * time.Second
	pollInterval   = 100 * time.Millisecond
)

func prepareGuarantee(w *world) error {
	w.configure(1, oldService, oldService)
	return w.addWorkers(oldService, workerCount, false)
}

func newLastingJob() *job {
	j := newJob(0, 0, step{Count: lastingWidth, CPU: 26000, MemoryMB: 140000, GPUs: 8, Estimate: 60000, LongRunning: true, MissAllowed: 1})
	j.key = otherKey
	return j
}

func newUrgentJob() *job {
	j := newJob(smallTaskTime, smallTaskTime, step{Count: 1, CPU: 7500, MemoryMB: 22000, GPUs: 8, Estimate: smallTaskTime.Milliseconds()})
	j.prefix = urgentPrefix
	return j
}

func playGuarantee(p *play) int {
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	time.Sleep(beginTime)
	count := lastingJobs
	if p.trouble {
		count = int(lastingJobs * burstFactor)
	}
	for number := range count {
		if !p.submitUntilAccepted(p.nodes[number%len(p.nodes)], newLastingJob(), callTimeout) {
			return couldNot
		}
	}
	if !p.awaitGPUs(count * lastingWidth * capacity.GPUs) {
		return couldNot
	}
	time.Sleep(beginTime)
	urgent := newUrgentJob()
	if p.submit(p.nodes[0], urgent).status != 200 {
		return couldNot
	}
	return p.awaitUrgent(urgent, time.Now())
}

// awaitUrgent applies the rule RECLAIM.
func (p *play) awaitUrgent(urgent *job, acknowledged time.Time) int {
	for time.Since(acknowledged) < reclaimWatched && p.startsOf(urgent) == 0 {
		time.Sleep(pollInterval)
	}
	waited := time.Since(acknowledged)
	if p.startsOf(urgent) > 0 && waited <= reclaimTime {
		p.record.add("the urgent job began within %v", waited)
		return ruleHeld
	}
	outcome := fmt.Sprintf("began only after %v", waited)
	if p.startsOf(urgent) == 0 {
		outcome = fmt.Sprintf("has not begun within %v and is shown as %q", waited, p.state(p.nodes[0], urgent).state)
	}
	p.record.add("RECLAIM: urgent job %s, %d GPUs of %d guaranteed, %s", urgent.id, urgent.Steps[0].GPUs, guaranteed, outcome)
	return ruleBroken
}

// awaitGPUs waits until the lasting jobs use as many GPUs as they ask for.
func (p *play) awaitGPUs(expected int) bool {
	for end := time.Now().Add(reclaimWatched); p.usedGPUs() < expected; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			p.record.add("the lasting jobs use only %d GPUs of %d", p.usedGPUs(), expected)
			return false
		}
	}
	p.record.add("the lasting jobs use %d GPUs of %d", expected, len(p.workers)*capacity.GPUs)
	return true
}

func (p *play) usedGPUs() int {
	used := 0
	for _, w := range p.workers {
		w.mutex.Lock()
		used += w.used().GPUs
		w.mutex.Unlock()
	}
	return used
}
