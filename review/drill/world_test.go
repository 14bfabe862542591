//go:build review

package drill

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a task as the workers saw it.
type run struct {
	task   string
	number int
	worker *worker
	began  time.Time
	ended  time.Time
	how    string
	noted  bool
}

// world is the platform of one case: its store, workers and what happened.
type world struct {
	record  *record
	store   *store
	address string
	workers []*worker

	mutex sync.Mutex
	// jobs are the submitted jobs by identifier.
	jobs map[string]*job
	runs []*run
	// gangs are the members of the runs of gangs.
	gangs map[string][]gangMember
	// quietJob is a job with too many runs for the record; they are only counted.
	quietJob    string
	quietStarts int
	quietEnds   int
	// twice are the findings against the rule TWICE.
	twice []string
}

func newWorld() (*world, error) {
	r := newRecord()
	w := &world{record: r, store: newStore(r), jobs: map[string]*job{}, gangs: map[string][]gangMember{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store.handler()) }()
	return w, nil
}

// addWorkers starts workers of a service, spread over the zones.
func (w *world) addWorkers(service string, count int, saysBorn bool) error {
	for range count {
		number := len(w.workers)
		added := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: service, zone: zones[number%len(zones)],
			rack: fmt.Sprintf("r%d", number/8), saysBorn: saysBorn, world: w,
		}
		if err := added.start(); err != nil {
			return err
		}
		w.workers = append(w.workers, added)
	}
	return nil
}

// workOf returns the work of a task, by its name ID.K.STEP.INDEX.
func (w *world) workOf(task string) taskWork {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var id string
	var repetition, step, index int
	if _, err := fmt.Sscanf(task, "%16s.%d.%d.%d", &id, &repetition, &step, &index); err != nil {
		return taskWork{}
	}
	j := w.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return taskWork{}
	}
	s := &j.Steps[step]
	work := taskWork{room: resources{s.CPU, s.MemoryMB, s.GPUs}, duration: j.duration(index), checkpointing: s.Checkpointing}
	if s.Gang {
		work.gangSize = s.Count
	}
	work.lasts = s.LongRunning
	return work
}

func (w *world) runStarted(at *worker, started *activeRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	present := &run{task: started.task, number: started.run, worker: at, began: started.began}
	if w.quiet(present.task) {
		w.quietStarts++
	} else {
		w.record.add("run %s.%d starts on worker %s of service %s", present.task, present.number, at.id, at.service)
	}
	for _, other := range w.runs {
		if other.task == present.task {
			w.checkTwice(other, present)
		}
	}
	w.runs = append(w.runs, present)
}

// checkTwice applies the rule TWICE to two runs of a task. An end that is noted later is applied
// when it is noted.
func (w *world) checkTwice(earlier, later *run) {
	switch {
	case earlier.ended.IsZero():
		w.addTwice("TWICE: %s run %d starts on %s while run %d runs on %s", later.task, later.number, later.worker.id, earlier.number, earlier.worker.id)
	case earlier.how == "done" && earlier.noted:
		w.addTwice("TWICE: %s run %d starts on %s after run %d ended done on %s, which was taken note of", later.task, later.number, later.worker.id, earlier.number, earlier.worker.id)
	}
}

func (w *world) quiet(task string) bool {
	return w.quietJob != "" && task[:len(w.quietJob)] == w.quietJob
}

func (w *world) addTwice(format string, args ...any) {
	finding := fmt.Sprintf(format, args...)
	w.twice = append(w.twice, finding)
	w.record.add("%s", finding)
}

func (w *world) runEnded(at *worker, ended *activeRun, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.quiet(ended.task) {
		w.quietEnds++
	} else {
		w.record.add("run %s.%d on worker %s ends: %s", ended.task, ended.run, at.id, how)
	}
	for _, known := range w.runs {
		if known.task == ended.task && known.number == ended.run && known.worker == at && known.ended.IsZero() {
			known.ended, known.how = time.Now(), how
		}
	}
}

func (w *world) endNoted(at *worker, end endedRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.quiet(end.task) {
		w.record.add("the end of run %s.%d on worker %s is taken note of", end.task, end.run, at.id)
	}
	for _, known := range w.runs {
		if known.task == end.task && known.number == end.run && known.worker == at {
			known.noted = true
		}
	}
}

func (w *world) twiceFindings() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.twice...)
}
