// Package cwcellmemory holds in-memory twins of what a cell needs of the platform.
package cwcellmemory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwcellport"
)

// Fault says what becomes of one call to the store.
type Fault string

// The closed set of faults.
const (
	FaultNone        Fault = ""
	FaultUnavailable Fault = "refuse" // nothing is done, and the caller is told so
	FaultRequestLost Fault = "lose"   // nothing is done and there is no answer
	FaultReplyLost   Fault = "mute"   // it is done and there is no answer
)

// Store is an in-memory store of rows.
type Store struct {
	timer     *cwtimer.Service
	mu        sync.Mutex
	rows      map[cwcellport.RowKey]cwcellport.Row
	history   []cwcellport.Row // the changes since the history was last dropped, the oldest first
	compacted uint64           // version up to which the history was dropped
	version   uint64
	changed   chan struct{}

	// InjectFault is asked before each transaction; it may be nil.
	InjectFault func(t cwcellport.Transaction) Fault
	// Down refuses every call while it returns true; it may be nil.
	Down func() bool
}

// NewStore returns an empty store.
func NewStore(timer *cwtimer.Service) *Store {
	return &Store{timer: timer, rows: map[cwcellport.RowKey]cwcellport.Row{}, changed: make(chan struct{})}
}

// Port returns the store as the port that decisions use.
func (s *Store) Port(parts int) cwcellport.Store {
	return cwcellport.Store{Partitions: parts, Commit: s.commit, Read: s.read, Watch: s.watch}
}

func (s *Store) isDown() bool { return s.Down != nil && s.Down() }

func newDownError() error { return cwfault.New(cwfault.Unavailable, "the store is down") }

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
	version, present, ok := s.apply(t)
	if fault == FaultReplyLost {
		return 0, nil, cwfault.New(cwfault.Indefinite, "no answer")
	}
	if !ok {
		return 0, present, cwfault.New(cwfault.Conflict, "a row has another version")
	}
	return version, nil, nil
}

// apply carries out a transaction if its expectations hold, and else returns the present rows.
func (s *Store) apply(t cwcellport.Transaction) (version uint64, present []cwcellport.Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Preconditions {
		row, there := s.rows[e.RowKey]
		if there {
			present = append(present, row)
		}
		ok = ok && row.Version == e.Version
	}
	if !ok {
		return 0, present, false
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

func (s *Store) read(table, part, from, to string, _ time.Duration) (rows []cwcellport.Row, version uint64, err error) {
	if s.isDown() {
		return nil, 0, newDownError()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		if key.Table == table && key.Partition == part && key.Key >= from && (to == "" || key.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b cwcellport.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, s.version, nil
}

func (s *Store) watch(table string, after uint64, wait time.Duration) ([]cwcellport.Row, uint64, error) {
	if s.isDown() {
		return nil, 0, newDownError()
	}
	expired := make(chan struct{})
	cancel := s.timer.After(wait, func(time.Time) { close(expired) })
	defer cancel()
	for {
		rows, version, changed, kept := s.changesSince(table, after)
		if !kept {
			return nil, 0, cwfault.New(cwfault.NotFound, "the history after version %d was dropped", after)
		}
		if len(rows) > 0 {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-expired:
			return nil, version, nil
		}
	}
}

func (s *Store) changesSince(table string, after uint64) (rows []cwcellport.Row, version uint64, changed <-chan struct{}, kept bool) {
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

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.version
}

// Keys returns the keys of a table's rows, for checks.
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
