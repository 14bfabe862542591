//go:build review

package yard

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The figures of the platform's store on the settings page of a small site.
const (
	answerTime       = 4 * time.Millisecond
	transactionTime  = 5 * time.Millisecond
	rowBytes         = 65536
	maxEntries       = 100
	maxCallBytes     = 1 << 20
	maxTextBytes     = 200
	maxPageRows      = 500
	maxFeedWait      = 30 * time.Second
	historyRetention = 20 * time.Second
	writesPerSecond  = 800
	readsPerSecond   = 2000
	longestPartQueue = time.Second
)

// storedRow is a row, also as it stands in a transaction or an answer.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
	at      time.Time
}

type rowKey struct{ table, part, name string }

func (r *storedRow) key() rowKey { return rowKey{r.Table, r.Part, r.Name} }

// transaction is the body of a writing call.
type transaction struct {
	Expected []storedRow `json:"expected_revision"`
	Put      []storedRow `json:"put"`
	Remove   []storedRow `json:"remove"`
}

// store is a stand-in of the platform's store.
type store struct {
	record   *record
	began    time.Time
	mutex    sync.Mutex
	rows     map[rowKey]storedRow
	version  int64
	history  []storedRow
	dropped  int64
	changed  chan struct{}
	partFree map[string]time.Time
	writes   rate
	reads    rate
	refused  map[string]int
}

func newStore(rec *record) *store {
	return &store{
		record: rec, began: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{}),
		partFree: map[string]time.Time{}, writes: rate{limit: writesPerSecond}, reads: rate{limit: readsPerSecond},
		refused: map[string]int{},
	}
}

// rate grants a number of calls a second.
type rate struct {
	limit, used int
	second      int64
}

func (r *rate) grant(now time.Time) bool {
	if now.Unix() != r.second {
		r.second, r.used = now.Unix(), 0
	}
	r.used++
	return r.used <= r.limit
}

func (s *store) serve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxCallBytes)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if problem := t.check(r.ContentLength); problem != "" {
		s.noteRefusal(problem)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, granted := s.admit(&t)
	if !granted {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	status, answer := s.apply(&t)
	reply(w, status, answer)
}

func (s *store) noteRefusal(problem string) {
	s.mutex.Lock()
	s.refused[problem]++
	first := s.refused[problem] == 1
	s.mutex.Unlock()
	if first {
		s.record.note("store", "refuses a transaction with 400: %s", problem)
	}
}

// admit queues a transaction at its partition. It returns how long the transaction waits.
func (s *store) admit(t *transaction) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.writes.grant(now) {
		return 0, false
	}
	part := t.part()
	free := s.partFree[part]
	if free.Before(now) {
		free = now
	}
	if free.Sub(now) > longestPartQueue {
		return 0, false
	}
	s.partFree[part] = free.Add(transactionTime)
	return free.Add(transactionTime).Sub(now) + answerTime, true
}

func (t *transaction) entries() []storedRow { return slices.Concat(t.Expected, t.Put, t.Remove) }

func (t *transaction) part() string {
	for _, row := range t.entries() {
		return row.Part
	}
	return ""
}

// check returns what is wrong with a transaction, or "".
func (t *transaction) check(bytes int64) string {
	entries := t.entries()
	switch {
	case len(entries) > maxEntries:
		return "more than 100 entries"
	case bytes > maxCallBytes:
		return "more than 1 MB"
	}
	for i := range entries {
		row := &entries[i]
		switch {
		case row.Part != entries[0].Part:
			return "several partitions"
		case row.Table == "servers":
			return "a table that the system may not write"
		case max(len(row.Table), len(row.Part), len(row.Name)) > maxTextBytes:
			return "a text of more than 200 bytes"
		case len(row.Value) > rowBytes:
			return fmt.Sprintf("the value of row %s in the table %s is over %d bytes", row.Name, row.Table, rowBytes)
		}
	}
	return ""
}

// answer is the body of an answer about rows.
type answer struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"more"`
	Version int64       `json:"ver"`
	Now     int64       `json:"now_ms"`
}

func (s *store) answer(found []storedRow) answer {
	if found == nil {
		found = []storedRow{}
	}
	return answer{Rows: found, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

func (s *store) apply(t *transaction) (int, answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	met := true
	var current []storedRow
	for i := range t.Expected {
		stored := s.rows[t.Expected[i].key()]
		met = met && stored.Version == t.Expected[i].Version
		if stored.Version > 0 {
			current = append(current, stored)
		} else {
			absent := t.Expected[i]
			absent.Version, absent.Gone = 0, true
			current = append(current, absent)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	for i := range t.Put {
		s.change(t.Put[i], false)
	}
	for i := range t.Remove {
		s.change(t.Remove[i], true)
	}
	s.wake()
	return http.StatusOK, s.answer(nil)
}

func (s *store) change(row storedRow, gone bool) {
	if _, known := s.rows[row.key()]; gone && !known {
		return
	}
	row.Version, row.Gone, row.at = s.version, gone, time.Now()
	if gone {
		row.Value = nil
		delete(s.rows, row.key())
	} else {
		s.rows[row.key()] = row
	}
	s.history = append(s.history, row)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
	limit := time.Now().Add(-historyRetention)
	for len(s.history) > 0 && s.history[0].at.Before(limit) {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
}

// write changes a row on behalf of the platform, the operator or a worker.
func (s *store) write(table, name string, body any) {
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.change(storedRow{Table: table, Name: name, Value: value}, false)
	s.wake()
}

func (s *store) remove(table, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.change(storedRow{Table: table, Name: name}, true)
	s.wake()
}

func (s *store) grantRead(w http.ResponseWriter) bool {
	s.mutex.Lock()
	granted := s.reads.grant(time.Now())
	s.mutex.Unlock()
	if !granted {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	time.Sleep(answerTime)
	return true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.grantRead(w) {
		return
	}
	query := r.URL.Query()
	from, until := query.Get("from_revision"), query.Get("target_version")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	var found []storedRow
	for key, row := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.name >= from && (until == "" || key.name < until) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	page, size := found[:0:0], 0
	for i := range found {
		size += len(found[i].Value)
		if len(page) == limit || size > maxCallBytes && len(page) > 0 {
			break
		}
		page = append(page, found[i])
	}
	body := s.answer(page)
	body.More = len(page) < len(found)
	s.mutex.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.grantRead(w) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after_revision"), 10, 64)
	milliseconds, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.After(min(time.Duration(milliseconds)*time.Millisecond, maxFeedWait))
	for {
		body, changed, status := s.changesAfter(query.Get("table"), after)
		if status != http.StatusOK || len(body.Rows) > 0 {
			reply(w, status, body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, body)
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) (answer, chan struct{}, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.dropped {
		return s.answer(nil), s.changed, http.StatusGone
	}
	var found []storedRow
	for i := range s.history {
		if s.history[i].Version > after && s.history[i].Table == table {
			found = append(found, s.history[i])
		}
	}
	return s.answer(found), s.changed, http.StatusOK
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	if !s.grantRead(w) {
		return
	}
	query := r.URL.Query()
	known := map[string]bool{}
	s.mutex.Lock()
	for key := range s.rows {
		if key.table == query.Get("table") && (key.part > query.Get("after_revision") || !query.Has("after_revision")) {
			known[key.part] = true
		}
	}
	s.mutex.Unlock()
	names := []string{}
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	reply(w, http.StatusOK, map[string]any{"parts": names, "more": false})
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
