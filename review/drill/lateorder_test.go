//go:build review

package drill

import (
	"encoding/json"
	"sync"
	"time"
)

// The case of an order that is carried out late. With the disruption, one copy of an order to start
// gets no answer and is carried out 9 s later. The next copy is answered, and the run ends done.
// Meanwhile the worker crashes and starts again under its id.
const (
	lateBy       = 9 * time.Second
	crashAfter   = 6500 * time.Millisecond
	downTime     = time.Second
	watchedTime  = 14 * time.Second
	lateTaskTime = 2500 * time.Millisecond
)

func prepareLateOrder(w *world) error {
	w.configure(1, oldService, oldService)
	return w.addWorkers(oldService, 8, true)
}

// lateOrder delays the first order to start a job's task.
type lateOrder struct {
	once    sync.Once
	world   *world
	job     string
	victims chan *worker
}

// delay returns by how much an order is late.
func (l *lateOrder) delay(at *worker, path string, body []byte) time.Duration {
	var o order
	if path != "/-/run-start" || json.Unmarshal(body, &o) != nil || len(o.Task) < 16 || o.Task[:16] != l.job {
		return 0
	}
	first := false
	l.once.Do(func() { first = true })
	if !first {
		return 0
	}
	l.victims <- at
	l.world.record.add("order %s to worker %s gets no answer: %s", path, at.id, body)
	return lateBy
}

func playLateOrder(p *play) int {
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	time.Sleep(beginTime)
	j := newJob(lateTaskTime, lateTaskTime, step{Count: 1, CPU: 7500, MemoryMB: 22000, GPUs: 1, Estimate: lateTaskTime.Milliseconds()})
	late := &lateOrder{world: p.world, job: j.id, victims: make(chan *worker, 1)}
	if p.trouble {
		for _, w := range p.workers {
			w.setLate(func(path string, body []byte) time.Duration { return late.delay(w, path, body) })
		}
	}
	if p.submit(p.nodes[0], j).status != 200 {
		return couldNot
	}
	if p.trouble {
		victim := <-late.victims
		time.AfterFunc(crashAfter, func() {
			victim.crash()
			time.Sleep(downTime)
			victim.begin()
			p.record.add("worker %s starts again under its id", victim.id)
		})
	}
	time.Sleep(watchedTime)
	p.state(p.nodes[2], j)
	if len(p.twiceFindings()) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
