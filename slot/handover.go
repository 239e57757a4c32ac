package slot

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// setOwner records the owner of an endpoint and starts or ends the ownership of this VM.
func (l *Pool) setOwner(t int64, n *endpointState, owner string) {
	if l.config.Policy != Loans {
		n.owner = owner
		return
	}
	mine := owner == l.config.VM
	switch {
	case mine && !n.ownedHere:
		l.startOwnership(t, n)
	case !mine && n.ownedHere:
		l.endOwnership(t, n)
	case !mine && owner != n.owner:
		n.announceUntil = 0 // the owner to which this VM handed over the endpoint announces its own release
		fallthrough
	case !mine:
		n.blockedUntil = 0
	}
	if owner != n.owner {
		n.releasedAt = 0
		l.handoverDirty = true
	}
	n.owner, n.ownedHere = owner, mine
	l.refreshCounts(n)
}

// startOwnership blocks the slots until the former owner's handover, or for one loan term, in which all loans of an
// unreachable owner end.
func (l *Pool) startOwnership(t int64, n *endpointState) {
	n.lostOwner = ""
	n.announceUntil = 0
	if n.owner == "" {
		return
	}
	if p := l.byPeer[n.owner]; p == nil || !p.live {
		n.lostOwner = n.owner
	}
	n.blockedUntil = t + l.loanTerm
	// The VM that released the endpoint may have become its owner again, and then uses it one term later unless it
	// learns of this change. So an older release counts only while views that lag by at most half a term agree in time.
	if n.releasedAt != 0 && t-n.releasedAt < l.loanTerm/2 {
		n.blockedUntil = 0
	}
}

// endOwnership starts announcing to the new owner that this VM gives out no more slots, unless it hadn't begun to.
func (l *Pool) endOwnership(t int64, n *endpointState) {
	if n.blockedUntil == 0 {
		n.ownerEpoch++
		n.announceUntil, n.releaseSent = t+int64(releaseRepeatTime), false
	}
	n.blockedUntil, n.blockedByPause = 0, false
}

// occupiedHere returns the number of slots that this VM reports to the owner: its tasks, its loans, and what peers
// other than the owner reported to it.
func (n *endpointState) occupiedHere() int {
	sum := n.unloanedUse + n.lent
	for _, f := range n.peerUses {
		if f.peer != n.owner {
			sum += f.count
		}
	}
	return sum
}

// sendHandovers reports to the owners of endpoints how many of their slots this VM occupies: changes at once, and
// everything every reportInterval.
func (l *Pool) sendHandovers(t int64, out []Envelope) []Envelope {
	all := t >= l.nextReport
	if !all && !l.handoverDirty {
		return out
	}
	if all {
		l.nextReport = t + int64(reportInterval)
	}
	l.handoverDirty = false
	for _, p := range l.peers {
		if !p.live {
			continue
		}
		if items := l.handoverItems(t, p, all); len(items) > 0 {
			out = append(out, Envelope{p.id, Handover{Sent: stamp(t), Items: items}})
		}
	}
	return out
}

func (l *Pool) handoverItems(t int64, p *peer, all bool) []Occupied {
	var items []Occupied
	for _, n := range l.endpoints {
		if n.ownedHere || n.owner != p.id {
			continue
		}
		count := n.occupiedHere()
		released := t < n.announceUntil
		due := all && (count > 0 || released) || count != n.reportedCount || released && !n.releaseSent
		if !due {
			continue
		}
		n.reportedCount, n.releaseSent = count, released
		if released {
			n.releasedAt = 0 // the release by an earlier owner is passed on with this one
		}
		item := Occupied{Endpoint: n.id, Count: count}
		if released {
			item.Release = n.ownerEpoch
		}
		items = append(items, item)
	}
	return items
}

// receiveHandover records the slots that a peer occupies; the record expires after one loan term unless the peer
// repeats it.
func (l *Pool) receiveHandover(t int64, p *peer, m Handover) {
	for _, item := range m.Items {
		n := l.byID[item.Endpoint]
		if n == nil || !n.setPeerUse(p.id, item.Count, m.Sent, t+l.loanTerm) {
			continue
		}
		// After a pause, a release may be old, and its sender may own the endpoint again; the peers answer whether that is so.
		if item.Release > n.ownerEpoch && l.resumedAt == 0 {
			n.ownerEpoch, n.releasedAt = item.Release, t
			n.blockedUntil, n.blockedByPause = 0, false
		}
		l.refreshCounts(n)
	}
}

