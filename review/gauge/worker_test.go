//go:build review

package main

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

const (
	heartbeat       = 1500 * time.Millisecond
	maxHold         = 10 * time.Second
	stopTime        = 50 * time.Millisecond
	maxListedEnds   = 500
	defaultWorkTime = 300 * time.Millisecond
	specifiedWork   = "work_ms="
)

// resources are what a worker has, or what a task asks for.
type resources struct {
	CPU      int `json:"cpu,omitempty"`
	MemoryMB int `json:"mem_mb,omitempty"`
	GPUs     int `json:"gpus,omitempty"`
}

// order is the body of any call to a worker.
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

// run is a run of a task on a worker.
type run struct {
	order
	life      *life
	startedAt time.Time
	work      time.Duration
	stopping  bool
	over      bool
}

// end is an ended run that nobody has taken note of.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// life is one incarnation of a worker. It knows nothing of those before.
type life struct {
	born    int64
	began   time.Time
	token   int64
	lease   time.Time
	runs    map[string]*run
	blocked map[string]int
	ends    []end
	counted int64
	changed chan struct{}
	dead    bool
}

// worker is a worker of the platform. It lists itself in the store.
type worker struct {
	id, zone, rack string
	capacity       resources
	address        string
	store          *store
	log            *runLog
	gangs          *gangs
	record         *recorder
	mutex          sync.Mutex
	life           *life
	server         *http.Server
	sequence       int
	// leaving workers write no entries.
	leaving bool
	// loseAnswer chooses the orders that get no answer. They are carried out after the returned time, in
	// whatever life the worker has then.
	loseAnswer func(kind string, o *order) (late time.Duration, lost bool)
}

func newWorker(number int, s *store, log *runLog, gangs *gangs, record *recorder) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("w%015x", 0xa1b2c3+number), zone: fmt.Sprintf("zone-%d", number%3), rack: fmt.Sprintf("r-%d", number/8),
		capacity: resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}, store: s, log: log, gangs: gangs, record: record,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.begin(listener)
	go w.beat()
	return w, nil
}

// setLoss sets which orders get no answer.
func (w *worker) setLoss(choose func(kind string, o *order) (late time.Duration, lost bool)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loseAnswer = choose
}

// loses reports whether an order gets no answer.
func (w *worker) loses(kind string, o *order) (late time.Duration, lost bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.loseAnswer == nil {
		return 0, false
	}
	return w.loseAnswer(kind, o)
}

// begin begins a life of the worker.
func (w *worker) begin(listener net.Listener) {
	w.mutex.Lock()
	w.life = &life{born: time.Now().UnixMilli(), began: time.Now(), runs: map[string]*run{}, blocked: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	for path, serve := range map[string]func(*life, *order) (int, map[string]any){"run-start": w.start, "run-stop": w.stop, "hold": w.hold} {
		mux.HandleFunc("POST /-/"+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(path, serve, rw, r) })
	}
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mutex.Unlock()
	w.list()
	go func() { _ = server.Serve(listener) }()
}

// crash ends the present life. Its runs are lost, and connections are refused until the next life.
func (w *worker) crash() {
	w.record.line("worker %s crashes", w.id)
	w.endLife("crashed")
}

// leave takes the worker away as planned, without a word: its entry goes, and it serves on for a while.
func (w *worker) leave(drain time.Duration) {
	w.mutex.Lock()
	w.leaving = true
	w.mutex.Unlock()
	w.store.remove("servers", w.id)
	w.record.line("worker %s leaves: its entry is gone, and it serves on for %.1f s", w.id, drain.Seconds())
	time.Sleep(drain)
	w.record.line("worker %s is gone", w.id)
	w.endLife("left")
}

func (w *worker) endLife(how string) {
	w.mutex.Lock()
	w.life.dead = true
	for _, r := range w.life.runs {
		r.over = true
		w.log.ended(w, r, how)
		w.gangs.leave(r)
	}
	w.life.runs = map[string]*run{}
	server := w.server
	w.mutex.Unlock()
	_ = server.Close()
}

// restart begins the next life at the same address and under the same identifier.
func (w *worker) restart() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.record.line("worker %s starts again under its id", w.id)
	w.begin(listener)
	return nil
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mutex.Lock()
		silent := w.life.dead || w.leaving
		w.mutex.Unlock()
		if !silent {
			w.list()
		}
	}
}

func (w *worker) list() {
	w.mutex.Lock()
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "capacity": w.capacity, "labels": []string{"a", w.rack}, "born": w.life.born,
	}
	w.mutex.Unlock()
	w.store.put("servers", w.id, entry)
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// serve answers a call. It blocks until the response is written.
func (w *worker) serve(kind string, serve func(*life, *order) (int, map[string]any), rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Wheatroad-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late, lost := w.loses(kind, &o); lost {
		w.record.line("worker %s: %s of %s run %d gets no answer and is carried out %d ms later", w.id, kind, o.Task, o.Run, late.Milliseconds())
		time.AfterFunc(late, func() { w.carryOutLate(kind, serve, &o) })
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		return
	}
	w.mutex.Lock()
	present := w.life
	w.mutex.Unlock()
	status, body := serve(present, &o)
	answer(rw, status, body)
}

