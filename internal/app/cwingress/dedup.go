package cwingress

import (
	"sync"
	"time"

	"currantward/internal/core/cwmodel"
)

// dedupWindow is the least time for which a forwarded task is recorded. A transport repeats a call at once or never.
const dedupWindow = 10 * time.Second

// recentTasks records the tasks that peers forwarded recently, so that none is accepted twice. The older of two sets is dropped after each
// dedupWindow.
type recentTasks struct {
	mu        sync.Mutex
	current   map[cwmodel.TaskID]struct{}
	previous  map[cwmodel.TaskID]struct{}
	rotatedAt time.Time
}

// add records a task and reports whether it is new. A record is kept for at least dedupWindow.
func (r *recentTasks) add(now time.Time, task cwmodel.TaskID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || now.Sub(r.rotatedAt) >= dedupWindow {
		r.previous, r.current, r.rotatedAt = r.current, map[cwmodel.TaskID]struct{}{}, now
	}
	_, inCurrent := r.current[task]
	_, inPrevious := r.previous[task]
	r.current[task] = struct{}{}
	return !inCurrent && !inPrevious
}
