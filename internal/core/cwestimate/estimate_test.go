package cwestimate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
)

// TestAdjustDemand asserts the bounds of the allocated memory for a constant usage.
func TestAdjustDemand(t *testing.T) {
	declared := cwmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1000, Slots: 1}
	cases := []struct {
		name    string
		used    cwmodel.Resources
		samples int
		least   int64 // adjusted memory demand
		most    int64
	}{
		{"too few samples", cwmodel.Resources{MemoryBytes: 100}, minSamples - 1, 1000, 1000},
		{"declared too large", cwmodel.Resources{MemoryBytes: 500}, minSamples, 500, 600},
		{"declared exactly", cwmodel.Resources{MemoryBytes: 1000}, minSamples, 1000, 1000},
		{"declared too small", cwmodel.Resources{MemoryBytes: 2000}, minSamples, 2000, 2200},
		{"never below a tenth", cwmodel.Resources{MemoryBytes: 1}, minSamples, 100, 100},
		{"never above four times", cwmodel.Resources{MemoryBytes: 9000}, minSamples, 4000, 4000},
		{"a report without figures is ignored", cwmodel.Resources{}, minSamples, 1000, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e Estimator
			for range c.samples {
				e.AddUsage(declared, c.used)
			}
			got := e.AdjustDemand(declared)
			is.True(got.MemoryBytes >= c.least)
			is.True(got.MemoryBytes <= c.most)
			is.Equal(got.MilliProcessors, int64(1000))
		})
	}
}

// TestRunTimes asserts the low and high run times of evenly spread samples.
func TestRunTimes(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for n := range 100 {
		e.AddRunTime(time.Duration(n+1) * 10 * time.Millisecond)
	}
	is.True(e.LowRunTime() >= 250*time.Millisecond)
	is.True(e.LowRunTime() <= 300*time.Millisecond)
	is.True(e.HighRunTime(0) >= 980*time.Millisecond)
}