// setPeerUse sets the number of slots that a peer occupies, unless a later message has already done so.
func (n *endpointState) setPeerUse(peer string, count int, sent, until int64) bool {
	at, found := slices.BinarySearchFunc(n.peerUses, peer, func(f peerUse, id string) int { return cmp.Compare(f.peer, id) })
	if !found {
		n.peerUses = slices.Insert(n.peerUses, at, peerUse{peer: peer})
	}
	f := &n.peerUses[at]
	if sent < f.sent {
		return false
	}
	f.count, f.sent, f.until = count, sent, until
	return true
}

// expirePeerUses deletes what peers no longer report and reports whether anything changed.
func (n *endpointState) expirePeerUses(t int64) bool {
	before := len(n.peerUses)
	n.peerUses = slices.DeleteFunc(n.peerUses, func(f peerUse) bool { return f.until <= t })
	return len(n.peerUses) != before
}

// handleClockPause drops all loans and blocks the owned slots, because peers may have taken the endpoints over during
// the pause.
func (l *Pool) handleClockPause(t int64) {
	peers := false
	for _, p := range l.peers {
		l.removeAllLoans(p)
		p.openWant, p.unansweredWant, p.outstandingWant, p.recalled = 0, 0, 0, 0
		p.confirmedClear, p.mustAnswer = false, l.config.Policy == Loans && (p.live || p.mustAnswer)
		peers = peers || p.mustAnswer
	}
	if !peers {
		return
	}
	l.resumedAt, l.nextResume = t, t
	for _, n := range l.endpoints {
		if n.ownedHere {
			// Slots that waited for the tasks of their former owner go on waiting when the peers have answered.
			n.blockedByPause = n.blockedUntil <= t || n.blockedByPause
			n.blockedUntil = t + l.loanTerm
			l.refreshCounts(n)
		}
	}
}

// sendResumes asks the peers whether they have taken over endpoints, until all have answered or the loan term is over.
func (l *Pool) sendResumes(t int64, out []Envelope) []Envelope {
	if l.resumedAt == 0 || t < l.nextResume {
		return out
	}
	if t >= l.resumedAt+l.loanTerm {
		l.resumedAt = 0
		for _, p := range l.peers {
			p.mustAnswer = false
		}
		return out
	}
	l.nextResume = t + int64(reportInterval)
	for _, p := range l.peers {
		if p.live && !p.confirmedClear {
			out = append(out, Envelope{p.id, Resume{Sent: stamp(t)}})
		}
	}
	return out
}

// tookOverNothing reports whether this VM owns no endpoint that it took over because the peer was unreachable.
func (l *Pool) tookOverNothing(p *peer) bool {
	for _, n := range l.endpoints {
		if n.ownedHere && n.lostOwner == p.id {
			return false
		}
	}
	return true
}

// receiveResumed unblocks the slots after a pause once every peer has answered that it took over nothing, also those that
// seem to be unreachable since the pause.
func (l *Pool) receiveResumed(p *peer, m Resumed) {
	if l.resumedAt == 0 || m.Sent < stamp(l.resumedAt) || !m.Clear {
		return
	}
	p.confirmedClear, p.mustAnswer = true, false
	for _, other := range l.peers {
		if other.mustAnswer || other.live && !other.confirmedClear {
			return
		}
	}
	l.resumedAt = 0
	for _, n := range l.endpoints {
		if n.blockedByPause {
			n.blockedUntil, n.blockedByPause = 0, false
			l.refreshCounts(n)
		}
	}
}

// applyStaticPolicy sets the slots for the policies without loans.
func (l *Pool) applyStaticPolicy() {
	if l.config.Policy == Loans {
		return
	}
	ids := []string{l.config.VM}
	for _, p := range l.peers {
		if p.live {
			ids = append(ids, p.id)
		}
	}
	slices.Sort(ids)
	position := slices.Index(ids, l.config.VM)
	l.ownedSlots = 0
	for _, n := range l.endpoints {
		if l.config.Policy == FixedShare {
			n.ownedHere = true
			n.slots = fixedShare(n.id, n.total, position, len(ids))
			l.ownedSlots += n.slots
		}
		l.refreshCounts(n)
	}
}

// fixedShare returns the number of slots of an endpoint for one VM; which VMs get the remainder of the division depends
// on the endpoint.
func fixedShare(endpoint string, total, position, count int) int {
	hash := fnv.New32a()
	hash.Write([]byte(endpoint))
	share := total / count
	if (position+int(hash.Sum32()%uint32(count)))%count < total%count {
		share++
	}
	return share
}
