package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/store"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// Server serves a Site over HTTP in real time.
type Server struct {
	mutex sync.Mutex
	site  *Site
	// faults contains the current fault by service: "table", "objects", "machines", "reports", or
	// "worker:" and a name.
	faults map[string]Fault
	random *rand.Rand
	now    func() time.Time
	mux    *http.ServeMux
	// advancedAt is when all workers were last advanced. An order also advances its worker.
	advancedAt time.Time
}

// advanceStep bounds the delay with which the end of a task is detected.
const advanceStep = 50 * time.Millisecond

const (
	maxRequestBytes = 256 << 20
	// reportWait is the long-poll timeout of the report feed.
	reportWait = 5 * time.Second
	reportStep = 20 * time.Millisecond
	// frozenWait bounds how long a frozen service keeps a connection open.
	frozenWait = 30 * time.Second
)

// NewServer returns a server for the site. The seed determines which responses are lost.
func NewServer(site *Site, seed uint64, now func() time.Time) *Server {
	s := &Server{
		site: site, faults: map[string]Fault{}, now: now,
		random: rand.New(rand.NewPCG(seed, seed)), mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /table/commit", s.commit)
	s.mux.HandleFunc("GET /table/scan", s.scan)
	s.mux.HandleFunc("GET /table/get", s.get)
	s.mux.HandleFunc("PUT /objects", s.putObject)
	s.mux.HandleFunc("GET /objects", s.getObject)
	s.mux.HandleFunc("GET /machines", s.machines)
	s.mux.HandleFunc("POST /machines", s.setStatus)
	s.mux.HandleFunc("POST /order", s.order)
	s.mux.HandleFunc("GET /reports", s.reports)
	s.mux.HandleFunc("POST /faults", s.setFault)
	s.mux.HandleFunc("GET /history", s.history)
	s.mux.HandleFunc("GET /counts", s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault sets the fault of a service.
func (s *Server) SetFault(service string, fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[service] = fault
}

// serve applies the current fault of the service to a request. The effect runs under the lock and
// returns the response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, service string, effect func(now time.Time) any) {
	s.mutex.Lock()
	verdict := s.faults[service].Apply(s.random)
	s.mutex.Unlock()
	if verdict.Rejected {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if verdict.AnswerLost && verdict.Delay > 0 {
		time.AfterFunc(verdict.Delay, func() { s.run(effect) })
		abortConnection(w)
		return
	}
	if verdict.NoEffect {
		wait(r, frozenWait)
		abortConnection(w)
		return
	}
	wait(r, verdict.Delay)
	answer := s.run(effect)
	if verdict.AnswerLost {
		abortConnection(w)
		return
	}
	respond(w, answer)
}

func (s *Server) run(effect func(now time.Time) any) any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	if now.Sub(s.advancedAt) >= advanceStep {
		s.advancedAt = now
		s.site.Advance(now)
	}
	return effect(now)
}

func wait(r *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func respond(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that went away needs no response.
	_ = json.NewEncoder(w).Encode(answer)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var transaction store.Transaction
	if decodeBody(w, r, &transaction) {
		s.serve(w, r, "table", func(time.Time) any { return s.site.Table.Commit(transaction) })
	}
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	prefix := r.FormValue("prefix")
	s.serve(w, r, "table", func(time.Time) any { return s.site.Table.Scan(prefix, since) })
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.FormValue("key")
	s.serve(w, r, "table", func(time.Time) any { return s.site.Table.Get(key) })
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.FormValue("name")
	s.serve(w, r, "objects", func(time.Time) any {
		s.site.Objects[name] = content
		return struct{}{}
	})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	verdict := s.faults["objects"].Apply(s.random)
	content, ok := s.site.Objects[r.FormValue("name")]
	s.mutex.Unlock()
	switch {
	case verdict.Rejected:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case verdict.AnswerLost:
		abortConnection(w)
	case !ok:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		wait(r, verdict.Delay)
		// A caller that went away needs no response.
		_, _ = w.Write(content)
	}
}

func (s *Server) machines(w http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.ParseInt(r.FormValue("cursor"), 10, 64)
	s.serve(w, r, "machines", func(now time.Time) any { return s.site.Changes(now, cursor) })
}

// statusChange is the body of POST /machines.
type statusChange struct {
	Worker string          `json:"worker"`
	Status machines.Status `json:"status"`
	// Restart discards all state of the worker.
	Restart bool `json:"restart"`
}

func (s *Server) setStatus(w http.ResponseWriter, r *http.Request) {
	var change statusChange
	if !decodeBody(w, r, &change) {
		return
	}
	s.serve(w, r, "control", func(now time.Time) any {
		if change.Restart && s.site.Worker(change.Worker) != nil {
			s.site.Worker(change.Worker).Restart(now)
		}
		if change.Status != "" {
			s.site.SetStatus(now, change.Worker, change.Status)
		}
		return struct{}{}
	})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order worker.Order
	if !decodeBody(w, r, &order) {
		return
	}
	name := r.FormValue("worker")
	s.mutex.Lock()
	known := s.site.Worker(name) != nil
	s.mutex.Unlock()
	if !known {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	s.serve(w, r, "worker:"+name, func(now time.Time) any {
		reply, _ := s.site.Order(now, name, order)
		return reply
	})
}

func (s *Server) reports(w http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.ParseInt(r.FormValue("cursor"), 10, 64)
	domain := r.FormValue("domain")
	var found worker.Reports
	for waited := time.Duration(0); waited < reportWait; waited += reportStep {
		s.run(func(now time.Time) any {
			found = s.site.Reports(now, domain, cursor)
			return nil
		})
		if len(found.Reports) > 0 || cursor < 0 || r.Context().Err() != nil {
			break
		}
		wait(r, reportStep)
	}
	s.serve(w, r, "reports", func(time.Time) any { return found })
}

// faultChange is the body of POST /faults.
type faultChange struct {
	Service string `json:"service"`
	Fault
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var change faultChange
	if decodeBody(w, r, &change) {
		s.SetFault(change.Service, change.Fault)
		respond(w, struct{}{})
	}
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	respond(w, s.run(func(time.Time) any { return append([]Execution{}, s.site.History()...) }))
}

// Counts is the response of GET /counts.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Busy   int   `json:"busy"`
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	respond(w, s.run(func(time.Time) any {
		reads, writes := s.site.Table.Counts()
		return Counts{Reads: reads, Writes: writes, Busy: s.site.RunningTasks("")}
	}))
}
