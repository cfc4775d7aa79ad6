package cwclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestClock returns the clock of a worker, whose process began at the given time and is an hour old, under the fence 3.
func newTestClock(incarnation time.Time) *Clock {
	c := New(6 * time.Second)
	token, _ := c.OpenCall(3)
	c.Record(Reading{token, incarnation, time.Hour, incarnation, incarnation})
	return c
}

// TestCallsToAnEarlierProcessAreRefused guards against a task that runs twice because a restarted worker carries out a call that was meant for its
// earlier process, with a deadline for that one's clock: after each restart the fencing token rises, and the worker is settled once it
// has answered a call with the new one.
func TestCallsToAnEarlierProcessAreRefused(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	next := at(500 * time.Millisecond)
	type answer struct {
		raised      int // of the token of the call, from the first one
		incarnation time.Time
		clock       time.Duration
		at          time.Duration
	}
	cases := []struct {
		name    string
		answers []answer
		raised  int  // of the next token
		settled bool // with that
	}{
		{"same process", []answer{{0, start, time.Hour + time.Second, time.Second}}, 0, true},
		{"another process", []answer{{0, next, 500 * time.Millisecond, time.Second}}, 1, false},
		{"another process, by its clock", []answer{{0, time.Time{}, 500 * time.Millisecond, time.Second}}, 1, false},
		{"another process, then an answer to a call from before", []answer{{0, next, 500 * time.Millisecond, time.Second}, {0, next, 600 * time.Millisecond, 1100 * time.Millisecond}}, 1, false},
		{"another process, then an answer to a call with the new token", []answer{{0, next, 500 * time.Millisecond, time.Second}, {1, next, 600 * time.Millisecond, 1100 * time.Millisecond}}, 1, true},
		{"another process by its clock, then with the new token", []answer{{0, time.Time{}, 500 * time.Millisecond, time.Second}, {1, next, 600 * time.Millisecond, 1100 * time.Millisecond}}, 1, true},
		{"two restarts", []answer{{0, next, 500 * time.Millisecond, time.Second}, {1, at(2 * time.Second), 0, 2 * time.Second}}, 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClock(start)
			first, _ := c.OpenCall(3)
			for _, a := range tc.answers {
				c.Record(Reading{first + uint64(a.raised), a.incarnation, a.clock, at(a.at), at(a.at)})
			}
			token, ok := c.OpenCall(3)
			is.True(ok)
			is.Equal(token, first+uint64(tc.raised))
			is.Equal(c.IsSettled(token), tc.settled)
			is.Equal(c.IsOutdated(first), tc.raised > 0)
			if tc.raised > 0 { // a call to the earlier process may have been carried out until the last answer
				last := tc.answers[len(tc.answers)-1]
				is.True(!c.LeaseExpiry().Before(at(last.at).Add(c.maxLease)))
			}
			later, _ := c.OpenCall(4)
			is.True(later > token) // the fence of a later owner exceeds every token of this one
		})
	}
}

// TestTokenIsRaisedWhenAProcessEnds guards against a task that runs twice because the first call to a restarted worker has the token of the calls to its
// earlier process, which it then still carries out.
func TestTokenIsRaisedWhenAProcessEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name     string
		unproven bool // no call with the present token has been answered
		ends     int
		answers  bool // the same process answers a call with the new token
		raised   int
		settled  bool
	}{
		{"no end", false, 0, false, 0, true},
		{"one end", false, 1, false, 1, false},
		{"several connections end", false, 3, false, 1, false},
		{"one end, but the process lives", false, 1, true, 1, true},
		{"not called before", true, 1, false, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := New(6 * time.Second)
			if !tc.unproven {
				c = newTestClock(start)
			}
			first, _ := c.OpenCall(3)
			for range tc.ends {
				c.RecordEnd()
			}
			token, _ := c.OpenCall(3)
			if tc.answers {
				c.Record(Reading{token, start, time.Hour + time.Second, start.Add(time.Second), start.Add(time.Second)})
			}
			is.Equal(token, first+uint64(tc.raised))
			is.Equal(c.IsSettled(token), tc.settled)
		})
	}
}

