package cwtablewriter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwport"
)

// keyPrefix starts the key of each writer's row; the writer's name follows.
const keyPrefix = "ledger/"

// phase says what the machine does with the transaction in flight.
type phase string

const (
	phaseCommit phase = "commit" // send it
	phaseRead   phase = "read"   // its answer was lost: read the writer's row back
	phaseFence  phase = "fence"  // it has not shown: move the writer's row so that it never can
)

// item is an entry on its way.
type item struct {
	Write
	bytes   int
	unknown bool // the writer has been told that the effect is not known
}

// flight is the one transaction that has been sent or is about to be.
type flight struct {
	items    []*item
	phase    phase
	sequence uint64
}

// call is what the machine asks its duty to do next.
type call struct {
	phase phase
	txn   cwport.Txn
	key   string
}

// limits bound a machine.
type limits struct {
	entries, bytes int // waiting
	group          int // entries of one transaction
	base, ceiling  time.Duration
}

// machine groups entries into transactions and settles each; it is pure but for the Done functions it calls.
//
// Each transaction moves the writer's own row from one version to the next. A lost answer is settled by
// reading that row; a transaction that did not show there is fenced off by moving the row before a retry.
type machine struct {
	limits   limits
	random   *rand.Rand
	key      string
	version  cwport.RowVersion // of the writer's row
	sequence uint64
	waiting  []*item
	groups   [][]*item // parts of a transaction that is to be retried, the next one last
	flight   *flight
	busy     bool // a call is out
	held     int  // entries not yet settled
	bytes    int
	retryAt  time.Time
	delay    time.Duration
}

func newMachine(writer string, seed uint64, l limits) *machine {
	return &machine{limits: l, random: rand.New(rand.NewPCG(seed, seed)), key: keyPrefix + writer}
}

// add takes one entry or returns false if there is no room.
func (m *machine) add(e Write) bool {
	size := 0
	for _, put := range e.Puts {
		size += len(put.Key) + len(put.Value)
	}
	if m.held >= m.limits.entries || (m.held > 0 && m.bytes+size > m.limits.bytes) {
		return false
	}
	m.held++
	m.bytes += size
	m.waiting = append(m.waiting, &item{Write: e, bytes: size})
	return true
}

// next returns the call to make now, if there is one.
func (m *machine) next(now time.Time) (c call, ok bool) {
	m.expire(now)
	if m.busy || now.Before(m.retryAt) {
		return c, false
	}
	if m.flight == nil && !m.form() {
		return c, false
	}
	m.busy = true
	f := m.flight
	switch f.phase {
	case phaseRead:
		return call{phase: phaseRead, key: m.key}, true
	case phaseFence:
		return call{phase: phaseFence, txn: m.txn(nil)}, true
	}
	m.sequence++
	f.sequence = m.sequence
	return call{phase: phaseCommit, txn: m.txn(f.items)}, true
}

// wake returns when next should be called again if nothing else happens.
func (m *machine) wake() (at time.Time, ok bool) {
	if !m.busy && (m.flight != nil || len(m.groups) > 0 || len(m.waiting) > 0) {
		at, ok = m.retryAt, true
	}
	for _, i := range m.unsettled() {
		if !i.Deadline.IsZero() && !i.unknown && (!ok || i.Deadline.Before(at)) {
			at, ok = i.Deadline, true
		}
	}
	return at, ok
}

func (m *machine) unsettled() []*item {
	all := slices.Clone(m.waiting)
	for _, group := range m.groups {
		all = append(all, group...)
	}
	if m.flight != nil {
		all = append(all, m.flight.items...)
	}
	return all
}

// form makes the next flight of a part that is retried, or of waiting entries that touch different rows.
func (m *machine) form() bool {
	if last := len(m.groups) - 1; last >= 0 {
		m.flight = &flight{items: m.groups[last], phase: phaseCommit}
		m.groups = m.groups[:last]
		return true
	}
	keys := map[string]bool{}
	var group, left []*item
	for n, i := range m.waiting {
		if len(group) == m.limits.group {
			left = append(left, m.waiting[n:]...)
			break
		}
		if touches(i, keys) {
			left = append(left, i)
		} else {
			group = append(group, i)
		}
		mark(i, keys)
	}
	m.waiting = left
	if len(group) == 0 {
		return false
	}
	m.flight = &flight{items: group, phase: phaseCommit}
	return true
}

func touches(i *item, keys map[string]bool) bool {
	return slices.ContainsFunc(i.keys(), func(key string) bool { return keys[key] })
}

func mark(i *item, keys map[string]bool) {
	for _, key := range i.keys() {
		keys[key] = true
	}
}

