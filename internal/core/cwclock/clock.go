// Package cwclock estimates the monotonic clock of a worker from the readings in its responses, issues the fencing tokens of the calls to it,
// and bounds the leases that it may have granted.
package cwclock

import "time"

// Drift is the largest fraction by which a worker's clock runs slow, as the users' protocol states.
const Drift = 0.02

// Clock is what a host knows of the clock of one worker, and until when leases granted on the worker may run. A worker reads its clock
// between the sending of the request and the receipt of the response. The clock may be slow by the fraction Drift.
//
// A worker may restart under its identifier, with a clock that starts anew. It then takes calls that were meant for its earlier process, also
// seconds later, and their deadlines are far ahead of its clock, so that only its longest lease limits them. The fencing token of
// a worker is therefore raised after each restart: once the worker has seen it, it does nothing for the calls from before.
type Clock struct {
	maxLease    time.Duration // longest lease that the worker grants, on its clock
	fence       uint64        // of the owner to whose calls the fields below belong
	restarts    uint64        // of the worker under that owner
	isSettled   bool          // the present process has answered a call with the present fencing token
	incarnation time.Time     // start of the worker's process that the clock belongs to; zero: no response has named it
	reading     time.Duration // latest reading of the clock, which begins at any value with each process
	sentAt      time.Time     // when the request of the reading was sent
	receivedAt  time.Time     // on the clock of this host; zero: there is no reading
	namedAt     time.Time     // when the latest response that named the incarnation was received; zero: none was
	leaseExpiry time.Time     // when every lease granted so far has expired; zero: none was granted
}

// New returns a clock without a reading, of a worker that grants leases of maxLease at most.
func New(maxLease time.Duration) *Clock { return &Clock{maxLease: maxLease} }

// Fencing tokens of calls to a worker: the owner's fence, and the worker's restarts in the lower bits.
const (
	restartBits = 16
	maxRestarts = 1<<restartBits - 1
)

// MaxClockLag is how far the clock of a process that has answered without its name may be behind the known clock, so that the expiry of the leases
// granted by the known clock holds there with this margin.
const MaxClockLag = 500 * time.Millisecond

// FirstToken returns the fencing token of an owner's calls to a worker that has not restarted under it.
func FirstToken(fence uint64) uint64 { return fence << restartBits }

// FenceOf returns the fence of the owner that a fencing token belongs to.
func FenceOf(token uint64) uint64 { return token >> restartBits }

// token returns the fencing token of the next call to the worker.
func (c *Clock) token() uint64 { return FirstToken(c.fence) | c.restarts }

// Reading is a reading of a worker's clock in a response that shows that the worker has recorded the token of the request.
type Reading struct {
	Token       uint64    // fencing token of the request
	Incarnation time.Time // start of the worker's process; zero: the response does not name it
	Clock       time.Duration
	SentAt      time.Time // when the request was sent, on the clock of this host
	ReceivedAt  time.Time
}

// OpenCall returns the fencing token of a call to the worker under an owner's fence. Under a later fence than that of the last call it drops the
// reading of the clock: the worker may have restarted since, and must not take a deadline for the clock of its earlier process. ok is
// false if a later owner on this host has called the worker.
func (c *Clock) OpenCall(fence uint64) (token uint64, ok bool) {
	if fence > c.fence {
		*c = Clock{maxLease: c.maxLease, fence: fence, leaseExpiry: c.leaseExpiry}
	}
	return c.token(), fence == c.fence
}

// Record stores a reading of the clock that a response carried. Of two readings of one process it keeps the one that
// implies the later time, since a slow response understates the time.
//
// A response of another incarnation shows that the worker has restarted. If it names the incarnation, its reading replaces the stored one,
// unless its request was sent before the latest response that named one was received: it may then be of an earlier process. If it does not
// name it, the stored reading is dropped, and the next one is stored only if it is named. A response to a call with an outdated token may be of an
// earlier process, too, so its reading is not stored.
func (c *Clock) Record(n Reading) {
	if FenceOf(n.Token) != c.fence {
		return // of a call under an earlier fence
	}
	if n.Token != c.token() {
		c.allowLongestLease(n.ReceivedAt)
		return
	}
	isOther := !n.Incarnation.IsZero() && !c.incarnation.IsZero() && !n.Incarnation.Equal(c.incarnation)
	switch {
	case isOther && n.SentAt.Before(c.namedAt):
		return
	case isOther:
		c.recordRestart()
		c.reading, c.sentAt, c.receivedAt = n.Clock, n.SentAt, n.ReceivedAt
	case n.Incarnation.IsZero() && c.isOfAnotherProcess(n):
		c.recordRestart()
		c.forget()
		c.allowLongestLease(n.ReceivedAt)
		return
	case n.Incarnation.IsZero() && c.incarnation.IsZero():
		c.allowLongestLease(n.ReceivedAt)
		return
	case c.receivedAt.IsZero() || n.Clock >= c.earliestReading(n.ReceivedAt):
		c.reading, c.sentAt, c.receivedAt = n.Clock, n.SentAt, n.ReceivedAt
	}
	if !n.Incarnation.IsZero() {
		c.incarnation, c.namedAt = n.Incarnation, n.ReceivedAt
	}
	if !c.isSettled {
		c.isSettled = !n.Incarnation.IsZero() && n.Token == c.token() && c.restarts < maxRestarts
		// A former owner, or a call that was meant for an earlier process, may have extended the leases until now.
		c.allowLongestLease(n.ReceivedAt)
	}
}

