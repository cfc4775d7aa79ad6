// Package cwtimer provides the timer service of a process.
package cwtimer

import (
	"container/heap"
	"sync"
	"time"
)

// Service provides the current time and calls its subscribers at their due times.
//
// Subscribers run on the service's goroutine and must not block; they offer an event to a ring.
type Service struct {
	now     func() time.Time
	mu      sync.Mutex
	pending subscriptions
	changed chan struct{} // signals that the earliest due time has changed
}

// subscription is a scheduled call, which is repeated if its period is positive.
type subscription struct {
	dueAt    time.Time
	period   time.Duration
	callback func(now time.Time)
	index    int // in the heap of pending subscriptions; -1: not in it
}

// New starts a timer service on the system clock and returns it with a function that stops it.
func New() (s *Service, stop func()) { return startService(time.Now) }

// startService starts a timer service that reads its time from now, and returns it with a function that stops it.
func startService(now func() time.Time) (s *Service, stop func()) {
	s = newService(now)
	done, ended := make(chan struct{}), make(chan struct{})
	go s.run(done, ended)
	var once sync.Once
	return s, func() {
		once.Do(func() { close(done) })
		<-ended
	}
}

// newService returns a service that has no goroutine yet.
func newService(now func() time.Time) *Service {
	return &Service{now: now, changed: make(chan struct{}, 1)}
}

// Now returns the current time of the service.
func (s *Service) Now() time.Time { return s.now() }

// Every calls callback once per period, at least a millisecond, until cancel is called. The first call is one period from now.
func (s *Service) Every(period time.Duration, callback func(now time.Time)) (cancel func()) {
	period = max(period, time.Millisecond)
	return s.add(&subscription{dueAt: s.now().Add(period), period: period, callback: callback})
}

// After calls callback once after d, unless cancel is called first.
func (s *Service) After(d time.Duration, callback func(now time.Time)) (cancel func()) {
	return s.add(&subscription{dueAt: s.now().Add(d), callback: callback})
}

// Sleep blocks until d has elapsed or done is closed. It returns false if done was closed first.
func (s *Service) Sleep(done <-chan struct{}, d time.Duration) bool {
	woken := make(chan struct{})
	cancel := s.After(d, func(time.Time) { close(woken) })
	defer cancel()
	select {
	case <-woken:
		return true
	case <-done:
		return false
	}
}

// add schedules a subscription and returns a function that cancels it.
func (s *Service) add(sub *subscription) (cancel func()) {
	s.mu.Lock()
	heap.Push(&s.pending, sub)
	first := sub.index == 0
	s.mu.Unlock()
	if first {
		s.wake()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		sub.period = 0
		if sub.index >= 0 {
			heap.Remove(&s.pending, sub.index)
		}
	}
}

// wake makes run compute the next due time again. One pending signal is enough.
func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run calls due subscriptions until done is closed.
func (s *Service) run(done <-chan struct{}, ended chan<- struct{}) {
	defer close(ended)
	const idle = time.Hour
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		wait := idle
		if next, ok := s.runDue(s.now()); ok {
			wait = next.Sub(s.now())
		}
		timer.Reset(max(wait, 0))
		select {
		case <-done:
			return
		case <-s.changed:
		case <-timer.C:
		}
	}
}

// runDue calls the callback of every subscription that is due at now, without the lock, and returns the due time of the next one; ok is false if none is left.
func (s *Service) runDue(now time.Time) (next time.Time, ok bool) {
	for {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.mu.Unlock()
			return next, false
		}
		sub := s.pending[0]
		if sub.dueAt.After(now) {
			s.mu.Unlock()
			return sub.dueAt, true
		}
		s.advanceSubscription(sub, now)
		s.mu.Unlock()
		sub.callback(now)
	}
}

// advanceSubscription moves the due time of a periodic subscription past now, skipping missed periods, and removes a one-shot subscription. The
// caller holds the lock.
func (s *Service) advanceSubscription(sub *subscription, now time.Time) {
	if sub.period <= 0 {
		heap.Remove(&s.pending, sub.index)
		return
	}
	missed := now.Sub(sub.dueAt) / sub.period
	sub.dueAt = sub.dueAt.Add((missed + 1) * sub.period)
	heap.Fix(&s.pending, sub.index)
}

// subscriptions is a heap ordered by due time.
type subscriptions []*subscription

// Len, Less and Swap implement sort.Interface, which heap.Interface includes.
func (h subscriptions) Len() int           { return len(h) }
func (h subscriptions) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }
func (h subscriptions) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *subscriptions) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*h)
	*h = append(*h, sub)
}

// Pop implements heap.Interface.
func (h *subscriptions) Pop() any {
	last := len(*h) - 1
	sub := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	sub.index = -1
	return sub
}
