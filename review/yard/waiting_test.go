//go:build review

package yard

import (
	"fmt"
	"time"
)

func init() { cases["waiting"] = waiting }

// waiting hands in jobs while some workers are dark, and asks for the count of waiting jobs. The other
// workers are full.
func waiting(y *yard, trouble bool) (string, error) {
	const workers, dark = 14, 2
	if err := y.deploy(4, workers, work{CPU: 64000, Memory: 262144, GPUs: 8}); err != nil {
		return "", err
	}
	whole := step{Count: 1, CPU: 64000, Memory: 1024, GPUs: 8}
	for i := range workers - dark {
		if answer := y.nodes[0].call("POST", fmt.Sprintf("/small/00000000000000f%x", i), job(60000, whole), 3*time.Second); answer.status != 200 {
			return "", fmt.Errorf("a job was answered with %d", answer.status)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range y.workers {
			if !y.busy(w) {
				w.crash()
				w.lapseRow()
			}
		}
	}
	var ids []string
	for i := range dark {
		id := fmt.Sprintf("00000000000000a%d", i)
		if answer := y.nodes[0].call("POST", "/large/"+id, job(60000, whole), 3*time.Second); answer.status != 200 {
			return "", fmt.Errorf("a job was answered with %d", answer.status)
		}
		ids = append(ids, id)
	}
	time.Sleep(15 * time.Second)
	unbegun := 0
	for _, id := range ids {
		if len(y.startsOf(id)) == 0 {
			unbegun++
		}
	}
	for _, n := range y.nodes {
		given := n.call("GET", "/large/", nil, 3*time.Second)
		if given.status == 200 && 2*given.waiting < unbegun {
			return fmt.Sprintf("%s gives %d as waiting, but %d of the queue's jobs were accepted 15 s before and have begun no task", n.name, given.waiting, unbegun), nil
		}
	}
	return "", nil
}

func (y *yard) busy(w *worker) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.running) > 0
}
