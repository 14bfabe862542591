package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/api"
)

// Client sends requests to the daemons of a cluster.
type Client struct {
	addresses []string
	key       string
	http      *http.Client
	deadline  time.Duration
}

// ResponseError is a response with an error status.
type ResponseError struct {
	Status int
	Answer api.ErrorResponse
}

// Error formats the response on one line.
func (e *ResponseError) Error() string {
	text := string(e.Answer.Error)
	if e.Answer.Field != "" {
		text += ": " + e.Answer.Field
	}
	text += ": " + e.Answer.Detail + " (outcome: " + string(e.Answer.Outcome)
	if e.Answer.RetryAfterSeconds > 0 {
		text += fmt.Sprintf(", retry after %d s", e.Answer.RetryAfterSeconds)
	}
	return text + ")"
}

// call sends a request and decodes the response. It tries the daemons in order until one responds.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	content, err := c.do(ctx, method, path, in)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(content, out)
}

func (c *Client) do(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, err
		}
	}
	var last error
	for _, address := range c.addresses {
		response, err := c.send(ctx, method, address+path, body)
		if err != nil {
			last = err
			continue
		}
		return readResponse(response)
	}
	return nil, last
}

func (c *Client) send(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.DeadlineHeader, c.deadline.String())
	return c.http.Do(request)
}

func readResponse(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading the response body: %w", err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return content, nil
	}
	failure := &ResponseError{Status: response.StatusCode}
	if json.Unmarshal(content, &failure.Answer) != nil {
		failure.Answer.Detail = strings.TrimSpace(string(content))
	}
	return nil, failure
}

func jobPath(tenant, id string) string {
	return "/v1/jobs/" + url.PathEscape(tenant) + "/" + url.PathEscape(id)
}
