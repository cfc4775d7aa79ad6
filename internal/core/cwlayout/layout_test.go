package cwlayout_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
)

// TestRequiredCells asserts the number of cells on both sides of each limit.
func TestRequiredCells(t *testing.T) {
	cases := []struct {
		name       string
		workers    int
		partitions int
		want       int
	}{
		{"none", 0, 32, 1},
		{"small", 350, 32, 1},
		{"limit of a single cell", 1200, 32, 1},
		{"above the limit of a single cell", 1201, 32, 2},
		{"many", 3000, 32, 4},
		{"a store with a single partition", 3000, 1, 1},
		{"partitions limit the cells", 100_000, 32, 16},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(cwlayout.RequiredCells(tc.workers, tc.partitions), tc.want)
		})
	}
}

// TestPartitionsAndRacksSpreadOverCells guards against an assignment that leaves a cell without partitions or racks, gives
// one cell far more than its share, or splits a rack between cells.
func TestPartitionsAndRacksSpreadOverCells(t *testing.T) {
	is := is.New(t)
	l := cwlayout.Layout{Cells: 4}
	partitions, racks := map[cwlayout.Cell]int{}, map[cwlayout.Cell]int{}
	for n := range 32 {
		partitions[l.CellOfPartition(n)]++
	}
	for n := range 250 {
		rack := fmt.Sprintf("r1-%d", n)
		racks[l.CellOfWorker("a", rack)]++
		is.Equal(l.CellOfWorker("a", rack), l.CellOfWorker("b", rack)) // a rack is never split
	}
	is.Equal(len(partitions), 4)
	is.Equal(len(racks), 4)
	for cell := range l.Count() {
		is.Equal(partitions[cwlayout.Cell(cell)], 8)
		is.True(racks[cwlayout.Cell(cell)] > 40)
	}
	is.Equal(cwlayout.Layout{}.CellOfWorker("a", "r"), cwlayout.Cell(0))
	is.Equal(cwlayout.Layout{}.CellOfPartition(31), cwlayout.Cell(0))
}

// TestRowAndPartitionNames asserts the names under which rows are stored.
func TestRowAndPartitionNames(t *testing.T) {
	is := is.New(t)
	is.Equal(cwlayout.Cell(0).RowName("lease"), "lease")
	is.Equal(cwlayout.Cell(3).RowName("lease"), "lease-3")
	is.Equal(cwlayout.PartitionName(7), "p07")
	is.Equal(cwlayout.PartitionName(cwlayout.PartitionOf(cwmodel.JobID("5c0e7a21d94b36f8"), 1)), "p00")
}
