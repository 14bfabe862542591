//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const clientTimeout = 3 * time.Second

// step is the JSON form of a step.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"mem_mb,omitempty"`
	GPUs         int    `json:"gpus,omitempty"`
	Estimate     int64  `json:"estimated_ms,omitempty"`
	After        []int  `json:"after_revision,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Gang         bool   `json:"gang_scheduled,omitempty"`
}

// jobBody is the JSON form of a job.
type jobBody struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
	Repetitions   int    `json:"repetitions,omitempty"`
	FirstRun      int64  `json:"first_run_ms,omitempty"`
	Interval      int64  `json:"interval_ms,omitempty"`
}

// queue is a route of the configuration.
type queue struct {
	name, host, prefix string
	priority           int
	attempts           int
}

// caller is a tenant's client.
type caller struct {
	key    string
	client *http.Client
	record *recorder
}

func newCaller(key string, record *recorder) *caller {
	return &caller{key: key, client: &http.Client{}, record: record}
}

// noAnswer is the status of a call without an answer.
const noAnswer = 0

// call sends one request to a node and waits for its answer.
func (c *caller) call(method string, to *daemon, q *queue, id string, body any) (status int, document []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+q.prefix+id, content)
	if err != nil {
		panic(err)
	}
	request.Host = q.host
	request.Header.Set("Api-Key", c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Wheatroad-Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		c.record.line("client: %s %s to %s: no answer", method, id, to.name)
		return noAnswer, nil
	}
	defer response.Body.Close()
	document, err = io.ReadAll(response.Body)
	if err != nil {
		c.record.line("client: %s %s to %s: answer broken off", method, id, to.name)
		return noAnswer, nil
	}
	c.record.line("client: %s %s to %s: %d %s", method, id, to.name, response.StatusCode, bytes.TrimSpace(document))
	return response.StatusCode, document
}

// submit hands a job in. It sends the same ID again, to the next node, after no answer, 502 or 504, and
// after a while after 429 or 503. It returns the status of the last attempt.
func (c *caller) submit(nodes []*daemon, q *queue, id string, job *jobBody, attempts int) int {
	status := noAnswer
	for attempt := range attempts {
		status, _ = c.call(http.MethodPost, nodes[attempt%len(nodes)], q, id, job)
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		case noAnswer, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(100 * time.Millisecond)
		default:
			return status
		}
	}
	return status
}

// state asks for a job's state. It returns "" without a 200.
func (c *caller) state(to *daemon, q *queue, id string) (int, string) {
	status, document := c.call(http.MethodGet, to, q, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(document, &body)
	}
	return status, body.State
}
