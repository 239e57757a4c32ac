package slot

import (
	"cmp"
	"slices"
)

// rebalance recalls loans according to the targets and lends idle slots to peers that still want some.
func (l *Pool) rebalance(t int64, wanted int, targets []Allocation, out []Envelope) []Envelope {
	l.setLendTargets(targets)
	l.setShortfalls(wanted, targets)
	out = l.recall(t, out)
	return l.serveWants(t, out)
}

// setLendTargets computes from the targets how many slots this VM should lend to each peer. What it owns beyond its own
// target goes to the peers that own less than theirs, in proportion, so that all owners agree without another message.
func (l *Pool) setLendTargets(targets []Allocation) {
	for _, p := range l.peers {
		p.lendTarget, p.target = 0, 0
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
			p.lendTarget = int(own * lack / max(surplus, need))
		}
	}
}

// setShortfalls computes how many slots each VM is missing from its target and how many this VM reserves for peers.
func (l *Pool) setShortfalls(wanted int, targets []Allocation) {
	l.shortfall, l.reservedForPeers = 0, 0
	claims, allotted := 0, 0
	for _, p := range l.peers {
		p.shortfall = max(0, min(p.openWant, p.lendTarget-len(p.lent)))
		claims += p.shortfall
		allotted += p.lendTarget
	}
	for _, target := range targets {
		if target.VM == l.config.VM {
			l.shortfall = max(0, min(wanted, int(target.Slots)-l.inUse))
		}
	}
	l.reservedForPeers = max(0, min(claims, l.ownUse-(l.ownedSlots-allotted)))
}

// recallHysteresis is the number of loans above the lend target that are not recalled.
func (p *peer) recallHysteresis() int { return 1 + p.lendTarget/8 }

// recall asks the peers furthest above their lend target to return the slots that others are missing.
func (l *Pool) recall(t int64, out []Envelope) []Envelope {
	lacking := l.shortfall - l.lendable
	for _, p := range l.peers {
		lacking += p.shortfall
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
		p.nextRecall = t + int64(minRecallInterval)
		m := Recall{Epoch: l.config.Incarnation, Through: p.lastLentID, Keep: len(p.lent) - part}
		out = append(out, Envelope{p.id, m})
	}
	return out
}

func (p *peer) excess() int { return len(p.lent) - p.lendTarget - p.recallHysteresis() }

// serveWants lends idle slots for remembered wants, first to peers below their lend target and then to the others.
func (l *Pool) serveWants(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		if count := min(p.shortfall, l.lendable); count > 0 && !l.draining {
			out = l.lend(t, p, count, out)
		}
	}
	for i := range l.peers {
		p := l.peers[(l.nextBorrower+i)%len(l.peers)]
		if count := min(p.openWant, l.lendableTo(p)); count > 0 {
			out = l.lend(t, p, count, out)
		}
	}
	if len(l.peers) > 0 {
		l.nextBorrower = (l.nextBorrower + 1) % len(l.peers)
	}
	return out
}
