// Package cwcellmemory provides in-memory implementations of the platform's store and workers for tests and stand-ins.
package cwcellmemory

import (
	"cmp"
	"encoding/base64"
	"slices"
	"sync"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwcellport"
)

// Fault is the fault to inject into one commit.
type Fault string

// Faults of a commit.
const (
	FaultNone         Fault = ""
	FaultUnavailable  Fault = "refuse" // not applied; the caller gets an error that states this
	FaultRequestLost  Fault = "lose"   // not applied; the caller gets no response
	FaultResponseLost Fault = "mute"   // applied; the caller gets no response
)

// Store is an in-memory store of rows.
type Store struct {
	timer     *cwtimer.Service
	mu        sync.Mutex
	rows      map[cwcellport.RowKey]cwcellport.Row
	history   []cwcellport.Row // changes since the last compaction, oldest first
	compacted uint64           // version of the last compaction
	version   uint64           // version of the latest commit
	changed   chan struct{}    // closed and replaced by each commit

	// InjectFault returns the fault of a transaction; nil injects none.
	InjectFault func(t cwcellport.Transaction) Fault
	// Down reports whether the store is unavailable; nil means never.
	Down func() bool
}

// NewStore returns an empty store.
func NewStore(timer *cwtimer.Service) *Store {
	return &Store{timer: timer, rows: map[cwcellport.RowKey]cwcellport.Row{}, changed: make(chan struct{})}
}

// MaxRowBytes is the store's limit on the value of a row.
const MaxRowBytes = 64 << 10

// Port returns the port to the store, with the given number of partitions.
func (s *Store) Port(partitions int) cwcellport.Store {
	return cwcellport.Store{Partitions: partitions, MaxRowBytes: MaxRowBytes, Commit: s.commit, Read: s.read, Watch: s.watch}
}

// Put writes a row regardless of faults and limits, as the platform does with its own rows.
func (s *Store) Put(row cwcellport.Row) { s.apply(cwcellport.Transaction{Put: []cwcellport.Row{row}}) }

// checkLimits fails with Refused if a transaction exceeds a limit of the store.
func checkLimits(t *cwcellport.Transaction) error {
	if n := len(t.Preconditions) + len(t.Put) + len(t.Remove); n > cwcellport.MaxTransactionRows {
		return cwfault.New(cwfault.Refused, "the transaction has %d rows", n)
	}
	size := 0
	for n := range t.Put {
		if len(t.Put[n].Value) > MaxRowBytes {
			return cwfault.New(cwfault.Refused, "the value of row %s of table %s has %d bytes", t.Put[n].Key, t.Put[n].Table, len(t.Put[n].Value))
		}
		size += base64.StdEncoding.EncodedLen(len(t.Put[n].Value))
	}
	if size > cwcellport.MaxTransactionBytes {
		return cwfault.New(cwfault.Refused, "the transaction has %d bytes", size)
	}
	return nil
}

func (s *Store) isDown() bool { return s.Down != nil && s.Down() }

func newDownError() error { return cwfault.New(cwfault.Unavailable, "the store is down") }

// commit applies a transaction, unless an injected fault prevents it or it exceeds a limit, and returns the new version. If a precondition
// fails, it returns the current rows of the preconditions and a Conflict error.
func (s *Store) commit(t cwcellport.Transaction, _ time.Duration) (uint64, []cwcellport.Row, error) {
	fault := FaultNone
	if s.InjectFault != nil {
		fault = s.InjectFault(t)
	}
	switch {
	case fault == FaultUnavailable || s.isDown():
		return 0, nil, newDownError()
	case fault == FaultRequestLost:
		return 0, nil, cwfault.New(cwfault.Indefinite, "no answer")
	}
	if err := checkLimits(&t); err != nil {
		return 0, nil, err
	}
	version, current, ok := s.apply(t)
	if fault == FaultResponseLost {
		return 0, nil, cwfault.New(cwfault.Indefinite, "no answer")
	}
	if !ok {
		return 0, current, cwfault.New(cwfault.Conflict, "a row has another version")
	}
	return version, nil, nil
}

// apply applies a transaction if its preconditions hold. Otherwise ok is false, and current has those rows of the preconditions that
// exist.
func (s *Store) apply(t cwcellport.Transaction) (version uint64, current []cwcellport.Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Preconditions {
		row, exists := s.rows[e.RowKey]
		if exists {
			current = append(current, row)
		}
		ok = ok && row.Version == e.Version
	}
	if !ok {
		return 0, current, false
	}
	s.version++
	for _, row := range t.Put {
		row.Version = s.version
		s.rows[row.RowKey] = row
		s.history = append(s.history, row)
	}
	for _, key := range t.Remove {
		delete(s.rows, key)
		s.history = append(s.history, cwcellport.Row{RowKey: key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

func (s *Store) read(table, partition, from, to string, _ time.Duration) (rows []cwcellport.Row, version uint64, err error) {
	if s.isDown() {
		return nil, 0, newDownError()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		if key.Table == table && key.Partition == partition && key.Key >= from && (to == "" || key.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b cwcellport.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, s.version, nil
}

// watch returns the changes of a table after a version, and waits for the first one. After wait it returns none.
func (s *Store) watch(table string, after uint64, wait time.Duration) ([]cwcellport.Row, uint64, error) {
	if s.isDown() {
		return nil, 0, newDownError()
	}
	timeout := make(chan struct{})
	cancel := s.timer.After(wait, func(time.Time) { close(timeout) })
	defer cancel()
	for {
		rows, version, changed, retained := s.changesSince(table, after)
		if !retained {
			return nil, 0, cwfault.New(cwfault.NotFound, "the history after version %d was dropped", after)
		}
		if len(rows) > 0 {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, version, nil
		}
	}
}

// changesSince returns the changes of a table after a version, and a channel that is closed by the next commit. retained is false if the
// history since that version has been dropped.
func (s *Store) changesSince(table string, after uint64) (rows []cwcellport.Row, version uint64, changed <-chan struct{}, retained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, s.version, s.changed, false
	}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, s.version, s.changed, true
}

// Compact drops the history of changes, so that a watch from an earlier version fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.version
}

// Keys returns the keys of a table's rows, sorted.
func (s *Store) Keys(table string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if key.Table == table {
			keys = append(keys, key.Key)
		}
	}
	slices.Sort(keys)
	return keys
}
