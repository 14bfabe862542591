//go:build review

// Package yard is a small deployment for the review: a stand-in of the platform's store, stand-ins of
// workers and of clients, and real nodes. It plays one case, writes its record, and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. All of it stands in files for tests, so
// that it is no part of the product; its test binary is the program.
package yard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(who, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// yard is the deployment.
type yard struct {
	record  *record
	store   *store
	storeAt string
	folder  string
	service string
	workers []*worker
	nodes   []*node

	mutex  sync.Mutex
	starts []*started
}

func (y *yard) began(s started) {
	y.mutex.Lock()
	y.starts = append(y.starts, &s)
	y.mutex.Unlock()
	y.record.note("worker", "starts %s", &s)
}

func (y *yard) find(workerID string, key runKey) *started {
	for i := len(y.starts) - 1; i >= 0; i-- {
		if s := y.starts[i]; s.worker == workerID && s.task == key.task && s.run == key.run {
			return s
		}
	}
	return nil
}

func (y *yard) ended(workerID string, key runKey, how string) {
	y.mutex.Lock()
	if s := y.find(workerID, key); s != nil && s.endedAt.IsZero() {
		s.endedAt, s.how = time.Now(), how
	}
	y.mutex.Unlock()
	y.record.note("worker", "%s run %d on %s ends: %s", key.task, key.run, workerID, how)
}

func (y *yard) noted(workerID string, key runKey) {
	y.mutex.Lock()
	defer y.mutex.Unlock()
	if s := y.find(workerID, key); s != nil {
		s.notedAt = time.Now()
	}
}

// startsOf returns the starts of a job's tasks so far.
func (y *yard) startsOf(job string) []started {
	y.mutex.Lock()
	defer y.mutex.Unlock()
	var found []started
	for _, s := range y.starts {
		if jobOf(s.task) == job {
			found = append(found, *s)
		}
	}
	return found
}

// addWorkers begins a number of workers of a size, eight a rack.
func (y *yard) addWorkers(count int, size work) error {
	const workersPerRack = 8
	for range count {
		number := len(y.workers)
		w := &worker{yard: y, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), rack: fmt.Sprintf("r1-%d", number/workersPerRack), size: size}
		if err := w.begin(); err != nil {
			return err
		}
		y.workers = append(y.workers, w)
	}
	return nil
}

// node is one real process of the system.
type node struct {
	yard                              *yard
	name                              string
	callers, readiness, peers, status string
	command                           *exec.Cmd
	ended                             chan struct{}
}

// nodeHost is a loopback address for the nodes of this play, so that plays beside each other share no ports.
var nodeHost = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))

// taken holds the addresses that freeAddress has returned.
var taken = map[string]bool{}

// freeAddress returns an address outside the range from which the system takes ports by itself.
func freeAddress() (string, error) {
	const lowest, count, tries = 12000, 18000, 100
	var failure error
	for range tries {
		address := fmt.Sprintf("%s:%d", nodeHost, lowest+rand.IntN(count))
		if taken[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			taken[address] = true
			return address, listener.Close()
		}
		failure = err
	}
	return "", failure
}

// addNode starts a node with the settings of the template, filled in as on a small site.
func (y *yard) addNode() (*node, error) {
	n := &node{yard: y, name: fmt.Sprintf("frontend-zone-a-%d", len(y.nodes)+1)}
	for _, address := range []*string{&n.callers, &n.readiness, &n.peers, &n.status} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	y.nodes = append(y.nodes, n)
	return n, n.start()
}

func (n *node) settings() string {
	return fmt.Sprintf(`name = %q
zone = "zone-a"
region = "region"
callers = %q
readiness = %q
peers = %q
metrics = %q
store = %q
memory_mb = 284
link_mbps = 1000.0
cpu_share = 0.4

[bounds]
max_hold_ms = %d
stop_timeout_ms = 900
gang_timeout_ms = 3000
reclaim_ms = 3400
checkpoint_interval_s = 1
status_s = 120
remote_factor = 3
config_apply_ms = 2000
grace_period_s = 6

[policies]
tenant_sharing = "auto"

[zones]
"zone-a" = "region"
`, n.name, n.callers, n.readiness, n.peers, n.status, n.yard.storeAt, maxHold.Milliseconds())
}

