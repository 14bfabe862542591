//go:build review

package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as on the sheet of sahil-wheatroad.
const (
	maxHold     = 10 * time.Second
	stopTime    = 300 * time.Millisecond
	maxWait     = 2 * time.Second
	maxEnds     = 500
	restoreTime = 250 * time.Millisecond
	// checkpointInterval is checkpoint_interval_s.
	checkpointInterval = time.Second
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// specialLabel is the label of the workers of another kind, and failureDelay is how long a run takes on
// a worker that fails it.
const (
	specialLabel = "b"
	failureDelay = 300 * time.Millisecond
)

type resources struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"mem_mb"`
	GPUs     int `json:"gpus"`
}

func (r resources) plus(o resources, sign int) resources {
	return resources{r.CPU + sign*o.CPU, r.MemoryMB + sign*o.MemoryMB, r.GPUs + sign*o.GPUs}
}

func (r resources) within(o resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPUs <= o.GPUs
}

// taskNeeds says what a task takes and how long it works. The stand-in knows it from the jobs that
// its clients send.
type taskNeeds struct {
	resources
	work time.Duration
	// checkpoints is true if the task makes a checkpoint with each checkpointInterval of work.
	checkpoints bool
	// lasts is true if the task runs until its job is cancelled.
	lasts bool
}

// order is the body of all calls to a worker.
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

type activeRun struct {
	task   string
	number int
	began  time.Time
	needs  taskNeeds
	// saved is the work that the run's start brought along.
	saved    time.Duration
	stopping bool
	over     bool
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
}

// progress returns how much of its work a run has done.
func (r *activeRun) progress() time.Duration {
	working := time.Since(r.began)
	if r.saved > 0 {
		working = max(0, working-restoreTime)
	}
	return min(r.needs.work, r.saved+working)
}

// checkpoint returns the run's latest checkpoint, a text of 16 digits, or "". One more is made at a stop.
func (r *activeRun) checkpoint() string {
	done := r.progress()
	if !r.stopping {
		done = done.Truncate(checkpointInterval)
	}
	if !r.needs.checkpoints || done == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), r.task[:8])
}

// savedWork returns the work that a checkpoint holds.
func savedWork(checkpoint string) time.Duration {
	var millis int64
	if len(checkpoint) >= 8 {
		_, _ = fmt.Sscanf(checkpoint[:8], "%x", &millis)
	}
	return time.Duration(millis) * time.Millisecond
}

// life is one life of a worker's process.
type life struct {
	worker  *worker
	born    int64
	epoch   time.Time
	crashed chan struct{}
	dead    bool
	token   int64
	lease   time.Time
	// lapsed is when the lease last lapsed.
	lapsed  time.Time
	runs    map[string]*activeRun
	blocked map[string]int
	ends    []endedRun
	endings int64
	changed chan struct{}
}

// worker is a stand-in of one worker. Each restart begins another life under the same id.
type worker struct {
	fleet    *fleet
	id       string
	rack     string
	listener net.Listener
	capacity resources
	label    string
	draining bool
	// failing is true while the worker fails all that it starts, though it is well by its health check.
	failing bool
	life    *life
}

// observation is one start or end that a worker saw.
type observation struct {
	at     time.Time
	worker string
	born   int64
	task   string
	run    int
	how    string
}

// fleet holds all workers. One mutex guards them.
type fleet struct {
	mutex   sync.Mutex
	service string
	store   *store
	record  *record
	quiet   bool
	// special is the number of workers of the kind specialLabel.
	special int
	workers []*worker
	needs   func(task string) (taskNeeds, bool)
	// delay returns how long an order is on its way without an answer; 0 means that it arrives at
	// once. It is called with the mutex held.
	delay  func(w *worker, path string, o *order) time.Duration
	starts []observation
	ends   []observation
	noted  map[string]observation
}

func newFleet(service string, s *store, r *record) *fleet {
	return &fleet{service: service, store: s, record: r, noted: map[string]observation{}}
}

func (f *fleet) add(count int, capacity resources) error {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		number := len(f.workers)
		w := &worker{
			fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+number*7919), rack: fmt.Sprintf("r1-%d", number/8),
			listener: listener, capacity: capacity, label: f.label(number),
		}
		f.workers = append(f.workers, w)
		w.begin()
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}

// label returns the kind of a worker by its number.
func (f *fleet) label(number int) string {
	if number < f.special {
		return specialLabel
	}
	return "a"
}

// begin begins a life of the worker and records it in the store.
func (w *worker) begin() {
	now := time.Now()
	w.fleet.mutex.Lock()
	w.life = &life{
		worker: w, born: now.UnixMilli(), epoch: now, crashed: make(chan struct{}), runs: map[string]*activeRun{},
		blocked: map[string]int{}, changed: make(chan struct{}),
	}
	w.fleet.mutex.Unlock()
	w.describe()
}

// describe writes the worker's account of itself to the store.
func (w *worker) describe() {
	w.fleet.mutex.Lock()
	account := map[string]any{
		"service": w.fleet.service, "address": w.listener.Addr().String(), "zone": "sohar-hall", "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "capacity": w.capacity, "labels": []string{w.label, w.rack}, "born": w.life.born,
	}
	if w.draining {
		account["state"], account["remaining_ms"] = "draining", drainTime.Milliseconds()
	}
	w.fleet.mutex.Unlock()
	w.fleet.store.put("servers", w.id, account)
}

// drain lets the worker say that it is draining, serve on for drain_ms and a little longer, and leave.
func (w *worker) drain() {
	w.fleet.mutex.Lock()
	w.draining = true
	w.fleet.mutex.Unlock()
	w.describe()
	time.Sleep(drainTime + time.Second)
	w.die("left with its worker")
	w.fleet.store.remove("servers", w.id)
}

// crash ends the life of the worker. What it ran is gone, and it answers nothing until it begins again.
func (w *worker) crash() { w.die("crashed") }

// die ends the life of the worker. Its runs end as how says, and are told to nobody.
func (w *worker) die(how string) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	w.life.dead = true
	close(w.life.crashed)
	for _, r := range w.life.runs {
		r.over = true
		w.fleet.ended(w.life, r, how)
	}
	w.life.runs = map[string]*activeRun{}
}

func (f *fleet) ended(l *life, r *activeRun, how string) {
	f.ends = append(f.ends, observation{time.Now(), l.worker.id, l.born, r.task, r.number, how})
	if !f.quiet {
		f.record.line(l.worker.id, "ends %s run %d: %s (born %d)", r.task, r.number, how, l.born)
	}
}

func (w *worker) ServeHTTP(answer http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	path, expected := strings.TrimPrefix(r.URL.Path, "/-/"), r.Header.Get("Wheatroad-Expected-Instance")
	if w.hold(path, expected, &o) {
		// The order is on its way and gets no answer.
		<-r.Context().Done()
		return
	}
	w.fleet.mutex.Lock()
	l := w.life
	w.fleet.mutex.Unlock()
	status, body := w.execute(path, expected, &o, r)
	w.fleet.mutex.Lock()
	dead := l.dead
	w.fleet.mutex.Unlock()
	if status == 0 || dead {
		panic(http.ErrAbortHandler)
	}
	encoded, _ := json.Marshal(body)
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_, _ = answer.Write(encoded)
}

// hold keeps an order on its way if the case wants so, and delivers it later to whatever life of the
// worker listens then.
func (w *worker) hold(path, expected string, o *order) bool {
	f := w.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.delay == nil {
		return false
	}
	delay := f.delay(w, path, o)
	if delay == 0 {
		return false
	}
	f.record.line("network", "%s of %s run %d to %s gets no answer and arrives %v later", path, o.Task, o.Run, w.id, delay)
	time.AfterFunc(delay, func() {
		status, body := w.execute(path, expected, o, nil)
		f.record.line("network", "late %s of %s run %d arrives at %s: status %d %v", path, o.Task, o.Run, w.id, status, body)
	})
	return true
}

// execute carries out an order. Status 0 stands for a process that is not there.
func (w *worker) execute(path, expected string, o *order, r *http.Request) (int, map[string]any) {
	f := w.fleet
	f.mutex.Lock()
	l := w.life
	switch {
	case l.dead:
		f.mutex.Unlock()
		return 0, nil
	case expected != "" && expected != w.id:
		f.mutex.Unlock()
		return http.StatusMisdirectedRequest, l.reply()
	case o.Token < l.token:
		defer f.mutex.Unlock()
		return l.refusal("fence")
	}
	l.token = max(l.token, o.Token)
	switch path {
	case "run-start":
		defer f.mutex.Unlock()
		return l.start(o)
	case "run-stop":
		defer f.mutex.Unlock()
		return l.stop(o)
	case "hold":
		l.acknowledge(o)
		f.mutex.Unlock()
		return l.wait(o, r)
	}
	f.mutex.Unlock()
	return http.StatusNotFound, l.reply()
}

func (l *life) clock() int64 { return time.Since(l.epoch).Milliseconds() }

func (l *life) reply() map[string]any { return map[string]any{"clock_ms": l.clock(), "born": l.born} }

func (l *life) refusal(reason string) (int, map[string]any) {
	body := l.reply()
	body["reason"] = reason
	return http.StatusConflict, body
}

// noteLapse notes that the lease has lapsed, if so.
func (l *life) noteLapse() {
	if time.Now().After(l.lease) {
		l.lapsed = l.lease
	}
}

// extend lengthens the lease of all that runs here, to maxHold from now at most.
func (l *life) extend(deadline int64) {
	l.noteLapse()
	end := l.epoch.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if deadline > 0 && end.After(l.lease) {
		l.lease = end
		time.AfterFunc(time.Until(end)+time.Millisecond, l.lapse)
	}
}

func (l *life) lapse() {
	l.worker.fleet.mutex.Lock()
	defer l.worker.fleet.mutex.Unlock()
	if l.dead || time.Now().Before(l.lease) {
		return
	}
	for _, r := range l.sorted() {
		l.end(r, "lapsed")
	}
}

func (l *life) start(o *order) (int, map[string]any) {
	f := l.worker.fleet
	needs, known := f.needs(o.Task)
	if !known {
		f.record.violation("UNASKED: %s is told to start %s, which no client sent", l.worker.id, o.Task)
		return http.StatusBadRequest, l.reply()
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		return http.StatusOK, l.reply()
	}
	if o.Run <= l.blocked[o.Task] || l.runs[o.Task] != nil {
		l.extend(o.Deadline)
		return l.refusal("old")
	}
	if o.Deadline < l.clock() {
		return l.refusal("late")
	}
	l.extend(o.Deadline)
	if !l.used().plus(needs.resources, 1).within(l.worker.capacity) {
		return l.refusal("room")
	}
	r := &activeRun{task: o.Task, number: o.Run, began: time.Now(), needs: needs, saved: savedWork(o.Checkpoint)}
	l.runs[o.Task] = r
	f.starts = append(f.starts, observation{r.began, l.worker.id, l.born, o.Task, o.Run, ""})
	if !f.quiet {
		f.record.line(l.worker.id, "starts %s run %d (born %d, token %d)", o.Task, o.Run, l.born, o.Token)
	}
	if l.worker.failing {
		time.AfterFunc(failureDelay, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			l.end(r, "failed")
		})
		return http.StatusOK, l.reply()
	}
	left := needs.work - r.saved
	if r.saved > 0 {
		left += restoreTime
	}
	if needs.lasts {
		return http.StatusOK, l.reply()
	}
	time.AfterFunc(left, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if !r.stopping {
			l.end(r, "done")
		}
	})
	return http.StatusOK, l.reply()
}

func (l *life) used() resources {
	var sum resources
	for _, r := range l.runs {
		sum = sum.plus(r.needs.resources, 1)
	}
	return sum
}

func (l *life) stop(o *order) (int, map[string]any) {
	l.blocked[o.Task] = max(l.blocked[o.Task], o.Run)
	if r := l.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			l.worker.fleet.mutex.Lock()
			defer l.worker.fleet.mutex.Unlock()
			l.end(r, "stopped")
		})
	}
	return http.StatusOK, l.reply()
}

func (l *life) end(r *activeRun, how string) {
	if r.over || l.dead {
		return
	}
	r.over = true
	delete(l.runs, r.task)
	l.blocked[r.task] = max(l.blocked[r.task], r.number)
	l.endings++
	l.ends = append(l.ends, endedRun{l.endings, r.task, r.number, how, r.checkpoint(), time.Now()})
	l.worker.fleet.ended(l, r, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// acknowledge drops the ends that the caller has taken note of. An end counts as taken note of unless
// the worker's lease lapsed between the two.
func (l *life) acknowledge(o *order) {
	f := l.worker.fleet
	l.extend(o.Deadline)
	kept := l.ends[:0:0]
	for _, end := range l.ends {
		if end.number > o.LastSeen {
			kept = append(kept, end)
			continue
		}
		noted := observation{time.Now(), l.worker.id, l.born, end.task, end.run, end.how}
		if end.how == "done" && end.at.After(l.lapsed) {
			f.noted[end.task] = noted
		}
		if !f.quiet {
			f.record.line(l.worker.id, "end of %s run %d (%s) is taken note of", end.task, end.run, end.how)
		}
	}
	l.ends = kept
}

// wait answers a hold, after an end or the time that the caller lets it wait.
func (l *life) wait(o *order, r *http.Request) (int, map[string]any) {
	f := l.worker.fleet
	deadline := time.NewTimer(min(maxWait, time.Duration(o.Wait)*time.Millisecond))
	defer deadline.Stop()
	var left <-chan struct{}
	if r != nil {
		left = r.Context().Done()
	}
	f.mutex.Lock()
	changed, ready := l.changed, o.Wait == 0 || len(l.ends) > 0
	f.mutex.Unlock()
	if !ready {
		select {
		case <-changed:
		case <-deadline.C:
		case <-left:
		case <-l.crashed:
			return 0, nil
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return http.StatusOK, l.lists()
}

func (l *life) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.sorted() {
		if !r.stopping {
			percent := min(99, int(100*r.progress()/max(1, r.needs.work)))
			if r.needs.lasts {
				percent = 100
			}
			running = append(running, []any{r.task, r.number, r.checkpoint(), percent})
		}
	}
	for _, end := range l.ends[:min(maxEnds, len(l.ends))] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	body := l.reply()
	body["running"], body["finished"] = running, finished
	return body
}

func (l *life) sorted() []*activeRun {
	list := []*activeRun{}
	for _, r := range l.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}
