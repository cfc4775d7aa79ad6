// Package cwsketch provides mergeable histograms of durations with bounded size and relative accuracy.
package cwsketch

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"

	"currantward/internal/base/cwfault"
)

// Accuracy is the largest relative error of a quantile.
const Accuracy = 0.02

// maxBins bounds the size; at this accuracy it spans a factor of a hundred million before the lowest bins collapse.
const maxBins = 512

// Sketch is a histogram of durations; its zero value is empty and ready to use.
type Sketch struct{ sketch *ddsketch.DDSketch }

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

func newMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil {
		panic(err) // only an accuracy out of range fails
	}
	return m
}

// Add counts one duration; a negative one counts as zero.
func (s *Sketch) Add(d time.Duration) {
	s.prepare()
	_ = s.sketch.Add(max(d, 0).Seconds())
}

func (s *Sketch) prepare() {
	if s.sketch == nil {
		s.sketch = ddsketch.NewDDSketchFromStoreProvider(newMapping(), newStore)
	}
}

// Merge adds what o counted.
func (s *Sketch) Merge(o Sketch) error {
	if o.sketch == nil {
		return nil
	}
	s.prepare()
	return s.sketch.MergeWith(o.sketch)
}

// Count returns how many durations were counted.
func (s *Sketch) Count() int64 {
	if s.sketch == nil {
		return 0
	}
	return int64(s.sketch.GetCount())
}

// Quantile returns the duration that the part q of all is at most; zero if nothing was counted.
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

// Encode returns the sketch as bytes; an empty one is nil.
func (s *Sketch) Encode() (data []byte) {
	if s.sketch != nil {
		s.sketch.Encode(&data, true)
	}
	return data
}

// Decode returns the sketch that Encode wrote.
func Decode(data []byte) (s Sketch, err error) {
	if len(data) == 0 {
		return s, nil
	}
	if s.sketch, err = ddsketch.DecodeDDSketch(data, newStore, newMapping()); err != nil {
		return Sketch{}, cwfault.New(cwfault.Invalid, "histogram: %v", err)
	}
	return s, nil
}
