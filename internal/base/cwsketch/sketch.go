// Package cwsketch provides mergeable histograms of durations with bounded size and relative accuracy.
package cwsketch

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"

	"currantward/internal/base/cwfault"
)

// Accuracy is the maximum relative error of a quantile.
const Accuracy = 0.02

// maxBins bounds the size of a sketch. At this accuracy, values span a factor of a hundred million before the lowest bins
// collapse.
const maxBins = 512

// Sketch is a histogram of durations; its zero value is empty and ready to use.
type Sketch struct{ sketch *ddsketch.DDSketch }

// newStore returns an empty store of bins, which merges its lowest bins beyond maxBins.
func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

// newMapping returns the mapping from durations to bins.
func newMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil {
		panic(err) // fails only if the accuracy is out of range
	}
	return m
}

// Add adds a duration; a negative one counts as zero.
func (s *Sketch) Add(d time.Duration) {
	s.init()
	_ = s.sketch.Add(max(d, 0).Seconds())
}

// init creates the histogram on first use.
func (s *Sketch) init() {
	if s.sketch == nil {
		s.sketch = ddsketch.NewDDSketchFromStoreProvider(newMapping(), newStore)
	}
}

// Merge adds the durations of o.
func (s *Sketch) Merge(o Sketch) error {
	if o.sketch == nil {
		return nil
	}
	s.init()
	return s.sketch.MergeWith(o.sketch)
}

// Count returns the number of durations.
func (s *Sketch) Count() int64 {
	if s.sketch == nil {
		return 0
	}
	return int64(s.sketch.GetCount())
}

// Quantile returns the q-quantile of the durations, with q from 0 to 1, or zero if there are none or q is outside.
func (s *Sketch) Quantile(q float64) time.Duration {
	if s.Count() == 0 {
		return 0
	}
	seconds, err := s.sketch.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Encode returns the sketch as bytes, nil if it is empty.
func (s *Sketch) Encode() (data []byte) {
	if s.sketch != nil {
		s.sketch.Encode(&data, true)
	}
	return data
}

// Decode returns a sketch encoded by Encode.
func Decode(data []byte) (s Sketch, err error) {
	if len(data) == 0 {
		return s, nil
	}
	if s.sketch, err = ddsketch.DecodeDDSketch(data, newStore, newMapping()); err != nil {
		return Sketch{}, cwfault.New(cwfault.Invalid, "histogram: %v", err)
	}
	return s, nil
}
