package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/bench"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// The storm: nine daemons, workers of 8 accelerators, jobs of 4 for 2 s.
const (
	stormNodes       = 9
	stormWorkers     = 56
	jobsPerWorker    = 2
	stormRunSeconds  = 2.0
	stormOperatorKey = "storm-operator-key"
	// smallShare is the part of the capacity that the small tenant asks for.
	smallShare = 0.1
	// slowEvery is how many workers there are to one that is slow.
	slowEvery = 10
	// queueLimit bounds each large tenant's queue in a domain.
	queueLimit = 60
	// settleTime lets jobs under way end before they are counted.
	settleTime = 10 * time.Second
)

// StormPhase is what happened at one load.
type StormPhase struct {
	Load      float64        `json:"load"`
	Seconds   float64        `json:"seconds"`
	Submitted int            `json:"submitted"`
	Answers   map[string]int `json:"answers"`
	// Killed and Frozen are the owners that were killed, and stopped for a quarter of
	// the phase, at its middle.
	Killed string `json:"killed"`
	Frozen string `json:"frozen"`
	// Finished counts jobs that ended well; Goodput is that a second.
	Finished int     `json:"finished"`
	Goodput  float64 `json:"goodput"`
	// AttemptsPerRequest is how often a submission was sent, by callers and nodes.
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	// SmallTenantShed counts how often the tenant that stays within its share was
	// refused for load.
	SmallTenantShed int `json:"small_tenant_shed"`
	// RanTwice counts jobs not to be repeated that ran more than once.
	RanTwice int `json:"ran_twice"`
	// NotRunRan counts jobs that were told not_run and ran.
	NotRunRan int `json:"not_run_ran"`
}

// StormReport is the result of a storm.
type StormReport struct {
	Phases []StormPhase `json:"phases"`
	// GoodputRatio is the goodput at twice the load over that at one.
	GoodputRatio float64 `json:"goodput_ratio"`
}

