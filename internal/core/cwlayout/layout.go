// Package cwlayout assigns workers, jobs and entry hosts to the cells of a deployment.
//
// A small deployment has one cell. In a larger one each cell has its own owner, so that several hosts share the
// scheduling of many workers.
package cwlayout

import (
	"hash/fnv"
	"strconv"

	"currantward/internal/core/cwmodel"
)

// Cell is the number of a cell, from 0.
type Cell int

// RowName returns the cell's variant of a row name; rows of the first cell have no numeric suffix.
func (c Cell) RowName(row string) string {
	if c == 0 {
		return row
	}
	return row + "-" + strconv.Itoa(int(c))
}

// Layout is the division of a deployment into cells; the zero value has one cell.
type Layout struct{ Cells int }

// Sizing of cells. One owner carries 1,000 workers; see docs/CAPACITY.md.
const (
	maxSingleCellWorkers = 1200 // above this, the deployment is split into several cells
	workersPerCell       = 800  // target size after a split
	minPartitionsPerCell = 2    // spreads a cell's writes
)

// RequiredCells returns the number of cells for a number of workers, limited by the number of partitions of the store.
func RequiredCells(workers, partitions int) int {
	if workers <= maxSingleCellWorkers {
		return 1
	}
	return max(1, min((workers+workersPerCell-1)/workersPerCell, partitions/minPartitionsPerCell))
}

// Count returns the number of cells, at least one.
func (l Layout) Count() int { return max(l.Cells, 1) }

// CellOfPartition returns the cell that schedules the jobs of a partition of the store.
func (l Layout) CellOfPartition(partition int) Cell { return Cell(partition % l.Count()) }

// CellOfWorker returns the cell of a worker. All workers of a rack belong to one cell, since a gang may require that its
// tasks share a rack.
func (l Layout) CellOfWorker(id cwmodel.HostID, rack string) Cell {
	if rack == "" {
		rack = string(id)
	}
	return Cell(Hash(rack) % uint32(l.Count()))
}

// CellOfHost returns the cell whose advice requests an entry host sends.
func (l Layout) CellOfHost(id cwmodel.HostID) Cell { return Cell(Hash(string(id)) % uint32(l.Count())) }

// PartitionOf returns which of the n partitions of the store holds the rows of a job.
func PartitionOf(id cwmodel.JobID, n int) int { return int(Hash(string(id)) % uint32(max(n, 1))) }

// PartitionName returns the name of partition n, which must be below 100.
func PartitionName(n int) string { return string([]byte{'p', '0' + byte(n/10), '0' + byte(n%10)}) }

// Hash returns a hash of text that is uniform and the same on every host.
func Hash(text string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(text)) // a hash never returns an error
	return sum.Sum32()
}
