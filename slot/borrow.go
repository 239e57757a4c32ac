package slot

import (
	"cmp"
	"slices"
	"time"
)

// loanIn is a slot borrowed from a peer.
type loanIn struct {
	id        uint64
	lender    *peer
	endpoint  *endpointState
	until     int64 // the loan may not be used from this time on
	idleSince int64
	useIndex  int32 // index in Pool.uses, -1 while idle
}

// requestSlots asks peers for up to twice the missing slots, so that a busy peer rarely costs a second exchange.
func (l *Pool) requestSlots(t int64, wanted int, out []Envelope) []Envelope {
	if wanted <= 0 || l.canAcquire() {
		return l.withdrawWants(t, out)
	}
	missing, total := 2*wanted, 0
	for _, p := range l.peers {
		if p.live {
			total += p.owned
			missing -= p.pendingLoans(t)
		}
	}
	for i := range l.peers {
		p := l.peers[(l.nextLender+i)%len(l.peers)]
		if missing <= 0 {
			break
		}
		if !p.live || p.owned == 0 || !p.maySendWant(t) {
			continue
		}
		count := min(wanted, (2*wanted*p.owned+total-1)/total)
		missing -= count
		out = l.sendWant(t, p, count, out)
	}
	if len(l.peers) > 0 {
		l.nextLender = (l.nextLender + 1) % len(l.peers)
	}
	return out
}

// canAcquire reports whether TryAcquire would return a slot; tasks that are still queued then wait for something else.
func (l *Pool) canAcquire() bool {
	return l.available[borrowed].head != nil || l.canAcquireOwned()
}

// canAcquireOwned reports whether an owned slot is idle that isn't reserved for a peer below its target.
func (l *Pool) canAcquireOwned() bool {
	return l.available[owned].head != nil && (l.reservedForPeers == 0 || l.lendable > l.reservedForPeers)
}

// pendingLoans returns the number of slots that the peer may still lend in response to a recent want.
func (p *peer) pendingLoans(t int64) int {
	if t-p.lastWantAt >= int64(wantAnswerTimeout) {
		return 0
	}
	return p.unansweredWant
}

// maySendWant limits the rate of wants to a peer: a want that is unanswered or remembered by the lender is repeated
// only after wantRepeatInterval.
func (p *peer) maySendWant(t int64) bool {
	since := t - p.lastWantAt
	if since < int64(minWantInterval) {
		return false
	}
	return since >= int64(wantRepeatInterval) || p.unansweredWant == 0 && (p.lenderIdle > 0 || p.outstandingWant == 0)
}

func (l *Pool) sendWant(t int64, p *peer, count int, out []Envelope) []Envelope {
	p.unansweredWant = count
	if p.outstandingWant > 0 {
		p.unansweredWant = 0 // the lender remembers the last want and responds to this one only if it has idle slots
	}
	p.outstandingWant, p.lastWantAt = count, t
	return append(out, Envelope{p.id, Want{Sent: stamp(t), Count: count}})
}

// withdrawWants notifies lenders that may remember a want that it no longer applies.
func (l *Pool) withdrawWants(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		since := t - p.lastWantAt
		if p.outstandingWant == 0 || since < int64(minWantInterval) {
			continue
		}
		if since < int64(wantTTL) {
			out = append(out, Envelope{p.id, Want{Sent: stamp(t)}})
		}
		p.unansweredWant, p.outstandingWant, p.lastWantAt = 0, 0, t
	}
	return out
}

