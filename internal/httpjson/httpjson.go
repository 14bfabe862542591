// Package httpjson sends JSON requests and decodes JSON responses. Its errors distinguish requests
// without effect from requests with unknown outcome.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNotSent means that the request did not reach the server, or that the server rejected it
// without effect.
var ErrNotSent = errors.New("httpjson: request had no effect")

// ErrOutcomeUnknown means that the request may have had an effect.
var ErrOutcomeUnknown = errors.New("httpjson: no answer")

// maxBodyBytes limits the size of a response body.
const maxBodyBytes = 256 << 20

// Do sends in as JSON and decodes the response into out. Either may be nil.
func Do(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Mark(err, ErrNotSent)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	content, err := Send(client, request)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(content, out); err != nil {
		return errors.Mark(errors.Wrap(err, "answer"), ErrOutcomeUnknown)
	}
	return nil
}

// ErrNotFound means that the server responded with status 404.
var ErrNotFound = errors.New("httpjson: not found")

// Send sends a request and returns the response body.
func Send(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, markSendError(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	switch {
	case err != nil:
		return nil, errors.Mark(err, ErrOutcomeUnknown)
	case response.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, errors.Mark(errors.Newf("server unavailable: %s", content), ErrNotSent)
	case response.StatusCode >= http.StatusBadRequest:
		return nil, errors.Mark(errors.Newf("server returned status %d: %s", response.StatusCode, content), ErrOutcomeUnknown)
	}
	return content, nil
}

// markSendError marks connection failures as ErrNotSent and all other errors as ErrOutcomeUnknown.
func markSendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrOutcomeUnknown)
}
