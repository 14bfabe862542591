//go:build review

package rowsite

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that concern workers, as tcpuc-wheatroad has them.
const (
	maxHold            = 6 * time.Second
	stopTime           = 200 * time.Millisecond
	lastingStart       = 500 * time.Millisecond
	checkpointInterval = 2 * time.Second
	heartbeat          = 1500 * time.Millisecond
	longestHoldWait    = 2 * time.Second
	endsPerAnswer      = 500
)

// resources is an amount of a worker's room.
type resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPUs   int `json:"gpus"`
}

func (a resources) minus(b resources) resources {
	return resources{a.CPU - b.CPU, a.Memory - b.Memory, a.GPUs - b.GPUs}
}

func (a resources) fitsIn(b resources) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.GPUs <= b.GPUs
}

// taskKind is what the tasks of a step ask for, and how long they work.
type taskKind struct {
	resources
	work        time.Duration
	checkpoints bool
	// lasts says that the tasks run until the job is cancelled.
	lasts bool
}

type run struct {
	task       string
	number     int
	kind       taskKind
	began      time.Time
	checkpoint string
	stopping   bool
}

type end struct {
	number     int64
	task       string
	run        int
	how        string
	checkpoint string
}

// order is the body of each call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// worker is one worker.
type worker struct {
	site     *site
	id       string
	zone     string
	rack     string
	address  string
	capacity resources

	mutex sync.Mutex
	life
}

// life is what a worker knows from its start to its crash.
type life struct {
	up         bool
	born       time.Time
	sequence   int
	token      int64
	leaseEnd   time.Time
	runs       map[string]*run
	superseded map[string]int
	ends       []end
	lastEnd    int64
	ended      chan struct{}
}

func newLife() life {
	return life{up: true, born: time.Now(), runs: map[string]*run{}, superseded: map[string]int{}, ended: make(chan struct{})}
}

func startWorker(s *site, number int, capacity resources) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		site: s, id: fmt.Sprintf("i-%010x", 0x5a17c3d901+number*0x1f35), zone: zones[number%len(zones)], rack: fmt.Sprintf("r1-%d", number/8),
		address: listener.Addr().String(), capacity: capacity, life: newLife(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, w.start) })
	mux.HandleFunc("POST /-/run-stop", func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, w.stop) })
	mux.HandleFunc("POST /-/hold", func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, w.hold) })
	go func() { _ = http.Serve(listener, mux) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

func (w *worker) beat() {
	for {
		w.writeRow()
		time.Sleep(heartbeat)
	}
}

func (w *worker) writeRow() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return
	}
	w.sequence++
	w.site.store.put("servers", w.id, map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock(),
	})
}

// clock is the worker's steady clock, which starts with its life.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mutex.Lock()
		if len(w.runs) > 0 && time.Now().After(w.leaseEnd) {
			for _, r := range w.runs {
				w.finish(r, "lapsed", "")
			}
		}
		w.mutex.Unlock()
	}
}

// crash ends the worker's life with all its runs, for good.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.up = false
	for _, r := range w.runs {
		w.site.runEnded(w, r, "crashed")
	}
	w.runs = map[string]*run{}
	close(w.ended)
	w.site.record.line("worker %s crashes", w.id)
}

// serve answers a call. A worker that has crashed resets the connection.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, carryOut func(*order) (int, map[string]any)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Wheatroad-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := carryOut(&o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	respond(rw, status, body)
}

func (w *worker) answer(reason string) (int, map[string]any) {
	body := map[string]any{"clock_ms": w.clock()}
	if reason == "" {
		return http.StatusOK, body
	}
	body["reason"] = reason
	return http.StatusConflict, body
}

