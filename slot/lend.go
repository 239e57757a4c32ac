package slot

import "slices"

// grant is a loan given to a peer.
type grant struct {
	id    uint64
	node  *node
	until int64
}

// receiveWant lends idle slots and remembers the rest of the want for a short time.
func (l *Pool) receiveWant(t int64, p *peer, m Want, out []Envelope) []Envelope {
	// After a loan term an earlier stamp is taken for that of a borrower whose clock was set back.
	stale := m.Sent <= p.wantSent && t < p.wantUntil+l.term
	if stale || !p.live {
		return out
	}
	repeated := p.want > 0
	p.wantSent, p.want, p.wantUntil = m.Sent, m.Count, t+int64(wantTerm)
	returned, out := l.returnWanted(p, m.Count, out)
	p.want -= returned
	count := min(m.Count-returned, l.spare(p))
	if m.Count == 0 || count == 0 && repeated {
		return out
	}
	return l.lend(t, p, count, out)
}

// spare is the number of idle slots that no other VM below its target claims.
func (l *Pool) spare(p *peer) int {
	if l.draining {
		return 0
	}
	spare := l.lendable - l.claim
	for _, other := range l.peers {
		if other != p {
			spare -= other.claim
		}
	}
	return max(0, spare)
}

// lend gives loans of up to count slots.
func (l *Pool) lend(t int64, p *peer, count int, out []Envelope) []Envelope {
	m := Lend{Epoch: l.config.Incarnation, Wanted: p.wantSent, First: p.lastGiven + 1}
	left := count
	for n := l.rings[owned].head; n != nil && left > 0; {
		next := n.links[owned].next
		if group := min(n.counted, left); group > 0 {
			l.give(t, p, n, group)
			m.Groups = append(m.Groups, Group{Endpoint: n.id, Count: group})
			left -= group
		}
		n = next
	}
	given := count - left
	p.want -= given
	p.claim = max(0, p.claim-given)
	l.yield = max(0, l.yield-given)
	m.Idle = l.spare(p)
	return append(out, Envelope{p.id, m})
}

// give records loans of slots of an endpoint.
func (l *Pool) give(t int64, p *peer, n *node, count int) {
	for range count {
		p.lastGiven++
		p.given = append(p.given, grant{id: p.lastGiven, node: n, until: t + l.term})
	}
	n.lent += count
	l.update(n)
}

// takeBack ends the loans to a peer for which ended returns true.
func (l *Pool) takeBack(p *peer, ended func(grant) bool) {
	p.given = slices.DeleteFunc(p.given, func(g grant) bool {
		if !ended(g) {
			return false
		}
		g.node.lent--
		l.update(g.node)
		return true
	})
}

// receiveRenew extends loans if the borrower holds the same ones; otherwise it asks which ones it holds.
func (l *Pool) receiveRenew(t int64, p *peer, m Renew, out []Envelope) []Envelope {
	if m.Epoch != l.config.Incarnation {
		return out
	}
	l.takeBack(p, func(g grant) bool { return g.until <= t })
	held, sum := 0, uint64(0)
	for _, g := range p.given {
		if g.id <= m.Through {
			held++
			sum += g.id
		}
	}
	same := held == m.Held && sum == m.Sum
	for i := range p.given {
		if same && p.given[i].id <= m.Through {
			p.given[i].until = t + l.term
		}
	}
	return append(out, Envelope{p.id, Renewed{Epoch: m.Epoch, Sent: m.Sent, Through: m.Through, Audit: !same}})
}

func (l *Pool) receiveReturn(p *peer, m Return) {
	if m.Epoch != l.config.Incarnation {
		return
	}
	l.takeBack(p, func(g grant) bool { return contains(m.Ranges, g.id) })
}

func (l *Pool) receiveHoldings(p *peer, m Holdings) {
	if m.Epoch != l.config.Incarnation {
		return
	}
	l.takeBack(p, func(g grant) bool { return g.id <= m.Through && !contains(m.Ranges, g.id) })
}

func contains(ranges []Range, id uint64) bool {
	for _, r := range ranges {
		if id >= r.First && id-r.First < r.Count {
			return true
		}
	}
	return false
}

// expire ends everything whose term is over.
func (l *Pool) expire(t int64) {
	for _, p := range l.peers {
		l.takeBack(p, func(g grant) bool { return g.until <= t })
		l.expireLoans(t, p)
		if p.wantUntil <= t {
			p.want = 0
		}
	}
	for _, n := range l.nodes {
		lapsed := len(n.foreign) > 0 && n.lapse(t)
		waited := n.waiting != 0 && n.waiting <= t
		if waited {
			n.waiting, n.frozen = 0, false
		}
		if lapsed || waited {
			l.update(n)
		}
	}
}
