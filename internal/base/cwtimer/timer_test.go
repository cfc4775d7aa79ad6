package cwtimer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwtimer"
)

// TestManualCallsInOrder asserts that a single advance of the clock calls all subscribers due on the way in order of due time.
func TestManualCallsInOrder(t *testing.T) {
	cases := []struct {
		name    string
		advance time.Duration
		want    string
	}{
		{"nothing due", 500 * time.Millisecond, ""},
		{"periodic twice, one-shot between", 2 * time.Second, "ebe"},
		{"a long step skips nothing that is due in order", 3 * time.Second, "ebee"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := cwtimer.NewManual(time.Unix(1000, 0))
			got := ""
			m.Every(time.Second, func(time.Time) { got += "e" })
			m.After(1500*time.Millisecond, func(time.Time) { got += "b" })
			m.Advance(c.advance)
			is.Equal(got, c.want)
		})
	}
}

// TestCancelledSubscriberIsNotCalled asserts that a periodic subscriber is not called after its cancellation.
func TestCancelledSubscriberIsNotCalled(t *testing.T) {
	is := is.New(t)
	m := cwtimer.NewManual(time.Unix(1000, 0))
	calls := 0
	cancel := m.Every(time.Second, func(time.Time) { calls++ })
	m.Advance(time.Second)
	cancel()
	m.Advance(10 * time.Second)
	is.Equal(calls, 1)
}

// TestServiceRunsOnSystemClock asserts that a one-shot subscriber is called; otherwise the test never ends.
func TestServiceRunsOnSystemClock(_ *testing.T) {
	s, stop := cwtimer.New()
	defer stop()
	called := make(chan struct{})
	s.After(time.Millisecond, func(time.Time) { close(called) })
	<-called
}
