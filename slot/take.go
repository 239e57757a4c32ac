package slot

import "time"

// TryAcquire gives an idle slot: owned ones first, spread over endpoints, then the borrowed ones that were used last.
func (l *Pool) TryAcquire(now time.Time) (Slot, bool) {
	t := l.observe(now)
	switch l.config.Policy {
	case TwoChoices:
		return l.takeTwoChoices()
	case Loans, FixedShare:
	}
	if l.ownTakeable() {
		n := l.rings[owned].head
		n.own++
		held := l.use(n, nil)
		l.rings[owned].toBack(n)
		return held, true
	}
	for n := l.rings[borrowed].head; n != nil; n = l.rings[borrowed].head {
		last := len(n.loans) - 1
		loan := n.loans[last]
		n.loans = n.loans[:last]
		if loan.until <= t {
			l.dropLoan(loan)
			l.update(n)
			continue
		}
		return l.use(n, loan), true
	}
	return Slot{}, false
}

// takeTwoChoices takes of two random endpoints the one with fewer tasks of this VM in flight.
func (l *Pool) takeTwoChoices() (Slot, bool) {
	if len(l.nodes) == 0 {
		return Slot{}, false
	}
	var best *node
	for range 2 {
		n := l.nodes[l.random.IntN(len(l.nodes))]
		open := n.own < n.slots && n.using < n.bound
		if open && (best == nil || n.own < best.own) {
			best = n
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.own++
	return l.use(best, nil), true
}

// use records a task on an endpoint.
func (l *Pool) use(n *node, loan *loan) Slot {
	if len(l.free) == 0 {
		l.uses = append(l.uses, use{})
		l.free = append(l.free, uint32(len(l.uses)-1))
	}
	index := l.free[len(l.free)-1]
	l.free = l.free[:len(l.free)-1]
	u := &l.uses[index]
	u.generation++
	u.node, u.loan, u.withheld = n, loan, false
	if loan != nil {
		loan.use = int32(index)
	}
	n.using++
	l.inUse++
	l.update(n)
	return Slot{ID: uint64(u.generation)<<32 | uint64(index), Endpoint: n.id}
}

// find returns the use of a slot, or nil if it has ended.
func (l *Pool) find(id uint64) *use {
	index := uint32(id)
	if int(index) >= len(l.uses) {
		return nil
	}
	u := &l.uses[index]
	if u.node == nil || u.generation != uint32(id>>32) {
		return nil
	}
	return u
}

// Release ends the use of a slot; an unknown or ended id has no effect.
func (l *Pool) Release(now time.Time, id uint64) {
	t := l.observe(now)
	if u := l.find(id); u != nil {
		l.release(t, uint32(id), u)
	}
}

func (l *Pool) release(t int64, index uint32, u *use) {
	n, loan := u.node, u.loan
	if u.withheld {
		l.withheld--
		n.withheld--
	} else {
		n.using--
		l.inUse--
	}
	u.node, u.loan = nil, nil
	l.free = append(l.free, index)
	if loan == nil {
		n.own--
	} else {
		l.rest(t, loan)
	}
	l.update(n)
	if loan != nil {
		l.rings[borrowed].toFront(n)
	}
}

// Withhold marks a slot whose task got no answer; it counts as occupied until ReleaseWithheld.
func (l *Pool) Withhold(now time.Time, id uint64) {
	l.observe(now)
	u := l.find(id)
	if u == nil || u.withheld {
		return
	}
	u.withheld = true
	u.node.using--
	l.inUse--
	l.withheld++
	u.node.withheld++
	l.update(u.node)
}

// ReleaseWithheld makes the withheld slots of an endpoint usable again.
func (l *Pool) ReleaseWithheld(now time.Time, endpoint string) {
	t := l.observe(now)
	if n := l.byID[endpoint]; n != nil {
		l.restore(t, n)
	}
}

func (l *Pool) restore(t int64, n *node) {
	for i := 0; n.withheld > 0 && i < len(l.uses); i++ {
		if u := &l.uses[i]; u.node == n && u.withheld {
			l.release(t, uint32(i), u)
		}
	}
}
