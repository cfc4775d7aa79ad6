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

// phase is the kind of the call that is in progress, or made next, for the transaction in flight.
//
// A fence is a call that only increments the version of the writer's row. It makes an earlier commit of unknown effect fail on its
// precondition, should that commit still reach the table.
type phase string

const (
	phaseCommit phase = "commit" // commit the transaction
	phaseRead   phase = "read"   // the effect of a commit or fence is unknown: read the writer's row back
	phaseFence  phase = "fence"  // the transaction has not taken effect yet: send a fence so that it never can
)

// item is a write that has no final result yet.
type item struct {
	Write
	bytes           int
	reportedUnknown bool // the deadline has passed while the write was in flight, and Done was called with Unknown
}

// transaction is a group of writes that is committed at once; at most one is in flight.
type transaction struct {
	items    []*item
	phase    phase
	sequence uint64 // written into the writer's row by the commit; identifies the transaction in a read-back
}

// call is one call to the table that the duty makes for the batcher.
type call struct {
	phase phase
	txn   cwport.Txn // to commit, for a commit or a fence
	key   string     // to read, for a read-back
}

// limits holds the limits of a batcher.
type limits struct {
	pendingWrites, pendingBytes int // without a final result, over all transactions
	groupSize                   int // writes per transaction
	minBackoff, maxBackoff      time.Duration
}

// batcher groups writes into transactions and completes each write; its only side effect is to call Done.
//
// Each transaction increments the version of the writer's own row. After a lost response, the batcher reads
// that row to find out whether the transaction took effect. If it did not, the batcher sends a fence before it retries the writes, so
// that the earlier transaction cannot take effect as well.
type batcher struct {
	limits           limits
	random           *rand.Rand
	key              string
	writerRowVersion cwport.RowVersion // that the writer's row has in the table, as far as known
	sequence         uint64            // of the latest transaction
	queue            []*item           // writes that were in no transaction yet
	retryGroups      [][]*item         // groups to be retried, the next one last
	inFlight         *transaction      // nil if there is none
	callPending      bool              // nextCall returned a call whose response has not arrived
	pendingWrites    int               // writes without a final result
	pendingBytes     int
	retryAt          time.Time     // no call is made before; zero if none is delayed
	backoff          time.Duration // of the latest failed call; zero after a success
}

// newBatcher returns a batcher without writes; seed is that of the back-off jitter.
func newBatcher(writerID string, seed uint64, l limits) *batcher {
	return &batcher{limits: l, random: rand.New(rand.NewPCG(seed, seed)), key: keyPrefix + writerID}
}

// add enqueues one write and returns false if the limits do not allow it. A single write may exceed the limit on bytes.
func (b *batcher) add(write Write) bool {
	size := 0
	for _, put := range write.Puts {
		size += len(put.Key) + len(put.Value)
	}
	if b.pendingWrites >= b.limits.pendingWrites || (b.pendingWrites > 0 && b.pendingBytes+size > b.limits.pendingBytes) {
		return false
	}
	b.pendingWrites++
	b.pendingBytes += size
	b.queue = append(b.queue, &item{Write: write, bytes: size})
	return true
}

// nextCall completes expired writes and returns the call to make now.
//
// It returns ok false while a call is in progress, during a back-off, or if there is nothing to write.
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

// nextWake returns when the duty must call nextCall if no event arrives earlier: the back-off ends or the deadline of a write passes.
//
// It returns ok false if the duty need not wake.
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

// pendingItems returns all writes without a final result.
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

// formTransaction forms the next transaction from a group to be retried, or else from queued writes that share no row.
//
// Writes that use the same row stay in their order. It returns false if there is nothing to write.
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

// usesAnyOf reports whether a write uses a row with one of the keys.
func usesAnyOf(i *item, keys map[string]bool) bool {
	return slices.ContainsFunc(i.keys(), func(key string) bool { return keys[key] })
}

// addKeys adds the keys of the rows that a write uses.
func addKeys(i *item, keys map[string]bool) {
	for _, key := range i.keys() {
		keys[key] = true
	}
}

// keys returns the keys of the rows that a write checks, puts or deletes.
func (i *item) keys() (keys []string) {
	for _, check := range i.Checks {
		keys = append(keys, check.Key)
	}
	for _, put := range i.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, i.Deletes...)
}

// buildTxn returns the table transaction of the given items with the update of the writer's row. Without items it is a fence: it only
// updates the writer's row, so that an earlier commit which is still under way fails its precondition.
func (b *batcher) buildTxn(items []*item) cwport.Txn {
	value := []byte("fence")
	if len(items) > 0 {
		value = strconv.AppendUint(nil, b.sequence, 10)
	}
	txn := cwport.Txn{
		Preconditions: []cwport.Precondition{{Key: b.key, Version: b.writerRowVersion}},
		Puts:          []cwport.Put{{Key: b.key, Value: value}},
	}
	for _, i := range items {
		txn.Preconditions = append(txn.Preconditions, i.Checks...)
		txn.Puts = append(txn.Puts, i.Puts...)
		txn.Deletes = append(txn.Deletes, i.Deletes...)
	}
	return txn
}

