package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and DEPLOY.md.
const (
	rowBytes      = 65536
	callBytes     = 1 << 20
	callEntries   = 100
	pageRows      = 500
	txnTime       = 4 * time.Millisecond
	maxPartQueue  = 250 // transactions that wait for one second
	maxFeedWait   = 30 * time.Second
	heartbeat     = 1500 * time.Millisecond
	expiryPeriods = 3
)

// jsonRow is a row on the wire.
type jsonRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// id returns the identity of a row.
func (r *jsonRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// storedRow is the latest state of a row; a dropped row stays for the feed.
type storedRow struct {
	value   []byte
	version uint64
	deleted bool
}

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	rows     map[rowID]*storedRow
	version  uint64
	changed  chan struct{} // closed and replaced at each change
	started  time.Time
	parts    sync.Map // part -> *partLock
	seen     map[string]time.Time
	loseRate atomic.Int64 // per cent of the transactions that get no answer
	tooLarge atomic.Int64 // transactions refused for a row above rowBytes
}

// partLock serializes the transactions of one part.
type partLock struct {
	mu      sync.Mutex
	waiting atomic.Int64
}

// newStore returns an empty store.
func newStore() *store {
	return &store{rows: map[rowID]*storedRow{}, changed: make(chan struct{}), started: time.Now(), seen: map[string]time.Time{}}
}

// serve answers entry hosts on one listener and the scenario on the other, until the process ends.
func (s *store) serve(hosts, control net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	own := http.NewServeMux()
	own.HandleFunc("PUT /rows/{table}/{key}", s.handleOwnPut)
	own.HandleFunc("POST /lose/{percent}", func(_ http.ResponseWriter, r *http.Request) {
		n, _ := strconv.ParseInt(r.PathValue("percent"), 10, 64)
		s.loseRate.Store(n)
	})
	own.HandleFunc("GET /size/{table}", s.handleSize)
	own.HandleFunc("GET /rows/{table}/{key}", s.handleOwnGet)
	go s.expire()
	go func() { _ = http.Serve(control, own) }()
	return http.Serve(hosts, mux)
}

