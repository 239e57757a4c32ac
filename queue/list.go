package queue

// link is the place of a job in a list.
type link struct {
	previous, next *link
	owner          *entry
}

// list is a doubly linked list of jobs whose links are part of the jobs, so that a removal needs no search.
type list struct{ head, tail *link }

func (l *list) pushBack(k *link, owner *entry) {
	*k = link{previous: l.tail, owner: owner}
	if l.tail == nil {
		l.head = k
	} else {
		l.tail.next = k
	}
	l.tail = k
}

func (l *list) pushFront(k *link, owner *entry) {
	*k = link{next: l.head, owner: owner}
	if l.head == nil {
		l.tail = k
	} else {
		l.head.previous = k
	}
	l.head = k
}

// remove takes a link out of the list that it is in.
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
