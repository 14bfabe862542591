//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the users' pages tell them.
const (
	transactionTime    = 5 * time.Millisecond
	readTime           = 4 * time.Millisecond
	maxEntries         = 100
	maxTransaction     = 1_000_000
	maxRowBytes        = 65_536
	maxPageRows        = 500
	maxWaitingInPart   = 200
	maxFeedWait        = 30 * time.Second
	statusTooManyCalls = http.StatusTooManyRequests
)

// rowKey identifies a row.
type rowKey struct{ table, part, name string }

// wireRow is the JSON form of a row.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

func (r *wireRow) key() rowKey { return rowKey{r.Table, r.Part, r.Name} }

// transaction is the body of a writing call.
type transaction struct {
	Expected []wireRow `json:"expected_revision"`
	Put      []wireRow `json:"put"`
	Remove   []wireRow `json:"remove"`
}

// part returns the partition of the transaction, and false if it names several.
func (t *transaction) part() (string, bool) {
	parts := map[string]bool{}
	for _, list := range [][]wireRow{t.Expected, t.Put, t.Remove} {
		for i := range list {
			parts[list[i].Part] = true
		}
	}
	for part := range parts {
		return part, len(parts) == 1
	}
	return "", true
}

// writes reports whether the transaction puts a row of a table whose name ends with a suffix.
func (t *transaction) writes(table, suffix string) bool {
	for i := range t.Put {
		if t.Put[i].Table == table && strings.HasSuffix(t.Put[i].Name, suffix) {
			return true
		}
	}
	return false
}

// store is the platform's store: tables of rows, conditional transactions and feeds.
type store struct {
	mutex    sync.Mutex
	rows     map[rowKey]wireRow
	changes  map[string][]wireRow
	version  int64
	changed  chan struct{}
	parts    map[string]*partition
	listener net.Listener
	// loseAnswer chooses the writing calls that get no answer. They are done after the returned time, if
	// their conditions still hold.
	loseAnswer func(t *transaction) (late time.Duration, lost bool)
	record     *recorder
}

// setLoss sets which writing calls get no answer; nil means none.
func (s *store) setLoss(choose func(t *transaction) (late time.Duration, lost bool)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseAnswer = choose
}

// loses reports whether a writing call gets no answer.
func (s *store) loses(t *transaction) (late time.Duration, lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.loseAnswer == nil {
		return 0, false
	}
	return s.loseAnswer(t)
}

// partition carries out its transactions one after another.
type partition struct {
	mutex   sync.Mutex
	waiting int
}

