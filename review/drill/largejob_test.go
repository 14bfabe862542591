//go:build review

package drill

import (
	"time"
)

// The case of a large job. Small jobs come all the time. With the disruption, one large job comes
// among them. Its size is that of the largest job in the sheet of `large`: 3 steps of 470 tasks.
const (
	workerCount    = 48
	largeSteps     = 3
	largeWidth     = 470
	smallInterval  = 500 * time.Millisecond
	beforeLarge    = 8 * time.Second
	afterLarge     = 25 * time.Second
	finishTime     = 14 * time.Second
	stalledTime    = 3 * time.Second
	smallTaskTime  = time.Second
	largeTaskShort = 6 * time.Second
	largeTaskLong  = 12 * time.Second
)

func prepareLargeJob(w *world) error {
	w.configure(1, "turbine-watch", "turbine-watch")
	return w.addWorkers("turbine-watch", workerCount, false)
}

func newSmallJob() *job {
	return newJob(smallTaskTime, smallTaskTime, step{Count: 1, CPU: 2000, MemoryMB: 1024, Estimate: smallTaskTime.Milliseconds()})
}

func newLargeJob() *job {
	var steps []step
	for range largeSteps {
		steps = append(steps, step{Count: largeWidth, CPU: 1000, MemoryMB: 512, Estimate: 8000, Checkpointing: true})
	}
	return newJob(largeTaskShort, largeTaskLong, steps...)
}

func playLargeJob(p *play) int {
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	small := p.sendSmallJobs(beforeLarge)
	if p.trouble {
		large := newLargeJob()
		p.quietJob = large.id
		p.record.add("a large job comes: %d steps of %d tasks", largeSteps, largeWidth)
		if !p.submitUntilAccepted(p.nodes[1], large, callTimeout) {
			return couldNot
		}
	}
	small = append(small, p.sendSmallJobs(afterLarge)...)
	p.record.add("the traffic ends")
	time.Sleep(finishTime)
	return p.judgeSmallJobs(small)
}

func (p *play) sendSmallJobs(span time.Duration) []*job {
	var sent []*job
	ticker := time.NewTicker(smallInterval)
	defer ticker.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
		j := newSmallJob()
		p.submit(p.nodes[len(sent)%len(p.nodes)], j)
		sent = append(sent, j)
	}
	return sent
}

// judgeSmallJobs applies the rule LOST: finish_s after the end of the traffic no accepted job may
// have nothing running for 3 s while a task's turn has come and there is room.
func (p *play) judgeSmallJobs(small []*job) int {
	before := p.unfinished(small)
	p.record.add("used processors of all workers: %.3f", p.usedShare())
	time.Sleep(stalledTime)
	stalled := intersection(before, p.unfinished(small))
	accepted, never := 0, 0
	for _, j := range small {
		if j.accepted {
			accepted++
		}
	}
	for _, j := range stalled {
		if p.startsOf(j) == 0 {
			never++
		}
		p.record.add("LOST: job %s was accepted, nothing of it runs for 3 s, and it is shown as %q", j.id, p.state(p.nodes[0], j).state)
	}
	ended, noted := p.countEnds()
	p.record.add("of the large job %d runs began and %d have ended", p.quietStarts, p.quietEnds)
	p.record.add("of %d accepted small jobs %d are stalled, %d of these never began", accepted, len(stalled), never)
	p.record.add("workers have listed %d ends, %d of these were taken note of; the store refused %d transactions", ended, noted, p.store.refusals())
	if len(stalled) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// unfinished returns the accepted jobs that run nothing and have no task that has ended done.
func (p *play) unfinished(jobs []*job) map[*job]bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	unfinished := map[*job]bool{}
	for _, j := range jobs {
		unfinished[j] = j.accepted
	}
	for _, r := range p.runs {
		if r.ended.IsZero() || r.how == "done" {
			delete(unfinished, p.jobs[r.task[:16]])
		}
	}
	return unfinished
}

func intersection(a, b map[*job]bool) []*job {
	var both []*job
	for j := range a {
		if a[j] && b[j] {
			both = append(both, j)
		}
	}
	return both
}

func (p *play) startsOf(j *job) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	starts := 0
	for _, r := range p.runs {
		if r.task[:16] == j.id {
			starts++
		}
	}
	return starts
}

func (p *play) countEnds() (ended, noted int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, r := range p.runs {
		if !r.ended.IsZero() {
			ended++
		}
		if r.noted {
			noted++
		}
	}
	return ended, noted
}

// usedShare returns the share of the workers' processors that is in use.
func (p *play) usedShare() float64 {
	used := 0
	for _, w := range p.workers {
		w.mutex.Lock()
		used += w.used().CPU
		w.mutex.Unlock()
	}
	return float64(used) / float64(len(p.workers)*capacity.CPU)
}
