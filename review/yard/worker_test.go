//go:build review

package yard

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a small site that workers keep.
const (
	maxHold       = 10 * time.Second
	stopTime      = 300 * time.Millisecond
	maxPollWait   = 2 * time.Second
	maxListedEnds = 500
)

// work is what the specification tells a worker about a task.
type work struct {
	Millis int64 `json:"ms"`
	CPU    int   `json:"cpu"`
	Memory int   `json:"mem_mb"`
	GPUs   int   `json:"gpus"`
	Lasts  bool  `json:"lasts"`
}

type runKey struct {
	task string
	run  int
}

type activeRun struct {
	runKey
	work     work
	began    time.Time
	stopping bool
}

// started is one start of a task, as the worker has seen it.
type started struct {
	at     time.Time
	worker string
	task   string
	run    int
	token  int64
	// endedAt and how are set when the run has ended; notedAt when that end was taken note of.
	endedAt, notedAt time.Time
	how              string
}

// worker is a stand-in of one worker, as the pages describe it.
type worker struct {
	yard    *yard
	id      string
	address string
	rack    string
	size    work

	mutex    sync.Mutex
	server   *http.Server
	born     time.Time
	clock0   int64
	fence    int64
	deadline int64
	running  map[string]*activeRun
	highest  map[string]int
	ends     [][]any
	endKeys  []runKey
	numbers  int64
	changed  chan struct{}
	down     bool
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// begin starts a life of the worker at its address; a new one if it has none.
func (w *worker) begin() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for _, name := range []string{"run-start", "run-stop", "hold"} {
		mux.HandleFunc("POST /-/"+name, func(rw http.ResponseWriter, r *http.Request) { w.serve(name, rw, r) })
	}
	server := &http.Server{Handler: mux}
	w.mutex.Lock()
	w.address, w.server, w.born, w.clock0 = listener.Addr().String(), server, time.Now(), 1000
	w.fence, w.deadline, w.numbers, w.ends, w.endKeys = 0, 0, 0, nil, nil
	w.running, w.highest, w.changed, w.down = map[string]*activeRun{}, map[string]int{}, make(chan struct{}), false
	w.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.writeRow()
	return nil
}

// crash ends the worker's life at once. Nothing of it stays but its row, which lapses later.
func (w *worker) crash() {
	w.mutex.Lock()
	w.down = true
	server := w.server
	for _, active := range w.running {
		w.yard.ended(w.id, active.runKey, "crashed")
	}
	w.running = map[string]*activeRun{}
	w.mutex.Unlock()
	_ = server.Close()
	w.yard.record.note("worker", "%s crashes", w.id)
}

func (w *worker) writeRow() {
	w.yard.store.write("servers", w.id, map[string]any{
		"service": w.yard.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.size.CPU, "mem_mb": w.size.Memory, "gpus": w.size.GPUs},
		"labels": []string{"a", w.rack}, "sequence": 1, "born": w.born.UnixMilli(), "clock_ms": w.clock(),
	})
}

func (w *worker) clock() int64 { return w.clock0 + time.Since(w.born).Milliseconds() }

func (w *worker) serve(name string, rw http.ResponseWriter, r *http.Request) {
	var body order
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Wheatroad-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := w.carryOut(name, &body, r)
	reply(rw, status, answer)
}

func (w *worker) carryOut(name string, body *order, r *http.Request) (int, any) {
	if name == "hold" && body.Wait > 0 {
		w.awaitEnd(body, r)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.down {
		return http.StatusServiceUnavailable, nil
	}
	if body.Token < w.fence {
		return w.reject("fence")
	}
	w.fence = body.Token
	if name != "run-stop" {
		w.extend(body.Deadline)
	}
	switch name {
	case "run-start":
		return w.start(body)
	case "run-stop":
		w.stop(body)
		return http.StatusOK, w.answer()
	}
	w.take(body.LastSeen)
	return http.StatusOK, w.lists()
}

func (w *worker) answer() map[string]any { return map[string]any{"clock_ms": w.clock()} }

func (w *worker) reject(reason string) (int, any) {
	answer := w.answer()
	answer["reason"] = reason
	return http.StatusConflict, answer
}

// extend takes a new deadline for all that runs. It never shortens.
func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+maxHold.Milliseconds())
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	born := w.born
	time.AfterFunc(time.Duration(deadline-w.clock()+1)*time.Millisecond, func() { w.lapse(born) })
}

