package cwmetric

import "sync"

// unknownClass stands in for the class of a profile that is not in force.
const unknownClass = "unknown"

// overflow stands in for labels past the bound.
const overflow = "other"

// labelSet is the labels of one histogram.
type labelSet struct{ profile, class, team string }

// labelSets bounds how many sets of labels are published.
type labelSets struct {
	max   int
	mu    sync.Mutex
	known map[labelSet]bool
}

func newLabelSets(max int) *labelSets { return &labelSets{max: max, known: map[labelSet]bool{}} }

// of returns the set itself, or the overflow set once there are too many; the class is always kept.
func (l *labelSets) of(set labelSet) labelSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[set] && len(l.known) >= l.max {
		return labelSet{overflow, set.class, overflow}
	}
	l.known[set] = true
	return set
}
