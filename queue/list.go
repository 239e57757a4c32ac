package queue

// link is a node of a list, embedded in the job.
type link struct {
	previous, next *link
	owner          *jobEntry
}

// list is an intrusive doubly linked list of jobs, so that removing a job needs no search.
type list struct{ head, tail *link }

func (l *list) pushBack(k *link, owner *jobEntry) {
	*k = link{previous: l.tail, owner: owner}
	if l.tail == nil {
		l.head = k
	} else {
		l.tail.next = k
	}
	l.tail = k
}

func (l *list) pushFront(k *link, owner *jobEntry) {
	*k = link{next: l.head, owner: owner}
	if l.head == nil {
		l.tail = k
	} else {
		l.head.previous = k
	}
	l.head = k
}

// remove unlinks a node, which must be in this list.
func (l *list) remove(k *link) {
	if k.previous == nil {
		l.head = k.next
	} else {
		k.previous.next = k.next
	}
	if k.next == nil {
		l.tail = k.previous
	} else {
		k.next.previous = k.previous
	}
	*k = link{}
}
