package slot

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// setOwner records the owner of an endpoint and starts or ends this VM's ownership.
func (l *Pool) setOwner(t int64, n *node, owner string) {
	if l.config.Policy != Loans {
		n.owner = owner
		return
	}
	mine := owner == l.config.VM
	switch {
	case mine && !n.mine:
		l.acquire(t, n)
	case !mine && n.mine:
		l.giveUp(t, n)
	case !mine && owner != n.owner:
		n.announce = 0 // the owner to which this VM gave up the endpoint announces its own end
		fallthrough
	case !mine:
		n.waiting = 0
	}
	if owner != n.owner {
		n.released = 0
		l.changed = true
	}
	n.owner, n.mine = owner, mine
	l.update(n)
}

// acquire waits for the handover of the former owner, or for a loan term in which all loans of a lost one end.
func (l *Pool) acquire(t int64, n *node) {
	n.lost = ""
	n.announce = 0
	if n.owner == "" {
		return
	}
	if p := l.byPeer[n.owner]; p == nil || !p.live {
		n.lost = n.owner
	}
	n.waiting = t + l.term
	// The VM that gave up the endpoint may have got it back and uses it a term later unless it learns of this change, so
	// an older release counts only while views that lag by half a term agree in time.
	if n.released != 0 && t-n.released < l.term/2 {
		n.waiting = 0
	}
}

// giveUp announces to the new owner that this VM gives out no more slots, unless it hadn't begun to.
func (l *Pool) giveUp(t int64, n *node) {
	if n.waiting == 0 {
		n.turn++
		n.announce, n.told = t+int64(releaseRepeat), false
	}
	n.waiting, n.frozen = 0, false
}

// remaining is the number of slots that this VM reports to the owner: its tasks, its loans, and what others reported here.
func (n *node) remaining() int {
	sum := n.own + n.lent
	for _, f := range n.foreign {
		if f.peer != n.owner {
			sum += f.count
		}
	}
	return sum
}

// reportOccupied tells the owners of endpoints how many of their slots this VM occupies: changes at once, all regularly.
func (l *Pool) reportOccupied(t int64, out []Envelope) []Envelope {
	all := t >= l.nextReport
	if !all && !l.changed {
		return out
	}
	if all {
		l.nextReport = t + int64(reportInterval)
	}
	l.changed = false
	for _, p := range l.peers {
		if !p.live {
			continue
		}
		if items := l.occupiedAt(t, p, all); len(items) > 0 {
			out = append(out, Envelope{p.id, Handover{Sent: stamp(t), Items: items}})
		}
	}
	return out
}

func (l *Pool) occupiedAt(t int64, p *peer, all bool) []Occupied {
	var items []Occupied
	for _, n := range l.nodes {
		if n.mine || n.owner != p.id {
			continue
		}
		count := n.remaining()
		released := t < n.announce
		due := all && (count > 0 || released) || count != n.announced || released && !n.told
		if !due {
			continue
		}
		n.announced, n.told = count, released
		if released {
			n.released = 0 // what others gave up to this VM is passed on
		}
		item := Occupied{Endpoint: n.id, Count: count}
		if released {
			item.Release = n.turn
		}
		items = append(items, item)
	}
	return items
}

// receiveHandover records what a peer occupies, which lapses after a loan term unless the peer repeats it.
func (l *Pool) receiveHandover(t int64, p *peer, m Handover) {
	for _, item := range m.Items {
		n := l.byID[item.Endpoint]
		if n == nil || !n.occupy(p.id, item.Count, m.Sent, t+l.term) {
			continue
		}
		if item.Release > n.turn {
			n.turn, n.released = item.Release, t
			n.waiting, n.frozen = 0, false
		}
		l.update(n)
	}
}

// occupy sets the number of slots that a peer occupies, unless a later message has done so.
func (n *node) occupy(peer string, count int, sent, until int64) bool {
	at, found := slices.BinarySearchFunc(n.foreign, peer, func(f foreign, id string) int { return cmp.Compare(f.peer, id) })
	if !found {
		n.foreign = slices.Insert(n.foreign, at, foreign{peer: peer})
	}
	f := &n.foreign[at]
	if sent < f.sent {
		return false
	}
	f.count, f.sent, f.until = count, sent, until
	return true
}

// lapse forgets what peers no longer report and reports whether something changed.
func (n *node) lapse(t int64) bool {
	before := len(n.foreign)
	n.foreign = slices.DeleteFunc(n.foreign, func(f foreign) bool { return f.until <= t })
	return len(n.foreign) != before
}

// freeze drops all loans and holds back owned slots, because peers may have taken them over in the meantime.
func (l *Pool) freeze(t int64) {
	for _, p := range l.peers {
		l.dropLoans(p)
		p.want, p.asked, p.open, p.surrender = 0, 0, 0, 0
		p.clear = false
	}
	if l.livePeers() == 0 || l.config.Policy != Loans {
		return
	}
	l.resumed, l.nextResume = t, t
	for _, n := range l.nodes {
		if n.mine {
			n.waiting, n.frozen = t+l.term, true
			l.update(n)
		}
	}
}

// resume asks the peers whether they have taken over endpoints, until all have answered or the loan term is over.
func (l *Pool) resume(t int64, out []Envelope) []Envelope {
	if l.resumed == 0 || t < l.nextResume {
		return out
	}
	if t >= l.resumed+l.term {
		l.resumed = 0
		return out
	}
	l.nextResume = t + int64(reportInterval)
	for _, p := range l.peers {
		if p.live && !p.clear {
			out = append(out, Envelope{p.id, Resume{Sent: stamp(t)}})
		}
	}
	return out
}

// tookNothing reports whether this VM owns no endpoint that it took over because the peer was lost.
func (l *Pool) tookNothing(p *peer) bool {
	for _, n := range l.nodes {
		if n.mine && n.lost == p.id {
			return false
		}
	}
	return true
}

// receiveResumed ends the wait after a freeze once every peer has answered that it took over nothing.
func (l *Pool) receiveResumed(p *peer, m Resumed) {
	if l.resumed == 0 || m.Sent < stamp(l.resumed) || !m.Clear {
		return
	}
	p.clear = true
	for _, other := range l.peers {
		if other.live && !other.clear {
			return
		}
	}
	l.resumed = 0
	for _, n := range l.nodes {
		if n.frozen {
			n.waiting, n.frozen = 0, false
			l.update(n)
		}
	}
}

// setShares sets the slots of the policies without loans.
func (l *Pool) setShares() {
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
	for _, n := range l.nodes {
		if l.config.Policy == FixedShare {
			n.mine = true
			n.slots = part(n.id, n.total, position, len(ids))
			l.ownedSlots += n.slots
		}
		l.update(n)
	}
}

// part is the share of a VM in the slots of an endpoint; the remainder goes to other VMs at each endpoint.
func part(endpoint string, total, position, count int) int {
	hash := fnv.New32a()
	hash.Write([]byte(endpoint))
	share := total / count
	if (position+int(hash.Sum32()%uint32(count)))%count < total%count {
		share++
	}
	return share
}
