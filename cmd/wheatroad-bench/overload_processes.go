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
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/api"
	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/planning"
)

func (s *testCluster) startProcess(name string, args ...string) error {
	process := exec.Command(filepath.Join(s.binaries, args[0]), args[1:]...)
	if err := process.Start(); err != nil {
		return err
	}
	s.processes[name] = process
	return nil
}

// waitForFile waits until a file has content and returns it.
func waitForFile(path string) (string, error) {
	for range 400 {
		if content, err := os.ReadFile(path); err == nil && len(content) > 0 {
			return string(content), nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return "", errors.Newf("timed out waiting for %s to be written", path)
}

const zoneConfig = `[[pool]]
region = "r"
zone = "%s"
racks = %d
workers_per_rack = 8
accelerators = 8
cpus = 64
memory_gb = 256
`

func (s *testCluster) start() error {
	cluster := fmt.Sprintf(zoneConfig, "z1", 3) + fmt.Sprintf(zoneConfig, "z2", 2) + fmt.Sprintf(zoneConfig, "z3", 2)
	clusterPath := filepath.Join(s.directory, "cluster.toml")
	if err := os.WriteFile(clusterPath, []byte(cluster), 0o600); err != nil {
		return err
	}
	address := filepath.Join(s.directory, "platform")
	if err := s.startProcess("platform", "wheatroad-platform", "--cluster", clusterPath, "--address-file", address); err != nil {
		return err
	}
	platformAddress, err := waitForFile(address)
	if err != nil {
		return err
	}
	s.platform = "http://" + platformAddress
	for n := range nodeCount {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	for n := range nodeCount {
		address, err := waitForFile(filepath.Join(s.directory, fmt.Sprintf("node%d", n)))
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, "http://"+address)
	}
	return s.applyConfiguration()
}

func (s *testCluster) startNode(n int) error {
	text := fmt.Sprintf(`node = "node%d"
zone = "r/z%d"
[http]
address_file = %q
[platform]
url = %q
connections_per_address = 128
[access]
operator_key_hashes = [%q]
`, n, 1+n%3, filepath.Join(s.directory, fmt.Sprintf("node%d", n)), s.platform, auth.HashKey(operatorKey))
	path := filepath.Join(s.directory, fmt.Sprintf("node%d.toml", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return s.startProcess(fmt.Sprintf("node%d", n), "wheatroadd", "run", path)
}

func (s *testCluster) applyConfiguration() error {
	declared := map[string]any{"tenant": []map[string]any{
		{"name": "large", "key_hashes": []string{auth.HashKey("large")}, "quota": map[string]int{"queued_jobs": maxQueuedJobs}},
		{"name": "small", "key_hashes": []string{auth.HashKey("small")}, "quota": map[string]int{"queued_jobs": maxQueuedJobs}},
	}}
	var err error
	for range 200 {
		var plan planning.Plan
		if err = s.call(s.addresses[0], operatorKey, "POST", "/v1/plans", declared, &plan); err == nil && len(plan.Impact) == 0 {
			if err = s.call(s.addresses[0], operatorKey, "POST", "/v1/plans/"+plan.Digest+"/confirm", api.ConfirmRequest{Base: plan.BaseVersion}, nil); err != nil {
				return err
			}
			return s.call(s.addresses[0], operatorKey, "GET", "/v1/configuration?version=1&wait=15s", nil, nil)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Wrap(err, "cannot make a plan for the configuration")
}

// responseError is a response with an error status.
type responseError struct{ answer api.ErrorResponse }

// Error returns the error kind of the response.
func (r *responseError) Error() string { return string(r.answer.Error) }

func (s *testCluster) call(address, key, method, path string, in, out any) error {
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
		failure := &responseError{}
		_ = json.Unmarshal(content, &failure.answer)
		return failure
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(content, out)
}
