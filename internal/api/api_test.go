package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/planning"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

const (
	keyA     = "key-of-tenant-a"
	keyB     = "key-of-tenant-b"
	operator = "key-of-the-operator"
)

// fakeBackend is a Backend with one finished job of tenant a.
type fakeBackend struct {
	view    *blackboard.View
	outputs [][]byte
	// submitErrors are returned in order before a submission succeeds.
	submitErrors []error
	submitted    []job.Spec
	calls        int
}

func newBackend(now time.Time) *fakeBackend {
	machine := machines.Machine{Name: "r/z/k/w", Region: "r", Zone: "z", Rack: "k", Status: machines.Live, Accelerators: 8, CPUs: 64, MemoryGB: 256, Slots: 8}
	return &fakeBackend{
		view: &blackboard.View{
			Node: "node1", UpdatedAt: now, Synced: true,
			Domains: map[string][]machines.Machine{"r/z": {machine}},
			Configuration: declaration.Configuration{Version: 3, Declaration: declaration.Declaration{Tenants: []declaration.Tenant{
				{Name: "a", KeyHashes: []string{auth.HashKey(keyA)}}, {Name: "b", KeyHashes: []string{auth.HashKey(keyB)}},
			}}},
		},
		outputs: [][]byte{bytes.Repeat([]byte("first"), 1<<20), bytes.Repeat([]byte("second"), 1<<20)},
	}
}

func (b *fakeBackend) record() *job.Record {
	record := &job.Record{Spec: job.Spec{ID: "one", Tenant: "a"}, State: job.Finished, Outcome: fault.Ran, Attempt: 1}
	for _, output := range b.outputs {
		record.Results = append(record.Results, job.MemberResult{Size: int64(len(output)), Digest: xxhash.Sum64(output)})
	}
	return record
}

func (b *fakeBackend) View() *blackboard.View { return b.view }
func (b *fakeBackend) Submit(_ context.Context, _ string, spec job.Spec) (*job.Record, error) {
	b.submitted = append(b.submitted, spec)
	if len(b.submitErrors) > 0 {
		err := b.submitErrors[0]
		b.submitErrors = b.submitErrors[1:]
		return nil, err
	}
	return &job.Record{Spec: spec, State: job.Queued, Outcome: fault.NotRun}, nil
}
func (b *fakeBackend) Lookup(context.Context, string, job.Key, time.Duration) (*job.Record, error) {
	b.calls++
	return b.record(), nil
}
func (b *fakeBackend) Cancel(context.Context, string, job.Key) (*job.Record, error) {
	b.calls++
	return b.record(), nil
}
func (b *fakeBackend) List(_ context.Context, _, tenant string) ([]*job.Record, error) {
	if tenant != "" && tenant != "a" {
		return nil, nil
	}
	return []*job.Record{b.record()}, nil
}
func (b *fakeBackend) Explain(context.Context, string, job.Key) (schedule.Explanation, error) {
	b.calls++
	return schedule.Explanation{}, nil
}
func (b *fakeBackend) FindDomain(_ context.Context, key job.Key) (string, error) {
	if key.ID != "one" {
		return "", fault.New(fault.NotFound, "no such job")
	}
	return "r/z", nil
}
func (b *fakeBackend) Output(_ context.Context, _ *job.Record, member int) ([]byte, error) {
	return b.outputs[member], nil
}
func (b *fakeBackend) SavePlan(context.Context, *planning.Plan) error { return nil }
func (b *fakeBackend) LoadPlan(context.Context, string) (*planning.Plan, error) {
	return &planning.Plan{BaseVersion: 3}, nil
}
func (b *fakeBackend) Impact(context.Context, string, *planning.Plan) ([]planning.Effect, error) {
	return []planning.Effect{{Kind: "job_waits", Subject: "job a/one"}}, nil
}
func (b *fakeBackend) Confirm(context.Context, *planning.Plan) (int64, error) { return 4, nil }

type noCounter struct{}

func (noCounter) Count(string, string) {}

func newServer(b Backend, now func() time.Time) *Server {
	return New(Options{
		OperatorKeyHashes: []string{auth.HashKey(operator)}, BodyBytes: 4 << 10, InFlight: 8, InFlightPerTenant: 4,
		SubmitsPerSecond: 1, SubmitBurst: 2, MaxWait: time.Second, DefaultDeadline: time.Second, MaxConfigurationAge: 8 * time.Second,
	}, b, noCounter{}, http.NotFoundHandler(), now)
}

func send(s *Server, key, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	return recorder
}

