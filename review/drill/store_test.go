//go:build review

package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and the settings state them.
const (
	maxRowBytes           = 65536
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxListedRows         = 500
	maxListedBytes        = 1 << 20
	transactionTime       = 5 * time.Millisecond
)

// storedRow is the latest state of a row. A removed row stays in the history as gone.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, name string }

func (r storedRow) key() rowKey { return rowKey{r.Table, r.Part, r.Name} }

// store is a stand-in of the platform's metadata store.
type store struct {
	record  *record
	mutex   sync.Mutex
	rows    map[rowKey]storedRow
	version int64
	// changed is closed and replaced by each transaction.
	changed chan struct{}
	started time.Time
	// refused counts the transactions with a row that is too large.
	refused int
}

func newStore(r *record) *store {
	return &store{record: r, rows: map[rowKey]storedRow{}, version: 100, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.list)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, name string, value any) {
	document, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply([]storedRow{{Table: table, Name: name, Value: document}}, nil)
}

func (s *store) apply(puts, removes []storedRow) {
	s.version++
	for _, row := range puts {
		row.Version, row.Gone = s.version, false
		s.rows[row.key()] = row
	}
	for _, row := range removes {
		if known, found := s.rows[row.key()]; !found || known.Gone {
			continue
		}
		s.rows[row.key()] = storedRow{Table: row.Table, Part: row.Part, Name: row.Name, Version: s.version, Gone: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type transactionBody struct {
	Expected []storedRow `json:"expected_revision"`
	Put      []storedRow `json:"put"`
	Remove   []storedRow `json:"remove"`
}

// invalid returns why the store refuses a transaction; empty if it does not.
func (t *transactionBody) invalid(size int) string {
	if len(t.Expected)+len(t.Put)+len(t.Remove) > maxTransactionEntries || size > maxTransactionBytes {
		return "more than 100 entries or 1 MB"
	}
	all := slices.Concat(t.Expected, t.Put, t.Remove)
	for _, row := range all {
		if row.Part != all[0].Part {
			return "entries of several parts"
		}
		if row.Table == "servers" {
			return "table servers is not the system's"
		}
		if len(row.Value) > maxRowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes, the limit is %d", row.Table, row.Name, len(row.Value), maxRowBytes)
		}
	}
	return ""
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	var body transactionBody
	if err != nil || json.Unmarshal(content, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	if reason := body.invalid(len(content)); reason != "" {
		s.noteRefusal(reason)
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": reason})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current, failed := s.failedConditions(body.Expected); failed {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": s.clock()})
		return
	}
	s.apply(body.Put, body.Remove)
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.clock()})
}

func (s *store) noteRefusal(reason string) {
	s.mutex.Lock()
	s.refused++
	first := s.refused == 1
	s.mutex.Unlock()
	if first {
		s.record.add("store refuses a transaction with status 400: %s", reason)
	}
}

func (s *store) refusals() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused
}

// failedConditions returns the present rows of the conditions, and whether one of these fails.
func (s *store) failedConditions(conditions []storedRow) ([]storedRow, bool) {
	current, failed := []storedRow{}, false
	for _, condition := range conditions {
		row, found := s.rows[condition.key()]
		present := found && !row.Gone
		if present {
			current = append(current, row)
		}
		if present && row.Version != condition.Version || !present && condition.Version != 0 {
			failed = true
		}
	}
	return current, failed
}

func (s *store) clock() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := maxListedRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil && asked > 0 {
		limit = min(limit, asked)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	selected := s.selectRows(func(row storedRow) bool {
		inPart := row.Table == query.Get("table") && row.Part == query.Get("part") && !row.Gone
		end := query.Get("target_version")
		return inPart && row.Name >= query.Get("from_revision") && (end == "" || row.Name < end)
	})
	slices.SortFunc(selected, func(a, b storedRow) int { return strings.Compare(a.Name, b.Name) })
	page := firstRows(selected, limit)
	writeJSON(w, http.StatusOK, map[string]any{"rows": page, "more": len(page) < len(selected), "ver": s.version, "now_ms": s.clock()})
}

func (s *store) selectRows(matches func(storedRow) bool) []storedRow {
	selected := []storedRow{}
	for _, row := range s.rows {
		if matches(row) {
			selected = append(selected, row)
		}
	}
	return selected
}

// firstRows returns the rows that one answer holds.
func firstRows(all []storedRow, limit int) []storedRow {
	bytes := 0
	for i, row := range all {
		bytes += len(row.Value)
		if i == limit || i > 0 && bytes > maxListedBytes {
			return all[:i]
		}
	}
	return all
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		changed, answer, found := s.changesAfter(query.Get("table"), after)
		if found {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, answer)
			return
		}
	}
}

// changesAfter returns the changed rows of a table, and whether there are any.
func (s *store) changesAfter(table string, after int64) (<-chan struct{}, map[string]any, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := s.selectRows(func(row storedRow) bool { return row.Table == table && row.Version > after })
	slices.SortFunc(all, func(a, b storedRow) int { return int(a.Version - b.Version) })
	page, version := firstRows(all, maxListedRows), s.version
	if len(page) < len(all) {
		// Rows of one transaction are not divided between two answers.
		last := all[len(page)].Version
		page = slices.DeleteFunc(slices.Clone(page), func(row storedRow) bool { return row.Version >= last })
		version = last - 1
	}
	return s.changed, map[string]any{"rows": page, "ver": version, "now_ms": s.clock()}, len(page) > 0
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
