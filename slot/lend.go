package slot

import "slices"

// loanOut is a loan given to a peer.
type loanOut struct {
	id       uint64
	endpoint *endpointState
	until    int64
}

// receiveWant lends idle slots and remembers the rest of the want for wantTTL.
func (l *Pool) receiveWant(t int64, p *peer, m Want, out []Envelope) []Envelope {
	// After one loan term without wants, an earlier stamp is attributed to a borrower whose clock was set back.
	stale := m.Sent <= p.wantStamp && t < p.wantUntil+l.loanTerm
	if stale || !p.live {
		return out
	}
	repeated := p.openWant > 0
	p.wantStamp, p.openWant, p.wantUntil = m.Sent, m.Count, t+int64(wantTTL)
	returned, out := l.returnIdleTo(p, m.Count, out)
	p.openWant -= returned
	count := min(m.Count-returned, l.lendableTo(p))
	if m.Count == 0 || count == 0 && repeated {
		return out
	}
	return l.lend(t, p, count, out)
}

// lendableTo returns the number of idle slots not needed by this VM or by other peers below their targets.
func (l *Pool) lendableTo(p *peer) int {
	if l.draining {
		return 0
	}
	spare := l.lendable - l.shortfall
	for _, other := range l.peers {
		if other != p {
			spare -= other.shortfall
		}
	}
	return max(0, spare)
}

// lend gives the peer up to count loans.
func (l *Pool) lend(t int64, p *peer, count int, out []Envelope) []Envelope {
	m := Lend{Epoch: l.config.Incarnation, Wanted: p.wantStamp, First: p.lastLentID + 1}
	left := count
	for n := l.available[owned].head; n != nil && left > 0; {
		next := n.links[owned].next
		if group := min(n.countedLendable, left); group > 0 {
			l.recordLoans(t, p, n, group)
			m.Groups = append(m.Groups, Group{Endpoint: n.id, Count: group})
			left -= group
		}
		n = next
	}
	given := count - left
	p.openWant -= given
	p.shortfall = max(0, p.shortfall-given)
	l.reservedForPeers = max(0, l.reservedForPeers-given)
	m.Idle = l.lendableTo(p)
	return append(out, Envelope{p.id, m})
}

// recordLoans records loans of slots of one endpoint.
func (l *Pool) recordLoans(t int64, p *peer, n *endpointState, count int) {
	for range count {
		p.lastLentID++
		p.lent = append(p.lent, loanOut{id: p.lastLentID, endpoint: n, until: t + l.loanTerm})
	}
	n.lent += count
	l.refreshCounts(n)
}

// endLoans ends the loans to a peer for which ended returns true.
func (l *Pool) endLoans(p *peer, ended func(loanOut) bool) {
	p.lent = slices.DeleteFunc(p.lent, func(g loanOut) bool {
		if !ended(g) {
			return false
		}
		g.endpoint.lent--
		l.refreshCounts(g.endpoint)
		return true
	})
}

// receiveRenew extends loans if the borrower holds the same ones; otherwise it asks the borrower which ones it holds.
func (l *Pool) receiveRenew(t int64, p *peer, m Renew, out []Envelope) []Envelope {
	if m.Epoch != l.config.Incarnation {
		return out
	}
	l.endLoans(p, func(g loanOut) bool { return g.until <= t })
	held, sum := 0, uint64(0)
	for _, g := range p.lent {
		if g.id <= m.Through {
			held++
			sum += g.id
		}
	}
	same := held == m.Held && sum == m.Sum
	for i := range p.lent {
		if same && p.lent[i].id <= m.Through {
			p.lent[i].until = t + l.loanTerm
		}
	}
	return append(out, Envelope{p.id, Renewed{Epoch: m.Epoch, Sent: m.Sent, Through: m.Through, Audit: !same}})
}

func (l *Pool) receiveReturn(p *peer, m Return) {
	if m.Epoch != l.config.Incarnation {
		return
	}
	l.endLoans(p, func(g loanOut) bool { return contains(m.Ranges, g.id) })
}

func (l *Pool) receiveHoldings(p *peer, m Holdings) {
	if m.Epoch != l.config.Incarnation {
		return
	}
	l.endLoans(p, func(g loanOut) bool { return g.id <= m.Through && !contains(m.Ranges, g.id) })
}

func contains(ranges []Range, id uint64) bool {
	for _, r := range ranges {
		if id >= r.First && id-r.First < r.Count {
			return true
		}
	}
	return false
}

// expire ends loans, wants, reports of peers and blocks whose time is over.
func (l *Pool) expire(t int64) {
	for _, p := range l.peers {
		l.endLoans(p, func(g loanOut) bool { return g.until <= t })
		l.expireLoans(t, p)
		if p.wantUntil <= t {
			p.openWant = 0
		}
	}
	for _, n := range l.endpoints {
		lapsed := len(n.peerUses) > 0 && n.expirePeerUses(t)
		waited := n.blockedUntil != 0 && n.blockedUntil <= t
		if waited {
			n.blockedUntil, n.blockedByPause = 0, false
		}
		if lapsed || waited {
			l.refreshCounts(n)
		}
	}
}
