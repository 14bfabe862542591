//go:build review

package rowsite

import (
	"errors"
	"time"
)

// The clients of the play, and the descriptors of a machine by the sheet. Each of the three nodes has 3,000 of these
// clients, which takes 73% of the descriptors; if one node is away, the other two would have 4,500 each.
const (
	crowdSize          = 9000
	machineDescriptors = 4100
)

// Times of the play.
const (
	crowdArrival = 10 * time.Second
	calmBefore   = 8 * time.Second
	betweenCuts  = 14 * time.Second
	darkTime     = 3500 * time.Millisecond
	cuts         = 6
)

// The rule: on a tenth of the machines in use, two at least, processes end by themselves three times in the day.
const (
	machinesAllowed = 2
	endsAllowed     = 3
)

// playFullNode takes the power of one node several times while many clients hold connections. Its clients connect to the
// others. It watches which processes end by themselves.
func playFullNode(s *site, trouble bool) (bool, error) {
	s.descriptors = machineDescriptors
	if err := s.begin(workerCount); err != nil {
		return false, err
	}
	lasting := []step{{Count: 24, CPU: 16000, Memory: 1024, GPUs: 1, Estimate: 900000, LongRunning: true}}
	if !s.submitUntilAccepted(jobID(1), lasting, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	for _, n := range s.nodes {
		go s.keepRunning(n)
	}
	clients := newCrowd(s, newBalancer(s), jobID(1))
	go clients.watch()
	clients.admit(crowdSize, crowdArrival)
	time.Sleep(calmBefore)
	if total, text := clients.connections(); total != crowdSize || s.running(jobID(1)) != 24 {
		return false, errors.New("not all clients are connected, or not all tasks at work:" + text)
	}
	for range cuts {
		if trouble {
			s.nodes[0].losePower(darkTime)
		}
		time.Sleep(betweenCuts)
	}
	close(clients.stopped)
	return s.judgeOwnEnds(), nil
}

// judgeOwnEnds applies the rule Fault to the ends of processes.
func (s *site) judgeOwnEnds() bool {
	machines := 0
	for _, n := range s.nodes {
		n.mutex.Lock()
		s.record.verdict("node %s ended by itself %d times", n.name, n.ownEnds)
		if n.ownEnds >= endsAllowed {
			machines++
		}
		n.mutex.Unlock()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record.verdict("%d runs were killed as their leases lapsed, %d were stopped", s.ended["lapsed"], s.ended["stopped"])
	return machines < machinesAllowed
}
