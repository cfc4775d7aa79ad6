package cwevidence

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// losses returns a loss for each letter: e and l for early and late crashes, E and L for those that the task has caused alone, u for a crash before
// the start order was answered, and ? for a loss in its CrashWindow of which it is not known whether the worker has crashed.
func losses(letters string) (ls Losses) {
	for n, letter := range letters {
		ls = append(ls, Loss{LostRun: cwwork.LostRun{
			TaskRun: cwwork.TaskRun{Run: n + 1}, Worker: cwmodel.HostID("w"), Incarnation: time.UnixMilli(int64(n)),
			Early: letter != 'l' && letter != 'L', Alone: letter == 'E' || letter == 'L', Started: letter != 'u', Crashed: letter != '?',
		}})
	}
	return ls
}

// TestVerdict checks when a task is started in isolation and when it is given up. A mistake in one way gives up work that could be done, in the other
// it crashes further workers.
func TestVerdict(t *testing.T) {
	now := time.Unix(1000, 0)
	recent, old := now.Add(-memoryPeriod+time.Second), now.Add(-memoryPeriod)
	cases := []struct {
		name       string
		losses     string
		unrelated  time.Time   // of a crash that no task has caused; zero: none
		givenUp    []time.Time // of other tasks of the queue
		inGang     bool
		suspect    bool
		culprit    bool
		isolated   bool // stays isolated while it runs
		mustNotRun bool // before its losses are proven or dropped
	}{
		{name: "no loss"},
		{name: "one loss in doubt", losses: "?", suspect: true},
		{name: "one early crash", losses: "e", suspect: true},
		{name: "one late crash", losses: "l"},
		{name: "two late crashes", losses: "ll"},
		{name: "three late crashes", losses: "lll", suspect: true, isolated: true},
		{name: "an early crash beside an unrelated one", losses: "e", unrelated: recent},
		{name: "two early crashes beside an unrelated one", losses: "ee", unrelated: recent, suspect: true},
		{name: "an early crash after an unrelated one is forgotten", losses: "e", unrelated: old, suspect: true},
		{name: "caused one alone", losses: "eE", suspect: true},
		{name: "caused two alone", losses: "eEE", suspect: true, culprit: true, isolated: true},
		{name: "caused two alone, and no other", losses: "EE", suspect: true, culprit: true},
		{name: "caused two alone beside an unrelated one", losses: "eEE", unrelated: recent, suspect: true, isolated: true},
		{name: "caused two of four alone beside an unrelated one", losses: "eeEE", unrelated: recent, suspect: true, culprit: true, isolated: true},
		{name: "caused three alone beside an unrelated one", losses: "EEE", unrelated: recent, suspect: true, culprit: true, isolated: true},
		{name: "caused one alone after others of the queue", losses: "eE", givenUp: []time.Time{recent, now}, suspect: true, culprit: true},
		{name: "caused none alone after others of the queue", losses: "ee", givenUp: []time.Time{recent, now}, suspect: true},
		{name: "caused one alone after one other of the queue", losses: "eE", givenUp: []time.Time{now}, suspect: true},
		{name: "caused one alone after others of the queue, long ago", losses: "eE", givenUp: []time.Time{old, now}, suspect: true},
		{name: "caused one alone after others of the queue, beside an unrelated one", losses: "eE", unrelated: recent, givenUp: []time.Time{recent, now}, suspect: true},
		{name: "caused one alone, and no other, after others of the queue", losses: "E", givenUp: []time.Time{recent, now}, suspect: true},
		{name: "an order without an answer", losses: "u", suspect: true},
		{name: "an order without an answer, and caused one alone, after others of the queue", losses: "uE", givenUp: []time.Time{recent, now}, suspect: true},
		{name: "an order without an answer, and caused two alone", losses: "uEE", suspect: true, culprit: true, isolated: true},
		{name: "orders without an answer", losses: "uuuuu", suspect: true, isolated: true},
		{name: "late crashes, one alone", losses: "lllL", suspect: true, isolated: true},
		{name: "late crashes, two alone", losses: "lllLL", suspect: true, culprit: true, isolated: true},
		{name: "four crashes, none alone", losses: "elel", suspect: true, isolated: true},
		{name: "five crashes, none alone", losses: "elele", suspect: true, culprit: true, isolated: true},
		{name: "three losses, one in doubt", losses: "eE?", suspect: true, mustNotRun: true},
		{name: "two losses, one in doubt", losses: "e?", suspect: true},
		{name: "in a gang, three early crashes", losses: "eee", inGang: true, suspect: true, isolated: true},
		{name: "in a gang, four early crashes", losses: "eeee", inGang: true, suspect: true, culprit: true, isolated: true},
		{name: "in a gang, four early crashes beside an unrelated one", losses: "eeee", unrelated: recent, inGang: true, suspect: true, isolated: true},
		{name: "in a gang, three early crashes of five", losses: "elele", unrelated: recent, inGang: true, suspect: true, culprit: true, isolated: true},
		{name: "in a gang, two early crashes of five", losses: "elell", inGang: true, suspect: true, isolated: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var m Memory
			if !tc.unrelated.IsZero() {
				m.RecordUnrelated(tc.unrelated)
			}
			for _, at := range tc.givenUp {
				m.RecordGivenUp("q", at)
			}
			ls := losses(tc.losses)
			is.Equal(m.IsSuspect(ls, now), tc.suspect)
			is.Equal(m.IsCulprit(ls, "q", !tc.inGang, now), tc.culprit)
			is.Equal(ls.StaysIsolated(), tc.isolated)
			is.Equal(ls.AwaitsProof(), tc.mustNotRun)
			is.True(!m.HasGivenUp("other", now)) // another queue is not affected
		})
	}
}

// TestLossesAreDescribed checks what the log says of the crashes for which a task is given up.
func TestLossesAreDescribed(t *testing.T) {
	is := is.New(t)
	ls := losses("eL")
	is.Equal(ls.String(), "1@w/0:early,2@w/1:late-alone")
	is.Equal(losses("u").String(), "1@w/0:early-unanswered")
	removed, ok := ls.Remove(1)
	is.True(ok)
	is.True(removed.Counts())
	_, ok = ls.Remove(1)
	is.True(!ok)
	is.True(ls.Find(1) == nil)
	is.Equal(ls.Find(2).Run, 2)
}