func (w *worker) lapse(born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.down || w.born != born || w.clock() <= w.deadline {
		return
	}
	for _, active := range w.running {
		w.end(active, "lapsed")
	}
}

func (w *worker) start(body *order) (int, any) {
	if active := w.running[body.Task]; active != nil && active.run == body.Run {
		return http.StatusOK, w.answer()
	}
	if body.Run <= w.highest[body.Task] || w.running[body.Task] != nil {
		return w.reject("old")
	}
	if body.Deadline <= w.clock() {
		return w.reject("late")
	}
	var wanted work
	_ = json.Unmarshal([]byte(body.Spec), &wanted)
	if !w.fits(wanted) {
		return w.reject("room")
	}
	active := &activeRun{runKey: runKey{body.Task, body.Run}, work: wanted, began: time.Now()}
	w.running[body.Task] = active
	w.yard.began(started{at: active.began, worker: w.id, task: body.Task, run: body.Run, token: body.Token})
	if wanted.Lasts {
		return http.StatusOK, w.answer()
	}
	born := w.born
	time.AfterFunc(time.Duration(wanted.Millis)*time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.born == born && w.running[body.Task] == active && !active.stopping {
			w.end(active, "done")
		}
	})
	return http.StatusOK, w.answer()
}

func (w *worker) fits(wanted work) bool {
	for _, active := range w.running {
		wanted.CPU += active.work.CPU
		wanted.Memory += active.work.Memory
		wanted.GPUs += active.work.GPUs
	}
	return wanted.CPU <= w.size.CPU && wanted.Memory <= w.size.Memory && wanted.GPUs <= w.size.GPUs
}

func (w *worker) stop(body *order) {
	active := w.running[body.Task]
	if active == nil || active.run != body.Run {
		w.highest[body.Task] = max(w.highest[body.Task], body.Run)
		return
	}
	if active.stopping {
		return
	}
	active.stopping = true
	time.AfterFunc(stopTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.running[body.Task] == active {
			w.end(active, "stopped")
		}
	})
}

func (w *worker) end(active *activeRun, how string) {
	delete(w.running, active.task)
	w.highest[active.task] = max(w.highest[active.task], active.run)
	w.numbers++
	w.ends = append(w.ends, []any{w.numbers, active.task, active.run, how, ""})
	w.endKeys = append(w.endKeys, active.runKey)
	w.yard.ended(w.id, active.runKey, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// percent returns how far the work has come. A task that lasts is at work, at 100, after a short start.
func (a *activeRun) percent() int64 {
	const shortStart = 500 * time.Millisecond
	worked := time.Since(a.began)
	switch {
	case a.work.Lasts && worked < shortStart:
		return 0
	case a.work.Lasts || a.work.Millis == 0:
		return 100
	}
	return min(99, 100*worked.Milliseconds()/a.work.Millis)
}

// take drops the ends up to a number: they are taken note of.
func (w *worker) take(last int64) {
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= last {
		w.yard.noted(w.id, w.endKeys[0])
		w.ends, w.endKeys = w.ends[1:], w.endKeys[1:]
	}
}

// awaitEnd waits for an end that is not taken note of.
func (w *worker) awaitEnd(body *order, r *http.Request) {
	w.mutex.Lock()
	if body.Token >= w.fence {
		w.fence = body.Token
		w.extend(body.Deadline)
		w.take(body.LastSeen)
	}
	changed, waits := w.changed, len(w.ends) == 0
	w.mutex.Unlock()
	if !waits {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(min(time.Duration(body.Wait)*time.Millisecond, maxPollWait)):
	}
}

func (w *worker) lists() map[string]any {
	answer := w.answer()
	running := [][]any{}
	for _, active := range w.running {
		if !active.stopping {
			running = append(running, []any{active.task, active.run, "", active.percent()})
		}
	}
	answer["born"], answer["running"], answer["finished"] = w.born.UnixMilli(), running, w.ends[:min(len(w.ends), maxListedEnds)]
	return answer
}

// jobOf returns the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (s *started) String() string {
	return fmt.Sprintf("%s run %d on %s (token %d)", s.task, s.run, s.worker, s.token)
}

// lapseRow removes the worker's row after three heartbeats of silence.
func (w *worker) lapseRow() {
	const silence = 4500 * time.Millisecond
	time.AfterFunc(silence, func() {
		w.yard.store.remove("servers", w.id)
		w.yard.record.note("platform", "the entry of %s goes", w.id)
	})
}