func (i *item) keys() (keys []string) {
	for _, check := range i.Checks {
		keys = append(keys, check.Key)
	}
	for _, put := range i.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, i.Deletes...)
}

// txn joins items and the move of the writer's row; without items it is the fence.
func (m *machine) txn(items []*item) cwport.Txn {
	value := []byte("fence")
	if len(items) > 0 {
		value = strconv.AppendUint(nil, m.sequence, 10)
	}
	txn := cwport.Txn{
		Preconditions: []cwport.Precondition{{Key: m.key, Version: m.version}},
		Puts:          []cwport.Put{{Key: m.key, Value: value}},
	}
	for _, i := range items {
		txn.Preconditions = append(txn.Preconditions, i.Checks...)
		txn.Puts = append(txn.Puts, i.Puts...)
		txn.Deletes = append(txn.Deletes, i.Deletes...)
	}
	return txn
}

// answered takes the answer to a commit or a fence.
func (m *machine) answered(now time.Time, code cwfault.Code) {
	m.busy = false
	f := m.flight
	switch {
	case code == "" && f.phase == phaseFence:
		m.version++
		m.retry()
	case code == "":
		m.version++
		m.settle(f.items, Committed)
	case code == cwfault.Unavailable:
		if f.phase == phaseCommit {
			m.groups = append(m.groups, f.items)
			m.flight = nil
		}
		m.backOff(now)
	case f.phase == phaseCommit && (code == cwfault.Conflict || code == cwfault.Invalid || code == cwfault.TooLarge || code == cwfault.Refused):
		m.split(f.items, code)
	case code == cwfault.Conflict:
		f.phase = phaseRead
	default:
		f.phase = phaseRead
		m.backOff(now)
	}
}

// readBack takes the writer's row, which tells whether the transaction in flight took effect.
func (m *machine) readBack(now time.Time, row cwport.Row, code cwfault.Code) {
	m.busy = false
	if code != "" {
		m.backOff(now)
		return
	}
	f := m.flight
	switch {
	case row.Version == m.version:
		f.phase = phaseFence
	case string(row.Value) == strconv.FormatUint(f.sequence, 10):
		m.version = row.Version
		m.settle(f.items, Committed)
	default:
		m.version = row.Version
		m.retry()
	}
}

// retry sends the items in flight anew; they are known not to be written.
func (m *machine) retry() {
	m.groups = append(m.groups, m.flight.items)
	m.flight = nil
}

// split halves a transaction that was refused, so that one entry's conflict does not fail the others.
func (m *machine) split(items []*item, code cwfault.Code) {
	if half := len(items) / 2; half > 0 {
		m.groups = append(m.groups, items[half:], items[:half])
		m.flight = nil
		return
	}
	verdict := Refused
	if code == cwfault.Conflict {
		verdict = Conflict
	}
	m.settle(items, verdict)
}

func (m *machine) settle(items []*item, verdict WriteResult) {
	m.flight = nil
	m.retryAt, m.delay = time.Time{}, 0
	for _, i := range items {
		m.tell(i, verdict)
	}
}

func (m *machine) tell(i *item, verdict WriteResult) {
	m.held--
	m.bytes -= i.bytes
	i.Done(verdict)
}

// expire refuses what is past its deadline and not sent, and says unknown of what may have been written.
func (m *machine) expire(now time.Time) {
	m.waiting = m.refuseLate(now, m.waiting)
	for n := range m.groups {
		m.groups[n] = m.refuseLate(now, m.groups[n])
	}
	m.groups = slices.DeleteFunc(m.groups, func(group []*item) bool { return len(group) == 0 })
	if m.flight == nil {
		return
	}
	for _, i := range m.flight.items {
		if i.isLate(now) && !i.unknown {
			i.unknown = true
			i.Done(Unknown)
		}
	}
}

func (m *machine) refuseLate(now time.Time, items []*item) []*item {
	return slices.DeleteFunc(items, func(i *item) bool {
		if !i.isLate(now) {
			return false
		}
		m.tell(i, Refused)
		return true
	})
}

func (i *item) isLate(now time.Time) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) }

// backOff sets the next try by decorrelated jitter, so that hosts do not return all at once.
func (m *machine) backOff(now time.Time) {
	span := max(m.delay*3-m.limits.base, 1)
	m.delay = min(m.limits.base+time.Duration(m.random.Int64N(int64(span))), m.limits.ceiling)
	m.retryAt = now.Add(m.delay)
}

// notSent takes back the call that next returned, because nobody could carry it out.
func (m *machine) notSent(now time.Time) {
	m.busy = false
	if m.flight.phase == phaseCommit {
		m.retry()
	}
	m.backOff(now)
}
