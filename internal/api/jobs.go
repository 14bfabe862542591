package api

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/routing"
)

// SubmitRequest is the body of a submission. Fields with defaults may be omitted.
type SubmitRequest struct {
	job.Spec
	// Repeatable shadows the field of Spec, so that it defaults to true.
	Repeatable *bool `json:"repeatable,omitempty"`
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, who auth.Principal) error {
	var request SubmitRequest
	if err := readJSON(r, &request); err != nil {
		return err
	}
	spec := request.Spec
	spec.Repeatable = request.Repeatable == nil || *request.Repeatable
	if spec.Tenant == "" {
		spec.Tenant = who.Tenant
	}
	if !who.CanAccess(spec.Tenant) {
		return fault.NewField(fault.Forbidden, "tenant", "the key belongs to another tenant")
	}
	if spec.ID == "" {
		spec.ID = newID()
	}
	spec.SetDefaults()
	if err := spec.Validate(); err != nil {
		return err
	}
	if err := s.limiter.allowSubmit(spec.Tenant); err != nil {
		return err
	}
	record, err := s.submitToDomain(r.Context(), spec)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusAccepted, record)
	return nil
}

const idBytes = 12

func newID() string {
	random := make([]byte, idBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	return "job-" + hex.EncodeToString(random)
}

// submitToDomain submits a job to the best-ranked domain that has an owner and can fit the
// job. A job accepted earlier, in any domain, is found by its identifier.
func (s *Server) submitToDomain(ctx context.Context, spec job.Spec) (*job.Record, error) {
	return s.retry(ctx, func() (*job.Record, error) {
		domains, err := routing.Rank(s.backend.View(), &spec)
		if err != nil {
			return nil, err
		}
		return s.tryDomains(ctx, domains, spec)
	})
}

// tryDomains submits to the domains in turn. It continues only after errors that guarantee
// that the job was not accepted.
func (s *Server) tryDomains(ctx context.Context, domains []string, spec job.Spec) (*job.Record, error) {
	var noOwnerErr, lastErr error
	for _, domain := range s.unowned.sortLast(domains, s.now()) {
		record, err := s.backend.Submit(ctx, domain, spec)
		switch {
		case fault.IsKind(err, fault.NoOwner):
			s.unowned.add(domain, s.now())
			s.counter.Count("retries", "other_domain")
			noOwnerErr = err
		case fault.IsKind(err, fault.Unsatisfiable):
			lastErr = err
		default:
			return record, err
		}
	}
	if noOwnerErr != nil {
		return nil, noOwnerErr
	}
	return nil, lastErr
}

// Bounds of the exponential backoff between retries while a domain has no owner.
const (
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// retry retries a request while its domain has no owner, until the deadline. It is the only
// layer that retries. Requests are idempotent: submissions are deduplicated by identifier.
func (s *Server) retry(ctx context.Context, try func() (*job.Record, error)) (*job.Record, error) {
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		record, err := try()
		if err == nil || !fault.IsKind(err, fault.NoOwner) {
			return record, err
		}
		deadline, _ := ctx.Deadline()
		if deadline.Sub(s.now()) < 2*delay {
			return nil, err
		}
		s.counter.Count("retries", string(fault.NoOwner))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func jobKey(r *http.Request) job.Key {
	return job.Key{Tenant: r.PathValue("tenant"), ID: r.PathValue("id")}
}

func (s *Server) find(r *http.Request) (job.Key, string, error) {
	key := jobKey(r)
	if !job.ValidName(key.Tenant) || !job.ValidName(key.ID) {
		return key, "", fault.NewField(fault.InvalidRequest, "id", "is malformed")
	}
	domain, err := s.backend.FindDomain(r.Context(), key)
	return key, domain, err
}

// maxLookupWait limits one wait at an owner, so that longer waits follow a domain that moves to
// another owner.
const maxLookupWait = 5 * time.Second

func (s *Server) lookup(w http.ResponseWriter, r *http.Request, _ auth.Principal) error {
	wait, err := s.parseWait(r)
	if err != nil {
		return err
	}
	key, domain, err := s.find(r)
	if err != nil {
		return err
	}
	record, err := s.waitForEnd(r.Context(), domain, key, wait)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, record)
	return nil
}

func (s *Server) waitForEnd(ctx context.Context, domain string, key job.Key, wait time.Duration) (*job.Record, error) {
	until := s.now().Add(wait)
	for {
		step := min(maxLookupWait, until.Sub(s.now()))
		record, err := s.retry(ctx, func() (*job.Record, error) {
			return s.backend.Lookup(ctx, domain, key, step)
		})
		if err != nil || record.State.Terminal() || !s.now().Before(until) || ctx.Err() != nil {
			return record, err
		}
	}
}

func (s *Server) parseWait(r *http.Request) (time.Duration, error) {
	text := r.FormValue("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > s.options.MaxWait {
		return 0, fault.NewField(fault.InvalidRequest, "wait", "must be a duration of at most %s", s.options.MaxWait)
	}
	return wait, nil
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, _ auth.Principal) error {
	key, domain, err := s.find(r)
	if err != nil {
		return err
	}
	record, err := s.retry(r.Context(), func() (*job.Record, error) {
		return s.backend.Cancel(r.Context(), domain, key)
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, record)
	return nil
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ auth.Principal) error {
	key, domain, err := s.find(r)
	if err != nil {
		return err
	}
	explanation, err := s.backend.Explain(r.Context(), domain, key)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, explanation)
	return nil
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, who auth.Principal) error {
	var records []*job.Record
	view := s.backend.View()
	for domain := range view.Domains {
		found, err := s.backend.List(r.Context(), domain, who.Tenant)
		if err != nil {
			return err
		}
		records = append(records, found...)
	}
	slices.SortFunc(records, func(a, b *job.Record) int {
		return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), strings.Compare(a.Spec.ID, b.Spec.ID))
	})
	writeJSON(w, http.StatusOK, struct {
		Jobs []*job.Record `json:"jobs"`
	}{records})
	return nil
}

