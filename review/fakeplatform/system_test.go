//go:build review

package fakeplatform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	apiHost     = "nony24.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	otherKey    = "3hh2b9wu3fexd9dnn2ct"
	serviceName = "turbine-watch"
	// requestDeadline is deadline_ms of all kinds of requests on the sheet.
	requestDeadline = 3 * time.Second
	readyTimeout    = 20 * time.Second
	// finishTime is finish_s, visibleTime is visible_ms and contactTime is contact_ms.
	finishTime  = 14 * time.Second
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	reclaimTime = 3400 * time.Millisecond
)

// route is one route of the configuration.
type route struct {
	name, prefix string
	priority     int
}

// job is a job that a client has sent.
type job struct {
	id, prefix string
	count      int
	perWorker  int
	label      string
	key        string
	needs      taskNeeds
	sentAt     time.Time
	acceptedAt time.Time
	status     int
}

// apiKey returns the key of the job's tenant.
func (j *job) apiKey() string { return cmp.Or(j.key, apiKey) }

// system is a small deployment: the store, the workers and the nodes.
type system struct {
	record  *record
	store   *store
	fleet   *fleet
	nodes   []*node
	folder  string
	trouble bool

	mutex   sync.Mutex
	jobs    map[string]*job
	version int
	turn    int
}

// newSystem starts a deployment like that of sahil-wheatroad: 8 nodes and 48 workers of 64 cores.
func newSystem(r *record, trouble bool) (*system, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, store: newStore(r), folder: folder, trouble: trouble, jobs: map[string]*job{}, version: 3}
	s.fleet = newFleet(serviceName, s.store, r)
	s.fleet.needs = s.needs
	return s, nil
}

func (s *system) start(nodes, workers int) error {
	s.configure([]route{{"r-ce7ejsm", "/lohu930/", 1}, {"r-zzyyjsg", "/pufi791/", 0}, {"r-3ajwyy7", "/pule252/", 2}})
	if err := s.fleet.add(workers, resources{CPU: 64000, MemoryMB: 262144, GPUs: 8}); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s.store.handler()) }()
	for number := range nodes {
		n, err := newNode(number, s.folder, listener.Addr().String())
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.line("system", "%d nodes ready, %d workers", nodes, workers)
	time.Sleep(contactTime)
	return nil
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// configure writes the next version of the configuration.
func (s *system) configure(routes []route) {
	s.version += 2
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": apiHost, "path_prefix": r.prefix, "service": serviceName, "priority": r.priority,
			"max_attempts": 4, "stretch": 3.0, "target_latency_ms": 1000,
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": s.version, "routes": list, "limits": map[string]int{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": serviceName, "enforces_capacity": true}},
		"tenants": []map[string]any{
			{"name": "kaje80", "api_keys": []string{apiKey}, "guaranteed": map[string]int{"gpus": 72}},
			{"name": "mohu31", "api_keys": []string{otherKey}, "guaranteed": map[string]int{"gpus": 72}},
		},
	})
	s.record.line("operator", "version %d acknowledged: %d routes, first %s", s.version, len(routes), routes[0].name)
}

// needs returns what a task of a job takes. ID.K.STEP.INDEX is its name.
func (s *system) needs(task string) (taskNeeds, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 || s.jobs[parts[0]] == nil {
		return taskNeeds{}, false
	}
	index, err := strconv.Atoi(parts[3])
	return s.jobs[parts[0]].needs, err == nil && index < s.jobs[parts[0]].count
}

// nextNode returns the nodes by turns, as the balancer spreads clients.
func (s *system) nextNode() *node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.turn++
	return s.nodes[s.turn%len(s.nodes)]
}

// submit hands a job in once, at the given node.
func (s *system) submit(n *node, j *job) int {
	step := map[string]any{"count": j.count, "estimated_ms": j.needs.work.Milliseconds()}
	for name, amount := range map[string]int{"cpu": j.needs.CPU, "mem_mb": j.needs.MemoryMB, "gpus": j.needs.GPUs} {
		if amount > 0 {
			step[name] = amount
		}
	}
	if j.needs.checkpoints {
		step["checkpointing"] = true
	}
	if j.needs.lasts {
		step["long_running"] = true
	}
	if j.label != "" {
		step["requirements"] = j.label
	}
	if j.perWorker > 0 {
		step["anti_affinity"] = j.perWorker
	}
	body, _ := json.Marshal(map[string]any{"specification": "work of " + j.id, "steps": []any{step}})
	j.sentAt = time.Now()
	s.mutex.Lock()
	s.jobs[j.id] = j
	s.mutex.Unlock()
	status, text := n.call(http.MethodPost, apiHost, j.prefix+j.id, j.apiKey(), string(body), requestDeadline)
	if status >= 200 && status < 300 {
		j.acceptedAt = time.Now()
	}
	j.status = status
	s.record.line("client", "POST %s%s (%d tasks) at %s: %d %s", j.prefix, j.id, j.count, n.name, status, text)
	return status
}

// state asks for the state of a job.
func (s *system) state(j *job) (int, string) {
	status, text := s.nextNode().call(http.MethodGet, apiHost, j.prefix+j.id, j.apiKey(), "", requestDeadline)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// waitCompleted waits until a job is shown as completed.
func (s *system) waitCompleted(j *job, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if _, state := s.state(j); state == "completed" {
			s.record.line("client", "GET %s: completed", j.id)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// usage returns the share of the workers' processors in use, and whether a job has a run.
func (f *fleet) usage(id string) (share float64, running bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	used, all := 0, 0
	for _, w := range f.workers {
		all += w.capacity.CPU
		used += w.life.used().CPU
		for task := range w.life.runs {
			running = running || strings.HasPrefix(task, id+".")
		}
	}
	return float64(used) / float64(all), running
}

// idleFor reports whether for the given time a job has nothing running while under half of the
// workers' capacity is in use.
func (s *system) idleFor(j *job, span time.Duration) bool {
	deadline := time.Now().Add(span)
	for time.Now().Before(deadline) {
		if share, running := s.fleet.usage(j.id); running || share >= 0.5 {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// judgeTwice applies the part of TWICE that has no time bound: a task runs twice at the same time on
// workers that are up, or a start follows a run that has ended done and was taken note of.
func (s *system) judgeTwice() {
	f := s.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, start := range f.starts {
		for _, end := range f.ends {
			if noted, found := f.noted[start.task]; found && end.task == start.task && end.how == "done" && end.run == noted.run && end.born == noted.born && start.at.After(end.at) {
				s.record.violation("TWICE: %s run %d starts on %s (born %d) %.1f s after run %d has ended done, which was taken note of",
					start.task, start.run, start.worker, start.born, start.at.Sub(end.at).Seconds(), end.run)
			}
		}
		for _, other := range f.starts {
			if other.task == start.task && other.at.Before(start.at) && (other.run != start.run || other.born != start.born) && s.runningAt(other, start.at) {
				s.record.violation("TWICE: %s runs twice at the same time: run %d on %s and run %d on %s", start.task, other.run, other.worker, start.run, start.worker)
			}
		}
	}
}

// runningAt reports whether the run that began with a start was still there at a time.
func (s *system) runningAt(start observation, at time.Time) bool {
	for _, end := range s.fleet.ends {
		if end.task == start.task && end.run == start.run && end.born == start.born && end.worker == start.worker {
			return end.at.After(at)
		}
	}
	return true
}

func jobID(number int) string { return fmt.Sprintf("5c0e7a21%08x", number) }
