//go:build review

package rowsite

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Names of the deployment. Zones and bounds are those of tcpuc-wheatroad.
const (
	serviceName = "kaba98a"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	otherKey    = "3hh2b9wu3fexd9dnn2ct"
)

var zones = []string{"hall-depot", "hall-annex", "hall-substation"}

// site is the platform with its workers, and the nodes under test.
type site struct {
	record    *record
	store     *store
	storeAt   string
	directory string
	workers   []*worker
	nodes     []*node
	// descriptors is how many a node may have open, or 0 for as many as this program may.
	descriptors int

	mutex sync.Mutex
	kinds map[string][]taskKind
	// active holds the workers on which each task runs.
	active map[string]map[*worker]int
	// ended counts the runs that ended, by how.
	ended map[string]int
}

func newSite(r *record) (*site, error) {
	directory, err := os.MkdirTemp("", "rowsite")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r, store: newStore(r), directory: directory, kinds: map[string][]taskKind{},
		active: map[string]map[*worker]int{}, ended: map[string]int{},
	}
	s.storeAt, err = s.store.serve()
	return s, err
}

func (s *site) putConfiguration(version int) {
	s.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-ce7ejsm", "host": hostName, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": 1, "service": serviceName, "max_attempts": 4, "stretch": 3.0, "public": false,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": true, "spare_capacity": false,
		}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpus": 8}}},
	})
}

func (s *site) addWorkers(count int, capacity resources) error {
	for i := range count {
		w, err := startWorker(s, i, capacity)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// addressBase is the network of this play's nodes, so that plays beside each other share no addresses.
var addressBase = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))

// nodeAddresses returns the addresses on which a node listens. Ports are alike on all nodes.
func nodeAddresses(number int) (callers, readiness, peers, metrics string) {
	ip := addressBase + strconv.Itoa(number+1)
	return ip + ":8521", ip + ":8523", ip + ":7000", ip + ":9464"
}

// settingsText is deploy/node.toml as the platform fills it for a node of a small deployment.
const settingsText = `name = "%s"
zone = "%s"
region = "piedmont"
callers = "%s"
readiness = "%s"
peers = "%s"
metrics = "%s"
store = "%s"
memory_mb = 284
link_mbps = 1000.0
cpu_share = 0.4

[bounds]
max_hold_ms = 6000
stop_timeout_ms = 400
gang_timeout_ms = 3000
reclaim_ms = 2900
checkpoint_interval_s = 2
status_s = 120
remote_factor = 3
config_apply_ms = 2000
grace_period_s = 6

[policies]
tenant_sharing = "auto"

[zones]
"hall-depot" = "piedmont"
"hall-annex" = "piedmont"
"hall-substation" = "piedmont"
`

func (s *site) addNode(number int) error {
	callers, readiness, peers, metrics := nodeAddresses(number)
	zone := zones[number%len(zones)]
	n := &node{name: fmt.Sprintf("frontend-%s-%d", zone, number/len(zones)+1), zone: zone, callers: callers, ready: readiness, descriptors: s.descriptors}
	n.settings = filepath.Join(s.directory, n.name+".toml")
	settings := fmt.Sprintf(settingsText, n.name, zone, callers, readiness, peers, metrics, s.storeAt)
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(s.directory, n.name+".log"))
	if err != nil {
		return err
	}
	n.logs = logs
	s.nodes = append(s.nodes, n)
	s.record.line("node %s starts", n.name)
	return n.start()
}

// awaitReady waits until all nodes answer 200 to the readiness probe.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range s.nodes {
		for probe(n.ready) != 200 {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, n := range s.nodes {
		n.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.directory)
	} else {
		fmt.Println("logs:", s.directory)
	}
}

func (s *site) setKinds(job string, kinds []taskKind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.kinds[job] = kinds
}

// kindOf returns what a task is. The platform's workers know it by the task's name.
func (s *site) kindOf(task string) (taskKind, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	job, step := splitTask(task)
	kinds := s.kinds[job]
	if step >= len(kinds) {
		return taskKind{}, false
	}
	return kinds[step], true
}

func (s *site) runBegan(w *worker, r *run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record.line("worker %s starts %s run %d", w.id, r.task, r.number)
	if s.active[r.task] == nil {
		s.active[r.task] = map[*worker]int{}
	}
	s.active[r.task][w] = r.number
}

func (s *site) runEnded(w *worker, r *run, how string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record.line("worker %s ends %s run %d: %s", w.id, r.task, r.number, how)
	delete(s.active[r.task], w)
	s.ended[how]++
}

// running returns how many runs of a job there are.
func (s *site) running(job string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for task, workers := range s.active {
		if name, _ := splitTask(task); name == job {
			count += len(workers)
		}
	}
	return count
}
