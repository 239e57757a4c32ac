package slot

// Kinds of endpoint lists, by the slots that they offer.
const (
	owned = iota
	borrowed
)

// link is the node of an endpoint in an endpointList.
type link struct {
	next, prev *endpointState
	linked     bool
}

// endpointList is an intrusive doubly linked list of endpoints with an available slot.
type endpointList struct {
	kind       int
	head, tail *endpointState
}

// set appends an endpoint to the list or removes it.
func (r *endpointList) set(n *endpointState, in bool) {
	switch {
	case n.links[r.kind].linked == in:
	case in:
		r.pushBack(n)
	default:
		r.remove(n)
	}
}

func (r *endpointList) pushBack(n *endpointState) {
	n.links[r.kind] = link{prev: r.tail, linked: true}
	if r.tail == nil {
		r.head = n
	} else {
		r.tail.links[r.kind].next = n
	}
	r.tail = n
}

func (r *endpointList) pushFront(n *endpointState) {
	n.links[r.kind] = link{next: r.head, linked: true}
	if r.head == nil {
		r.tail = n
	} else {
		r.head.links[r.kind].prev = n
	}
	r.head = n
}

func (r *endpointList) remove(n *endpointState) {
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

// toBack moves an endpoint to the end, so that the next task goes to a different endpoint.
func (r *endpointList) toBack(n *endpointState) {
	if n.links[r.kind].linked {
		r.remove(n)
		r.pushBack(n)
	}
}

// toFront moves an endpoint to the front, so that the same loans are reused and surplus ones stay idle and are
// returned.
func (r *endpointList) toFront(n *endpointState) {
	if n.links[r.kind].linked {
		r.remove(n)
		r.pushFront(n)
	}
}
