package cwplacement

import (
	"math"

	"currantward/internal/core/cwmodel"
)

// The tree is a treap: ordered by score from left to right, a heap by priority. Each node knows the
// largest free capacity of its subtree, so that a search passes over subtrees which cannot hold a demand.

func (n *Node) before(o *Node) bool {
	if n.score != o.score {
		return n.score < o.score
	}
	return n.worker.ID < o.worker.ID
}

// update recomputes what a node knows of its subtree.
func (n *Node) update() {
	n.most = n.free
	if n.left != nil {
		n.most = largest(n.most, n.left.most)
	}
	if n.right != nil {
		n.most = largest(n.most, n.right.most)
	}
}

func largest(a, b cwmodel.Resources) cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     max(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    max(a.Accelerators, b.Accelerators),
		Slots:           max(a.Slots, b.Slots),
		Connections:     max(a.Connections, b.Connections),
	}
}

func insert(root, n *Node) *Node {
	if root == nil {
		n.left, n.right = nil, nil
		n.update()
		return n
	}
	if n.priority > root.priority {
		n.left, n.right = split(root, n)
		n.update()
		return n
	}
	if n.before(root) {
		root.left = insert(root.left, n)
	} else {
		root.right = insert(root.right, n)
	}
	root.update()
	return root
}

// split parts a tree into what comes before a node and what comes after it.
func split(root, at *Node) (left, right *Node) {
	if root == nil {
		return nil, nil
	}
	if root.before(at) {
		root.right, right = split(root.right, at)
		root.update()
		return root, right
	}
	left, root.left = split(root.left, at)
	root.update()
	return left, root
}

func remove(root, n *Node) *Node {
	if root == n {
		return merge(n.left, n.right)
	}
	if n.before(root) {
		root.left = remove(root.left, n)
	} else {
		root.right = remove(root.right, n)
	}
	root.update()
	return root
}

// merge joins two trees of which all of the first comes before all of the second.
func merge(left, right *Node) *Node {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.update()
		return left
	}
	right.left = merge(left, right.left)
	right.update()
	return right
}

// candidates is how many of the fullest workers that hold a demand are compared.
const candidates = 32

// search looks for the worker that a demand leaves most balanced among the fullest that hold it.
type search struct {
	demand cwmodel.Resources
	accept func(*Node) bool
	left   int // candidates still to look at
	best   *Node
	least  float64
}

// find returns the best node for a demand, or nil.
func find(root *Node, demand cwmodel.Resources, accept func(*Node) bool) *Node {
	s := search{demand: demand, accept: accept, left: candidates}
	s.visit(root)
	return s.best
}

// visit looks at the nodes of a subtree from the fullest on.
func (s *search) visit(n *Node) {
	if n == nil || s.left == 0 || !s.demand.FitsIn(n.most) {
		return
	}
	s.visit(n.left)
	if s.left == 0 {
		return
	}
	if s.demand.FitsIn(n.free) && (s.accept == nil || s.accept(n)) {
		s.left--
		if waste := strandedBy(n, &s.demand); s.best == nil || waste < s.least {
			s.best, s.least = n, waste
		}
	}
	s.visit(n.right)
}

// strandedBy returns how unequal the free shares of processors and memory are after a placement,
// plus how much is left: both make it harder to fill the rest.
func strandedBy(n *Node, demand *cwmodel.Resources) float64 {
	processors := share(n.free.MilliProcessors-demand.MilliProcessors, n.worker.Capacity.MilliProcessors)
	memory := share(n.free.MemoryBytes-demand.MemoryBytes, n.worker.Capacity.MemoryBytes)
	return math.Abs(processors-memory) + balanceWeight*(processors+memory)
}

// balanceWeight weighs what is left against its imbalance.
const balanceWeight = 0.1

func last(root *Node) *Node {
	for root != nil && root.right != nil {
		root = root.right
	}
	return root
}

// emptiest returns the rightmost node whose capacity holds the demand.
func emptiest(root *Node, demand cwmodel.Resources) *Node {
	if root == nil {
		return nil
	}
	if n := emptiest(root.right, demand); n != nil {
		return n
	}
	if demand.FitsIn(root.worker.Capacity) {
		return root
	}
	return emptiest(root.left, demand)
}