func newStormCommand() *cobra.Command {
	var binaries string
	var seconds float64
	command := &cobra.Command{
		Use:     "storm",
		Short:   "Load nine real daemons at once and twice the capacity, with slow workers and a daemon killed",
		Example: "  wheatroad-bench storm --bin bin --seconds 20",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runStorm(binaries, seconds)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(command.OutOrStdout()).Encode(report); err != nil {
				return err
			}
			for _, phase := range report.Phases {
				if phase.RanTwice+phase.NotRunRan > 0 {
					return errors.Wrap(bench.ErrPromiseBroken, "see ran_twice and not_run_ran")
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&binaries, "bin", "bin", "folder with the programs")
	command.Flags().Float64Var(&seconds, "seconds", 20, "length of each phase")
	return command
}

// storm is a running system of processes.
type storm struct {
	folder    string
	binaries  string
	processes map[string]*exec.Cmd
	platform  string
	addresses []string
	client    *http.Client
}

func runStorm(binaries string, seconds float64) (*StormReport, error) {
	report := &StormReport{}
	for _, load := range []float64{1, 2} {
		phase, err := stormPhase(binaries, load, seconds)
		if err != nil {
			return nil, err
		}
		report.Phases = append(report.Phases, *phase)
	}
	report.GoodputRatio = report.Phases[1].Goodput / report.Phases[0].Goodput
	return report, nil
}

func stormPhase(binaries string, load, seconds float64) (*StormPhase, error) {
	folder, err := os.MkdirTemp("", "wheatroad-storm")
	if err != nil {
		return nil, err
	}
	s := &storm{folder: folder, binaries: binaries, processes: map[string]*exec.Cmd{}, client: &http.Client{Timeout: 20 * time.Second}}
	defer s.end()
	if err := s.start(); err != nil {
		return nil, err
	}
	return s.run(load, seconds)
}

// end stops every process that was started, by its handle.
func (s *storm) end() {
	for _, process := range s.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	_ = os.RemoveAll(s.folder)
}

func (s *storm) spawn(name string, args ...string) error {
	process := exec.Command(filepath.Join(s.binaries, args[0]), args[1:]...)
	if err := process.Start(); err != nil {
		return err
	}
	s.processes[name] = process
	return nil
}

// awaitFile waits for a file with content.
func awaitFile(path string) (string, error) {
	for range 400 {
		if content, err := os.ReadFile(path); err == nil && len(content) > 0 {
			return string(content), nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return "", errors.Newf("nothing wrote %s", path)
}

const stormCluster = `[[pool]]
region = "r"
zone = "%s"
racks = %d
workers_per_rack = 8
accelerators = 8
cpus = 64
memory_gb = 256
`

func (s *storm) start() error {
	cluster := fmt.Sprintf(stormCluster, "z1", 3) + fmt.Sprintf(stormCluster, "z2", 2) + fmt.Sprintf(stormCluster, "z3", 2)
	clusterPath := filepath.Join(s.folder, "cluster.toml")
	if err := os.WriteFile(clusterPath, []byte(cluster), 0o600); err != nil {
		return err
	}
	address := filepath.Join(s.folder, "platform")
	if err := s.spawn("platform", "wheatroad-platform", "--cluster", clusterPath, "--address-file", address); err != nil {
		return err
	}
	platformAddress, err := awaitFile(address)
	if err != nil {
		return err
	}
	s.platform = "http://" + platformAddress
	for n := range stormNodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	for n := range stormNodes {
		address, err := awaitFile(filepath.Join(s.folder, fmt.Sprintf("node%d", n)))
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, "http://"+address)
	}
	return s.declare()
}

func (s *storm) startNode(n int) error {
	text := fmt.Sprintf(`node = "node%d"
zone = "r/z%d"
[http]
address_file = %q
[platform]
url = %q
connections_per_address = 128
[access]
operator_key_hashes = [%q]
`, n, 1+n%3, filepath.Join(s.folder, fmt.Sprintf("node%d", n)), s.platform, auth.Hash(stormOperatorKey))
	path := filepath.Join(s.folder, fmt.Sprintf("node%d.toml", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return s.spawn(fmt.Sprintf("node%d", n), "wheatroadd", "run", path)
}

func (s *storm) declare() error {
	declared := map[string]any{"tenant": []map[string]any{
		{"name": "large", "key_hashes": []string{auth.Hash("large")}, "quota": map[string]int{"queued_jobs": queueLimit}},
		{"name": "small", "key_hashes": []string{auth.Hash("small")}, "quota": map[string]int{"queued_jobs": queueLimit}},
	}}
	var err error
	for range 200 {
		var plan planning.Plan
		if err = s.call(s.addresses[0], stormOperatorKey, "POST", "/v1/plans", declared, &plan); err == nil && len(plan.Impact) == 0 {
			if err = s.call(s.addresses[0], stormOperatorKey, "POST", "/v1/plans/"+plan.Digest+"/confirm", api.Confirmation{Base: plan.Base}, nil); err != nil {
				return err
			}
			return s.call(s.addresses[0], stormOperatorKey, "GET", "/v1/configuration?version=1&wait=15s", nil, nil)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Wrap(err, "the domains have no owners")
}

// refusal is an answer that is not a success.
type refusal struct{ answer api.ErrorAnswer }

// Error names the refusal's kind.
func (r *refusal) Error() string { return string(r.answer.Error) }

func (s *storm) call(address, key, method, path string, in, out any) error {
	document, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, address+path, bytes.NewReader(document))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		failure := &refusal{}
		_ = json.Unmarshal(content, &failure.answer)
		return failure
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(content, out)
}

// tally collects what callers were told.
type tally struct {
	mutex    sync.Mutex
	phase    *StormPhase
	accepted map[string]bool
	notRun   map[string]bool
	sends    int
}

func (s *storm) run(load, seconds float64) (*StormPhase, error) {
	t := &tally{phase: &StormPhase{Load: load, Seconds: seconds, Answers: map[string]int{}}, accepted: map[string]bool{}, notRun: map[string]bool{}}
	s.slowWorkers()
	capacity := stormWorkers * jobsPerWorker / stormRunSeconds
	var group sync.WaitGroup
	began := time.Now()
	length := time.Duration(seconds * float64(time.Second))
	group.Go(func() { s.submitters(t, "large", capacity*(load-smallShare), began.Add(length)) })
	group.Go(func() { s.submitters(t, "small", capacity*smallShare, began.Add(length)) })
	time.Sleep(length / 2)
	killed, frozen, err := s.twoOwners()
	if err != nil {
		return nil, err
	}
	_ = s.processes[killed].Process.Kill()
	_ = s.processes[frozen].Process.Signal(syscall.SIGSTOP)
	time.Sleep(length / 4)
	_ = s.processes[frozen].Process.Signal(syscall.SIGCONT)
	t.phase.Killed, t.phase.Frozen = killed, frozen
	group.Wait()
	finishedBy := time.Now()
	time.Sleep(settleTime)
	return t.phase, s.count(t, began, finishedBy)
}

// twoOwners names two nodes that own a domain each.
func (s *storm) twoOwners() (first, second string, err error) {
	var answer struct {
		Domains []api.DomainAnswer `json:"domains"`
	}
	for _, address := range s.addresses {
		if err = s.call(address, stormOperatorKey, "GET", "/v1/domains", nil, &answer); err == nil {
			break
		}
	}
	for _, domain := range answer.Domains {
		switch owner := domain.Lease.Owner; {
		case owner == "" || owner == first:
		case first == "":
			first = owner
		default:
			return first, owner, nil
		}
	}
	return "", "", errors.CombineErrors(errors.New("fewer than two nodes own domains"), err)
}

// slowWorkers makes every tenth worker answer late.
func (s *storm) slowWorkers() {
	number := 0
	for zone, racks := range map[string]int{"z1": 3, "z2": 2, "z3": 2} {
		for rack := range racks {
			for worker := range 8 {
				number++
				if number%slowEvery != 0 {
					continue
				}
				fault := map[string]any{"service": fmt.Sprintf("worker:r/%s/rack%02d/worker%02d", zone, rack, worker), "mode": standin.Slow, "delay_seconds": 0.5}
				_ = s.call(s.platform, "", "POST", "/faults", fault, nil)
			}
		}
	}
}

// submitters sends jobs at a rate until a time and waits for all answers.
func (s *storm) submitters(t *tally, tenant string, perSecond float64, until time.Time) {
	var group sync.WaitGroup
	gap := time.Duration(float64(time.Second) / perSecond)
	for number := 0; time.Now().Before(until); number++ {
		group.Go(func() { s.submit(t, tenant, fmt.Sprintf("%s-%d", tenant, number), number) })
		time.Sleep(gap)
	}
	group.Wait()
}

// submit sends one job through the next daemon that can be connected to, as a plain
// balancer would. Only a refused connection is tried elsewhere.
func (s *storm) submit(t *tally, tenant, id string, number int) {
	body := map[string]any{
		"id": id, "members": 1, "accelerators": 4, "cpus": 1, "memory_gb": 1, "duration": stormRunSeconds,
		"repeatable": false, "payload": fmt.Sprintf(`{"run_seconds":%g,"output_bytes":64}`, stormRunSeconds),
	}
	var record job.Record
	var err error
	sends := 0
	for offset := range stormNodes {
		sends++
		err = s.call(s.addresses[(number+offset)%stormNodes], tenant, "POST", "/v1/jobs", body, &record)
		if err == nil || !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	t.note(tenant, id, sends, err)
}

func (t *tally) note(tenant, id string, sends int, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.phase.Submitted++
	t.sends += sends
	var failure *refusal
	switch {
	case err == nil:
		t.accepted[id] = true
		t.phase.Answers["accepted"]++
	case errors.As(err, &failure):
		t.phase.Answers[string(failure.answer.Error)]++
		if failure.answer.Outcome == "not_run" {
			t.notRun[id] = true
		}
		shed := failure.answer.Error == fault.TenantLimit || failure.answer.Error == fault.Overloaded
		if tenant == "small" && shed {
			t.phase.SmallTenantShed++
		}
	default:
		t.phase.Answers["no_answer"]++
	}
}

// count reads from the platform what ran, and from the daemons what was repeated.
func (s *storm) count(t *tally, began, until time.Time) error {
	var history []standin.Execution
	if err := s.call(s.platform, "", "GET", "/history", nil, &history); err != nil {
		return err
	}
	runs := map[string]int{}
	for i := range history {
		e := &history[i]
		switch {
		case e.Began:
			runs[e.Job]++
		case e.State == "finished" && e.At.Before(until):
			t.phase.Finished++
		}
	}
	for id, count := range runs {
		if count > 1 {
			t.phase.RanTwice++
		}
		if t.notRun[id] {
			t.phase.NotRunRan++
		}
	}
	t.phase.Goodput = float64(t.phase.Finished) / until.Sub(began).Seconds()
	t.phase.AttemptsPerRequest = float64(t.sends+s.repeated()) / float64(max(1, t.phase.Submitted))
	return nil
}

// repeated adds up how often daemons tried a submission again.
func (s *storm) repeated() int {
	total := 0
	for _, address := range s.addresses {
		response, err := s.client.Get(address + "/metrics")
		if err != nil {
			continue
		}
		content, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, line := range strings.Split(string(content), "\n") {
			if strings.HasPrefix(line, `wheatroad_retries_total{reason="no_owner"`) || strings.HasPrefix(line, `wheatroad_retries_total{reason="other_domain"`) {
				var count int
				_, _ = fmt.Sscanf(line[strings.LastIndex(line, " ")+1:], "%d", &count)
				total += count
			}
		}
	}
	return total
}