func (n *node) start() error {
	path := filepath.Join(n.yard.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.yard.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command("target/wheatroadd", "serve")
	n.command.Env = []string{"WHEATROAD_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.yard.record.note("platform", "starts %s", n.name)
	ended, command := make(chan struct{}), n.command
	n.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
		_ = log.Close()
	}()
	return nil
}

// awaitReady waits until all nodes call themselves ready.
func (y *yard) awaitReady() error {
	limit := time.Now().Add(15 * time.Second)
	for _, n := range y.nodes {
		for !n.ready() {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (y *yard) close() {
	for _, n := range y.nodes {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(y.folder)
	}
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	priority     int
}

const (
	host = "yard.example"
	key  = "key-of-the-tenant"
)

func (y *yard) configure(version int, routes ...route) {
	var entries []map[string]any
	for _, r := range routes {
		entries = append(entries, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": r.priority, "service": y.service, "max_attempts": 4, "stretch": 3.0, "public": false,
		})
	}
	y.store.write("op", "config", map[string]any{
		"version": version, "routes": entries,
		"services": []map[string]any{{"name": y.service, "enforces_capacity": true, "spare_capacity": false, "health_check_path": "/health"}},
		"tenants":  []map[string]any{{"name": "tenant", "api_keys": []string{key}, "guaranteed": map[string]int{"gpus": 0}}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	y.record.note("operator", "writes configuration %d with %d routes", version, len(routes))
}

// step is a step of a job, with what its tasks tell the workers.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	Memory      int   `json:"mem_mb,omitempty"`
	GPUs        int   `json:"gpus,omitempty"`
	Estimate    int64 `json:"estimated_ms,omitempty"`
	After       []int `json:"after_revision,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	Gang        bool  `json:"gang_scheduled,omitempty"`
	PerWorker   int   `json:"anti_affinity,omitempty"`
}

// answerOf is an answer that a client got; status 0 means none.
type answerOf struct {
	status int
	state  string
	// waiting is the count of waiting jobs that a queue's answer gives.
	waiting int
	at      time.Time
}

// call sends a client's request to a node and waits for the answer at most the given time.
func (n *node) call(method, path string, body any, limit time.Duration) answerOf {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+n.callers+path, content)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Wheatroad-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	n.yard.record.note("client", "%s %s to %s", method, path, n.name)
	response, err := client.Do(request)
	if err != nil {
		n.yard.record.note("client", "%s %s at %s: no answer", method, path, n.name)
		return answerOf{at: time.Now()}
	}
	defer response.Body.Close()
	document, _ := io.ReadAll(response.Body)
	result := answerOf{status: response.StatusCode, at: time.Now()}
	var state struct {
		State   string `json:"state"`
		Waiting int    `json:"waiting"`
	}
	_ = json.Unmarshal(document, &state)
	result.state, result.waiting = state.State, state.Waiting
	n.yard.record.note("client", "%s %s at %s: %d %s", method, path, n.name, response.StatusCode, strings.TrimSpace(string(document)))
	return result
}

// job returns the body of a job whose tasks work for a time. All steps ask for the same.
func job(millis int64, steps ...step) map[string]any {
	first := steps[0]
	spec, _ := json.Marshal(work{Millis: millis, CPU: first.CPU, Memory: first.Memory, GPUs: first.GPUs, Lasts: first.LongRunning})
	for i := range steps {
		steps[i].Estimate = millis
	}
	return map[string]any{"specification": string(spec), "steps": steps}
}

// deploy starts nodes and workers under a configuration with a queue of small and one of large jobs.
func (y *yard) deploy(nodes, workers int, size work) error {
	y.configure(1, route{"r-small", "/small/", 1}, route{"r-large", "/large/", 2})
	if err := y.addWorkers(workers, size); err != nil {
		return err
	}
	for range nodes {
		if _, err := y.addNode(); err != nil {
			return err
		}
	}
	if err := y.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
