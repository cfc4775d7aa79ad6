package cwclaim

import (
	"time"

	"currantward/internal/core/cwmodel"
)

// driftPart is the part of any time by which two clocks may drift apart.
const driftPart = 64

// DriftMargin returns by how much two clocks may drift apart in d.
func DriftMargin(d time.Duration) time.Duration { return d / driftPart }

// LeaseExpiryBound returns the local time from which an attempt is over for certain: its lease has ended by the worker's clock.
func LeaseExpiryBound(lastRenewal time.Time, lease time.Duration) time.Time {
	return lastRenewal.Add(lease + DriftMargin(lease))
}

// NextEpoch returns the epoch for a claim on a worker that states its epoch and clock.
//
// The clock counts in so that a worker that has forgotten its epoch in a restart grants none that it granted before.
func NextEpoch(epoch cwmodel.Epoch, clock time.Time) cwmodel.Epoch {
	return max(epoch+1, cwmodel.Epoch(max(clock.UnixMilli(), 0)))
}

// RetainsEpoch reports whether a worker can tell what became of an attempt that was ordered under an earlier or the present epoch.
//
// Epochs are never behind the worker's clock, so one that lies before the worker's start belongs to an earlier life.
// A worker that does not say when it started is trusted for its present epoch only.
func RetainsEpoch(attempt, present cwmodel.Epoch, booted time.Time) bool {
	if attempt == present || booted.IsZero() {
		return attempt == present
	}
	return attempt < present && attempt > cwmodel.Epoch(max(booted.UnixMilli(), 0))
}

// ClockBounds holds how far a worker's clock is ahead of the local one: at least least, at most most.
type ClockBounds struct {
	least, most time.Duration
	at          time.Time
}

// NewClockBounds returns the bounds that one call gives; the worker read its clock between sent and received.
func NewClockBounds(sent, received, clock time.Time) ClockBounds {
	return ClockBounds{least: clock.Sub(received), most: clock.Sub(sent), at: received}
}

// Observe narrows the bounds by a further call; if they exclude each other, a clock was set and the new ones count.
func (b *ClockBounds) Observe(sent, received, clock time.Time) {
	seen := NewClockBounds(sent, received, clock)
	drift := DriftMargin(max(received.Sub(b.at), 0))
	least, most := max(seen.least, b.least-drift), min(seen.most, b.most+drift)
	if least > most {
		*b = seen
		return
	}
	*b = ClockBounds{least: least, most: most, at: received}
}

// Earliest returns the worker's time that is certainly not after the local time t.
func (b ClockBounds) Earliest(t time.Time) time.Time { return t.Add(b.least) }

// Width returns the width of the bounds.
func (b ClockBounds) Width() time.Duration { return b.most - b.least }
