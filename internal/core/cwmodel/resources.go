package cwmodel

import "fmt"

// Resources is a vector of capacity or demand.
type Resources struct {
	MilliProcessors int64 // thousandths of a processor
	MemoryBytes     int64
	Accelerators    int64
	Slots           int64 // number of concurrent tasks
	Connections     int64
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	r.MilliProcessors += o.MilliProcessors
	r.MemoryBytes += o.MemoryBytes
	r.Accelerators += o.Accelerators
	r.Slots += o.Slots
	r.Connections += o.Connections
	return r
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	r.MilliProcessors -= o.MilliProcessors
	r.MemoryBytes -= o.MemoryBytes
	r.Accelerators -= o.Accelerators
	r.Slots -= o.Slots
	r.Connections -= o.Connections
	return r
}

// Min returns the element-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliProcessors: min(r.MilliProcessors, o.MilliProcessors),
		MemoryBytes:     min(r.MemoryBytes, o.MemoryBytes),
		Accelerators:    min(r.Accelerators, o.Accelerators),
		Slots:           min(r.Slots, o.Slots),
		Connections:     min(r.Connections, o.Connections),
	}
}

// Scale returns r scaled by n.
func (r Resources) Scale(n int64) Resources {
	r.MilliProcessors *= n
	r.MemoryBytes *= n
	r.Accelerators *= n
	r.Slots *= n
	r.Connections *= n
	return r
}

// FitsIn reports whether r does not exceed free in any dimension.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliProcessors <= free.MilliProcessors &&
		r.MemoryBytes <= free.MemoryBytes &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}

// IsNonNegative reports whether no dimension is negative.
func (r Resources) IsNonNegative() bool { return Resources{}.FitsIn(r) }

// DominantShare returns the largest fraction that r takes of any dimension of total.
func (r Resources) DominantShare(total Resources) float64 {
	share := ratio(r.MilliProcessors, total.MilliProcessors)
	share = max(share, ratio(r.MemoryBytes, total.MemoryBytes))
	share = max(share, ratio(r.Accelerators, total.Accelerators))
	share = max(share, ratio(r.Slots, total.Slots))
	return max(share, ratio(r.Connections, total.Connections))
}

// ratio returns part/whole, or 0 if whole is not positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats processors, memory and accelerators for logs.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMiB/%d", r.MilliProcessors, r.MemoryBytes>>20, r.Accelerators)
}
