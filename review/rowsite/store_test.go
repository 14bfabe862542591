//go:build review

package rowsite

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the protocol and the settings name them.
const (
	transactionTime    = 5 * time.Millisecond
	rowBytes           = 65536
	transactionEntries = 100
	transactionBytes   = 1 << 20
	pageRows           = 500
	pageBytes          = 1 << 20
	pageParts          = 1000
	longestFeedWait    = 30 * time.Second
)

type rowKey struct{ table, part, name string }

type storedRow struct {
	value   []byte
	version int64
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

func (w *wireRow) key() rowKey { return rowKey{w.Table, w.Part, w.Name} }

type transaction struct {
	Expected []wireRow `json:"expected_revision"`
	Put      []wireRow `json:"put"`
	Remove   []wireRow `json:"remove"`
}

type listing struct {
	Rows    []wireRow `json:"rows"`
	More    bool      `json:"more,omitempty"`
	Version int64     `json:"ver"`
	Now     int64     `json:"now_ms"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	record *record
	began  time.Time

	mutex   sync.Mutex
	version int64
	rows    map[rowKey]storedRow
	changes []wireRow
	changed chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, began: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

func (s *store) serve() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /-/rows-get", s.serveRows)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (s *store) nowMillis() int64 { return time.Since(s.began).Milliseconds() }

func respond(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*transactionBytes)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason := s.invalid(&t); reason != "" {
		respond(w, http.StatusBadRequest, map[string]string{"reason": reason})
		return
	}
	time.Sleep(transactionTime)
	current, version, done := s.apply(&t)
	answer := listing{Rows: current, Version: version, Now: s.nowMillis()}
	if done {
		respond(w, http.StatusOK, answer)
		return
	}
	respond(w, http.StatusPreconditionFailed, answer)
}

// invalid returns why a transaction is beyond the store's limits; empty if it is not.
func (s *store) invalid(t *transaction) string {
	if len(t.Expected)+len(t.Put)+len(t.Remove) > transactionEntries {
		return "too many entries"
	}
	parts := map[string]bool{}
	bytes := 0
	for _, rows := range [][]wireRow{t.Expected, t.Put, t.Remove} {
		for i := range rows {
			parts[rows[i].Part] = true
			bytes += len(rows[i].Value)
		}
	}
	if len(parts) > 1 {
		return "several parts"
	}
	if bytes > transactionBytes {
		return "too large"
	}
	return s.oversizedRow(t)
}

func (s *store) oversizedRow(t *transaction) string {
	for i := range t.Put {
		row := &t.Put[i]
		if len(row.Value) <= rowBytes {
			continue
		}
		s.record.line("store refuses a transaction: row %s/%s/%s has %d bytes, limit %d", row.Table, row.Part, row.Name, len(row.Value), rowBytes)
		return fmt.Sprintf("row %s has %d bytes", row.Name, len(row.Value))
	}
	return ""
}

// apply does a transaction if its conditions hold. Otherwise it returns the rows of the conditions.
func (s *store) apply(t *transaction) ([]wireRow, int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var current []wireRow
	holds := true
	for i := range t.Expected {
		key := t.Expected[i].key()
		known := s.rows[key]
		holds = holds && known.version == t.Expected[i].Version
		if known.version > 0 {
			current = append(current, wireRow{Table: key.table, Part: key.part, Name: key.name, Value: known.value, Version: known.version})
		}
	}
	if !holds {
		return current, s.version, false
	}
	s.version++
	for i := range t.Put {
		row := t.Put[i]
		row.Version = s.version
		s.rows[row.key()] = storedRow{row.Value, s.version}
		s.changes = append(s.changes, row)
	}
	for i := range t.Remove {
		row := t.Remove[i]
		if _, found := s.rows[row.key()]; !found {
			continue
		}
		delete(s.rows, row.key())
		row.Version, row.Gone = s.version, true
		s.changes = append(s.changes, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.version, true
}

func (s *store) put(table, name string, value any) {
	encoded, _ := json.Marshal(value)
	s.apply(&transaction{Put: []wireRow{{Table: table, Name: name, Value: encoded}}})
}

func (s *store) remove(table, name string) {
	s.apply(&transaction{Remove: []wireRow{{Table: table, Name: name}}})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := pageRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, asked)
	}
	time.Sleep(transactionTime)
	respond(w, http.StatusOK, s.page(query.Get("table"), query.Get("part"), query.Get("from_revision"), query.Get("target_version"), limit))
}

func (s *store) page(table, part, from, until string, limit int) listing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []wireRow
	for key, row := range s.rows {
		if key.table == table && key.part == part && key.name >= from && (until == "" || key.name < until) {
			found = append(found, wireRow{Table: table, Part: part, Name: key.name, Value: row.value, Version: row.version})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	answer := listing{Rows: []wireRow{}, Version: s.version, Now: s.nowMillis()}
	bytes := 0
	for i := range found {
		bytes += len(found[i].Value)
		if i >= limit || i > 0 && bytes > pageBytes {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, found[i])
	}
	return answer
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(min(longestFeedWait, time.Duration(wait)*time.Millisecond))
	for {
		answer, changed := s.changesAfter(query.Get("table"), after)
		if len(answer.Rows) > 0 {
			respond(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) (listing, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := listing{Rows: []wireRow{}, Version: s.version, Now: s.nowMillis()}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
	for _, row := range s.changes[first:] {
		if row.Table == table {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer, s.changed
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	parts := s.partsOf(query.Get("table"))
	if query.Has("after_revision") {
		next := sort.SearchStrings(parts, query.Get("after_revision")+"\x00")
		parts = parts[next:]
	}
	page := parts[:min(pageParts, len(parts))]
	respond(w, http.StatusOK, map[string]any{"parts": page, "more": len(page) < len(parts)})
}

func (s *store) partsOf(table string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for key := range s.rows {
		if key.table == table && !seen[key.part] {
			seen[key.part] = true
			parts = append(parts, key.part)
		}
	}
	sort.Strings(parts)
	return parts
}
