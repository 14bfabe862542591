package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/standin"
)

// phaseRecorder collects the responses to the callers.
type phaseRecorder struct {
	mutex    sync.Mutex
	phase    *OverloadPhase
	accepted map[string]bool
	notRun   map[string]bool
	attempts int
}

// submitAtRate submits jobs at a rate until a time and waits for all responses.
func (s *testCluster) submitAtRate(t *phaseRecorder, tenant string, perSecond float64, until time.Time) {
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	for number := 0; time.Now().Before(until); number++ {
		group.Go(func() { s.submit(t, tenant, fmt.Sprintf("%s-%d", tenant, number), number) })
		time.Sleep(interval)
	}
	group.Wait()
}

// submit sends one job in the way of a round-robin load balancer. It tries the next daemon only if
// a daemon refuses the connection.
func (s *testCluster) submit(t *phaseRecorder, tenant, id string, number int) {
	body := map[string]any{
		"id": id, "members": 1, "accelerators": 4, "cpus": 1, "memory_gb": 1, "duration": jobRunSeconds,
		"repeatable": false, "payload": fmt.Sprintf(`{"run_seconds":%g,"output_bytes":64}`, jobRunSeconds),
	}
	var record job.Record
	var err error
	attempts := 0
	for offset := range nodeCount {
		attempts++
		err = s.call(s.addresses[(number+offset)%nodeCount], tenant, "POST", "/v1/jobs", body, &record)
		if err == nil || !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	t.recordResponse(tenant, id, attempts, err)
}

func (t *phaseRecorder) recordResponse(tenant, id string, attempts int, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.phase.Submitted++
	t.attempts += attempts
	var failure *responseError
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

// collectResults reads executions from the platform and retry counts from the daemons.
func (s *testCluster) collectResults(t *phaseRecorder, began, until time.Time) error {
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
	t.phase.AttemptsPerRequest = float64(t.attempts+s.daemonRetries()) / float64(max(1, t.phase.Submitted))
	return nil
}

// daemonRetries sums the submission retries that the daemons count.
func (s *testCluster) daemonRetries() int {
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
