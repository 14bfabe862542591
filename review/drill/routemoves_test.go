//go:build review

package drill

import "time"

// The case of a route that moves to another service. A client hands a job in, and again seconds after
// its 2xx, to another node. With the disruption, a configuration without the route and one that adds it
// again, for another service, come between the two.
const (
	oldService   = "turbine-watch"
	newService   = "turbine-watch-2"
	configApply  = 2 * time.Second
	longTaskTime = 30 * time.Second
	beginTime    = 5 * time.Second
)

func prepareRouteMoves(w *world) error {
	w.configure(1, oldService, oldService, newService)
	if err := w.addWorkers(oldService, 8, false); err != nil {
		return err
	}
	return w.addWorkers(newService, 8, false)
}

func newLongJob() *job {
	return newJob(longTaskTime, longTaskTime, step{Count: 2, CPU: 7500, MemoryMB: 22000, GPUs: 1, Estimate: longTaskTime.Milliseconds()})
}

func playRouteMoves(p *play) int {
	// Both pools have their owners before the case begins.
	if !p.submitUntilAccepted(p.nodes[0], newSmallJob(), readyTimeout) {
		return couldNot
	}
	time.Sleep(beginTime)
	j := newLongJob()
	if p.submit(p.nodes[0], j).status != 200 {
		return couldNot
	}
	time.Sleep(time.Second)
	if p.startsOf(j) == 0 {
		p.record.add("the job does not begin within a second")
		return couldNot
	}
	if p.trouble {
		p.configure(2, "", oldService, newService)
	}
	time.Sleep(configApply + time.Second)
	if p.trouble {
		p.configure(3, newService, oldService, newService)
	}
	time.Sleep(configApply + time.Second)
	gone := 0
	for _, n := range p.nodes {
		if p.state(n, j).status == 410 {
			gone++
			p.record.add("LOST: %s answers 410 for job %s, which was accepted and runs", n.name, j.id)
		}
	}
	p.record.add("the client sends the same job again, seconds after its 2xx")
	p.submit(p.nodes[1], j)
	time.Sleep(beginTime)
	p.state(p.nodes[2], j)
	if gone > 0 || len(p.twiceFindings()) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