// TestSettledByReportsAlone guards against a task that runs twice because a restarted worker is used while it still executes the calls to its
// earlier process: a response that names no process may be of a later one than the known one.
func TestSettledByReportsAlone(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name        string
		restarted   bool // a report has shown a restart before
		incarnation time.Time
		settled     bool
	}{
		{"report", false, start, true},
		{"response that names no process", false, time.Time{}, false},
		{"report after a restart", true, start, true},
		{"response that names no process, after a restart", true, time.Time{}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := New(6 * time.Second)
			if tc.restarted {
				c = newTestClock(start.Add(-time.Second))
				token, _ := c.OpenCall(3)
				c.Record(Reading{token, start, 2 * time.Hour, start, start})
			}
			token, _ := c.OpenCall(3)
			c.Record(Reading{token, tc.incarnation, 2 * time.Hour, start, start})
			is.Equal(c.IsSettled(token), tc.settled)
		})
	}
}

// TestReplacedWorkerHasRestarted guards against a worker that counts as settled when it returns to the address at which the process of another
// worker has answered: calls that were meant for its earlier process may still be on their way.
func TestReplacedWorkerHasRestarted(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := newTestClock(start)
	first, _ := c.OpenCall(3)
	is.True(c.IsSettled(first))
	for range 3 { // further responses of the other worker raise the token no more
		c.Drop()
	}
	token, _ := c.OpenCall(3)
	is.Equal(token, first+1)
	is.True(!c.IsSettled(token))
}

// TestTooManyRestarts guards against fencing tokens that reach those of a later owner, and against a worker that is used although its token can't be
// raised any more.
func TestTooManyRestarts(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := newTestClock(start)
	c.restarts = maxRestarts - 1
	now := start
	for range 3 {
		for range 2 { // the second answer has the token that was raised by the first one
			token, _ := c.OpenCall(3)
			c.Record(Reading{token, now.Add(time.Second), 0, now.Add(time.Second), now.Add(time.Second)})
		}
		now = now.Add(time.Second)
	}
	token, _ := c.OpenCall(3)
	is.True(!c.IsSettled(token))
	later, _ := c.OpenCall(4)
	is.True(later > token)
}

// TestReadingsEndWithTheirOwner guards against a deadline for the clock of a process that this host has called as an earlier owner: the worker may
// have restarted while another host was the owner.
func TestReadingsEndWithTheirOwner(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := newTestClock(start)
	earlier, _ := c.OpenCall(3)
	_, ok := c.GrantDeadline(start, time.Second)
	is.True(ok)
	expiry := c.LeaseExpiry()
	token, ok := c.OpenCall(5)
	is.True(ok)
	_, ok = c.GrantDeadline(start, time.Second)
	is.True(!ok)
	is.Equal(c.LeaseExpiry(), expiry)
	c.Record(Reading{earlier, start, time.Hour, start, start}) // of a call that was under way
	_, ok = c.GrantDeadline(start, time.Second)
	is.True(!ok)
	c.Record(Reading{token, start, time.Hour, start, start})
	is.True(c.IsSettled(token)) // calls under the earlier fence are refused
	_, ok = c.OpenCall(3)
	is.True(!ok)
}

