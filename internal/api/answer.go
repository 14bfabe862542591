package api

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// ErrorResponse is the body of error responses.
type ErrorResponse struct {
	Error  fault.Kind `json:"error"`
	Field  string     `json:"field,omitempty"`
	Detail string     `json:"detail"`
	// Outcome is whether the requested work ran, did not run or may have run.
	Outcome fault.Outcome `json:"outcome"`
	// RetryAfterSeconds is the delay before a retry. Without the field the caller should not retry.
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
	RequestID         string `json:"request_id,omitempty"`
}

// RequestIDHeader carries the caller's request identifier, which error responses echo.
const RequestIDHeader = "Wheatroad-Request-Id"

const maxRequestIDBytes = 128

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	requestError := fault.From(err)
	if errors.Is(err, r.Context().Err()) && r.Context().Err() != nil {
		requestError = fault.New(fault.DeadlineExceeded, "the request was cancelled; its outcome is unknown")
	}
	s.counter.Count("refusals", string(requestError.Kind))
	response := fault.ResponseFor(requestError.Kind)
	body := ErrorResponse{Error: requestError.Kind, Field: requestError.Field, Detail: requestError.Detail, Outcome: requestError.EffectiveOutcome(), RequestID: requestID(r)}
	if response.RetryAfter > 0 {
		body.RetryAfterSeconds = int(response.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(body.RetryAfterSeconds))
	}
	writeJSON(w, response.Status, body)
}

func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	return id[:min(len(id), maxRequestIDBytes)]
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Write errors are ignored: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes a body strictly: it rejects unknown fields and trailing data.
func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return fault.NewField(fault.InvalidRequest, fieldName(err), "%s", err.Error())
	case decoder.More():
		return fault.NewField(fault.InvalidRequest, "body", "more than one JSON value")
	}
	return nil
}

// fieldName returns the name of the field that a JSON error is about, or "body" if there is none.
func fieldName(err error) string {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) || mismatch.Field == "" {
		return "body"
	}
	// The names of embedded structs are not part of the API.
	parts := strings.Split(mismatch.Field, ".")
	return strings.Join(slices.DeleteFunc(parts, startsUpper), ".")
}

func startsUpper(s string) bool { return s != "" && s[0] >= 'A' && s[0] <= 'Z' }
