package cwtimer

import (
	"sync"
	"time"
)

// Manual is a clock that a test moves by hand.
type Manual struct {
	*Service
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that stands at start.
func NewManual(start time.Time) *Manual {
	m := &Manual{now: start}
	m.Service = newService(m.read)
	return m
}

// Advance moves the clock by d and calls the subscribers that fall due, in order, on the caller's goroutine.
func (m *Manual) Advance(d time.Duration) {
	target := m.read().Add(d)
	for {
		next, ok := m.fire(m.read())
		if !ok || next.After(target) {
			break
		}
		m.set(next)
	}
	m.set(target)
	m.fire(target)
}

func (m *Manual) read() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) set(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}
