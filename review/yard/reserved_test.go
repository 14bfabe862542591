//go:build review

package yard

import (
	"fmt"
	"time"
)

func init() { cases["reserved"] = reserved }

// reserved hands in a gang that needs all workers whole, while each runs a task that lasts. Then one of
// these tasks ends, on a worker that runs nothing else.
func reserved(y *yard, trouble bool) (string, error) {
	const workers, lastingID, longID, gangID = 14, "00000000000000e1", "00000000000000d1", "00000000000000b1"
	const pause, allowed, rest = 3 * time.Second, 9 * time.Second, 25 * time.Second
	if err := y.deploy(4, workers, work{CPU: 64000, Memory: 262144, GPUs: 8}); err != nil {
		return "", err
	}
	handIn := func(path string, body map[string]any) error {
		if answer := y.nodes[0].call("POST", path, body, 3*time.Second); answer.status != 200 {
			return fmt.Errorf("%s was answered with %d", path, answer.status)
		}
		time.Sleep(pause)
		return nil
	}
	if err := handIn("/large/"+lastingID, job(900000, step{Count: workers, CPU: 16000, Memory: 8192, LongRunning: true, PerWorker: 1})); err != nil {
		return "", err
	}
	if err := handIn("/large/"+longID, job(600000, step{Count: workers - 1, CPU: 40000, Memory: 8192})); err != nil {
		return "", err
	}
	if trouble {
		if err := handIn("/small/"+gangID, job(20000, step{Count: workers, CPU: 64000, Memory: 8192, Gang: true})); err != nil {
			return "", err
		}
	}
	free := y.withoutTaskOf(longID)
	if free == nil {
		return "", fmt.Errorf("no worker is without a long task")
	}
	struck := free.finish(lastingID, "done")
	if struck == "" {
		return "", fmt.Errorf("%s runs no lasting task", free.id)
	}
	endedAt := time.Now()
	time.Sleep(allowed + rest)
	for _, s := range y.startsOf(lastingID) {
		if s.task == struck && s.at.After(endedAt) {
			if s.at.Sub(endedAt) > allowed {
				return fmt.Sprintf("%s began %v after its last run", &s, s.at.Sub(endedAt)), nil
			}
			return "", nil
		}
	}
	return fmt.Sprintf("the lasting task %s hasn't been started again for %.0f s; %s runs nothing and could hold it four times", struck, time.Since(endedAt).Seconds(), free.id), nil
}

// withoutTaskOf returns a worker that runs no task of a job; nil if there is none.
func (y *yard) withoutTaskOf(job string) *worker {
	for _, w := range y.workers {
		if w.taskOf(job) == nil {
			return w
		}
	}
	return nil
}

func (w *worker) taskOf(job string) *activeRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, active := range w.running {
		if jobOf(active.task) == job {
			return active
		}
	}
	return nil
}

// finish ends the run of a job's task and returns the task; "" if there is none.
func (w *worker) finish(job, how string) string {
	active := w.taskOf(job)
	if active == nil {
		return ""
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.end(active, how)
	return active.task
}