func decodeError(t *testing.T, recorder *httptest.ResponseRecorder) ErrorResponse {
	var answer ErrorResponse
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer), recorder.Body.String())
	return answer
}

func TestInvalidInputIsRejectedByField(t *testing.T) {
	cases := map[string]struct {
		key, body string
		kind      fault.Kind
		field     string
	}{
		"no key":           {"", `{}`, fault.Unauthenticated, ""},
		"wrong key":        {"nobody", `{}`, fault.Unauthenticated, ""},
		"not JSON":         {keyA, `{`, fault.InvalidRequest, "body"},
		"unknown field":    {keyA, `{"colour":1}`, fault.InvalidRequest, "body"},
		"wrong type":       {keyA, `{"members":"four"}`, fault.InvalidRequest, "members"},
		"two values":       {keyA, `{"id":"x","members":1,"duration":1}{}`, fault.InvalidRequest, "body"},
		"too large":        {keyA, `{"payload":"` + strings.Repeat("x", 8<<10) + `"}`, fault.TooLarge, ""},
		"other's tenant":   {keyA, `{"tenant":"b"}`, fault.Forbidden, "tenant"},
		"bad id":           {keyA, `{"id":"../x","members":1,"duration":1}`, fault.InvalidRequest, "id"},
		"no members":       {keyA, `{"members":0,"duration":1}`, fault.InvalidRequest, "members"},
		"negative":         {keyA, `{"members":1,"cpus":-1,"duration":1}`, fault.InvalidRequest, "cpus"},
		"no duration":      {keyA, `{"members":1}`, fault.InvalidRequest, "duration"},
		"unknown spread":   {keyA, `{"members":1,"duration":1,"spread":"shelf"}`, fault.InvalidRequest, "spread"},
		"unknown priority": {keyA, `{"members":1,"duration":1,"priority":"now"}`, fault.InvalidRequest, "priority"},
		"unknown zone":     {keyA, `{"members":1,"duration":1,"zone":"r/y"}`, fault.InvalidRequest, "zone"},
		"impossible shape": {keyA, `{"members":9,"accelerators":1,"duration":1}`, fault.Unsatisfiable, "members"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend := newBackend(time.Now())
			recorder := send(newServer(backend, time.Now), c.key, "POST", "/v1/jobs", c.body)
			answer := decodeError(t, recorder)
			require.Equal(t, c.kind, answer.Error, recorder.Body.String())
			require.Equal(t, c.field, answer.Field)
			require.Equal(t, fault.NotRun, answer.Outcome)
			require.Equal(t, fault.ResponseFor(c.kind).Status, recorder.Code)
			require.Empty(t, backend.submitted)
		})
	}
}

func TestTenantsSeeOnlyTheirOwnJobs(t *testing.T) {
	s := newServer(newBackend(time.Now()), time.Now)
	for _, route := range s.Routes() {
		if !strings.HasPrefix(route.Path, "/v1/") {
			continue
		}
		t.Run(route.Method+" "+route.Path, func(t *testing.T) {
			backend := newBackend(time.Now())
			path := strings.NewReplacer("{tenant}", "a", "{id}", "one", "{digest}", "d").Replace(route.Path)
			recorder := send(newServer(backend, time.Now), keyB, route.Method, path, `{"tenant":"a"}`)
			require.Zero(t, backend.calls)
			require.Empty(t, backend.submitted)
			if route.Path == "/v1/jobs" && route.Method == "GET" {
				require.JSONEq(t, `{"jobs":null}`, recorder.Body.String())
				return
			}
			require.Contains(t, []fault.Kind{fault.NotFound, fault.Forbidden}, decodeError(t, recorder).Error)
		})
	}
}

func TestResultsAreCompleteOrMissing(t *testing.T) {
	backend := newBackend(time.Now())
	s := newServer(backend, time.Now)
	recorder := send(s, keyA, "GET", "/v1/jobs/a/one/result", "")
	require.Equal(t, http.StatusOK, recorder.Code)
	whole := append(append([]byte{}, backend.outputs[0]...), backend.outputs[1]...)
	require.True(t, bytes.Equal(whole, recorder.Body.Bytes()))
	require.Equal(t, strconv.Itoa(len(whole)), recorder.Header().Get("Content-Length"))
	require.Equal(t, backend.outputs[1], send(s, keyA, "GET", "/v1/jobs/a/one/result?member=1", "").Body.Bytes())

	backend.outputs = [][]byte{backend.outputs[0][:10], backend.outputs[1]}
	record := backend.record()
	record.Results[0].Digest++
	recorder = send(newServer(&corruptBackend{fakeBackend: backend, kept: record}, time.Now), keyA, "GET", "/v1/jobs/a/one/result", "")
	require.Equal(t, fault.ResultUnavailable, decodeError(t, recorder).Error)
}