func (l *Pool) receiveLend(t int64, p *peer, m Lend, out []Envelope) []Envelope {
	if m.Epoch < p.lenderEpoch {
		return out
	}
	if m.Epoch > p.lenderEpoch {
		l.removeAllLoans(p)
		p.lenderEpoch, p.lastLoanID, p.returns = m.Epoch, 0, nil
	}
	p.lenderIdle = m.Idle
	if m.Wanted >= stamp(p.lastWantAt) {
		p.unansweredWant = 0
	}
	if len(m.Groups) == 0 || m.First <= p.lastLoanID {
		return out
	}
	if m.First > p.lastLoanID+1 {
		// Loans of a lost or late message are returned, because renewing loans that this VM doesn't know would keep
		// their slots idle.
		p.returns = addRange(p.returns, p.lastLoanID+1, m.First-p.lastLoanID-1)
	}
	id := m.First
	until := m.Wanted*int64(time.Millisecond) + l.loanTerm - l.margin
	for _, g := range m.Groups {
		for range g.Count {
			l.acceptLoan(t, p, id, g.Endpoint, until)
			id++
		}
	}
	p.lastLoanID = id - 1
	p.outstandingWant = max(0, p.outstandingWant-int(id-m.First))
	return out
}

// acceptLoan records a loan, or returns it if it can't be used.
func (l *Pool) acceptLoan(t int64, p *peer, id uint64, endpoint string, until int64) {
	n := l.byID[endpoint]
	if n == nil || !n.listed || !p.live || until <= t || until > t+l.loanTerm {
		p.returns = addRange(p.returns, id, 1)
		return
	}
	p.borrowed = append(p.borrowed, &loanIn{id: id, lender: p, endpoint: n, until: until, idleSince: t, useIndex: -1})
	n.loans = append(n.loans, p.borrowed[len(p.borrowed)-1])
	l.refreshCounts(n)
}

// loanIdle marks a loan as idle after its use, or returns it if it was recalled, has expired or belongs to a former
// owner.
func (l *Pool) loanIdle(t int64, loan *loanIn) {
	loan.useIndex = -1
	loan.idleSince = t
	p := loan.lender
	recalled := p.recalled > 0 && t < p.recallUntil
	if recalled {
		p.recalled--
	}
	if recalled || loan.until <= t || l.returnAtOnce(loan) {
		l.returnLoan(loan)
		return
	}
	loan.endpoint.loans = append(loan.endpoint.loans, loan)
}

// returnAtOnce reports whether an idle loan is returned without waiting for the idle timeout.
func (l *Pool) returnAtOnce(loan *loanIn) bool {
	return l.draining || loan.endpoint.owner != loan.lender.id
}

// returnLoan returns a loan that is not in a list of idle loans.
func (l *Pool) returnLoan(loan *loanIn) {
	p := loan.lender
	p.returns = addRange(p.returns, loan.id, 1)
	l.removeLoan(loan)
}

// removeLoan removes a loan that is not in a list of idle loans; a task on it continues and occupies the slot.
func (l *Pool) removeLoan(loan *loanIn) {
	p := loan.lender
	if at, found := slices.BinarySearchFunc(p.borrowed, loan.id, compareLoan); found {
		p.borrowed = slices.Delete(p.borrowed, at, at+1)
	}
	l.detachUse(loan)
}

func compareLoan(held *loanIn, id uint64) int { return cmp.Compare(held.id, id) }

// detachUse counts the task of a removed loan as use of the slot without a loan.
func (l *Pool) detachUse(loan *loanIn) {
	if loan.useIndex < 0 {
		return
	}
	l.uses[loan.useIndex].loan = nil
	loan.useIndex = -1
	loan.endpoint.unloanedUse++
	l.refreshCounts(loan.endpoint)
}

// removeLoans removes the loans of a peer for which drop returns true and schedules the idle ones for return.
func (l *Pool) removeLoans(p *peer, drop func(*loanIn) bool) {
	p.borrowed = slices.DeleteFunc(p.borrowed, func(held *loanIn) bool {
		if !drop(held) {
			return false
		}
		if held.useIndex >= 0 {
			l.detachUse(held)
			return true
		}
		n := held.endpoint
		n.loans = slices.DeleteFunc(n.loans, func(other *loanIn) bool { return other == held })
		p.returns = addRange(p.returns, held.id, 1)
		l.refreshCounts(n)
		return true
	})
}

// removeAllLoans removes all loans of a peer.
func (l *Pool) removeAllLoans(p *peer) {
	l.removeLoans(p, func(*loanIn) bool { return true })
}

