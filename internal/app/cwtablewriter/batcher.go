package cwtablewriter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwport"
)

// keyPrefix is the prefix of each writer's row; the writer ID follows.
const keyPrefix = "ledger/"

// phase is the next call for the transaction in flight.
type phase string

const (
	phaseCommit phase = "commit" // commit the transaction
	phaseRead   phase = "read"   // the response was lost: read the writer's row back
	phaseFence  phase = "fence"  // the transaction has not taken effect: bump the version of the writer's row so that it never can
)

// item is a write that has no final result yet.
type item struct {
	Write
	bytes           int
	reportedUnknown bool // Done was called with Unknown
}

// transaction is the one transaction in flight, already sent or sent next.
type transaction struct {
	items    []*item
	phase    phase
	sequence uint64
}

// call is one call to the table that the duty makes for the batcher.
type call struct {
	phase phase
	txn   cwport.Txn
	key   string
}

// limits holds the limits of a batcher.
type limits struct {
	writes, bytes          int // pending at once
	groupSize              int // writes per transaction
	minBackoff, maxBackoff time.Duration
}

// batcher groups writes into transactions and completes each write; its only side effect is to call Done.
//
// Each transaction increments the version of the writer's own row. After a lost response, the batcher reads
// that row to learn whether the transaction took effect. If it did not, the batcher increments the version
// again before it retries, which fences off the earlier transaction.
type batcher struct {
	limits       limits
	random       *rand.Rand
	key          string
	version      cwport.RowVersion // of the writer's row
	sequence     uint64
	queue        []*item
	retryGroups  [][]*item // groups to be retried, the next one last
	inFlight     *transaction
	callPending  bool // a call is in progress
	pending      int  // writes without a final result
	pendingBytes int
	retryAt      time.Time
	backoff      time.Duration
}

func newBatcher(writerID string, seed uint64, l limits) *batcher {
	return &batcher{limits: l, random: rand.New(rand.NewPCG(seed, seed)), key: keyPrefix + writerID}
}

// add enqueues one write and returns false if the limits do not allow it.
func (b *batcher) add(write Write) bool {
	size := 0
	for _, put := range write.Puts {
		size += len(put.Key) + len(put.Value)
	}
	if b.pending >= b.limits.writes || (b.pending > 0 && b.pendingBytes+size > b.limits.bytes) {
		return false
	}
	b.pending++
	b.pendingBytes += size
	b.queue = append(b.queue, &item{Write: write, bytes: size})
	return true
}

// nextCall returns the call to make now, if any.
func (b *batcher) nextCall(now time.Time) (c call, ok bool) {
	b.expire(now)
	if b.callPending || now.Before(b.retryAt) {
		return c, false
	}
	if b.inFlight == nil && !b.formTransaction() {
		return c, false
	}
	b.callPending = true
	t := b.inFlight
	switch t.phase {
	case phaseRead:
		return call{phase: phaseRead, key: b.key}, true
	case phaseFence:
		return call{phase: phaseFence, txn: b.buildTxn(nil)}, true
	}
	b.sequence++
	t.sequence = b.sequence
	return call{phase: phaseCommit, txn: b.buildTxn(t.items)}, true
}

// nextWake returns when nextCall is due again if no other event arrives.
func (b *batcher) nextWake() (at time.Time, ok bool) {
	if !b.callPending && (b.inFlight != nil || len(b.retryGroups) > 0 || len(b.queue) > 0) {
		at, ok = b.retryAt, true
	}
	for _, i := range b.pendingItems() {
		if !i.Deadline.IsZero() && !i.reportedUnknown && (!ok || i.Deadline.Before(at)) {
			at, ok = i.Deadline, true
		}
	}
	return at, ok
}

func (b *batcher) pendingItems() []*item {
	all := slices.Clone(b.queue)
	for _, group := range b.retryGroups {
		all = append(all, group...)
	}
	if b.inFlight != nil {
		all = append(all, b.inFlight.items...)
	}
	return all
}

// formTransaction forms the next transaction from a group to be retried, or else from queued writes to distinct rows.
func (b *batcher) formTransaction() bool {
	if last := len(b.retryGroups) - 1; last >= 0 {
		b.inFlight = &transaction{items: b.retryGroups[last], phase: phaseCommit}
		b.retryGroups = b.retryGroups[:last]
		return true
	}
	keys := map[string]bool{}
	var group, rest []*item
	for n, i := range b.queue {
		if len(group) == b.limits.groupSize {
			rest = append(rest, b.queue[n:]...)
			break
		}
		if usesAnyOf(i, keys) {
			rest = append(rest, i)
		} else {
			group = append(group, i)
		}
		addKeys(i, keys)
	}
	b.queue = rest
	if len(group) == 0 {
		return false
	}
	b.inFlight = &transaction{items: group, phase: phaseCommit}
	return true
}

func usesAnyOf(i *item, keys map[string]bool) bool {
	return slices.ContainsFunc(i.keys(), func(key string) bool { return keys[key] })
}

