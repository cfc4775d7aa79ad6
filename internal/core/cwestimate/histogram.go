// Package cwestimate learns run times and sizes of profiles from what their tasks were seen to do.
package cwestimate

import "math"

// Histogram counts positive samples in buckets of constant ratio and forgets old ones.
type Histogram struct {
	counts [buckets]float64
	total  float64
}

const (
	buckets    = 256
	perOctave  = 8    // a bucket spans a factor of 2^(1/8)
	lowest     = -64  // exponent, in eighths of an octave, of the first bucket
	memory     = 2000 // samples after which all counts are halved
	halfRetain = 0.5
)

// Add counts one sample.
func (h *Histogram) Add(sample float64) {
	h.counts[bucketOf(sample)]++
	h.total++
	if h.total < memory {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= halfRetain
		h.total += h.counts[i]
	}
}

// Count returns the weight of all samples.
func (h *Histogram) Count() float64 { return h.total }

// Quantile returns an upper bound of the quantile q that is at most one bucket too high, or 0 without samples.
func (h *Histogram) Quantile(q float64) float64 {
	if h.total == 0 {
		return 0
	}
	rank, sum := q*h.total, 0.0
	for i, count := range h.counts {
		sum += count
		if sum >= rank && count > 0 {
			return math.Exp2(float64(i+lowest) / perOctave)
		}
	}
	return math.Exp2(float64(buckets-1+lowest) / perOctave)
}

func bucketOf(sample float64) int {
	if sample <= 0 {
		return 0
	}
	at := int(math.Ceil(math.Log2(sample)*perOctave)) - lowest
	return min(max(at, 0), buckets-1)
}
