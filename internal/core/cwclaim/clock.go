package cwclaim

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// driftDivisor bounds clock drift: two clocks drift apart by at most 1/driftDivisor of the elapsed time.
const driftDivisor = 64

// DriftMargin returns the largest drift between two clocks over a duration d.
func DriftMargin(d time.Duration) time.Duration { return d / driftDivisor }

// LeaseExpiryBound returns the local time by which the lease of an attempt has certainly expired on the worker's clock.
func LeaseExpiryBound(lastRenewal time.Time, lease time.Duration) time.Time {
	return lastRenewal.Add(lease + DriftMargin(lease))
}

// NextEpoch returns the epoch for a claim on a worker that reported its epoch and clock.
//
// The epoch is at least the worker's clock, so that a worker that lost its epoch in a restart never grants the same epoch
// again.
func NextEpoch(epoch cwmodel.Epoch, clock time.Time) cwmodel.Epoch {
	return max(epoch+1, cwmodel.Epoch(max(clock.UnixMilli(), 0)))
}

// RetainsEpoch reports whether a worker whose epoch is present still has the records of attempts dispatched under the epoch
// attempt. bootedAt is the start of the worker's process by its own clock, zero if it does not report one.
//
// An epoch is at least the worker's clock when it was granted, as a Unix time in milliseconds (see NextEpoch). So an epoch
// that is not above the start time may belong to an earlier process, whose records are lost. A worker that does not report its
// start time is assumed to have the records of its present epoch only.
func RetainsEpoch(attempt, present cwmodel.Epoch, bootedAt time.Time) bool {
	if attempt == present || bootedAt.IsZero() {
		return attempt == present
	}
	return attempt < present && attempt > cwmodel.Epoch(max(bootedAt.UnixMilli(), 0))
}

// ClockBounds is an interval that contains the offset of a worker's clock from the local clock.
type ClockBounds struct {
	min, max time.Duration // worker's clock minus local clock
	at       time.Time     // local time for which the interval is valid; it widens with drift
}

// NewClockBounds returns the bounds from one call; the worker read its clock between sent and received.
func NewClockBounds(sent, received, clock time.Time) ClockBounds {
	return ClockBounds{min: clock.Sub(received), max: clock.Sub(sent), at: received}
}

// Observe narrows the bounds by another call. If the intervals are disjoint, a clock was stepped and the new bounds replace
// the old ones.
func (b *ClockBounds) Observe(sent, received, clock time.Time) {
	observed := NewClockBounds(sent, received, clock)
	drift := DriftMargin(max(received.Sub(b.at), 0))
	lower, upper := max(observed.min, b.min-drift), min(observed.max, b.max+drift)
	if lower > upper {
		*b = observed
		return
	}
	*b = ClockBounds{min: lower, max: upper, at: received}
}

// Earliest returns the earliest time that the worker's clock may show at local time t.
func (b ClockBounds) Earliest(t time.Time) time.Time { return t.Add(b.min) }

// Width returns the difference between the largest and the smallest possible offset.
func (b ClockBounds) Width() time.Duration { return b.max - b.min }
