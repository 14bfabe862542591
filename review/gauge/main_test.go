//go:build review

// Package main runs one case of the third review: the project's daemons as processes, with a store,
// workers and clients of its own, which follow the users' pages.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

const (
	// longestCase is when a case is given up.
	longestCase = 115 * time.Second
	// idleBound is for how long a job may have nothing running, by the rule LOST.
	idleBound = 3 * time.Second
)

// site is a small deployment.
type site struct {
	record  *recorder
	store   *store
	workers []*worker
	log     *runLog
	gangs   *gangs
	daemons []*daemon
	folder  string
	trouble bool
	version int
	queues  []*queue
}

// scenario is a case. It returns true if the rule was broken.
type scenario struct {
	daemons, workers int
	queues           []*queue
	run              func(s *site) (broken bool, err error)
}

var scenarios = map[string]scenario{}

func TestMain(*testing.M) {
	// Children end with the thread that has started them.
	runtime.LockOSThread()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: gauge CASE FOLDER")
		return statusNotRun
	}
	chosen, found := scenarios[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return statusNotRun
	}
	s, err := newSite(chosen, filepath.Join(os.Args[2], "record.txt"))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return statusNotRun
	}
	return s.judge(chosen)
}

// judge runs the case and tells its result.
func (s *site) judge(chosen scenario) int {
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := chosen.run(s)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			s.tell("the case could not run: %v", r.err)
			return statusNotRun
		case r.broken:
			s.tell("the rule was broken")
			return statusBroken
		}
		s.tell("the rule held")
		return statusHeld
	case <-time.After(longestCase):
		s.tell("the case took too long")
		return statusNotRun
	}
}

// tell writes a line to the record and to standard output.
func (s *site) tell(format string, arguments ...any) {
	s.record.line(format, arguments...)
	fmt.Printf("%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
}

func newSite(chosen scenario, recordPath string) (*site, error) {
	record, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{record: record, log: newRunLog(record), gangs: newGangs(), trouble: os.Getenv("TROUBLE") != "0", queues: chosen.queues}
	s.record.line("trouble: %v", s.trouble)
	if s.folder, err = os.MkdirTemp("", "gauge"); err != nil {
		return s, err
	}
	if s.store, err = newStore(record); err != nil {
		return s, err
	}
	s.configure()
	for number := range chosen.workers {
		w, err := newWorker(number, s.store, s.log, s.gangs, record)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
	}
	for number := range chosen.daemons {
		d, err := newDaemon(number+1, s.store.address(), s.folder)
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version += 3
	routes := []map[string]any{}
	for _, q := range s.queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": q.host, "path_prefix": q.prefix, "service": serviceName, "priority": q.priority,
			"max_attempts": q.attempts, "stretch": 3.0, "target_latency_ms": 1000,
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "enforces_capacity": true}},
		"tenants": []map[string]any{
			{"name": "north", "api_keys": []string{"key-north"}, "guaranteed": map[string]int{"gpus": 16}},
			{"name": "south", "api_keys": []string{"key-south"}, "guaranteed": map[string]int{"gpus": 16}},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
}

// awaitReady waits until all nodes call themselves ready.
func (s *site) awaitReady() error {
	client, from := &http.Client{Timeout: time.Second}, time.Now()
	for _, d := range s.daemons {
		for {
			response, err := client.Get("http://" + d.readiness + "/-/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(from) > 20*time.Second {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.line("all nodes are ready")
	return nil
}

func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	if kept := os.Getenv("GAUGE_LOGS"); kept != "" {
		for _, d := range s.daemons {
			if text, err := os.ReadFile(d.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(kept, d.name+".log"), text, 0o600)
			}
		}
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
	s.record.close()
}
