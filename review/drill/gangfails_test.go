//go:build review

package drill

import "time"

// The case of a gang on failing workers. With the disruption, the workers of a rack fail whatever they
// start. A gang whose data lies in that rack is started there, and its members fail together.
const (
	gangWidth    = 4
	gangTaskTime = 3 * time.Second
	// failingWorkers is 0.15 of the workers, all in one rack.
	failingWorkers = 7
	failingTime    = 6500 * time.Millisecond
	// failTime is how long after its start a run fails on a failing worker.
	failTime    = 20 * time.Millisecond
	gangWatched = 25 * time.Second
)

func prepareGangFails(w *world) error {
	w.configure(1, oldService, oldService)
	return w.addWorkers(oldService, workerCount, false)
}

func playGangFails(p *play) int {
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	time.Sleep(beginTime)
	if p.trouble {
		p.failWorkers()
	}
	gang := newJob(gangTaskTime, gangTaskTime, step{
		Count: gangWidth, CPU: 26000, MemoryMB: 140000, GPUs: 8, Estimate: gangTaskTime.Milliseconds(),
		Gang: true, SameRack: true, Affinity: p.workers[0].rack,
	})
	if p.submit(p.nodes[0], gang).status != 200 {
		return couldNot
	}
	for end := time.Now().Add(gangWatched); time.Now().Before(end); time.Sleep(time.Second) {
		switch p.state(p.nodes[2], gang).state {
		case "completed":
			return ruleHeld
		case "failed":
			return p.judgeFailedGang(gang)
		}
	}
	return couldNot
}

// failWorkers makes workers of the first rack fail what they start, for a while.
func (p *play) failWorkers() {
	p.record.add("%d workers of rack %s fail whatever they start for %v", failingWorkers, p.workers[0].rack, failingTime)
	for _, w := range p.workers[:failingWorkers] {
		w.setFailing(true)
	}
	time.AfterFunc(failingTime, func() {
		for _, w := range p.workers[:failingWorkers] {
			w.setFailing(false)
		}
		p.record.add("the workers of rack %s are sound again", p.workers[0].rack)
	})
}

// judgeFailedGang applies the rule LOST: the job may only be shown as failed once the gang has failed
// max_attempts times.
func (p *play) judgeFailedGang(gang *job) int {
	failedRuns := map[int]bool{}
	p.mutex.Lock()
	for _, r := range p.runs {
		if r.task[:16] == gang.id && r.how == "failed" {
			failedRuns[r.number] = true
		}
	}
	p.mutex.Unlock()
	if len(failedRuns) >= maxAttempts {
		p.record.add("the gang has failed %d times of %d", len(failedRuns), maxAttempts)
		return ruleHeld
	}
	p.record.add("LOST: job %s is shown as failed, but its gang has failed only %d times of %d", gang.id, len(failedRuns), maxAttempts)
	return ruleBroken
}
