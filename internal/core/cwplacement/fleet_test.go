package cwplacement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"currantward/internal/core/cwmodel"
)

// drawResources draws resources of up to limit in each dimension.
func drawResources(t *rapid.T, limit int64, label string) cwmodel.Resources {
	part := func() int64 { return rapid.Int64Range(0, limit).Draw(t, label) }
	return cwmodel.Resources{MilliProcessors: part(), MemoryBytes: part(), Accelerators: part() / 4, Slots: part()}
}

// TestFindMatchesScan guards against an index that misses a fitting worker, returns a cordoned or too small one, or
// miscounts the free capacity: after random changes it compares Find and Free with a scan of all workers.
func TestFindMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{OnViolation: func(message string) { t.Fatal(message) }}
		var nodes []*Node
		for n := range rapid.IntRange(1, 60).Draw(t, "workers") {
			capacity := cwmodel.Resources{MilliProcessors: 16, MemoryBytes: 16, Accelerators: int64(n % 3), Slots: 16}
			node := NewNode(cwmodel.Worker{ID: cwmodel.HostID(fmt.Sprint("w", n)), Capacity: capacity})
			f.Add(node)
			f.Uncordon(node)
			nodes = append(nodes, node)
		}
		taken := map[*Node][]cwmodel.Resources{}
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "worker")]
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				f.Cordon(n)
			case 1:
				f.Uncordon(n)
			case 2:
				if list := taken[n]; len(list) > 0 {
					f.Release(n, list[0])
					taken[n] = list[1:]
				}
			default:
				demand := drawResources(t, 8, "demand")
				if found := f.Find(demand, nil); found != nil {
					f.Allocate(found, demand)
					taken[found] = append(taken[found], demand)
				}
			}
			checkFind(t, f, nodes, drawResources(t, 16, "probe"))
		}
	})
}

func checkFind(t *rapid.T, f *Fleet, nodes []*Node, demand cwmodel.Resources) {
	exists := false
	var free cwmodel.Resources
	for _, n := range nodes {
		if n.IsSchedulable() {
			exists = exists || demand.FitsIn(n.Free())
			free = free.Add(n.Free())
		}
	}
	found := f.Find(demand, nil)
	if (found != nil) != exists {
		t.Fatalf("a worker that fits %+v exists: %v, but Find returned one: %v", demand, exists, found != nil)
	}
	if found != nil && (!found.IsSchedulable() || !demand.FitsIn(found.Free())) {
		t.Fatalf("Find returned worker %s, which is cordoned or does not fit the demand", found.Worker().ID)
	}
	if f.Free() != free {
		t.Fatalf("Free returned %+v, expected %+v", f.Free(), free)
	}
}

// TestAcceleratorReserve asserts that tasks without accelerators leave processors and memory for the free accelerators.
func TestAcceleratorReserve(t *testing.T) {
	capacity := cwmodel.Resources{MilliProcessors: 8, MemoryBytes: 8, Accelerators: 2, Slots: 8}
	cases := []struct {
		name   string
		keep   float64
		demand cwmodel.Resources
		found  bool
	}{
		{"no reserve", 0, cwmodel.Resources{MilliProcessors: 8}, true},
		{"above the half that is not reserved", 0.5, cwmodel.Resources{MilliProcessors: 5}, false},
		{"within the half that is not reserved", 0.5, cwmodel.Resources{MilliProcessors: 4}, true},
		{"a demand for accelerators may use the reserve", 0.5, cwmodel.Resources{MilliProcessors: 8, Accelerators: 1}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &Fleet{AcceleratorReserve: c.keep, OnViolation: func(message string) { t.Fatal(message) }}
			n := NewNode(cwmodel.Worker{ID: "w", Capacity: capacity})
			f.Add(n)
			f.Uncordon(n)
			is.New(t).Equal(f.Find(c.demand, nil) != nil, c.found)
		})
	}
}
