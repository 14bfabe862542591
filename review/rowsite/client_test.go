//go:build review

package rowsite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job as a client submits it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	Memory        int    `json:"mem_mb"`
	GPUs          int    `json:"gpus,omitempty"`
	Estimate      int    `json:"estimated_ms"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
}

func (s *step) kind() taskKind {
	return taskKind{
		resources: resources{s.CPU, s.Memory, s.GPUs}, work: time.Duration(s.Estimate) * time.Millisecond, checkpoints: s.Checkpointing, lasts: s.LongRunning,
	}
}

// noAnswer stands for the status of a call that got no complete answer in time.
const noAnswer = 0

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

func probe(address string) int {
	status, _ := exchange(http.MethodGet, "http://"+address+"/-/readiness", nil, time.Second)
	return status
}

func exchange(method, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return noAnswer, nil
	}
	request.Host = hostName
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Wheatroad-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := caller.Do(request)
	if err != nil {
		return noAnswer, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return noAnswer, nil
	}
	return response.StatusCode, answer
}

// jobID returns the identifier of the job with a number.
func jobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+number) }

// submitUntilAccepted sends a job again to the next node until it gets a 2xx.
func (s *site) submitUntilAccepted(id string, steps []step, limit time.Duration) bool {
	kinds := make([]taskKind, len(steps))
	for i := range steps {
		kinds[i] = steps[i].kind()
	}
	s.setKinds(id, kinds)
	body, _ := json.Marshal(map[string]any{"specification": "report " + id, "steps": steps})
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		status, _ := s.call(s.nodes[attempt%len(s.nodes)], http.MethodPost, id, body, 3*time.Second)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// call sends one request about a job to a node, and records it.
func (s *site) call(n *node, method, id string, body []byte, limit time.Duration) (int, string) {
	sent := time.Now()
	status, answer := exchange(method, "http://"+n.callers+prefix+id, body, limit)
	text := "no answer"
	if status != noAnswer {
		text = strconv.Itoa(status) + " " + string(answer)
	}
	s.record.line("client %s %s at %s: %s after %d ms", method, id, n.name, text, time.Since(sent).Milliseconds())
	return status, string(answer)
}