// TestEarlierLeaseExpiry guards against a run that is given up while it lives, as a later process than the known one has accepted it: the answer to a start does
// not name the process, and its clock begins anywhere. Only if it is not behind the known one do this owner's deadlines bound its leases.
func TestEarlierLeaseExpiry(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cases := []struct {
		name     string
		clock    time.Duration
		sentAt   time.Time
		outdated bool // the token was raised meanwhile
		bounded  bool
	}{
		{"clock goes on", time.Hour + time.Second, at(time.Second), false, true},
		{"clock goes on, slowly", time.Hour + 980*time.Millisecond, at(time.Second), false, true},
		{"clock of a later process, ahead", time.Hour + 20*time.Minute, at(time.Second), false, true},
		{"clock of a later process, behind", 20 * time.Minute, at(time.Second), false, false},
		{"clock of a later process, behind by less than an answer may take", time.Hour + 500*time.Millisecond, at(time.Second), false, true},
		{"clock of a later process, behind by more", time.Hour + 485*time.Millisecond, at(time.Second), false, false},
		{"behind by more, the host was suspended after the call was stamped", time.Hour + 485*time.Millisecond, at(0), false, false},
		{"sent before the known reading was received", time.Hour + time.Second, at(-time.Millisecond), false, true},
		{"answer to a call with an outdated token", time.Hour + time.Second, at(time.Second), true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClock(start)
			n := Reading{Clock: tc.clock, SentAt: tc.sentAt, ReceivedAt: at(1010 * time.Millisecond)}
			n.Token, _ = c.OpenCall(3)
			if tc.outdated {
				c.recordRestart()
			}
			bound := c.EarlierLeaseExpiry(n)
			is.Equal(!bound.IsZero(), tc.bounded)
			is.True(!tc.bounded || !bound.Before(n.ReceivedAt.Add(c.maxLease*100/98)))
		})
	}
}

// TestClockBounds guards against a lease that outlives its recorded expiry: the deadline on the worker's clock must not be past the
// requested time, and the expiry must allow for a slow clock.
func TestClockBounds(t *testing.T) {
	is := is.New(t)
	c := New(6 * time.Second)
	start := time.Unix(1000, 0)
	record := func(incarnation time.Time, clock time.Duration, receivedAt time.Time) {
		c.Record(Reading{Incarnation: incarnation, Clock: clock, SentAt: receivedAt, ReceivedAt: receivedAt})
	}
	_, ok := c.GrantDeadline(start, time.Second)
	is.True(!ok)
	record(start, 10*time.Second, start)
	deadline, ok := c.GrantDeadline(start.Add(100*time.Second), time.Second)
	is.True(ok)
	is.Equal(deadline, 10*time.Second+98*time.Second+time.Second)
	is.True(!c.LeaseExpiry().Before(start.Add(100*time.Second + 1020*time.Millisecond)))
	expiry := c.LeaseExpiry()
	_, _ = c.GrantDeadline(start, time.Second) // an earlier deadline does not shorten the expiry
	is.Equal(c.LeaseExpiry(), expiry)
	record(start, 0, start.Add(time.Second)) // a reading that implies an earlier time is ignored
	is.Equal(c.reading, 10*time.Second)
	record(start.Add(2*time.Second), 0, start.Add(2*time.Second)) // another incarnation
	is.Equal(c.reading, time.Duration(0))
	c.Drop()
	_, ok = c.GrantDeadline(start, time.Second)
	is.True(!ok)
	is.Equal(c.LeaseExpiry(), expiry)
}

