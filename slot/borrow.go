package slot

import (
	"cmp"
	"slices"
	"time"
)

// loan is a slot borrowed from a peer.
type loan struct {
	id        uint64
	lender    *peer
	node      *node
	until     int64 // the loan isn't used from this time on
	idleSince int64
	use       int32 // index of its use, -1 while idle
}

// request asks peers for up to twice the missing slots, so that an occupied peer rarely costs a second exchange.
func (l *Pool) request(t int64, wanted int, out []Envelope) []Envelope {
	if wanted <= 0 || l.takeable() {
		return l.withdraw(t, out)
	}
	missing, total := 2*wanted, 0
	for _, p := range l.peers {
		if p.live {
			total += p.owned
			missing -= p.pending(t)
		}
	}
	for i := range l.peers {
		p := l.peers[(l.askFrom+i)%len(l.peers)]
		if missing <= 0 {
			break
		}
		if !p.live || p.owned == 0 || !p.mayAsk(t) {
			continue
		}
		count := min(wanted, (2*wanted*p.owned+total-1)/total)
		missing -= count
		out = l.ask(t, p, count, out)
	}
	if len(l.peers) > 0 {
		l.askFrom = (l.askFrom + 1) % len(l.peers)
	}
	return out
}

// takeable reports whether TryAcquire would give a slot; queued tasks that leave it idle are held back by something else.
func (l *Pool) takeable() bool {
	return l.rings[borrowed].head != nil || l.ownTakeable()
}

// ownTakeable reports whether an owned slot is idle that isn't left to a peer below its target.
func (l *Pool) ownTakeable() bool {
	return l.rings[owned].head != nil && (l.yield == 0 || l.lendable > l.yield)
}

// pending is the number of slots that a peer may still lend in answer to a recent want.
func (p *peer) pending(t int64) int {
	if t-p.askedAt >= int64(wantAnswer) {
		return 0
	}
	return p.asked
}

// mayAsk limits the wants to a peer: one that is unanswered or remembered by the lender is repeated later.
func (p *peer) mayAsk(t int64) bool {
	since := t - p.askedAt
	if since < int64(wantInterval) {
		return false
	}
	return since >= int64(wantRepeat) || p.asked == 0 && (p.idle > 0 || p.open == 0)
}

func (l *Pool) ask(t int64, p *peer, count int, out []Envelope) []Envelope {
	p.asked = count
	if p.open > 0 {
		p.asked = 0 // the lender remembers the last want and answers this one only when it has slots
	}
	p.open, p.askedAt = count, t
	return append(out, Envelope{p.id, Want{Sent: stamp(t), Count: count}})
}

// withdraw tells lenders that remember a want that it no longer holds.
func (l *Pool) withdraw(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		since := t - p.askedAt
		if p.open == 0 || since < int64(wantInterval) {
			continue
		}
		if since < int64(wantTerm) {
			out = append(out, Envelope{p.id, Want{Sent: stamp(t)}})
		}
		p.asked, p.open, p.askedAt = 0, 0, t
	}
	return out
}

func (l *Pool) receiveLend(t int64, p *peer, m Lend, out []Envelope) []Envelope {
	if m.Epoch < p.epoch {
		return out
	}
	if m.Epoch > p.epoch {
		l.dropLoans(p)
		p.epoch, p.through, p.returns = m.Epoch, 0, nil
	}
	p.idle = m.Idle
	if m.Wanted >= stamp(p.askedAt) {
		p.asked = 0
	}
	if len(m.Groups) == 0 || m.First <= p.through {
		return out
	}
	if m.First > p.through+1 {
		// Loans of a lost or late message are returned, because renewing them unseen would keep their slots idle.
		p.returns = addRange(p.returns, p.through+1, m.First-p.through-1)
	}
	id := m.First
	until := m.Wanted*int64(time.Millisecond) + l.term - l.margin
	for _, g := range m.Groups {
		for range g.Count {
			l.accept(t, p, id, g.Endpoint, until)
			id++
		}
	}
	p.through = id - 1
	p.open = max(0, p.open-int(id-m.First))
	return out
}

// accept adds a loan, or returns it if it can't be used.
func (l *Pool) accept(t int64, p *peer, id uint64, endpoint string, until int64) {
	n := l.byID[endpoint]
	if n == nil || !n.listed || !p.live || until <= t || until > t+l.term {
		p.returns = addRange(p.returns, id, 1)
		return
	}
	p.taken = append(p.taken, &loan{id: id, lender: p, node: n, until: until, idleSince: t, use: -1})
	n.loans = append(n.loans, p.taken[len(p.taken)-1])
	l.update(n)
}

// rest makes a loan idle after its use, or returns it if it is recalled, lapsed or of a former owner.
func (l *Pool) rest(t int64, loan *loan) {
	loan.use = -1
	loan.idleSince = t
	p := loan.lender
	recalled := p.surrender > 0 && t < p.surrenderBy
	if recalled {
		p.surrender--
	}
	if recalled || loan.until <= t || l.unwanted(loan) {
		l.giveBack(loan)
		return
	}
	loan.node.loans = append(loan.node.loans, loan)
}

// unwanted reports whether an idle loan is returned without waiting.
func (l *Pool) unwanted(loan *loan) bool {
	return l.draining || loan.node.owner != loan.lender.id
}

