package cwplacement

import (
	"math"

	"currantward/internal/core/cwmodel"
)

// The tree is a treap: its nodes are ordered by free score from left (most allocated) to right, and by priority from the root
// down. Each node stores the largest free capacity in its subtree, so that a search skips subtrees in which a demand cannot
// fit.

// precedes orders nodes by free score, then by the worker's ID.
func (n *Node) precedes(o *Node) bool {
	if n.freeScore != o.freeScore {
		return n.freeScore < o.freeScore
	}
	return n.worker.ID < o.worker.ID
}

// updateMaxFree recomputes the largest free capacity in the subtree of a node.
func (n *Node) updateMaxFree() {
	n.maxFree = n.free
	if n.left != nil {
		n.maxFree = maxEach(n.maxFree, n.left.maxFree)
	}
	if n.right != nil {
		n.maxFree = maxEach(n.maxFree, n.right.maxFree)
	}
}

// maxEach returns the larger value of each dimension.
func maxEach(a, b cwmodel.Resources) cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     max(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    max(a.Accelerators, b.Accelerators),
		Slots:           max(a.Slots, b.Slots),
		Connections:     max(a.Connections, b.Connections),
	}
}

// insert adds a node to a tree and returns the new root.
func insert(root, n *Node) *Node {
	if root == nil {
		n.left, n.right = nil, nil
		n.updateMaxFree()
		return n
	}
	if n.priority > root.priority {
		n.left, n.right = split(root, n)
		n.updateMaxFree()
		return n
	}
	if n.precedes(root) {
		root.left = insert(root.left, n)
	} else {
		root.right = insert(root.right, n)
	}
	root.updateMaxFree()
	return root
}

// split splits a tree into the nodes that precede a node and the others.
func split(root, at *Node) (left, right *Node) {
	if root == nil {
		return nil, nil
	}
	if root.precedes(at) {
		root.right, right = split(root.right, at)
		root.updateMaxFree()
		return root, right
	}
	left, root.left = split(root.left, at)
	root.updateMaxFree()
	return left, root
}

// remove removes a node from a tree, which must contain it, and returns the new root.
func remove(root, n *Node) *Node {
	if root == n {
		return merge(n.left, n.right)
	}
	if n.precedes(root) {
		root.left = remove(root.left, n)
	} else {
		root.right = remove(root.right, n)
	}
	root.updateMaxFree()
	return root
}

// merge joins two trees; all nodes of left are ordered before all nodes of right.
func merge(left, right *Node) *Node {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.updateMaxFree()
		return left
	}
	right.left = merge(left, right.left)
	right.updateMaxFree()
	return right
}

// maxComparedNodes is the number of most allocated workers that fit a demand and are compared.
const maxComparedNodes = 32

// search finds, among the most allocated workers that fit a demand, the one that the demand leaves least fragmented.
type search struct {
	demand         cwmodel.Resources
	accept         func(*Node) bool // nil accepts all
	candidatesLeft int              // number of fitting nodes that may still be considered
	best           *Node
	lowestCost     float64 // fragmentation of best
}

// find returns the best node of a tree for a demand, or nil.
func find(root *Node, demand cwmodel.Resources, accept func(*Node) bool) *Node {
	s := search{demand: demand, accept: accept, candidatesLeft: maxComparedNodes}
	s.visit(root)
	return s.best
}

// visit considers the fitting nodes of a subtree, the most allocated first, and keeps the one that the demand leaves least
// fragmented. It stops after candidatesLeft nodes.
func (s *search) visit(n *Node) {
	if n == nil || s.candidatesLeft == 0 || !s.demand.FitsIn(n.maxFree) {
		return
	}
	s.visit(n.left)
	if s.candidatesLeft == 0 {
		return
	}
	if s.demand.FitsIn(n.free) && (s.accept == nil || s.accept(n)) {
		s.candidatesLeft--
		if cost := fragmentation(n, &s.demand); s.best == nil || cost < s.lowestCost {
			s.best, s.lowestCost = n, cost
		}
	}
	s.visit(n.right)
}

// fragmentation returns the cost of a placement: the difference between the free shares of processors and memory after it,
// plus their weighted sum. Both make the remaining capacity harder to fill.
func fragmentation(n *Node, demand *cwmodel.Resources) float64 {
	processors := share(n.free.MilliProcessors-demand.MilliProcessors, n.worker.Capacity.MilliProcessors)
	memory := share(n.free.MemoryBytes-demand.MemoryBytes, n.worker.Capacity.MemoryBytes)
	return math.Abs(processors-memory) + leftoverWeight*(processors+memory)
}

// leftoverWeight is the weight of the remaining capacity against its imbalance.
const leftoverWeight = 0.1

// rightmost returns the least allocated node of a tree, or nil if the tree is empty.
func rightmost(root *Node) *Node {
	for root != nil && root.right != nil {
		root = root.right
	}
	return root
}

// leastAllocated returns the least allocated node of a tree whose total capacity is large enough for the demand, or nil.
func leastAllocated(root *Node, demand cwmodel.Resources) *Node {
	if root == nil {
		return nil
	}
	if n := leastAllocated(root.right, demand); n != nil {
		return n
	}
	if demand.FitsIn(root.worker.Capacity) {
		return root
	}
	return leastAllocated(root.left, demand)
}
