//go:build review

package drill

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour of the workers.
const (
	maxHold            = 10 * time.Second
	stopTime           = 100 * time.Millisecond
	heartbeat          = 1500 * time.Millisecond
	checkpointInterval = time.Second
	// firstClock is a worker's clock when it starts.
	firstClock = 1000
	listedEnds = 500
)

// capacity of every worker, as in the sheet of Sahil: 64 cores, 256 GB, 8 GPUs.
var capacity = resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}

type resources struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"mem_mb"`
	GPUs     int `json:"gpus"`
}

// taskWork tells a worker about the task that it is to run: its room and how long it takes.
type taskWork struct {
	room          resources
	duration      time.Duration
	checkpointing bool
	// gangSize is 0 unless the task is a member of a gang.
	gangSize int
	// lasts is true if the task runs until it is stopped.
	lasts bool
}

// activeRun is a run on a worker.
type activeRun struct {
	task     string
	run      int
	work     taskWork
	began    time.Time
	stopping bool
}

// endedRun is an entry of the list of ended runs.
type endedRun struct {
	number     int64
	task       string
	run        int
	how        string
	checkpoint string
}

// incarnation is the state of a worker that a crash discards.
type incarnation struct {
	born    time.Time
	token   int64
	lease   int64
	running map[string]*activeRun
	ended   []endedRun
	lastEnd int64
	highest map[string]int
}

// worker is a stand-in of a worker.
type worker struct {
	id, service, zone, rack string
	// saysBorn is true if the worker says when its incarnation was born.
	saysBorn bool
	world    *world
	address  string
	// late delays orders; nil delays none.
	late func(path string, body []byte) time.Duration

	mutex sync.Mutex
	// failing is true while the worker fails whatever it starts.
	failing  bool
	up       bool
	life     *incarnation
	changed  chan struct{}
	sequence int
}

// start listens, registers the worker and keeps it registered.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.changed = listener.Addr().String(), make(chan struct{})
	w.begin()
	go func() { _ = http.Serve(listener, w.proxy()) }()
	go w.heartbeats()
	go w.watchLease()
	return nil
}

// begin begins an incarnation of the worker.
func (w *worker) begin() {
	w.mutex.Lock()
	w.up = true
	w.life = &incarnation{born: time.Now(), running: map[string]*activeRun{}, highest: map[string]int{}}
	w.mutex.Unlock()
	w.register()
}

// crash ends all that runs on the worker, at once and without a word.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.up = false
	for task, run := range w.life.running {
		w.world.runEnded(w, run, "crash")
		delete(w.life.running, task)
	}
	w.world.record.add("worker %s crashes", w.id)
}

func (w *worker) register() {
	w.mutex.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "capacity": capacity,
		"labels": []string{"a", w.rack}, "clock_ms": w.life.clock(),
	}
	if w.saysBorn {
		entry["born"] = w.life.born.UnixMilli()
	}
	w.mutex.Unlock()
	w.world.store.put("servers", w.id, entry)
}

func (w *worker) heartbeats() {
	for range time.Tick(heartbeat) {
		if w.isUp() {
			w.register()
		}
	}
}

func (w *worker) isUp() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.up
}

// clock is the worker's steady clock.
func (l *incarnation) clock() int64 { return firstClock + time.Since(l.born).Milliseconds() }

// watchLease ends everything once the lease has run out.
func (w *worker) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		w.mutex.Lock()
		if w.up && w.life.clock() > w.life.lease {
			for _, run := range w.life.running {
				w.end(run, "lapsed")
			}
		}
		w.mutex.Unlock()
	}
}

// end lists the end of a run. The caller holds the mutex.
func (w *worker) end(run *activeRun, how string) {
	life := w.life
	if life.running[run.task] != run {
		return
	}
	delete(life.running, run.task)
	life.lastEnd++
	life.highest[run.task] = max(life.highest[run.task], run.run)
	checkpoint := ""
	if how != "done" {
		checkpoint = run.checkpoint()
	}
	life.ended = append(life.ended, endedRun{life.lastEnd, run.task, run.run, how, checkpoint})
	close(w.changed)
	w.changed = make(chan struct{})
	w.world.runEnded(w, run, how)
	if run.work.gangSize > 0 && how != "done" {
		w.world.breakGang(run.task, run.run)
	}
}

func (r *activeRun) checkpoint() string {
	saved := int(time.Since(r.began) / checkpointInterval)
	if !r.work.checkpointing || saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%.8s", saved, r.task)
}

func (r *activeRun) percent() int {
	if r.work.lasts {
		return 100
	}
	return min(99, int(100*time.Since(r.began)/r.work.duration))
}

// used returns the room that runs take. The caller holds the mutex.
func (w *worker) used() resources {
	var sum resources
	for _, run := range w.life.running {
		sum.CPU += run.work.room.CPU
		sum.MemoryMB += run.work.room.MemoryMB
		sum.GPUs += run.work.room.GPUs
	}
	return sum
}

func (w *worker) fits(room resources) bool {
	used := w.used()
	return used.CPU+room.CPU <= capacity.CPU && used.MemoryMB+room.MemoryMB <= capacity.MemoryMB && used.GPUs+room.GPUs <= capacity.GPUs
}

// order is the body of all three orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// reply is an answer with a status.
type reply struct {
	status int
	body   map[string]any
}

// handle carries an order out.
func (w *worker) handle(path, instance string, body []byte, done <-chan struct{}) (reply, bool) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return reply{http.StatusBadRequest, nil}, true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return reply{}, false
	}
	life := w.life
	if instance != w.id {
		return reply{http.StatusMisdirectedRequest, nil}, true
	}
	if o.Token < life.token {
		return w.refuse("fence"), true
	}
	life.token = o.Token
	switch path {
	case "/-/run-start":
		return w.startRun(&o), true
	case "/-/run-stop":
		return w.stopRun(&o), true
	case "/-/hold":
		return w.hold(&o, done)
	}
	return reply{http.StatusNotFound, nil}, true
}

func (w *worker) refuse(reason string) reply {
	return reply{http.StatusConflict, map[string]any{"clock_ms": w.life.clock(), "reason": reason}}
}

func (w *worker) accept() reply {
	return reply{http.StatusOK, map[string]any{"clock_ms": w.life.clock()}}
}

// extend extends the lease. It never shortens.
func (l *incarnation) extend(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+maxHold.Milliseconds()))
}

func (w *worker) startRun(o *order) reply {
	life := w.life
	if life.clock() > o.Deadline {
		return w.refuse("late")
	}
	life.extend(o.Deadline)
	present := life.running[o.Task]
	if present != nil && present.run == o.Run {
		return w.accept()
	}
	if present != nil || o.Run <= life.highest[o.Task] {
		return w.refuse("old")
	}
	work := w.world.workOf(o.Task)
	if !w.fits(work.room) {
		return w.refuse("room")
	}
	run := &activeRun{task: o.Task, run: o.Run, work: work, began: time.Now()}
	life.running[o.Task] = run
	w.world.runStarted(w, run)
	member := gangMember{worker: w, life: life, run: run}
	switch {
	case w.failing:
		time.AfterFunc(failTime, func() { member.end("failed") })
	case work.gangSize == 0 && !work.lasts:
		time.AfterFunc(work.duration, func() { member.end("done") })
	}
	if work.gangSize > 0 {
		w.world.joinGang(member, work.gangSize)
	}
	return w.accept()
}

func (w *worker) setFailing(failing bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failing = failing
}

func (w *worker) stopRun(o *order) reply {
	life := w.life
	life.highest[o.Task] = max(life.highest[o.Task], o.Run)
	if run := life.running[o.Task]; run != nil && run.run <= o.Run && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if w.up && w.life == life {
				w.end(run, "stopped")
			}
		})
	}
	return w.accept()
}

// hold answers with both lists, at once or as soon as a run has ended. The caller holds the mutex.
func (w *worker) hold(o *order, done <-chan struct{}) (reply, bool) {
	life := w.life
	if o.Deadline > 0 {
		life.extend(o.Deadline)
	}
	life.noteEnds(w, o.LastSeen)
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(life.ended) == 0; {
		changed := w.changed
		w.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-done:
			waiting = false
		}
		w.mutex.Lock()
		if !w.up || w.life != life {
			return reply{}, false
		}
	}
	return w.report(), true
}

// noteEnds drops the ends that the system has taken note of.
func (l *incarnation) noteEnds(w *worker, lastSeen int64) {
	for len(l.ended) > 0 && l.ended[0].number <= lastSeen {
		w.world.endNoted(w, l.ended[0])
		l.ended = l.ended[1:]
	}
}

func (w *worker) report() reply {
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.life.running {
		if !run.stopping {
			running = append(running, []any{run.task, run.run, run.checkpoint(), run.percent()})
		}
	}
	for _, end := range w.life.ended[:min(listedEnds, len(w.life.ended))] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, end.checkpoint})
	}
	body := map[string]any{"clock_ms": w.life.clock(), "running": running, "finished": finished}
	if w.saysBorn {
		body["born"] = w.life.born.UnixMilli()
	}
	return reply{http.StatusOK, body}
}
