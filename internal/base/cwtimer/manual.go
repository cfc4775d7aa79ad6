package cwtimer

import (
	"sync"
	"time"
)

// Manual is a timer service for tests whose clock advances only by calls to Advance.
type Manual struct {
	*Service
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual timer service whose clock shows start.
func NewManual(start time.Time) *Manual {
	m := &Manual{now: start}
	m.Service = newService(m.read)
	return m
}

// Advance advances the clock by d, stopping at each due time on the way to call the subscribers due then. They run on the
// caller's goroutine.
func (m *Manual) Advance(d time.Duration) {
	target := m.read().Add(d)
	for {
		next, ok := m.runDue(m.read())
		if !ok || next.After(target) {
			break
		}
		m.set(next)
	}
	m.set(target)
	m.runDue(target)
}

// read returns the time of the clock.
func (m *Manual) read() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// set sets the clock.
func (m *Manual) set(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}