func newStore(record *recorder) (*store, error) {
	s := &store{
		rows: map[rowKey]wireRow{}, changes: map[string][]wireRow{}, changed: make(chan struct{}), parts: map[string]*partition{},
		record: record,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// apply carries a transaction out if its conditions hold. It returns the rows of the conditions otherwise.
func (s *store) apply(t *transaction) (version int64, current []wireRow, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := range t.Expected {
		expected := &t.Expected[i]
		if s.rows[expected.key()].Version != expected.Version {
			return s.version, s.currentRows(t.Expected), false
		}
	}
	s.version++
	for _, row := range t.Put {
		row.Version = s.version
		s.rows[row.key()] = row
		s.changes[row.Table] = append(s.changes[row.Table], row)
	}
	for _, row := range t.Remove {
		if _, found := s.rows[row.key()]; !found {
			continue
		}
		delete(s.rows, row.key())
		row.Version, row.Gone, row.Value = s.version, true, nil
		s.changes[row.Table] = append(s.changes[row.Table], row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

func (s *store) currentRows(expected []wireRow) []wireRow {
	current := []wireRow{}
	for i := range expected {
		if row, found := s.rows[expected[i].key()]; found {
			current = append(current, row)
		}
	}
	return current
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, name string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.apply(&transaction{Put: []wireRow{{Table: table, Name: name, Value: value}}})
}

func (s *store) remove(table, name string) {
	s.apply(&transaction{Remove: []wireRow{{Table: table, Name: name}}})
}

// value returns the value of a row, or nil.
func (s *store) value(key rowKey) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rows[key].Value
}

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func nowMillis() int64 { return time.Since(began).Milliseconds() }

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || len(body) > maxTransaction || json.Unmarshal(body, &t) != nil || !t.valid() {
		answer(w, http.StatusBadRequest, map[string]any{"detail": "transaction refused"})
		return
	}
	if late, lost := s.loses(&t); lost {
		s.serveLost(&t, late, r)
		return
	}
	part, _ := t.part()
	if !s.enter(part) {
		answer(w, statusTooManyCalls, map[string]any{"detail": "partition overloaded"})
		return
	}
	version, current, done := s.apply(&t)
	if !done {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version, "now_ms": nowMillis()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ver": version, "now_ms": nowMillis()})
}

// serveLost does a transaction late and never answers.
func (s *store) serveLost(t *transaction, late time.Duration, r *http.Request) {
	name := ""
	if len(t.Put) > 0 {
		name = t.Put[0].Table + " " + t.Put[0].Part + " " + t.Put[0].Name
	}
	s.record.line("store: write of %s gets no answer and is done %d ms later if its conditions hold", name, late.Milliseconds())
	time.AfterFunc(late, func() {
		_, _, done := s.apply(t)
		s.record.line("store: late write of %s: done %v", name, done)
	})
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
}

// valid reports whether a transaction is within the limits of the store.
func (t *transaction) valid() bool {
	_, onePart := t.part()
	if !onePart || len(t.Expected)+len(t.Put)+len(t.Remove) > maxEntries {
		return false
	}
	for i := range t.Put {
		if t.Put[i].Table == "servers" || len(t.Put[i].Value) > maxRowBytes {
			return false
		}
	}
	return true
}

// enter waits for the turn of a transaction in its partition. It returns false if too many wait.
func (s *store) enter(name string) bool {
	s.mutex.Lock()
	p := s.parts[name]
	if p == nil {
		p = &partition{}
		s.parts[name] = p
	}
	if p.waiting >= maxWaitingInPart {
		s.mutex.Unlock()
		return false
	}
	p.waiting++
	s.mutex.Unlock()
	p.mutex.Lock()
	time.Sleep(transactionTime)
	p.mutex.Unlock()
	s.mutex.Lock()
	p.waiting--
	s.mutex.Unlock()
	return true
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	from, until := query.Get("from_revision"), query.Get("target_version")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := []wireRow{}
	for key, row := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.name >= from && (until == "" || key.name < until) {
			listed = append(listed, row)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	more, bytes := false, 0
	for i := range listed {
		bytes += len(listed[i].Value)
		if i >= limit || i > 0 && bytes > maxTransaction {
			listed, more = listed[:i], true
			break
		}
	}
	answer(w, http.StatusOK, map[string]any{"rows": listed, "more": more, "ver": s.version, "now_ms": nowMillis()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[string]bool{}
	for key := range s.rows {
		if key.table == r.URL.Query().Get("table") && key.part > r.URL.Query().Get("after_revision") {
			found[key.part] = true
		}
	}
	names := []string{}
	for name := range found {
		names = append(names, name)
	}
	sort.Strings(names)
	answer(w, http.StatusOK, map[string]any{"parts": names[:min(len(names), 1000)], "more": len(names) > 1000, "ver": s.version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	table := query.Get("table")
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mutex.Lock()
		all := s.changes[table]
		first := sort.Search(len(all), func(i int) bool { return all[i].Version > after })
		found, version, changed := all[first:], s.version, s.changed
		if len(found) > maxPageRows {
			found = found[:maxPageRows]
			version = found[len(found)-1].Version
		}
		s.mutex.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": found, "ver": version, "now_ms": nowMillis()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"rows": []wireRow{}, "ver": version, "now_ms": nowMillis()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