// handleCommitResponse handles the response to a commit or a fence, by the phase of the transaction in flight. An empty code is a success.
//
// A committed transaction is completed. A successful fence, which only increments the version of the writer's row, proves that the earlier
// commit can no longer take effect, so its writes are retried.
//
// Unavailable proves that nothing was written, and so does a rejection of a commit (Conflict, Invalid, TooLarge or Refused). A rejected
// commit is split to find the write at fault. After any other error the effect is unknown, and the writer's row is read back before
// anything else is sent.
func (b *batcher) handleCommitResponse(now time.Time, code cwfault.Code) {
	b.callPending = false
	t := b.inFlight
	switch {
	case code == "" && t.phase == phaseFence:
		b.writerRowVersion++
		b.requeue()
	case code == "":
		b.writerRowVersion++
		b.complete(t.items, Committed)
	case code == cwfault.Unavailable: // nothing was done
		if t.phase == phaseCommit {
			b.retryGroups = append(b.retryGroups, t.items)
			b.inFlight = nil
		}
		b.backOff(now)
	case t.phase == phaseCommit && (code == cwfault.Conflict || code == cwfault.Invalid || code == cwfault.TooLarge || code == cwfault.Refused):
		b.bisect(t.items, code)
	case code == cwfault.Conflict: // a fence conflicts if an earlier commit or fence has taken effect in the meantime
		t.phase = phaseRead
	default: // the effect is unknown
		t.phase = phaseRead
		b.backOff(now)
	}
}

// handleReadBack handles the writer's row, which shows whether the transaction in flight took effect: it completes the transaction,
// retries its writes after a fence, or sends a fence if the row is unchanged. A failed read is repeated after a back-off.
func (b *batcher) handleReadBack(now time.Time, row cwport.Row, code cwfault.Code) {
	b.callPending = false
	if code != "" {
		b.backOff(now)
		return
	}
	t := b.inFlight
	switch {
	case row.Version == b.writerRowVersion: // neither the commit nor a fence has taken effect yet
		t.phase = phaseFence
	case string(row.Value) == strconv.FormatUint(t.sequence, 10): // the commit has taken effect
		b.writerRowVersion = row.Version
		b.complete(t.items, Committed)
	default: // a fence has taken effect
		b.writerRowVersion = row.Version
		b.requeue()
	}
}

// requeue queues the group in flight for a retry. It must be called only if the group was surely not written.
func (b *batcher) requeue() {
	b.retryGroups = append(b.retryGroups, b.inFlight.items)
	b.inFlight = nil
}

// bisect retries the two halves of a rejected transaction separately, so that one bad write does not fail the others.
//
// A rejected transaction of a single write completes that write with Conflict if code is Conflict, and with Refused for any other code.
func (b *batcher) bisect(items []*item, code cwfault.Code) {
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

// complete ends the transaction in flight and the back-off, and completes its writes.
func (b *batcher) complete(items []*item, result WriteResult) {
	b.inFlight = nil
	b.retryAt, b.backoff = time.Time{}, 0
	for _, i := range items {
		b.completeItem(i, result)
	}
}

// completeItem passes the final result of a write to its Done function.
func (b *batcher) completeItem(i *item, result WriteResult) {
	b.pendingWrites--
	b.pendingBytes -= i.bytes
	i.Done(result)
}

// expire completes the expired writes that are not in flight with the result Refused, and reports Unknown once for those in flight.
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

// refuseExpired completes the expired items with Refused and returns the others.
func (b *batcher) refuseExpired(now time.Time, items []*item) []*item {
	return slices.DeleteFunc(items, func(i *item) bool {
		if !i.isExpired(now) {
			return false
		}
		b.completeItem(i, Refused)
		return true
	})
}

// isExpired reports whether the deadline of a write has passed; a write without a deadline never expires.
func (i *item) isExpired(now time.Time) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) }

// backOff delays the next call by a random time that grows up to three times with each failure (decorrelated jitter), so that hosts do
// not all retry at once.
func (b *batcher) backOff(now time.Time) {
	span := max(b.backoff*3-b.limits.minBackoff, 1)
	b.backoff = min(b.limits.minBackoff+time.Duration(b.random.Int64N(int64(span))), b.limits.maxBackoff)
	b.retryAt = now.Add(b.backoff)
}

// handleNotSent handles that the call of the latest nextCall was never made because the pool was full. The writes of a commit are queued
// for a retry; a read-back or fence is sent again after the back-off.
func (b *batcher) handleNotSent(now time.Time) {
	b.callPending = false
	if b.inFlight.phase == phaseCommit {
		b.requeue()
	}
	b.backOff(now)
}
