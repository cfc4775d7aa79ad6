package cwmetric

import "sync"

// unknownClass is the class label of a profile that is not in the active configuration.
const unknownClass = "unknown"

// overflowLabel replaces the profile and team labels beyond the maximum number of label sets.
const overflowLabel = "other"

// labelSet is the set of labels of one series.
type labelSet struct{ profile, class, team string }

// labelSets bounds the number of label sets that are published.
type labelSets struct {
	max   int
	mu    sync.Mutex
	known map[labelSet]bool
}

func newLabelSets(max int) *labelSets { return &labelSets{max: max, known: map[labelSet]bool{}} }

// limit returns the labels to publish for set: set itself if it is known or there are fewer than max known sets, and it is then known.
// Otherwise it returns the overflow set of the same class.
func (l *labelSets) limit(set labelSet) labelSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[set] && len(l.known) >= l.max {
		return labelSet{overflowLabel, set.class, overflowLabel}
	}
	l.known[set] = true
	return set
}
