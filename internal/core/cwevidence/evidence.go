// Package cwevidence weighs the crashes of workers as evidence against the tasks that ran there.
package cwevidence

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// CrashWindow is the time after its start within which a run is held responsible for a crash of its worker.
const CrashWindow = 300 * time.Millisecond

// maxUnprovenCrashes is the number of crashes, proven or not, after which a task waits until none of them is in doubt.
const maxUnprovenCrashes = 3

// Loss is a run that has ended with its worker, or may have.
type Loss struct {
	cwwork.LostRun
	RecordedAt time.Time
	Resumed    bool // the run resumed from a checkpoint
	Restored   bool // it was recorded under an earlier owner
}

// CrashKey identifies a crash by the incarnation that it has ended.
type CrashKey struct {
	Worker      cwmodel.HostID
	Incarnation int64 // its start, in Unix nanoseconds
}

// Crash returns the key of the crash that may have ended the run.
func (l *Loss) Crash() CrashKey { return CrashKey{l.Worker, l.Incarnation.UnixNano()} }

// Counts reports whether the loss is evidence against its task: the worker has crashed, or the run may have crashed it at its start.
func (l *Loss) Counts() bool { return l.Crashed || l.Early }

// Kind returns how certain the loss makes it that the run has crashed its worker: early or late, alone if no other run can have, and
// unanswered if it is not known to have started.
func (l *Loss) Kind() string {
	kind := "late"
	if l.Early {
		kind = "early"
	}
	if l.Alone {
		kind += "-alone"
	}
	if !l.Started {
		kind += "-unanswered"
	}
	return kind
}

// Losses are those of one task.
type Losses []Loss

// Find returns the loss of a run, or nil if there is none.
func (ls Losses) Find(run int) *Loss {
	for n := range ls {
		if ls[n].Run == run {
			return &ls[n]
		}
	}
	return nil
}

// Remove removes the loss of a run and returns it; ok is false if there is none.
func (ls *Losses) Remove(run int) (removed Loss, ok bool) {
	at := slices.IndexFunc(*ls, func(l Loss) bool { return l.Run == run })
	if at < 0 {
		return removed, false
	}
	removed = (*ls)[at]
	*ls = slices.Delete(*ls, at, at+1)
	return removed, true
}

// Early returns the number of losses within the CrashWindow, whether their workers are known to have crashed or not.
func (ls Losses) Early() int { return ls.count(func(l *Loss) bool { return l.Early }) }

// Crashed returns the losses whose workers are known to have crashed.
func (ls Losses) Crashed() (crashed Losses) {
	for n := range ls {
		if ls[n].Crashed {
			crashed = append(crashed, ls[n])
		}
	}
	return crashed
}

// Crashes returns the number of losses whose workers are known to have crashed.
func (ls Losses) Crashes() int { return ls.count(func(l *Loss) bool { return l.Crashed }) }

// crashesUnder returns the number of workers that are known to have crashed while they ran the task.
func (ls Losses) crashesUnder() int {
	return ls.count(func(l *Loss) bool { return l.Crashed && l.Started })
}

// AwaitsProof reports whether the task must not be started before it is known whether its earlier runs have crashed their workers.
func (ls Losses) AwaitsProof() bool { return len(ls) >= maxUnprovenCrashes && ls.Crashes() < len(ls) }

// IsUnanswered reports whether the run's order is one of an earlier owner that got no answer, and nothing is known of its worker since.
func (l *Loss) IsUnanswered() bool { return l.Restored && !l.Crashed && (!l.Started || l.Alone) }

// count returns the number of losses for which include returns true.
func (ls Losses) count(include func(l *Loss) bool) (n int) {
	for k := range ls {
		if include(&ls[k]) {
			n++
		}
	}
	return n
}

// String returns the run, worker, incarnation and kind of each loss.
func (ls Losses) String() string {
	parts := make([]string, 0, len(ls))
	for n := range ls {
		l := &ls[n]
		parts = append(parts, fmt.Sprintf("%d@%s/%d:%s", l.Run, l.Worker, l.Incarnation.UnixMilli(), l.Kind()))
	}
	return strings.Join(parts, ",")
}
