package cwcapacity

import "currantward/internal/core/cwmodel"

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

// find returns the leftmost node that holds the demand.
func find(root *Node, demand cwmodel.Resources, accept func(*Node) bool) *Node {
	if root == nil || !demand.FitsIn(root.most) {
		return nil
	}
	if n := find(root.left, demand, accept); n != nil {
		return n
	}
	if demand.FitsIn(root.free) && (accept == nil || accept(root)) {
		return root
	}
	return find(root.right, demand, accept)
}

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