// apply writes rows and removes others under one new version. The caller holds mu.
func (s *store) apply(put, remove []jsonRow) {
	s.version++
	for n := range put {
		s.rows[put[n].id()] = &storedRow{value: put[n].Value, version: s.version}
	}
	for n := range remove {
		if row, ok := s.rows[remove[n].id()]; ok && !row.deleted {
			s.rows[remove[n].id()] = &storedRow{version: s.version, deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleOwnPut writes a row of the operator or of a runner. The body is the value; an empty one drops the row.
func (s *store) handleOwnPut(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	row := jsonRow{Table: r.PathValue("table"), Key: r.PathValue("key")}
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	row.Value = value
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Table == "servers" {
		s.seen[row.Key] = time.Now()
	}
	s.apply([]jsonRow{row}, nil)
}

// handleOwnGet returns the value of a row without a part.
func (s *store) handleOwnGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowID{table: r.PathValue("table"), key: r.PathValue("key")}]
	if !ok || row.deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(row.value) // the caller may be gone
}

// expire removes the entries of runners that are silent. A pause of the store's own process doesn't count.
func (s *store) expire() {
	const period = 200 * time.Millisecond
	for last := time.Now(); ; {
		time.Sleep(period)
		now := time.Now()
		paused := now.Sub(last) - period
		last = now
		s.mu.Lock()
		for id, at := range s.seen {
			if paused > period {
				s.seen[id] = at.Add(paused)
			} else if now.Sub(at) > expiryPeriods*heartbeat {
				delete(s.seen, id)
				s.apply(nil, []jsonRow{{Table: "servers", Key: id}})
			}
		}
		s.mu.Unlock()
	}
}

// transaction is the body of a rows-tx call.
type transaction struct {
	Expected []jsonRow `json:"expected"`
	Put      []jsonRow `json:"put"`
	Remove   []jsonRow `json:"remove"`
	Across   bool      `json:"across"`
}

// refusal returns the status for a transaction that breaks a limit of the store, or 0.
func (t *transaction) refusal() int {
	if len(t.Expected)+len(t.Put)+len(t.Remove) > callEntries {
		return http.StatusBadRequest
	}
	for _, list := range [][]jsonRow{t.Put, t.Remove} {
		for n := range list {
			if list[n].Table == "op" || list[n].Table == "servers" {
				return http.StatusForbidden
			}
		}
	}
	if len(t.parts()) > 1 && !t.Across {
		return http.StatusBadRequest
	}
	return 0
}

// hasLargeRow reports whether a value is above the limit.
func (t *transaction) hasLargeRow() bool {
	for n := range t.Put {
		if len(t.Put[n].Value) > rowBytes {
			return true
		}
	}
	return false
}

// parts returns the parts of the transaction in order.
func (t *transaction) parts() (names []string) {
	set := map[string]struct{}{}
	for _, list := range [][]jsonRow{t.Expected, t.Put, t.Remove} {
		for n := range list {
			set[list[n].Part] = struct{}{}
		}
	}
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// lockParts waits for the parts of a transaction, in order; it returns false if one has too many that wait.
func (s *store) lockParts(names []string) (unlock func(), ok bool) {
	var locks []*partLock
	for _, name := range names {
		v, _ := s.parts.LoadOrStore(name, &partLock{})
		l := v.(*partLock)
		if l.waiting.Load() > maxPartQueue {
			return nil, false
		}
		locks = append(locks, l)
	}
	for _, l := range locks {
		l.waiting.Add(1)
		l.mu.Lock()
		l.waiting.Add(-1)
	}
	return func() {
		for _, l := range locks {
			l.mu.Unlock()
		}
	}, true
}

// handleTransaction applies all entries of a transaction, or none.
func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	r.Body = http.MaxBytesReader(w, r.Body, callBytes)
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.hasLargeRow() {
		s.tooLarge.Add(1)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.refusal(); status != 0 {
		w.WriteHeader(status)
		return
	}
	names := t.parts()
	unlock, ok := s.lockParts(names)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(txnTime * time.Duration(min(len(names), 2)))
	current, held, version := s.commit(&t)
	unlock()
	if held && rand.Int64N(100) < s.loseRate.Load() {
		<-r.Context().Done() // done and not answered
		return
	}
	if !held {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(current, version, false))
		return
	}
	writeJSON(w, http.StatusOK, s.answer(nil, version, false))
}

// commit applies a transaction if its conditions hold, else it returns the rows that they name.
func (s *store) commit(t *transaction) (current []jsonRow, held bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held = true
	for n := range t.Expected {
		e := &t.Expected[n]
		wanted, actual := uint64(0), uint64(0)
		if e.Version != nil {
			wanted = *e.Version
		}
		if row, ok := s.rows[e.id()]; ok && !row.deleted {
			actual = row.version
			current = append(current, jsonRow{Table: e.Table, Part: e.Part, Key: e.Key, Value: row.value, Version: &actual})
		}
		held = held && actual == wanted
	}
	if held {
		s.apply(t.Put, t.Remove)
	}
	return current, held, s.version
}

// rowsAnswer is an answer about rows.
type rowsAnswer struct {
	Rows    []jsonRow `json:"rows"`
	More    bool      `json:"has_more"`
	Version uint64    `json:"ver"`
	Now     int64     `json:"now_ms"`
}

// answer returns an answer with rows.
func (s *store) answer(rows []jsonRow, version uint64, more bool) rowsAnswer {
	if rows == nil {
		rows = []jsonRow{}
	}
	return rowsAnswer{Rows: rows, More: more, Version: version, Now: time.Since(s.started).Milliseconds()}
}

// handleGet returns the rows of one part in a range of keys.
func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	var rows []jsonRow
	s.mu.Lock()
	version := s.version
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !row.deleted && id.key >= q.Get("from") &&
			(q.Get("target") == "" || id.key < q.Get("target")) {
			v := row.version
			rows = append(rows, jsonRow{Table: id.table, Part: id.part, Key: id.key, Value: row.value, Version: &v})
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more, size := false, 0
	for n := range rows {
		size += len(rows[n].Value)*4/3 + len(rows[n].Key) + 100
		if n == limit || (n > 0 && size > callBytes) {
			rows, more = rows[:n], true
			break
		}
	}
	writeJSON(w, http.StatusOK, s.answer(rows, version, more))
}

// changes returns the rows of a table that changed after a version, in order, and the version up to which that is complete.
func (s *store) changes(table string, after uint64) (rows []jsonRow, version uint64, wait chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id.table == table && row.version > after {
			v := row.version
			rows = append(rows, jsonRow{Table: id.table, Part: id.part, Key: id.key, Value: row.value, Version: &v, Deleted: row.deleted})
		}
	}
	sort.Slice(rows, func(a, b int) bool { return *rows[a].Version < *rows[b].Version })
	return rows, s.version, s.changed
}

// handleFeed returns the changed rows of a table as soon as there is one.
func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for {
		rows, version, changed := s.changes(q.Get("table"), after)
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, s.answer(rows, version, false))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, s.answer(nil, version, false))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleSize returns, for the scenario's record, the largest value in a table and how many transactions were too large.
func (s *store) handleSize(w http.ResponseWriter, r *http.Request) {
	largest, rows := 0, 0
	s.mu.Lock()
	for id, row := range s.rows {
		if id.table == r.PathValue("table") && !row.deleted && !strings.HasSuffix(id.key, "~cancel") {
			largest = max(largest, len(row.value))
			rows++
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"largest": largest, "rows": rows, "refused": s.tooLarge.Load()})
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}
