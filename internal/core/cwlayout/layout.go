// Package cwlayout divides workers, jobs and entry hosts among the cells of a deployment.
//
// A small deployment has one cell. Each cell has an owner of its own, so that decisions about many workers are made by
// several hosts.
package cwlayout

import (
	"hash/fnv"
	"strconv"

	"currantward/internal/core/cwmodel"
)

// Cell numbers the cells of a deployment from 0.
type Cell int

// RowName returns the name of one of the cell's own rows; the first cell's have no number.
func (c Cell) RowName(row string) string {
	if c == 0 {
		return row
	}
	return row + "-" + strconv.Itoa(int(c))
}

// Layout says how many cells there are; its zero value means one.
type Layout struct{ Cells int }

// Bounds of the number of cells, in workers. See docs/CAPACITY.md: one owner was measured to carry 1,000.
const (
	mostWorkers  = 1200 // above which one cell becomes several
	cellWorkers  = 800  // of each of them
	partsPerCell = 2    // at least, so that a cell's writes are spread
)

// RequiredCells returns how many cells a number of workers needs, of which each has some parts of the store.
func RequiredCells(workers, parts int) int {
	if workers <= mostWorkers {
		return 1
	}
	return max(1, min((workers+cellWorkers-1)/cellWorkers, parts/partsPerCell))
}

// CellCount returns the number of cells.
func (l Layout) CellCount() int { return max(l.Cells, 1) }

// CellOfPartition returns the cell that decides about the jobs of a part of the store.
func (l Layout) CellOfPartition(part int) Cell { return Cell(part % l.CellCount()) }

// CellOfWorker returns the cell of a worker. The workers of a rack belong to one cell, since gangs may want a rack to
// themselves.
func (l Layout) CellOfWorker(id cwmodel.HostID, rack string) Cell {
	if rack == "" {
		rack = string(id)
	}
	return Cell(Hash(rack) % uint32(l.CellCount()))
}

// CellOfHost returns the cell whose questions for advice go through an entry host.
func (l Layout) CellOfHost(id cwmodel.HostID) Cell {
	return Cell(Hash(string(id)) % uint32(l.CellCount()))
}

// PartitionOf returns the part of the store that holds the rows of a job.
func PartitionOf(id cwmodel.JobID, parts int) int {
	return int(Hash(string(id)) % uint32(max(parts, 1)))
}

// PartitionName returns the name of a part, of which there are less than a hundred.
func PartitionName(n int) string { return string([]byte{'p', '0' + byte(n/10), '0' + byte(n%10)}) }

// Hash divides names evenly, the same way on every host.
func Hash(text string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(text)) // a hash takes every write
	return sum.Sum32()
}
