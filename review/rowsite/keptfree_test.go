//go:build review

package rowsite

import (
	"errors"
	"time"
)

// The deployment's workers, and the tasks that last, which fill all racks but one.
const (
	workerCount = 48
	taskCount   = 40
)

// playKeptFree loses one worker of a full rack for good, on which a task that lasts runs. The workers of the last
// rack run nothing. It watches whether the task is started again.
func playKeptFree(s *site, trouble bool) (bool, error) {
	if err := s.begin(workerCount); err != nil {
		return false, err
	}
	lasting := []step{{Count: taskCount, CPU: 16000, Memory: 1024, GPUs: 8, Estimate: 900000, LongRunning: true}}
	if !s.submitUntilAccepted(jobID(1), lasting, 10*time.Second) {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(15 * time.Second)
	if s.running(jobID(1)) != taskCount {
		return false, errors.New("not all tasks have begun")
	}
	if trouble {
		s.loseWorker(s.fullestRack())
	}
	time.Sleep(calmAgain)
	return s.judgeLasting(map[string]int{jobID(1): taskCount}, 60*time.Second), nil
}

// fullestRack returns a busy worker of the rack with the most runs.
func (s *site) fullestRack() *worker {
	runs, busy := map[string]int{}, map[string]*worker{}
	fullest := ""
	for _, w := range s.workers {
		w.mutex.Lock()
		runs[w.rack] += len(w.runs)
		if len(w.runs) > 0 {
			busy[w.rack] = w
		}
		w.mutex.Unlock()
		if runs[w.rack] > runs[fullest] {
			fullest = w.rack
		}
	}
	return busy[fullest]
}

// loseWorker crashes a worker for good. Its entry goes after three heartbeats of silence.
func (s *site) loseWorker(w *worker) {
	w.crash()
	s.record.line("worker %s in rack %s is lost for good", w.id, w.rack)
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", w.id) })
}
