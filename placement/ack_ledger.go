package placement

import "math"

// ackLedger records which ended runs of one incarnation of a worker may be acknowledged. A worker forgets an acknowledged end, so an
// acknowledgement follows only once each end up to it is settled: its effect is stored, or it is known that nothing has to be stored.
type ackLedger struct {
	handled int64              // sequence of the last ended run that was processed
	acked   int64              // last sequence that was acknowledged to the worker
	held    map[int64]struct{} // ends that must not be acknowledged yet
	lowest  int64              // of the held ends, 0 if it has to be determined
}

func newAckLedger() ackLedger { return ackLedger{held: map[int64]struct{}{}} }

// hold prevents the acknowledgement of an end until it is settled.
func (l *ackLedger) hold(sequence int64) {
	l.held[sequence] = struct{}{}
	l.lowest = min(l.lowest, sequence)
}

func (l *ackLedger) isHeld(sequence int64) bool {
	_, held := l.held[sequence]
	return held
}

// settle allows the acknowledgement of an end.
func (l *ackLedger) settle(sequence int64) {
	delete(l.held, sequence)
	if sequence == l.lowest {
		l.lowest = 0
	}
}

// ackable returns the sequence of the last end that may be acknowledged.
func (l *ackLedger) ackable() int64 {
	if len(l.held) == 0 {
		return l.handled
	}
	if l.lowest == 0 {
		l.lowest = math.MaxInt64
		for sequence := range l.held {
			l.lowest = min(l.lowest, sequence)
		}
	}
	return min(l.lowest-1, l.handled)
}

// unackable returns the number of listed ends that may not be acknowledged, since one of them is held.
func (l *ackLedger) unackable() int64 { return l.handled - l.ackable() }

// logHeldAcks logs when a worker gets no more tasks because its ends may not be acknowledged, and when it does again.
func (s *Scheduler) logHeldAcks(w *workerState) {
	full := w.acks.unackable() >= maxUnackable
	if full == w.acksFull {
		return
	}
	w.acksFull = full
	event, reason := "acks-released", ""
	if full {
		event, reason = "acks-held", "too many ends of the worker wait for the store"
	}
	s.logEvent(event, "", w.ID, reason, map[string]int64{"unackable": w.acks.unackable(), "unknown-jobs": int64(len(s.deferredEnds)), "durable-jobs": int64(len(s.durableJobs))})
}