// TestClockOfRestartedWorker guards against leases that outlive their recorded expiry on a worker that has restarted under its ID: it
// takes a deadline for the clock of its earlier process, whose reading was higher, and limits it only to its longest lease.
func TestClockOfRestartedWorker(t *testing.T) {
	const maxLease = 6 * time.Second
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cases := []struct {
		name       string
		next       Reading
		wantLonger bool // the recorded expiry allows for the longest lease
		wantClock  bool // deadlines can be given, as there is a reading of the present clock
	}{
		{"same process", Reading{0, at(0), 61 * time.Second, at(time.Second), at(time.Second)}, false, true},
		{"same process, slow clock", Reading{0, time.Time{}, 60*time.Second + 980*time.Millisecond, at(time.Second), at(time.Second)}, false, true},
		{"response that names a later process", Reading{0, at(800 * time.Millisecond), 200 * time.Millisecond, at(time.Second), at(time.Second)}, true, true},
		{"response with the clock of a later process", Reading{0, time.Time{}, 200 * time.Millisecond, at(time.Second), at(time.Second)}, true, false},
		{"response with the clock of a later process, which is ahead", Reading{0, time.Time{}, time.Hour, at(time.Second), at(time.Second)}, true, false},
		{"response with the clock of a later process, which is ahead by 2 s", Reading{0, time.Time{}, 63 * time.Second, at(time.Second), at(time.Second)}, true, false},
		{"slow response with the clock of a later process, which is ahead", Reading{0, time.Time{}, time.Hour, at(-time.Second), at(time.Second)}, true, false},
		{"slow response of the same process", Reading{0, time.Time{}, 60 * time.Second, at(0), at(time.Second)}, false, true},
		{"response to an earlier request", Reading{0, at(-time.Minute), 59 * time.Second, at(-time.Second), at(time.Second)}, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := New(maxLease)
			c.Record(Reading{0, start, time.Minute, start, start})
			_, _ = c.GrantDeadline(start, time.Second)
			c.Record(tc.next)
			is.Equal(!c.LeaseExpiry().Before(tc.next.ReceivedAt.Add(maxLease)), tc.wantLonger)
			_, ok := c.GrantDeadline(at(time.Second), time.Second)
			is.Equal(ok, tc.wantClock)
		})
	}
}

// TestFirstResponseLeavesTheLongestLease guards against a task that runs twice on a worker which is cut off soon after a change of the owner: the
// former owner did not know that the worker had restarted, and its deadlines, for the clock of the earlier process, were granted the longest
// lease. The clock of the present process may show anything.
func TestFirstResponseLeavesTheLongestLease(t *testing.T) {
	const maxLease = 6 * time.Second
	start := time.Unix(1000, 0)
	cases := []struct {
		name     string
		clock    time.Duration // at the first response to the present owner
		earlier  bool          // this host was the owner before, and has read the clock then
		restarts int           // of the worker under the present owner, before that response
	}{
		{"clock near zero", 400 * time.Millisecond, false, 0},
		{"clock of minutes", 43 * time.Minute, false, 0},
		{"clock of hours", 117 * time.Minute, false, 0},
		{"clock of hours, called by this host before", 117 * time.Minute, true, 0},
		{"clock of hours, after a restart", 117 * time.Minute, false, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := New(maxLease)
			if tc.earlier {
				token, _ := c.OpenCall(2)
				c.Record(Reading{token, start, time.Hour, start, start})
			}
			for n := range tc.restarts {
				token, _ := c.OpenCall(3)
				c.Record(Reading{token, start.Add(time.Duration(n)), 5 * time.Hour, start, start})
			}
			token, _ := c.OpenCall(3)
			receivedAt := start.Add(20 * time.Second)
			c.Record(Reading{token, start.Add(19 * time.Second), tc.clock, receivedAt, receivedAt})
			is.True(!c.LeaseExpiry().Before(receivedAt.Add(maxLease * 100 / 98)))
		})
	}
}

// TestLateAnswerOfAnEarlierProcessRestoresNoReading guards against a lease on a restarted worker that outlives its recorded expiry: a late answer of
// the earlier process replaces the reading of the later one, and the next deadline is far ahead of its clock.
func TestLateAnswerOfAnEarlierProcessRestoresNoReading(t *testing.T) {
	const lease = time.Second
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	next := at(500 * time.Millisecond)
	cases := []struct {
		name  string
		later Reading // of the later process, which shows the restart
		late  Reading // of the earlier one, received afterwards
	}{
		{
			"answer to a start",
			Reading{Incarnation: next, Clock: 20 * time.Minute, SentAt: at(950 * time.Millisecond), ReceivedAt: at(time.Second)},
			Reading{Clock: time.Hour + 100*time.Millisecond, SentAt: at(100 * time.Millisecond), ReceivedAt: at(1500 * time.Millisecond)},
		},
		{
			"report, after a start has shown the restart",
			Reading{Clock: 20 * time.Minute, SentAt: at(950 * time.Millisecond), ReceivedAt: at(time.Second)},
			Reading{Incarnation: start, Clock: time.Hour + 100*time.Millisecond, SentAt: at(100 * time.Millisecond), ReceivedAt: at(1500 * time.Millisecond)},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClock(start)
			tc.later.Token, _ = c.OpenCall(3)
			tc.late.Token = tc.later.Token
			c.Record(tc.later)
			c.Record(tc.late)
			if deadline, ok := c.GrantDeadline(tc.late.ReceivedAt, lease); ok {
				is.True(deadline <= tc.later.Clock+tc.late.ReceivedAt.Sub(tc.later.SentAt)+lease)
			}
		})
	}
}

