package slot

import (
	"cmp"
	"slices"
)

// balance recalls loans toward the targets and lends idle slots to peers that still want some.
func (l *Pool) balance(t int64, wanted int, targets []Allocation, out []Envelope) []Envelope {
	l.setAllotments(targets)
	l.setClaims(wanted, targets)
	out = l.recall(t, out)
	return l.serve(t, out)
}

// setAllotments derives from the targets how many slots this VM should lend to each peer: what it owns beyond its own
// target goes to the peers that own less than theirs, in proportion, so all owners agree without another message.
func (l *Pool) setAllotments(targets []Allocation) {
	for _, p := range l.peers {
		p.allotment, p.target = 0, 0
	}
	surplus, own, need := 0.0, 0.0, 0.0
	for _, target := range targets {
		have := l.ownedSlots
		if p := l.byPeer[target.VM]; p != nil {
			p.target = target.Slots
			have = p.owned
		} else if target.VM != l.config.VM {
			continue
		}
		rest := float64(have) - target.Slots
		surplus += max(0, rest)
		need += max(0, -rest)
		if target.VM == l.config.VM {
			own = max(0, rest)
		}
	}
	for _, p := range l.peers {
		if lack := p.target - float64(p.owned); lack > 0 && own > 0 {
			p.allotment = int(own * lack / max(surplus, need))
		}
	}
}

// setClaims computes what each VM lacks of its target and how many slots this VM leaves to others.
func (l *Pool) setClaims(wanted int, targets []Allocation) {
	l.claim, l.yield = 0, 0
	claims, allotted := 0, 0
	for _, p := range l.peers {
		p.claim = max(0, min(p.want, p.allotment-len(p.given)))
		claims += p.claim
		allotted += p.allotment
	}
	for _, target := range targets {
		if target.VM == l.config.VM {
			l.claim = max(0, min(wanted, int(target.Slots)-l.inUse))
		}
	}
	l.yield = max(0, min(claims, l.ownUse-(l.ownedSlots-allotted)))
}

// slack is the hysteresis of recalls: loans up to this number above the allotment stay.
func (p *peer) slack() int { return 1 + p.allotment/8 }

// recall asks the peers furthest above their allotment for what others claim.
func (l *Pool) recall(t int64, out []Envelope) []Envelope {
	lacking := l.claim - l.lendable
	for _, p := range l.peers {
		lacking += p.claim
	}
	if lacking <= 0 {
		return out
	}
	above := slices.Clone(l.peers)
	slices.SortStableFunc(above, func(a, b *peer) int { return cmp.Compare(b.excess(), a.excess()) })
	for _, p := range above {
		part := min(lacking, p.excess())
		if part <= 0 {
			break
		}
		lacking -= part
		if t < p.nextRecall || !p.live {
			continue
		}
		p.nextRecall = t + int64(recallInterval)
		m := Recall{Epoch: l.config.Incarnation, Through: p.lastGiven, Keep: len(p.given) - part}
		out = append(out, Envelope{p.id, m})
	}
	return out
}

func (p *peer) excess() int { return len(p.given) - p.allotment - p.slack() }

// serve lends idle slots to remembered wants: first to peers below their allotment, then to the others.
func (l *Pool) serve(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		if count := min(p.claim, l.lendable); count > 0 && !l.draining {
			out = l.lend(t, p, count, out)
		}
	}
	for i := range l.peers {
		p := l.peers[(l.serveFrom+i)%len(l.peers)]
		if count := min(p.want, l.spare(p)); count > 0 {
			out = l.lend(t, p, count, out)
		}
	}
	if len(l.peers) > 0 {
		l.serveFrom = (l.serveFrom + 1) % len(l.peers)
	}
	return out
}
