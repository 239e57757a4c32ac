package slot

// The kinds of rings.
const (
	owned = iota
	borrowed
)

// link is the place of an endpoint in a ring.
type link struct {
	next, prev *node
	in         bool
}

// ring is a list of endpoints with a slot to take.
type ring struct {
	kind       int
	head, tail *node
}

// set adds an endpoint to the end of the ring or removes it.
func (r *ring) set(n *node, in bool) {
	switch {
	case n.links[r.kind].in == in:
	case in:
		r.pushBack(n)
	default:
		r.remove(n)
	}
}

func (r *ring) pushBack(n *node) {
	n.links[r.kind] = link{prev: r.tail, in: true}
	if r.tail == nil {
		r.head = n
	} else {
		r.tail.links[r.kind].next = n
	}
	r.tail = n
}

func (r *ring) pushFront(n *node) {
	n.links[r.kind] = link{next: r.head, in: true}
	if r.head == nil {
		r.tail = n
	} else {
		r.head.links[r.kind].prev = n
	}
	r.head = n
}

func (r *ring) remove(n *node) {
	at := n.links[r.kind]
	if at.prev == nil {
		r.head = at.next
	} else {
		at.prev.links[r.kind].next = at.next
	}
	if at.next == nil {
		r.tail = at.prev
	} else {
		at.next.links[r.kind].prev = at.prev
	}
	n.links[r.kind] = link{}
}

// toBack moves an endpoint to the end, so that the next task goes to another one.
func (r *ring) toBack(n *node) {
	if n.links[r.kind].in {
		r.remove(n)
		r.pushBack(n)
	}
}

// toFront moves an endpoint to the front, so that loans that are not needed stay idle and are returned.
func (r *ring) toFront(n *node) {
	if n.links[r.kind].in {
		r.remove(n)
		r.pushFront(n)
	}
}