// result sends the outputs of all members in order, or that of one member. It verifies each
// output against the digest in the job's record before sending it, and sends the total length
// first, so that callers detect truncated responses.
func (s *Server) result(w http.ResponseWriter, r *http.Request, _ auth.Principal) error {
	key, domain, err := s.find(r)
	if err != nil {
		return err
	}
	record, err := s.waitForEnd(r.Context(), domain, key, 0)
	if err != nil {
		return err
	}
	if record.State != job.Finished {
		return &fault.Error{Kind: fault.ResultUnavailable, Detail: "the job has no result; its state is " + string(record.State), Outcome: record.Outcome}
	}
	members, err := parseMembers(r, record)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, member := range members {
		total += record.Results[member].Size
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	for index, member := range members {
		content, err := s.backend.Output(r.Context(), record, member)
		if err == nil && xxhash.Sum64(content) != record.Results[member].Digest {
			err = fault.New(fault.ResultUnavailable, "the output of member %d does not match the digest reported by its worker", member)
		}
		if err != nil {
			return s.abortResult(w, index, err)
		}
		if _, err := w.Write(content); err != nil {
			return nil
		}
	}
	return nil
}

// abortResult returns the error if nothing was sent yet. Otherwise it aborts the connection,
// so that the caller detects the truncated response.
func (s *Server) abortResult(w http.ResponseWriter, sent int, err error) error {
	if sent > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Del("Content-Length")
	return err
}

func parseMembers(r *http.Request, record *job.Record) ([]int, error) {
	text := r.FormValue("member")
	if text == "" {
		members := make([]int, len(record.Results))
		for i := range members {
			members[i] = i
		}
		return members, nil
	}
	member, err := strconv.Atoi(text)
	if err != nil || member < 0 || member >= len(record.Results) {
		return nil, fault.NewField(fault.InvalidRequest, "member", "must be 0 to %d", len(record.Results)-1)
	}
	return []int{member}, nil
}