// TestRestartIsNoticedDuringALongPoll guards against a restarted worker that counts as settled: while its report was under way, it has answered
// a start, and that answer did not name the process.
func TestRestartIsNoticedDuringALongPoll(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	c := newTestClock(start)
	token, _ := c.OpenCall(3)
	answer := Reading{Token: token, Clock: time.Hour + 20*time.Minute, SentAt: at(1400 * time.Millisecond), ReceivedAt: at(1410 * time.Millisecond)}
	report := Reading{Token: token, Incarnation: at(500 * time.Millisecond), Clock: answer.Clock + 600*time.Millisecond, SentAt: at(time.Second), ReceivedAt: at(2 * time.Second)}
	c.Record(answer)
	c.Record(report)
	is.True(!c.IsSettled(token)) // calls to the earlier process have the same token
	is.True(!c.LeaseExpiry().Before(report.ReceivedAt.Add(c.maxLease)))
}

// TestRestartIsNoticedBesideAMatchingClock guards against a restarted worker that counts as settled: while its report was under way, it has answered a start,
// and its clock shows by chance what that of the earlier process would show.
func TestRestartIsNoticedBesideAMatchingClock(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	c := newTestClock(start)
	token, _ := c.OpenCall(3)
	answer := Reading{Token: token, Clock: time.Hour + 1405*time.Millisecond, SentAt: at(1400 * time.Millisecond), ReceivedAt: at(1410 * time.Millisecond)}
	report := Reading{Token: token, Incarnation: at(500 * time.Millisecond), Clock: answer.Clock + 600*time.Millisecond, SentAt: at(time.Second), ReceivedAt: at(2 * time.Second)}
	c.Record(answer)
	c.Record(report)
	is.True(!c.IsSettled(token))
	is.True(!c.LeaseExpiry().Before(report.ReceivedAt.Add(c.maxLease)))
}

// TestNamedReportReplacesAnUnnamedReading guards against deadlines far ahead of the present clock: a restart was noticed by the clock, a process that no
// response has named has answered a stop, and the first report that names a process is of the next one, whose clock is behind.
func TestNamedReportReplacesAnUnnamedReading(t *testing.T) {
	const lease = 3500 * time.Millisecond
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	c := newTestClock(start)
	token, _ := c.OpenCall(3)
	c.Record(Reading{Token: token, Clock: 3 * time.Hour, SentAt: at(time.Second), ReceivedAt: at(time.Second)}) // shows the restart
	token, _ = c.OpenCall(3)
	c.Record(Reading{Token: token, Clock: 3*time.Hour + 100*time.Millisecond, SentAt: at(1100 * time.Millisecond), ReceivedAt: at(1100 * time.Millisecond)})
	report := Reading{Token: token, Incarnation: at(1500 * time.Millisecond), Clock: 20 * time.Minute, SentAt: at(2 * time.Second), ReceivedAt: at(2 * time.Second)}
	c.Record(report)
	if deadline, ok := c.GrantDeadline(report.ReceivedAt, lease); ok {
		is.True(deadline <= report.Clock+lease)
	}
}
