// Package cwestimate estimates the run times and resource demands of a profile from its past tasks.
package cwestimate

import "math"

// Histogram counts positive samples in logarithmic buckets. Old samples lose weight over time.
type Histogram struct {
	counts [bucketCount]float64
	total  float64
}

const (
	bucketCount      = 256
	bucketsPerOctave = 8    // a bucket spans a factor of 2^(1/8)
	minExponent      = -64  // exponent, in eighths of an octave, of the first bucket
	decayThreshold   = 2000 // samples after which all counts are halved
	decayFactor      = 0.5
)

// Add adds one sample.
func (h *Histogram) Add(sample float64) {
	h.counts[bucketOf(sample)]++
	h.total++
	if h.total < decayThreshold {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= decayFactor
		h.total += h.counts[i]
	}
}

// Count returns the total weight of all samples. Each counts as 1 until it is halved by decay.
func (h *Histogram) Count() float64 { return h.total }

// Quantile returns an upper bound of the quantile q, at most one bucket too high, or 0 without samples.
func (h *Histogram) Quantile(q float64) float64 {
	if h.total == 0 {
		return 0
	}
	rank, sum := q*h.total, 0.0
	for i, count := range h.counts {
		sum += count
		if sum >= rank && count > 0 {
			return math.Exp2(float64(i+minExponent) / bucketsPerOctave)
		}
	}
	return math.Exp2(float64(bucketCount-1+minExponent) / bucketsPerOctave)
}

// bucketOf returns the index of a sample's bucket, clamped to the range of the histogram.
func bucketOf(sample float64) int {
	if sample <= 0 {
		return 0
	}
	at := int(math.Ceil(math.Log2(sample)*bucketsPerOctave)) - minExponent
	return min(max(at, 0), bucketCount-1)
}