func (w *worker) extendLease(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *worker) start(o *order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return 0, nil
	}
	if o.Token < w.token {
		return w.answer("fence")
	}
	w.token = o.Token
	if present := w.runs[o.Task]; present != nil && present.number == o.Run {
		return w.answer("")
	}
	if o.Run <= w.superseded[o.Task] || w.runs[o.Task] != nil {
		w.extendLease(o.Deadline)
		return w.answer("old")
	}
	if o.Deadline < w.clock() {
		return w.answer("late")
	}
	w.extendLease(o.Deadline)
	kind, known := w.site.kindOf(o.Task)
	if !known || !kind.fitsIn(w.free()) {
		return w.answer("room")
	}
	r := &run{task: o.Task, number: o.Run, kind: kind, began: time.Now(), checkpoint: o.Checkpoint}
	w.runs[o.Task] = r
	w.site.runBegan(w, r)
	born := w.born
	if !kind.lasts {
		time.AfterFunc(kind.work, func() { w.complete(r, born) })
	}
	return w.answer("")
}

func (w *worker) free() resources {
	free := w.capacity
	for _, r := range w.runs {
		free = free.minus(r.kind.resources)
	}
	return free
}

func (w *worker) complete(r *run, born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.up && w.born.Equal(born) && w.runs[r.task] == r && !r.stopping {
		w.finish(r, "done", "")
	}
}

// finish removes a run and lists its end.
func (w *worker) finish(r *run, how, checkpoint string) {
	delete(w.runs, r.task)
	w.superseded[r.task] = max(w.superseded[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, how, checkpoint})
	w.site.runEnded(w, r, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *worker) stop(o *order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return 0, nil
	}
	if o.Token < w.token {
		return w.answer("fence")
	}
	w.token = o.Token
	w.superseded[o.Task] = max(w.superseded[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		born := w.born
		time.AfterFunc(stopTime, func() { w.endStop(r, born) })
	}
	return w.answer("")
}

func (w *worker) endStop(r *run, born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.up && w.born.Equal(born) && w.runs[r.task] == r {
		w.finish(r, "stopped", w.saved(r))
	}
}

func (w *worker) hold(o *order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return 0, nil
	}
	if o.Token < w.token {
		return w.answer("fence")
	}
	w.token = o.Token
	w.extendLease(o.Deadline)
	w.dropEnds(o.LastSeen)
	w.awaitEnd(min(longestHoldWait, time.Duration(o.Wait)*time.Millisecond))
	if !w.up {
		return 0, nil
	}
	status, body := w.answer("")
	body["running"], body["finished"] = w.listRuns(), w.listEnds()
	return status, body
}

func (w *worker) dropEnds(lastSeen int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > lastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
}

// awaitEnd waits for an end that is not noted yet. The caller holds the mutex.
func (w *worker) awaitEnd(wait time.Duration) {
	if wait <= 0 || len(w.ends) > 0 {
		return
	}
	ended := w.ended
	w.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(wait):
	}
	w.mutex.Lock()
}

// saved is the checkpoint of a run, made anew with each checkpointInterval of work.
func (w *worker) saved(r *run) string {
	if !r.kind.checkpoints {
		return ""
	}
	steps := int(time.Since(r.began) / checkpointInterval)
	if steps == 0 {
		return r.checkpoint
	}
	return fmt.Sprintf("%08x%08x", steps*1000, len(r.task)*0x1234567)
}

func (w *worker) listRuns() [][]any {
	rows := [][]any{}
	for _, r := range w.runs {
		if !r.stopping {
			rows = append(rows, []any{r.task, r.number, w.saved(r), r.percent()})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0].(string) < rows[j][0].(string) })
	return rows
}

// percent is a run's progress. A task that lasts is at work after a short start.
func (r *run) percent() int {
	age := time.Since(r.began)
	if r.kind.lasts {
		return min(100, int(100*age/lastingStart))
	}
	return min(99, int(100*age/max(1, r.kind.work)))
}

func (w *worker) listEnds() [][]any {
	rows := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), endsPerAnswer)] {
		rows = append(rows, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	return rows
}

// splitTask returns the job and the step of a task's name.
func splitTask(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}
