package slot

import "time"

// TryAcquire returns an idle slot: owned ones first, spread over endpoints, then the most recently used borrowed ones.
// It returns false if none is available.
func (l *Pool) TryAcquire(now time.Time) (Slot, bool) {
	t := l.observeTime(now)
	switch l.config.Policy {
	case TwoChoices:
		return l.acquireTwoChoices()
	case Loans, FixedShare:
	}
	if l.canAcquireOwned() {
		n := l.available[owned].head
		n.unloanedUse++
		held := l.recordUse(n, nil)
		l.available[owned].toBack(n)
		return held, true
	}
	for n := l.available[borrowed].head; n != nil; n = l.available[borrowed].head {
		last := len(n.loans) - 1
		loan := n.loans[last]
		n.loans = n.loans[:last]
		if loan.until <= t {
			l.removeLoan(loan)
			l.refreshCounts(n)
			continue
		}
		return l.recordUse(n, loan), true
	}
	return Slot{}, false
}

// acquireTwoChoices takes a slot on the one of two random endpoints with fewer tasks of this VM in flight.
func (l *Pool) acquireTwoChoices() (Slot, bool) {
	if len(l.endpoints) == 0 {
		return Slot{}, false
	}
	var best *endpointState
	for range 2 {
		n := l.endpoints[l.random.IntN(len(l.endpoints))]
		open := n.unloanedUse < n.slots && n.inFlight < n.concurrencyLimit
		if open && (best == nil || n.unloanedUse < best.unloanedUse) {
			best = n
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.unloanedUse++
	return l.recordUse(best, nil), true
}

// recordUse records a task on an endpoint.
func (l *Pool) recordUse(n *endpointState, loan *loanIn) Slot {
	if len(l.free) == 0 {
		l.uses = append(l.uses, slotUse{})
		l.free = append(l.free, uint32(len(l.uses)-1))
	}
	index := l.free[len(l.free)-1]
	l.free = l.free[:len(l.free)-1]
	u := &l.uses[index]
	u.generation++
	u.endpoint, u.loan, u.withheld = n, loan, false
	if loan != nil {
		loan.useIndex = int32(index)
	}
	n.inFlight++
	l.inUse++
	l.refreshCounts(n)
	return Slot{ID: uint64(u.generation)<<32 | uint64(index), Endpoint: n.id}
}

// findUse returns the use with this id, or nil if it has ended.
func (l *Pool) findUse(id uint64) *slotUse {
	index := uint32(id)
	if int(index) >= len(l.uses) {
		return nil
	}
	u := &l.uses[index]
	if u.endpoint == nil || u.generation != uint32(id>>32) {
		return nil
	}
	return u
}

// Release ends the use of a slot; an unknown or ended id has no effect.
func (l *Pool) Release(now time.Time, id uint64) {
	t := l.observeTime(now)
	if u := l.findUse(id); u != nil {
		l.releaseUse(t, uint32(id), u)
	}
}

func (l *Pool) releaseUse(t int64, index uint32, u *slotUse) {
	n, loan := u.endpoint, u.loan
	if u.withheld {
		l.withheld--
		n.withheld--
	} else {
		n.inFlight--
		l.inUse--
	}
	u.endpoint, u.loan = nil, nil
	l.free = append(l.free, index)
	if loan == nil {
		n.unloanedUse--
	} else {
		l.loanIdle(t, loan)
	}
	l.refreshCounts(n)
	if loan != nil {
		l.available[borrowed].toFront(n)
	}
}

// Withhold marks a slot whose task got no response; the slot counts as occupied until ReleaseWithheld.
func (l *Pool) Withhold(now time.Time, id uint64) {
	l.observeTime(now)
	u := l.findUse(id)
	if u == nil || u.withheld {
		return
	}
	u.withheld = true
	u.endpoint.inFlight--
	l.inUse--
	l.withheld++
	u.endpoint.withheld++
	l.refreshCounts(u.endpoint)
}

// ReleaseWithheld makes the withheld slots of an endpoint usable again.
func (l *Pool) ReleaseWithheld(now time.Time, endpoint string) {
	t := l.observeTime(now)
	if n := l.byID[endpoint]; n != nil {
		l.releaseWithheld(t, n)
	}
}

func (l *Pool) releaseWithheld(t int64, n *endpointState) {
	for i := 0; n.withheld > 0 && i < len(l.uses); i++ {
		if u := &l.uses[i]; u.endpoint == n && u.withheld {
			l.releaseUse(t, uint32(i), u)
		}
	}
}
