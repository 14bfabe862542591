package api

import (
	"context"
	"net/http"
	"time"

	"github.com/wheatroad/wheatroad/internal/auth"
	"github.com/wheatroad/wheatroad/internal/fault"
)

// Options holds the server's keys and limits.
type Options struct {
	OperatorKeyHashes []string
	BodyBytes         int64
	InFlight          int
	InFlightPerTenant int
	SubmitsPerSecond  float64
	SubmitBurst       int
	MaxWait           time.Duration
	DefaultDeadline   time.Duration
	// MaxConfigurationAge is the maximum age of the configuration; with an older one, requests
	// of tenants are rejected.
	MaxConfigurationAge time.Duration
}

// Server is the HTTP API server of a node.
type Server struct {
	options Options
	backend Backend
	counter Counter
	limiter *limiter
	unowned *unownedDomains
	mux     *http.ServeMux
	now     func() time.Time
	routes  []Route
}

// Route is one endpoint.
type Route struct {
	Method string
	Path   string
}

// handler handles an authenticated request. Package fault maps its errors to responses.
type handler func(w http.ResponseWriter, r *http.Request, who auth.Principal) error

// access states who may call an endpoint.
type access int

const (
	anyTenant access = iota
	operatorsOnly
)

// New returns a server. The metrics handler serves /metrics.
func New(options Options, backend Backend, counter Counter, metrics http.Handler, now func() time.Time) *Server {
	s := &Server{options: options, backend: backend, counter: counter, mux: http.NewServeMux(), now: now}
	s.limiter = newLimiter(&options, now)
	s.unowned = newUnownedDomains()
	s.handle("POST", "/v1/jobs", anyTenant, s.submit)
	s.handle("GET", "/v1/jobs", anyTenant, s.list)
	s.handle("GET", "/v1/jobs/{tenant}/{id}", anyTenant, s.lookup)
	s.handle("DELETE", "/v1/jobs/{tenant}/{id}", anyTenant, s.cancel)
	s.handle("GET", "/v1/jobs/{tenant}/{id}/result", anyTenant, s.result)
	s.handle("GET", "/v1/jobs/{tenant}/{id}/explain", anyTenant, s.explain)
	s.handle("POST", "/v1/plans", operatorsOnly, s.plan)
	s.handle("POST", "/v1/plans/{digest}/confirm", operatorsOnly, s.confirm)
	s.handle("GET", "/v1/configuration", operatorsOnly, s.configuration)
	s.handle("GET", "/v1/domains", operatorsOnly, s.domains)
	s.handlePublic("GET", "/healthz", s.healthz)
	s.handlePublic("GET", "/readyz", s.readyz)
	s.handlePublic("GET", "/metrics", metrics.ServeHTTP)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Routes lists all endpoints.
func (s *Server) Routes() []Route { return s.routes }

func (s *Server) handlePublic(method, path string, handle http.HandlerFunc) {
	s.routes = append(s.routes, Route{method, path})
	s.mux.HandleFunc(method+" "+path, handle)
}

func (s *Server) handle(method, path string, allowed access, handle handler) {
	s.handlePublic(method, path, func(w http.ResponseWriter, r *http.Request) {
		s.counter.Count("requests", method+" "+path)
		if err := s.serve(w, r, allowed, handle); err != nil {
			s.writeError(w, r, err)
		}
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, allowed access, handle handler) error {
	principal, err := s.identify(r)
	if err != nil {
		return err
	}
	if allowed == operatorsOnly && !principal.Operator {
		return fault.New(fault.Forbidden, "the endpoint requires an operator key")
	}
	if tenant := r.PathValue("tenant"); tenant != "" && !principal.CanAccess(tenant) {
		return fault.New(fault.NotFound, "no such job")
	}
	release, err := s.limiter.acquire(principal.Tenant)
	if err != nil {
		return err
	}
	defer release()
	deadline, err := s.deadline(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	r.Body = http.MaxBytesReader(w, r.Body, s.options.BodyBytes)
	return handle(w, r.WithContext(ctx), principal)
}

// identify authenticates a request. It rejects tenants while the configuration may be stale,
// as after a network partition, a suspension or a start, because keys may have been revoked.
func (s *Server) identify(r *http.Request) (auth.Principal, error) {
	view := s.backend.View()
	principal, ok := auth.Authenticate(r, s.options.OperatorKeyHashes, &view.Configuration.Declaration)
	if ok && principal.Operator {
		return principal, nil
	}
	if !view.Synced || s.now().Sub(view.UpdatedAt) > s.options.MaxConfigurationAge {
		return principal, fault.New(fault.ConfigurationStale, "this node's configuration may be stale; retry")
	}
	if !ok {
		return principal, fault.New(fault.Unauthenticated, "the request has no valid access key")
	}
	return principal, nil
}

// DeadlineHeader carries the caller's timeout, for instance "10s".
const DeadlineHeader = "Wheatroad-Deadline"

const maxDeadline = 10 * time.Minute

func (s *Server) deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return s.options.DefaultDeadline, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		return 0, fault.NewField(fault.InvalidRequest, DeadlineHeader, "must be a duration over 0 and at most %s", maxDeadline)
	}
	return deadline, nil
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}

// readyz tells the load balancer whether the node accepts requests.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	view := s.backend.View()
	status, code := "ready", http.StatusOK
	switch {
	case view.Draining:
		status, code = "draining", http.StatusServiceUnavailable
	case !view.Synced:
		status, code = "not_synced", http.StatusServiceUnavailable
	}
	writeJSON(w, code, struct {
		Status string `json:"status"`
		Node   string `json:"node"`
	}{status, view.Node})
}