// corruptBackend returns a record whose digests do not match the outputs.
type corruptBackend struct {
	*fakeBackend
	kept *job.Record
}

func (d *corruptBackend) Lookup(context.Context, string, job.Key, time.Duration) (*job.Record, error) {
	return d.kept, nil
}

func TestStaleConfigurationRejectsTenantRequests(t *testing.T) {
	now := time.Now()
	backend := newBackend(now)
	s := newServer(backend, func() time.Time { return now.Add(9 * time.Second) })
	answer := decodeError(t, send(s, keyA, "GET", "/v1/jobs/a/one", ""))
	require.Equal(t, fault.ConfigurationStale, answer.Error)
	require.Positive(t, answer.RetryAfterSeconds)
	require.Equal(t, http.StatusOK, send(s, operator, "GET", "/v1/domains", "").Code)
	backend.view.Synced = false
	require.Equal(t, http.StatusServiceUnavailable, send(s, "", "GET", "/readyz", "").Code)
}

func TestTenantBurstDoesNotDelayOthers(t *testing.T) {
	now := time.Now()
	s := newServer(newBackend(now), func() time.Time { return now })
	body := `{"members":1,"duration":1}`
	for range 2 {
		require.Equal(t, http.StatusAccepted, send(s, keyA, "POST", "/v1/jobs", body).Code)
	}
	refused := send(s, keyA, "POST", "/v1/jobs", body)
	require.Equal(t, http.StatusTooManyRequests, refused.Code)
	require.NotEmpty(t, refused.Header().Get("Retry-After"))
	require.Equal(t, http.StatusAccepted, send(s, keyB, "POST", "/v1/jobs", body).Code)
	now = now.Add(time.Second)
	require.Equal(t, http.StatusAccepted, send(s, keyA, "POST", "/v1/jobs", body).Code)
}

func TestSubmissionIsRetriedOnlyIfNotAccepted(t *testing.T) {
	noOwner := fault.New(fault.NoOwner, "moving")
	cases := map[string]struct {
		errors []error
		calls  int
		kind   fault.Kind
	}{
		"owner found in time":         {[]error{noOwner}, 2, ""},
		"no owner until the deadline": {[]error{noOwner, noOwner, noOwner, noOwner, noOwner}, 2, fault.NoOwner},
		"outcome unknown":             {[]error{fault.New(fault.OutcomeUnknown, "lost")}, 1, fault.OutcomeUnknown},
		"store unavailable":           {[]error{fault.New(fault.StoreUnavailable, "down")}, 1, fault.StoreUnavailable},
		"never fits anywhere":         {[]error{fault.New(fault.Unsatisfiable, "no")}, 1, fault.Unsatisfiable},
		"over the tenant's limit":     {[]error{fault.New(fault.TenantLimit, "full")}, 1, fault.TenantLimit},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := newBackend(time.Now())
				backend.submitErrors = c.errors
				recorder := send(newServer(backend, time.Now), keyA, "POST", "/v1/jobs", `{"members":1,"duration":1}`)
				require.Len(t, backend.submitted, c.calls)
				if c.kind == "" {
					require.Equal(t, http.StatusAccepted, recorder.Code)
					return
				}
				require.Equal(t, c.kind, decodeError(t, recorder).Error)
			})
		})
	}
}

func TestDomainsWithoutOwnerAreTriedLast(t *testing.T) {
	now := time.Unix(0, 0)
	unowned := newUnownedDomains()
	unowned.add("a", now)
	require.Equal(t, []string{"b", "c", "a"}, unowned.sortLast([]string{"a", "b", "c"}, now))
	require.Equal(t, []string{"a", "b", "c"}, unowned.sortLast([]string{"a", "b", "c"}, now.Add(unownedTTL)))
}

func FuzzSubmit(f *testing.F) {
	f.Add(`{"id":"x","members":1,"accelerators":1,"duration":1}`)
	f.Add(`{"members":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		backend := newBackend(time.Now())
		recorder := send(newServer(backend, time.Now), keyA, "POST", "/v1/jobs", body)
		if recorder.Code == http.StatusAccepted {
			require.Len(t, backend.submitted, 1)
			require.NoError(t, backend.submitted[0].Validate())
			return
		}
		require.Empty(t, backend.submitted)
		require.Equal(t, fault.NotRun, decodeError(t, recorder).Outcome)
	})
}