func addKeys(i *item, keys map[string]bool) {
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

// buildTxn returns a transaction with the given items and the update of the writer's row; without items it is the fence.
func (b *batcher) buildTxn(items []*item) cwport.Txn {
	value := []byte("fence")
	if len(items) > 0 {
		value = strconv.AppendUint(nil, b.sequence, 10)
	}
	txn := cwport.Txn{
		Preconditions: []cwport.Precondition{{Key: b.key, Version: b.version}},
		Puts:          []cwport.Put{{Key: b.key, Value: value}},
	}
	for _, i := range items {
		txn.Preconditions = append(txn.Preconditions, i.Checks...)
		txn.Puts = append(txn.Puts, i.Puts...)
		txn.Deletes = append(txn.Deletes, i.Deletes...)
	}
	return txn
}

// handleResponse handles the response to a commit or a fence.
func (b *batcher) handleResponse(now time.Time, code cwfault.Code) {
	b.callPending = false
	t := b.inFlight
	switch {
	case code == "" && t.phase == phaseFence:
		b.version++
		b.requeue()
	case code == "":
		b.version++
		b.complete(t.items, Committed)
	case code == cwfault.Unavailable:
		if t.phase == phaseCommit {
			b.retryGroups = append(b.retryGroups, t.items)
			b.inFlight = nil
		}
		b.backOff(now)
	case t.phase == phaseCommit && (code == cwfault.Conflict || code == cwfault.Invalid || code == cwfault.TooLarge || code == cwfault.Refused):
		b.split(t.items, code)
	case code == cwfault.Conflict:
		t.phase = phaseRead
	default:
		t.phase = phaseRead
		b.backOff(now)
	}
}

// handleReadBack handles the writer's row, which shows whether the transaction in flight took effect.
func (b *batcher) handleReadBack(now time.Time, row cwport.Row, code cwfault.Code) {
	b.callPending = false
	if code != "" {
		b.backOff(now)
		return
	}
	t := b.inFlight
	switch {
	case row.Version == b.version:
		t.phase = phaseFence
	case string(row.Value) == strconv.FormatUint(t.sequence, 10):
		b.version = row.Version
		b.complete(t.items, Committed)
	default:
		b.version = row.Version
		b.requeue()
	}
}

// requeue queues the items in flight for a retry; the caller knows that they were not written.
func (b *batcher) requeue() {
	b.retryGroups = append(b.retryGroups, b.inFlight.items)
	b.inFlight = nil
}

// split halves a refused transaction, so that the conflict of one write does not fail the others.
func (b *batcher) split(items []*item, code cwfault.Code) {
	if half := len(items) / 2; half > 0 {
		b.retryGroups = append(b.retryGroups, items[half:], items[:half])
		b.inFlight = nil
		return
	}
	result := Refused
	if code == cwfault.Conflict {
		result = Conflict
	}
	b.complete(items, result)
}

func (b *batcher) complete(items []*item, result WriteResult) {
	b.inFlight = nil
	b.retryAt, b.backoff = time.Time{}, 0
	for _, i := range items {
		b.completeItem(i, result)
	}
}

func (b *batcher) completeItem(i *item, result WriteResult) {
	b.pending--
	b.pendingBytes -= i.bytes
	i.Done(result)
}

// expire refuses unsent writes past their deadline, and reports Unknown for sent ones, which may have been written.
func (b *batcher) expire(now time.Time) {
	b.queue = b.refuseExpired(now, b.queue)
	for n := range b.retryGroups {
		b.retryGroups[n] = b.refuseExpired(now, b.retryGroups[n])
	}
	b.retryGroups = slices.DeleteFunc(b.retryGroups, func(group []*item) bool { return len(group) == 0 })
	if b.inFlight == nil {
		return
	}
	for _, i := range b.inFlight.items {
		if i.isExpired(now) && !i.reportedUnknown {
			i.reportedUnknown = true
			i.Done(Unknown)
		}
	}
}

func (b *batcher) refuseExpired(now time.Time, items []*item) []*item {
	return slices.DeleteFunc(items, func(i *item) bool {
		if !i.isExpired(now) {
			return false
		}
		b.completeItem(i, Refused)
		return true
	})
}

func (i *item) isExpired(now time.Time) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) }

// backOff sets the next retry with decorrelated jitter, so that hosts do not all retry at once.
func (b *batcher) backOff(now time.Time) {
	span := max(b.backoff*3-b.limits.minBackoff, 1)
	b.backoff = min(b.limits.minBackoff+time.Duration(b.random.Int64N(int64(span))), b.limits.maxBackoff)
	b.retryAt = now.Add(b.backoff)
}

// handleNotSent reverts the latest nextCall, because the pool was full.
func (b *batcher) handleNotSent(now time.Time) {
	b.callPending = false
	if b.inFlight.phase == phaseCommit {
		b.requeue()
	}
	b.backOff(now)
}