func (w *worker) carryOutLate(kind string, serve func(*life, *order) (int, map[string]any), o *order) {
	w.mutex.Lock()
	present := w.life
	dead := present.dead
	w.mutex.Unlock()
	if dead {
		w.record.line("worker %s: late %s of %s run %d finds the worker down", w.id, kind, o.Task, o.Run)
		return
	}
	status, body := serve(present, o)
	w.record.line("worker %s: late %s of %s run %d is carried out: %d %v", w.id, kind, o.Task, o.Run, status, body["reason"])
}

func (l *life) refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason}
}

// fenced takes note of a fencing token. It returns true if the worker has seen a higher one.
func (l *life) fenced(token int64) bool {
	if token < l.token {
		return true
	}
	l.token = token
	return false
}

// extend extends the lease of all runs. A lease is at most maxHold and never shortens.
func (w *worker) extend(l *life, deadline int64) {
	if deadline == 0 {
		return
	}
	until := l.began.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if !until.After(l.lease) {
		return
	}
	l.lease = until
	time.AfterFunc(time.Until(until), func() { w.lapse(l) })
}

func (w *worker) lapse(l *life) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if l.dead || time.Now().Before(l.lease) {
		return
	}
	for _, r := range l.runs {
		w.finish(r, "lapsed")
	}
}

func (w *worker) start(l *life, o *order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if l.fenced(o.Token) {
		return l.refusal("fence")
	}
	key := o.Task + "#" + strconv.Itoa(o.Run)
	if l.runs[key] != nil {
		return http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born}
	}
	if o.Run <= l.blocked[o.Task] {
		w.extend(l, o.Deadline)
		return l.refusal("old")
	}
	if o.Deadline < l.clock() {
		return l.refusal("late")
	}
	w.extend(l, o.Deadline)
	if !w.hasRoom(l, o.Task) {
		return l.refusal("room")
	}
	r := &run{order: *o, life: l, startedAt: time.Now(), work: workOf(o.Payload)}
	l.runs[key] = r
	w.log.started(w, r)
	if !w.gangs.join(w, r) {
		time.AfterFunc(r.work, func() { w.finishRun(r, "done") })
	}
	return http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born}
}

// hasRoom reports whether the worker has room for another task.
func (w *worker) hasRoom(l *life, task string) bool {
	used := w.log.requirements(task)
	for _, r := range l.runs {
		needed := w.log.requirements(r.Task)
		used = resources{used.CPU + needed.CPU, used.MemoryMB + needed.MemoryMB, used.GPUs + needed.GPUs}
	}
	return used.CPU <= w.capacity.CPU && used.MemoryMB <= w.capacity.MemoryMB && used.GPUs <= w.capacity.GPUs
}

// workOf returns the time that a task works, which its specification names.
func workOf(specification string) time.Duration {
	for _, word := range strings.Fields(specification) {
		if text, found := strings.CutPrefix(word, specifiedWork); found {
			if millis, err := strconv.Atoi(text); err == nil {
				return time.Duration(millis) * time.Millisecond
			}
		}
	}
	return defaultWorkTime
}

// finishRun ends a run that is not being stopped.
func (w *worker) finishRun(r *run, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !r.stopping {
		w.finish(r, how)
	}
}

// finish ends a run and lists its end. The mutex must be held.
func (w *worker) finish(r *run, how string) {
	l := r.life
	if r.over || l.dead {
		return
	}
	r.over = true
	delete(l.runs, r.Task+"#"+strconv.Itoa(r.Run))
	l.blocked[r.Task] = max(l.blocked[r.Task], r.Run)
	l.counted++
	l.ends = append(l.ends, end{number: l.counted, task: r.Task, run: r.Run, how: how})
	w.log.ended(w, r, how)
	w.gangs.leave(r)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (w *worker) stop(l *life, o *order) (int, map[string]any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if l.fenced(o.Token) {
		return l.refusal("fence")
	}
	l.blocked[o.Task] = max(l.blocked[o.Task], o.Run)
	if r := l.runs[o.Task+"#"+strconv.Itoa(o.Run)]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.finish(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.born}
}

func (w *worker) hold(l *life, o *order) (int, map[string]any) {
	w.mutex.Lock()
	if l.fenced(o.Token) {
		defer w.mutex.Unlock()
		return l.refusal("fence")
	}
	w.extend(l, o.Deadline)
	kept := []end{}
	for _, e := range l.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.log.noted(w, l, e)
	}
	l.ends = kept
	changed, waits := l.changed, len(l.ends) == 0 && o.Wait > 0
	w.mutex.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return http.StatusOK, l.report()
}

// report lists the runs and the ends that nobody has taken note of.
func (l *life) report() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.runs {
		percent := min(99, int(100*time.Since(r.startedAt)/max(1, r.work)))
		running = append(running, []any{r.Task, r.Run, "", percent})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range l.ends[:min(len(l.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": l.clock(), "born": l.born, "running": running, "finished": finished}
}
