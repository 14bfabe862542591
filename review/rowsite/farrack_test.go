//go:build review

package rowsite

import (
	"errors"
	"time"
)

// playFarRack loses a worker of a full rack for good. The task that lasts whose data lies in that rack has room
// in the other rack only. It watches whether the task is started again.
func playFarRack(s *site, trouble bool) (bool, error) {
	if err := s.begin(16); err != nil {
		return false, err
	}
	near := []step{{Count: 8, CPU: 16000, Memory: 1024, GPUs: 8, Estimate: 60000, LongRunning: true, Affinity: "r1-0"}}
	far := []step{{Count: 4, CPU: 16000, Memory: 1024, GPUs: 8, Estimate: 60000, LongRunning: true, Affinity: "r1-1"}}
	if !s.submitUntilAccepted(jobID(1), near, 10*time.Second) || !s.submitUntilAccepted(jobID(2), far, 10*time.Second) {
		return false, errors.New("a job was not accepted")
	}
	time.Sleep(15 * time.Second)
	if trouble {
		s.loseWorker(s.workers[3])
	}
	time.Sleep(calmAgain)
	return s.judgeLasting(map[string]int{jobID(1): 8, jobID(2): 4}, 60*time.Second), nil
}
