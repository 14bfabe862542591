//go:build review

package yard

import (
	"fmt"
	"time"
)

func init() { cases["all-alone"] = allAlone }

// finishTime is finish_s of the sheet, after which jobs are asked for.
const finishTime = 14 * time.Second

// allAlone runs a small task that lasts on each worker, as one gang. One worker crashes once, soon after the gang has
// begun, and is back. Later, short jobs come.
func allAlone(y *yard, trouble bool) (string, error) {
	const workers, lastingID = 14, "00000000000000e1"
	if err := y.deploy(4, workers, work{CPU: 64000, Memory: 262144, GPUs: 8}); err != nil {
		return "", err
	}
	gang := job(900000, step{Count: workers, CPU: 2000, Memory: 1024, LongRunning: true, Gang: true, PerWorker: 1})
	if answer := y.nodes[0].call("POST", "/large/"+lastingID, gang, 3*time.Second); answer.status != 200 {
		return "", fmt.Errorf("the gang was answered with %d", answer.status)
	}
	if !y.awaitOnAll(lastingID, 5*time.Second) {
		return "", fmt.Errorf("the gang hasn't begun")
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		struck := y.workers[3]
		struck.crash()
		time.Sleep(2 * time.Second)
		if err := struck.begin(); err != nil {
			return "", err
		}
		y.record.note("worker", "%s is back", struck.id)
	}
	time.Sleep(15 * time.Second)
	if !y.awaitOnAll(lastingID, 10*time.Second) {
		return "", fmt.Errorf("the gang hasn't begun again")
	}
	var ids []string
	for i := range 5 {
		id := fmt.Sprintf("00000000000000a%d", i)
		if answer := y.nodes[0].call("POST", "/small/"+id, job(2500, step{Count: 1, CPU: 7500, Memory: 4096, GPUs: 1}), 3*time.Second); answer.status != 200 {
			return "", fmt.Errorf("a job was answered with %d", answer.status)
		}
		ids = append(ids, id)
		time.Sleep(2 * time.Second)
	}
	y.record.note("client", "end of the traffic")
	time.Sleep(finishTime)
	return y.notBegun(ids), nil
}

// notBegun applies LOST to jobs of one task: for 3 s a job has begun nothing while under half of the cores are in use.
func (y *yard) notBegun(ids []string) string {
	lost := ""
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		if share := y.coresInUse(); share >= 0.5 {
			return ""
		}
	}
	for _, id := range ids {
		state := y.nodes[1].call("GET", "/small/"+id, nil, 3*time.Second)
		if len(y.startsOf(id)) == 0 && state.status == 200 {
			lost = fmt.Sprintf("%s was accepted over %.0f s ago, is known, and has begun no task, with %.0f%% of the cores in use", id, finishTime.Seconds(), 100*y.coresInUse())
			y.record.note("judge", "LOST: %s", lost)
		}
	}
	return lost
}

// coresInUse returns the share of the workers' cores that runs take.
func (y *yard) coresInUse() float64 {
	used, all := 0, 0
	for _, w := range y.workers {
		w.mutex.Lock()
		all += w.size.CPU
		for _, active := range w.running {
			used += active.work.CPU
		}
		w.mutex.Unlock()
	}
	return float64(used) / float64(all)
}

// awaitOnAll waits until each worker runs a task of a job.
func (y *yard) awaitOnAll(job string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		missing := 0
		for _, w := range y.workers {
			if w.taskOf(job) == nil {
				missing++
			}
		}
		if missing == 0 {
			return true
		}
	}
	return false
}
