package cwevidence

import (
	"time"

	"currantward/internal/core/cwwork"
)

// Limits of the evidence against a task.
const (
	// earlyOfSuspect is the number of crashes within the CrashWindow that make a task a suspect.
	earlyOfSuspect = 1
	// crashesOfSuspect is the number of crashes at any time that make a task a suspect, which then stays isolated for longer.
	crashesOfSuspect = 3
	// requiredCrashes is the number of workers that must have crashed under a task before it is given up.
	requiredCrashes = 2
	// requiredAlone is the number of crashes that a task must have caused alone to be given up.
	requiredAlone = 2
	// requiredAloneInQueue is the same number while memoryPeriod lasts after givenUpInQueue other tasks of the queue were given up.
	requiredAloneInQueue = 1
	givenUpInQueue       = 2
	// requiredInGang is the number of crashes within the CrashWindow after which a member of a gang is given up: a gang can't be isolated.
	// requiredEarlyOfMax is the same number of maxCrashes.
	requiredInGang     = 4
	requiredEarlyOfMax = 3
	// suspectMargin is added to earlyOfSuspect, and aloneMargin to requiredAlone while fewer than manyCrashes have ended runs of the task, while
	// memoryPeriod lasts after a crash that no task has caused: workers crash by themselves, which makes the evidence weaker.
	suspectMargin = 1
	aloneMargin   = 1
	manyCrashes   = 4
	// maxCrashes is the number of crashes after which a task is given up whose evidence is weaker.
	maxCrashes = 5
	// memoryPeriod is how long the cause of a crash says something about those of others.
	memoryPeriod = 15 * time.Second
)

// Memory remembers the causes of recent crashes. The zero value remembers none.
type Memory struct {
	unrelatedAt time.Time                        // latest crash that no task has caused; zero: none
	givenUpAt   map[cwwork.QueueName][]time.Time // when the last givenUpInQueue tasks of each queue were given up
}

// RecordUnrelated records a crash that no task has caused.
func (m *Memory) RecordUnrelated(now time.Time) { m.unrelatedAt = now }

// hasUnrelated reports whether a crash that no task has caused is remembered.
func (m *Memory) hasUnrelated(now time.Time) bool {
	return !m.unrelatedAt.IsZero() && now.Sub(m.unrelatedAt) < memoryPeriod
}

// RecordGivenUp records that a task of the queue was given up.
func (m *Memory) RecordGivenUp(queue cwwork.QueueName, now time.Time) {
	if m.givenUpAt == nil {
		m.givenUpAt = map[cwwork.QueueName][]time.Time{}
	}
	list := append(m.givenUpAt[queue], now)
	m.givenUpAt[queue] = list[max(0, len(list)-givenUpInQueue):]
}

// HasGivenUp reports whether several tasks of the queue were given up a short time ago.
func (m *Memory) HasGivenUp(queue cwwork.QueueName, now time.Time) bool {
	list := m.givenUpAt[queue]
	return len(list) == givenUpInQueue && now.Sub(list[0]) < memoryPeriod
}

// IsSuspect reports whether a task with these losses may have crashed its workers.
func (m *Memory) IsSuspect(ls Losses, now time.Time) bool {
	required := earlyOfSuspect
	if m.hasUnrelated(now) {
		required += suspectMargin
	}
	return ls.Early() >= required || ls.StaysIsolated()
}

// StaysIsolated reports whether a task with these losses must be isolated for longer than its CrashWindow: crashes that it may have caused long
// after its start count against it, too.
func (ls Losses) StaysIsolated() bool { return ls.Crashes() >= crashesOfSuspect }

// IsCulprit reports whether the losses of a task are enough evidence that it crashes its workers. isolated tells whether it can be started in
// isolation.
func (m *Memory) IsCulprit(ls Losses, queue cwwork.QueueName, isolated bool, now time.Time) bool {
	crashed := ls.Crashed()
	if crashed.crashesUnder() < requiredCrashes {
		return false
	}
	if isolated {
		alone := crashed.count(func(l *Loss) bool { return l.Alone && l.Started })
		return len(crashed) >= maxCrashes || alone >= m.requiredAlone(queue, len(crashed), now)
	}
	if len(crashed) >= maxCrashes {
		return crashed.Early() >= requiredEarlyOfMax
	}
	return crashed.Early() >= requiredInGang && !m.hasUnrelated(now)
}

// requiredAlone returns the number of crashes that a task of the queue, whose runs a number of crashes have ended, must have caused alone to
// be given up.
func (m *Memory) requiredAlone(queue cwwork.QueueName, crashes int, now time.Time) int {
	switch {
	case m.hasUnrelated(now) && crashes < manyCrashes:
		return requiredAlone + aloneMargin
	case !m.hasUnrelated(now) && m.HasGivenUp(queue, now):
		return requiredAloneInQueue
	}
	return requiredAlone
}
