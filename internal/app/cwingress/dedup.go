package cwingress

import (
	"sync"
	"time"

	"currantward/internal/core/cwmodel"
)

// acceptedFor is how long a task that a peer handed over is remembered at least; a transport repeats a call at once or never.
const acceptedFor = 10 * time.Second

// accepted remembers the tasks that peers handed over, in two generations, so that none is taken twice.
type accepted struct {
	mu      sync.Mutex
	young   map[cwmodel.TaskID]struct{}
	old     map[cwmodel.TaskID]struct{}
	rotated time.Time
}

// add remembers a task and reports whether it is new.
func (a *accepted) add(now time.Time, task cwmodel.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.young == nil || now.Sub(a.rotated) >= acceptedFor {
		a.old, a.young, a.rotated = a.young, map[cwmodel.TaskID]struct{}{}, now
	}
	_, isYoung := a.young[task]
	_, isOld := a.old[task]
	a.young[task] = struct{}{}
	return !isYoung && !isOld
}