// RecordEnd records that the process that takes calls with the present token has refused or ended a connection, and may have ended. The token is
// raised before the next process is called: already the first call to it makes it refuse those that were meant for the one before.
func (c *Clock) RecordEnd() {
	if c.isSettled {
		c.recordRestart()
	}
}

// recordRestart raises the fencing token of the worker. After maxRestarts it stays, and the worker is never settled again under this
// owner.
func (c *Clock) recordRestart() {
	c.isSettled = false
	c.restarts = min(c.restarts+1, maxRestarts)
}

// isOfAnotherProcess reports whether the clock of the stored reading can't have shown a later one between its sending and its receipt. The clock
// of another process may show that by chance.
func (c *Clock) isOfAnotherProcess(n Reading) bool { return c.isBehind(n) || c.isAhead(n) }

// isBehind reports whether a later reading is below all that the clock of the stored one can have shown since its request was sent. Readings are
// truncated to milliseconds.
func (c *Clock) isBehind(n Reading) bool {
	return c.isLater(n) && n.Clock+time.Millisecond < c.earliestReading(n.SentAt)
}

// isAhead reports whether a reading is above all that the clock of the stored one can have shown until it was received, whenever its request was
// sent.
func (c *Clock) isAhead(n Reading) bool {
	latest := c.reading + time.Duration((1+Drift)*float64(max(0, n.ReceivedAt.Sub(c.sentAt))))
	return !c.receivedAt.IsZero() && n.Clock > latest+time.Millisecond
}

// isLater reports whether the request of a reading was sent after the stored one was received.
func (c *Clock) isLater(n Reading) bool {
	return !c.receivedAt.IsZero() && !n.SentAt.Before(c.receivedAt)
}

// allowLongestLease records that the worker may have taken deadlines for the clock of its earlier process until now, from this owner or a former
// one, which are limited by its longest lease alone.
func (c *Clock) allowLongestLease(now time.Time) {
	if expiry := c.longestLeaseFrom(now); expiry.After(c.leaseExpiry) {
		c.leaseExpiry = expiry
	}
}

// longestLeaseFrom returns the time at which the longest lease has expired that the worker may have granted until now.
func (c *Clock) longestLeaseFrom(now time.Time) time.Time {
	return now.Add(LongestLease(c.maxLease))
}

// earliestReading returns the lowest reading that the worker's clock can show at now, a time of this host's clock: that of a clock
// that has been slow by Drift since the latest reading.
func (c *Clock) earliestReading(now time.Time) time.Duration {
	return c.reading + time.Duration((1-Drift)*float64(now.Sub(c.receivedAt)))
}

// GrantDeadline returns the deadline of a lease of at most d from now, as a reading of the worker's clock. It also records until when
// the lease may run by this host's clock, which LeaseExpiry reports. ok is false, and nothing is recorded, if there is no reading of
// the worker's clock yet.
func (c *Clock) GrantDeadline(now time.Time, d time.Duration) (deadline time.Duration, ok bool) {
	if c.receivedAt.IsZero() {
		return 0, false
	}
	if expiry := now.Add(time.Duration(float64(d) / (1 - Drift))); expiry.After(c.leaseExpiry) {
		c.leaseExpiry = expiry
	}
	return c.earliestReading(now) + d, true
}

// IsSettled reports whether calls that were meant for an earlier process of the worker have no effect any more, as it has answered a call
// with the given fencing token.
func (c *Clock) IsSettled(token uint64) bool { return c.isSettled && c.token() == token }

// IsOutdated reports whether the worker's fencing token has been raised since a call with the given one was sent.
func (c *Clock) IsOutdated(token uint64) bool { return token < c.token() }

// EarlierLeaseExpiry returns the time by which the leases that earlier calls have left on the process which has answered a call with the given reading
// have expired: it refuses calls with lower tokens from then on. The leases that this owner grants there expire MaxClockLag after LeaseExpiry, even if
// a later process than the known one has answered, as its clock is behind by no more. If that is not certain, EarlierLeaseExpiry returns the zero time.
func (c *Clock) EarlierLeaseExpiry(n Reading) time.Time {
	if n.Token != c.token() || c.receivedAt.IsZero() || n.Clock+MaxClockLag < c.earliestReading(n.ReceivedAt) {
		return time.Time{}
	}
	return c.longestLeaseFrom(n.ReceivedAt)
}

// LeaseExpiry returns the time at which every lease granted on the worker has expired, or the zero time if none was granted.
func (c *Clock) LeaseExpiry() time.Time { return c.leaseExpiry }

// Drop drops the reading of the clock as the worker's process has been replaced by that of another worker. It keeps the expiry of the leases that were
// granted to it. Should the worker return, it has restarted.
func (c *Clock) Drop() {
	if !c.incarnation.IsZero() {
		c.recordRestart()
	}
	c.forget()
}

// forget drops what is known of the worker's present process.
func (c *Clock) forget() { c.reading, c.receivedAt, c.incarnation = 0, time.Time{}, time.Time{} }