// expireLoans removes the loans that were not renewed in time.
func (l *Pool) expireLoans(t int64, p *peer) {
	l.removeLoans(p, func(held *loanIn) bool { return held.until <= t })
}

// returnIdleTo returns up to count idle loans to a lender that needs slots itself.
func (l *Pool) returnIdleTo(p *peer, count int, out []Envelope) (int, []Envelope) {
	left := count
	l.removeLoans(p, func(held *loanIn) bool {
		if left == 0 || held.useIndex >= 0 {
			return false
		}
		left--
		return true
	})
	if left == count {
		return 0, out
	}
	out = append(out, Envelope{p.id, Return{Epoch: p.lenderEpoch, Ranges: p.returns}})
	p.returns = nil
	return count - left, out
}

// returnIdle returns loans that are not needed and sends the pending returns to live peers.
func (l *Pool) returnIdle(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		l.removeLoans(p, func(held *loanIn) bool {
			return held.useIndex < 0 && (l.returnAtOnce(held) || t-held.idleSince >= int64(l.config.IdleTimeout))
		})
		if len(p.returns) > 0 && p.live {
			out = append(out, Envelope{p.id, Return{Epoch: p.lenderEpoch, Ranges: p.returns}})
		}
		p.returns = nil
	}
	return out
}

// sendRenewals asks the lenders to extend the held loans.
func (l *Pool) sendRenewals(t int64, out []Envelope) []Envelope {
	for _, p := range l.peers {
		if len(p.borrowed) == 0 || !p.live || t < p.nextRenew {
			continue
		}
		p.nextRenew = t + int64(l.config.RenewInterval)
		sum := uint64(0)
		for _, loan := range p.borrowed {
			sum += loan.id
		}
		m := Renew{Epoch: p.lenderEpoch, Sent: stamp(t), Through: p.lastLoanID, Held: len(p.borrowed), Sum: sum}
		out = append(out, Envelope{p.id, m})
	}
	return out
}

// receiveRenewed extends loans, counted from the time at which the Renew was sent.
func (l *Pool) receiveRenewed(t int64, p *peer, m Renewed, out []Envelope) []Envelope {
	if m.Epoch != p.lenderEpoch || m.Sent > stamp(t) {
		return out
	}
	if m.Audit {
		return append(out, Envelope{p.id, p.holdings()})
	}
	until := m.Sent*int64(time.Millisecond) + l.loanTerm - l.margin
	for _, loan := range p.borrowed {
		if loan.id <= m.Through && loan.until > t {
			loan.until = max(loan.until, until)
		}
	}
	return out
}

// holdings lists the loans held from the lender.
func (p *peer) holdings() Holdings {
	m := Holdings{Epoch: p.lenderEpoch, Through: p.lastLoanID}
	for _, loan := range p.borrowed {
		m.Ranges = addRange(m.Ranges, loan.id, 1)
	}
	return m
}

// receiveRecall returns idle loans beyond the number to keep and marks the rest of the excess for return when their
// tasks end.
func (l *Pool) receiveRecall(t int64, p *peer, m Recall) {
	if m.Epoch != p.lenderEpoch {
		return
	}
	excess := -m.Keep
	for _, loan := range p.borrowed {
		if loan.id <= m.Through {
			excess++
		}
	}
	l.removeLoans(p, func(held *loanIn) bool {
		if excess <= 0 || held.useIndex >= 0 || held.id > m.Through {
			return false
		}
		excess--
		return true
	})
	p.recalled = max(0, excess)
	p.recallUntil = t + int64(recallTTL)
}

// addRange appends loan ids to ranges and merges adjacent ranges.
func addRange(ranges []Range, first, count uint64) []Range {
	if last := len(ranges) - 1; last >= 0 && ranges[last].First+ranges[last].Count == first {
		ranges[last].Count += count
		return ranges
	}
	return append(ranges, Range{First: first, Count: count})
}
