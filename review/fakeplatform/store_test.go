//go:build review

package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and the site files give them.
const (
	rowBytes        = 65536
	maxEntries      = 100
	maxTransaction  = 1 << 20
	maxPageRows     = 500
	maxParts        = 1000
	transactionTime = 5 * time.Millisecond
	answerTime      = 4 * time.Millisecond
	maxNameBytes    = 200
)

type rowKey struct{ table, part, name string }

type storedRow struct {
	key     rowKey
	value   []byte
	version int64
	gone    bool
}

// wireRow is a row as the store speaks it.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

func (r *wireRow) key() rowKey { return rowKey{r.Table, r.Part, r.Name} }

func (r *storedRow) wire() wireRow {
	return wireRow{Table: r.key.table, Part: r.key.part, Name: r.key.name, Value: r.value, Version: r.version, Gone: r.gone}
}

type transaction struct {
	Expected []wireRow `json:"expected_revision"`
	Put      []wireRow `json:"put"`
	Remove   []wireRow `json:"remove"`
}

// names reports whether a put of the transaction has a name that begins with the prefix.
func (t *transaction) names(table, prefix string) bool {
	for i := range t.Put {
		if t.Put[i].Table == table && strings.HasPrefix(t.Put[i].Name, prefix) {
			return true
		}
	}
	return false
}

// part returns the only part of the transaction, or false if it has several.
func (t *transaction) part() (string, bool) {
	part, found := "", false
	for _, list := range [][]wireRow{t.Expected, t.Put, t.Remove} {
		for i := range list {
			if found && list[i].Part != part {
				return "", false
			}
			part, found = list[i].Part, true
		}
	}
	return part, true
}

// writeFault says what happens to a transaction of a node. The zero value carries it out and answers.
type writeFault struct {
	// late leaves the call without an answer and carries it out after the delay.
	late time.Duration
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	started time.Time
	rows    map[rowKey]*storedRow
	changes []*storedRow
	version int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// fault chooses the fault of each transaction of a node; nil means none.
	fault func(*transaction) writeFault
	// refused and writes count the transactions of the nodes.
	refused, writes, lost int
	record                *record
}

func newStore(r *record) *store {
	return &store{started: time.Now(), rows: map[rowKey]*storedRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, record: r}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return mux
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// invalid returns why the store does not take a transaction, or "".
func invalid(t *transaction, size int64) string {
	entries := len(t.Expected) + len(t.Put) + len(t.Remove)
	if entries > maxEntries || size > maxTransaction {
		return "the transaction has " + strconv.Itoa(entries) + " entries and " + strconv.FormatInt(size, 10) + " bytes"
	}
	if _, single := t.part(); !single {
		return "the transaction has several parts"
	}
	for i := range t.Put {
		switch put := &t.Put[i]; {
		case len(put.Value) > rowBytes:
			return "row " + put.Table + "/" + put.Part + "/" + put.Name + " has " + strconv.Itoa(len(put.Value)) + " bytes, row_bytes is " + strconv.Itoa(rowBytes)
		case len(put.Name) > maxNameBytes || len(put.Part) > maxNameBytes:
			return "a name is too long"
		case put.Table == "servers":
			return "the system may not write servers"
		}
	}
	return ""
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{"detail": "not a transaction"})
		return
	}
	if reason := invalid(&t, r.ContentLength); reason != "" {
		s.countRefusal(reason)
		s.answer(w, http.StatusBadRequest, map[string]any{"detail": reason})
		return
	}
	if late := s.faultOf(&t).late; late > 0 {
		time.AfterFunc(late, func() { s.apply(&t) })
		<-r.Context().Done()
		return
	}
	committed, version, current := s.apply(&t)
	time.Sleep(answerTime)
	if !committed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"ver": version, "rows": current})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": version})
}

func (s *store) faultOf(t *transaction) writeFault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	if s.fault == nil {
		return writeFault{}
	}
	chosen := s.fault(t)
	if chosen.late > 0 {
		s.lost++
	}
	return chosen
}

func (s *store) countRefusal(reason string) {
	s.mutex.Lock()
	s.refused++
	first := s.refused <= 5 || s.refused%50 == 0
	count := s.refused
	s.mutex.Unlock()
	if first {
		s.record.line("store", "refuses transaction %d with 400: %s", count, reason)
	}
}

func (s *store) lockOf(part string) *sync.Mutex {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

// apply carries a transaction out as a whole if its conditions hold.
func (s *store) apply(t *transaction) (bool, int64, []wireRow) {
	part, _ := t.part()
	lock := s.lockOf(part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(transactionTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holds, current := true, []wireRow{}
	for i := range t.Expected {
		expected := &t.Expected[i]
		version := int64(0)
		if row := s.rows[expected.key()]; row != nil {
			version = row.version
			current = append(current, row.wire())
		}
		holds = holds && version == expected.Version
	}
	if !holds {
		return false, s.version, current
	}
	s.version++
	for i := range t.Put {
		s.set(t.Put[i].key(), t.Put[i].Value, false)
	}
	for i := range t.Remove {
		if s.rows[t.Remove[i].key()] != nil {
			s.set(t.Remove[i].key(), nil, true)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, s.version, nil
}

func (s *store) set(key rowKey, value []byte, gone bool) {
	row := &storedRow{key: key, value: value, version: s.version, gone: gone}
	if gone {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.changes = append(s.changes, row)
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, name string, value any) {
	encoded, _ := json.Marshal(value)
	s.apply(&transaction{Put: []wireRow{{Table: table, Name: name, Value: encoded}}})
}

func (s *store) remove(table, name string) {
	s.apply(&transaction{Remove: []wireRow{{Table: table, Name: name}}})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	time.Sleep(answerTime)
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	found := []wireRow{}
	for key, row := range s.rows {
		until := query.Get("target_version")
		if key.table == query.Get("table") && key.part == query.Get("part") && key.name >= query.Get("from_revision") && (until == "" || key.name < until) {
			found = append(found, row.wire())
		}
	}
	version := s.version
	s.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	count, bytes := 0, 0
	for count < len(found) && count < limit && (count == 0 || bytes+len(found[count].Value) < maxTransaction) {
		bytes += len(found[count].Value)
		count++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:count], "more": count < len(found), "ver": version})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	time.Sleep(answerTime)
	s.mutex.Lock()
	set := map[string]bool{}
	for key := range s.rows {
		if key.table == query.Get("table") && (!query.Has("after_revision") || key.part > query.Get("after_revision")) {
			set[key.part] = true
		}
	}
	version := s.version
	s.mutex.Unlock()
	parts := []string{}
	for part := range set {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	page := parts[:min(len(parts), maxParts)]
	s.answer(w, http.StatusOK, map[string]any{"parts": page, "more": len(page) < len(parts), "ver": version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		found, version, changed := s.changesAfter(query.Get("table"), after)
		if len(found) > 0 {
			time.Sleep(answerTime)
			s.answer(w, http.StatusOK, map[string]any{"rows": found, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.answer(w, http.StatusOK, map[string]any{"rows": found, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, the version up to which they are
// complete, and a channel that is closed at the next change.
func (s *store) changesAfter(table string, after int64) ([]wireRow, int64, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > after })
	found := []wireRow{}
	for _, row := range s.changes[first:] {
		if row.key.table != table {
			continue
		}
		if len(found) >= maxPageRows && row.version > found[len(found)-1].Version {
			return found, found[len(found)-1].Version, s.changed
		}
		found = append(found, row.wire())
	}
	return found, s.version, s.changed
}
