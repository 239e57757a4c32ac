package placement

// ackLedger records which ended runs of one incarnation of a worker may be acknowledged. A worker forgets an acknowledged end, so an
// acknowledgement follows only once each end up to it is settled: its effect is stored, or it is known that nothing has to be stored.
type ackLedger struct {
	handled int64              // sequence of the last ended run that was processed
	acked   int64              // last sequence that was acknowledged to the worker
	settled int64              // no end up to this sequence is held
	held    map[int64]struct{} // ends that must not be acknowledged yet
}

func newAckLedger() ackLedger { return ackLedger{held: map[int64]struct{}{}} }

// hold prevents the acknowledgement of an end until it is settled.
func (l *ackLedger) hold(sequence int64) { l.held[sequence] = struct{}{} }

func (l *ackLedger) isHeld(sequence int64) bool {
	_, held := l.held[sequence]
	return held
}

// settle allows the acknowledgement of an end.
func (l *ackLedger) settle(sequence int64) { delete(l.held, sequence) }

// ackable returns the sequence of the last end that may be acknowledged.
func (l *ackLedger) ackable() int64 {
	if len(l.held) == 0 {
		l.settled = l.handled
	}
	for l.settled < l.handled && !l.isHeld(l.settled+1) {
		l.settled++
	}
	return min(l.settled, l.handled)
}

// unackable returns the number of listed ends that may not be acknowledged, since one of them is held.
func (l *ackLedger) unackable() int64 { return l.handled - l.ackable() }
