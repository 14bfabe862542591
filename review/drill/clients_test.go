//go:build review

package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// What the operator's configuration says of the routes and tenants.
const (
	host         = "jobs.example"
	pathPrefix   = "/q/"
	urgentPrefix = "/urgent/"
	apiKey       = "key-1"
	otherKey     = "key-2"
	deadline     = 3 * time.Second
	callTimeout  = deadline + 500*time.Millisecond
	maxAttempts  = 4
	// guaranteed is how many GPUs each tenant holds, as in the examples of the sheet.
	guaranteed = 72
)

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemoryMB      int    `json:"mem_mb,omitempty"`
	GPUs          int    `json:"gpus,omitempty"`
	Estimate      int64  `json:"estimated_ms,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang_scheduled,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MissAllowed   int    `json:"miss_allowed,omitempty"`
}

// job is a submitted job.
type job struct {
	id       string
	Payload  string `json:"specification"`
	Steps    []step `json:"steps"`
	accepted bool
	sentAt   time.Time
	// shortest and longest bound the tasks' durations.
	shortest, longest time.Duration
	// prefix is that of the job's route, and key that of its tenant.
	prefix, key string
}

// duration returns how long a task takes. Tasks of one step are uneven.
func (j *job) duration(index int) time.Duration {
	const kinds = 16
	return j.shortest + (j.longest-j.shortest)*time.Duration(index*7%kinds)/kinds
}

func newJob(shortest, longest time.Duration, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), Payload: "work", Steps: steps, shortest: shortest, longest: longest, prefix: pathPrefix, key: apiKey}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// answer is a complete answer to a client; status 0 if there was none.
type answer struct {
	status int
	state  string
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return "no answer"
	case a.state != "":
		return fmt.Sprintf("%d %s", a.status, a.state)
	}
	return strconv.Itoa(a.status)
}

func call(method, address string, j *job, body any) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+j.prefix+j.id, content)
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Api-Key", j.key)
	request.Header.Set("Wheatroad-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	document, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(document, &decoded)
	return answer{status: response.StatusCode, state: decoded.State}
}

func probe(readiness string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+readiness+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// submit hands a job in, once.
func (w *world) submit(to *node, j *job) answer {
	w.mutex.Lock()
	w.jobs[j.id] = j
	w.mutex.Unlock()
	if j.sentAt.IsZero() {
		j.sentAt = time.Now()
	}
	got := call(http.MethodPost, to.callers, j, j)
	j.accepted = j.accepted || got.status/100 == 2
	w.record.add("POST %s to %s: %s", j.id, to.name, got)
	return got
}

// state asks for a job's state.
func (w *world) state(of *node, j *job) answer {
	got := call(http.MethodGet, of.callers, j, nil)
	w.record.add("GET %s from %s: %s", j.id, of.name, got)
	return got
}

// submitUntilAccepted hands a job in until it is accepted, as after refusals.
func (w *world) submitUntilAccepted(to *node, j *job, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if w.submit(to, j); j.accepted {
			return true
		}
	}
	return false
}

// configure writes a version of the configuration, in which the routes lead to a service. It has no
// routes if the service is empty.
func (w *world) configure(version int, service string, services ...string) {
	routes := []any{}
	if service != "" {
		routes = append(routes, route("route-1", pathPrefix, service, 2), route("route-2", urgentPrefix, service, 0))
	}
	var listed []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "enforces_capacity": true, "max_connections": 64, "protocol": "h1"})
	}
	w.store.put("op", "config", map[string]any{
		"version": version, "services": listed,
		"routes":  routes,
		"tenants": []any{tenant("tenant-1", apiKey), tenant("tenant-2", otherKey)},
		"limits":  map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
	w.record.add("configuration %d is acknowledged: %d routes, to service %q", version, len(routes), service)
}

func route(name, prefix, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "service": service, "priority": priority,
		"kind": "unsafe", "timeout_ms": 3000, "max_attempts": maxAttempts, "stretch": 3.0, "target_latency_ms": 3000,
	}
}

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "guaranteed": map[string]int{"gpus": guaranteed}}
}