// giveBack returns a loan that is not in a list of idle loans.
func (l *Pool) giveBack(loan *loan) {
	p := loan.lender
	p.returns = addRange(p.returns, loan.id, 1)
	l.dropLoan(loan)
}

// dropLoan forgets a loan that is not in a list of idle loans; a task on it goes on and occupies the slot.
func (l *Pool) dropLoan(loan *loan) {
	p := loan.lender
	if at, found := slices.BinarySearchFunc(p.taken, loan.id, compareLoan); found {
		p.taken = slices.Delete(p.taken, at, at+1)
	}
	l.orphan(loan)
}

func compareLoan(held *loan, id uint64) int { return cmp.Compare(held.id, id) }

// orphan turns the use of a forgotten loan into an occupied slot.
func (l *Pool) orphan(loan *loan) {
	if loan.use < 0 {
		return
	}
	l.uses[loan.use].loan = nil
	loan.use = -1
	loan.node.own++
	l.update(loan.node)
}

// filterLoans forgets the loans of a peer for which drop returns true and returns the idle ones of them.
func (l *Pool) filterLoans(p *peer, drop func(*loan) bool) {
	p.taken = slices.DeleteFunc(p.taken, func(held *loan) bool {
		if !drop(held) {
			return false
		}
		if held.use >= 0 {
			l.orphan(held)
			return true
		}
		n := held.node
		n.loans = slices.DeleteFunc(n.loans, func(other *loan) bool { return other == held })
		p.returns = addRange(p.returns, held.id, 1)
		l.update(n)
		return true
	})
}

// dropLoans forgets all loans of a peer.
func (l *Pool) dropLoans(p *peer) {
	l.filterLoans(p, func(*loan) bool { return true })
}

// expireLoans forgets the loans that were not renewed in time.
func (l *Pool) expireLoans(t int64, p *peer) {
	l.filterLoans(p, func(held *loan) bool { return held.until <= t })
}

// returnWanted returns idle loans to a lender that is short of slots itself.
func (l *Pool) returnWanted(p *peer, count int, out []Envelope) (int, []Envelope) {
	left := count
	l.filterLoans(p, func(held *loan) bool {
		if left == 0 || held.use >= 0 {
			return false
		}
		left--
		return true
	})
	if left == count {
		return 0, out
	}
	out = append(out, Envelope{p.id, Return{Epoch: p.epoch, Ranges: p.returns}})
	p.returns = nil
	return count - left, out
}

// returnIdle returns loans that are not needed and sends all returns.
func (l *Pool) returnIdle(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		l.filterLoans(p, func(held *loan) bool {
			return held.use < 0 && (l.unwanted(held) || t-held.idleSince >= int64(l.config.IdleTimeout))
		})
		if len(p.returns) > 0 && p.live {
			out = append(out, Envelope{p.id, Return{Epoch: p.epoch, Ranges: p.returns}})
		}
		p.returns = nil
	}
	return out
}

// renew asks lenders to extend the loans held.
func (l *Pool) renew(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		if len(p.taken) == 0 || !p.live || t < p.nextRenew {
			continue
		}
		p.nextRenew = t + int64(l.config.RenewInterval)
		sum := uint64(0)
		for _, loan := range p.taken {
			sum += loan.id
		}
		m := Renew{Epoch: p.epoch, Sent: stamp(t), Through: p.through, Held: len(p.taken), Sum: sum}
		out = append(out, Envelope{p.id, m})
	}
	return out
}

// receiveRenewed extends loans from the time at which their renewal was sent.
func (l *Pool) receiveRenewed(t int64, p *peer, m Renewed, out []Envelope) []Envelope {
	if m.Epoch != p.epoch || m.Sent > stamp(t) {
		return out
	}
	if m.Audit {
		return append(out, Envelope{p.id, p.holdings()})
	}
	until := m.Sent*int64(time.Millisecond) + l.term - l.margin
	for _, loan := range p.taken {
		if loan.id <= m.Through && loan.until > t {
			loan.until = max(loan.until, until)
		}
	}
	return out
}

// holdings lists the loans of a lender.
func (p *peer) holdings() Holdings {
	m := Holdings{Epoch: p.epoch, Through: p.through}
	for _, loan := range p.taken {
		m.Ranges = addRange(m.Ranges, loan.id, 1)
	}
	return m
}

// receiveRecall returns idle loans beyond those to keep and marks the others for return when their tasks end.
func (l *Pool) receiveRecall(t int64, p *peer, m Recall) {
	if m.Epoch != p.epoch {
		return
	}
	excess := -m.Keep
	for _, loan := range p.taken {
		if loan.id <= m.Through {
			excess++
		}
	}
	l.filterLoans(p, func(held *loan) bool {
		if excess <= 0 || held.use >= 0 || held.id > m.Through {
			return false
		}
		excess--
		return true
	})
	p.surrender = max(0, excess)
	p.surrenderBy = t + int64(recallTerm)
}

// addRange appends loan ids to ranges and joins neighbours.
func addRange(ranges []Range, first, count uint64) []Range {
	if last := len(ranges) - 1; last >= 0 && ranges[last].First+ranges[last].Count == first {
		ranges[last].Count += count
		return ranges
	}
	return append(ranges, Range{First: first, Count: count})
}
