// Package cwmemory provides in-memory implementations of the ports, and a fault injector for them.
package cwmemory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwport"
)

// Table is an in-memory transactional table.
type Table struct {
	mu   sync.Mutex
	rows map[string]cwport.Row
	keys []string // sorted
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]cwport.Row{}} }

// Port returns the port to the table.
func (t *Table) Port() cwport.Table {
	return cwport.Table{
		Read: func(_ context.Context, key string) (cwport.Row, error) { return t.Read(key), nil },
		Scan: func(_ context.Context, prefix, after string, limit int) ([]cwport.Row, error) {
			return t.Scan(prefix, after, limit), nil
		},
		Commit: func(_ context.Context, txn cwport.Txn) error { return t.Commit(txn) },
	}
}

// Read returns the row with the key. A row that does not exist has version 0.
func (t *Table) Read(key string) cwport.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	row.Value = slices.Clone(row.Value)
	return row
}

// Scan returns up to limit rows whose keys have the prefix and are greater than after, in key order.
func (t *Table) Scan(prefix, after string, limit int) (rows []cwport.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// Commit applies a transaction. If a precondition fails it applies nothing and returns a Conflict that names the first such row.
func (t *Table) Commit(txn cwport.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Preconditions {
		if present := t.rows[check.Key].Version; present != check.Version {
			return cwfault.New(cwfault.Conflict, "row %s has version %d, not %d", check.Key, present, check.Version)
		}
	}
	for _, put := range txn.Puts {
		t.put(put)
	}
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	return nil
}

// put writes a row and increments its version; a new row gets version 1. The caller holds mu.
func (t *Table) put(put cwport.Put) {
	row, exists := t.rows[put.Key]
	if !exists {
		n, _ := slices.BinarySearch(t.keys, put.Key)
		t.keys = slices.Insert(t.keys, n, put.Key)
	}
	t.rows[put.Key] = cwport.Row{Key: put.Key, Version: row.Version + 1, Value: slices.Clone(put.Value)}
}

// remove deletes the row with the key, if any. The caller holds mu.
func (t *Table) remove(key string) {
	if _, exists := t.rows[key]; !exists {
		return
	}
	delete(t.rows, key)
	n, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, n, n+1)
}

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{bodies: map[string][]byte{}} }

// Port returns the port to the object store.
func (o *ObjectStore) Port() cwport.ObjectStore {
	return cwport.ObjectStore{
		Put:    func(_ context.Context, key string, body []byte) error { o.Put(key, body); return nil },
		Get:    func(_ context.Context, key string) ([]byte, error) { return o.Get(key) },
		Delete: func(_ context.Context, key string) error { o.Delete(key); return nil },
	}
}

// Put stores a copy of body under key.
func (o *ObjectStore) Put(key string, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[key] = slices.Clone(body)
}

// Get returns a copy of the body under key, or the error NotFound if there is none.
func (o *ObjectStore) Get(key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[key]
	if !ok {
		return nil, cwfault.New(cwfault.NotFound, "no object %s", key)
	}
	return slices.Clone(body), nil
}

// Delete removes the body under key, if any.
func (o *ObjectStore) Delete(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, key)
}
