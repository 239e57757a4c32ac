package placement

import (
	"sort"
	"time"
)

// A submitting VM that was not heard from for some time may be gone, and its callers may have sent their jobs to
// another VM. So the holder acts on the submissions of a connection only while a permit lasts, which each message of the
// VM extends. A permit is counted from a reading of the holder's own clock that the message returns, so that a message
// that was delayed on its way extends the permit by less. The lease in each order ends shortly after the permits of the
// jobs on the worker, so that the worker rejects a start that leaves too late, and kills the runs if the holder is stalled
// when a permit expires.

// Permits holds, by connection, until when the holder may act on submissions. A connection without an entry needs none.
type Permits map[uint64]time.Time

// PermitLease is the maximum time for which the lease of a worker outlasts the permit of a job that runs there. It
// leaves a long poll room for a second try.
const PermitLease = 400 * time.Millisecond

// grantPermit records the permit of a submission's connection. It refuses a submission that arrives after its permit
// has expired and returns false.
func (s *Scheduler) grantPermit(m Submit) bool {
	s.extendPermit(m.Key.Conn, m.PermitUntil)
	if m.Durable || s.now.Before(m.PermitUntil) {
		return true
	}
	s.logEvent("submission-expired", m.Work.ID, "", "the submission arrived too late to be acted on", map[string]int64{"late-ms": ms(s.now.Sub(m.PermitUntil))})
	if m.Resumed {
		s.emit(Reply{m.Key, HandedOver{Progress: m.Progress, NotAccepted: true}})
	} else {
		s.emit(Reply{m.Key, NotRun{Reason: ReasonHandedOver, RetryAfter: s.rules.MinRetryAfter}})
	}
	return false
}

// extendPermit extends the permit of a connection. A tick may carry permits that are older than a submission's.
func (s *Scheduler) extendPermit(conn uint64, until time.Time) {
	if until.After(s.permits[conn]) {
		s.permits[conn] = until
	}
}

// permit returns until when the holder may act on the job; false means that there is no limit.
func (s *Scheduler) permit(js *jobState) (until time.Time, limited bool) {
	if js.durable {
		return time.Time{}, false
	}
	if js.closed {
		return js.closedAt, true // its runs are being stopped
	}
	for k := range js.keys {
		p, ok := s.permits[k.Conn]
		if !ok {
			return time.Time{}, false
		}
		if p.After(until) {
			until = p
		}
	}
	return until, len(js.keys) > 0
}

// releaseExpired ends the submissions whose permit has expired. If the submitting VM is alive after all, it submits the
// job again.
func (s *Scheduler) releaseExpired() {
	var expired []SubmissionKey
	for k, js := range s.submissions {
		if until, ok := s.permits[k.Conn]; ok && !js.durable && !s.now.Before(until) {
			expired = append(expired, k)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].less(expired[j]) })
	for _, k := range expired {
		js := s.submissions[k]
		if js.mayHaveStarted {
			s.emit(Reply{k, HandedOver{Progress: js.progress(s.runs, s.orphans, s.now)}})
		} else {
			s.emit(Reply{k, NotRun{Reason: ReasonHandedOver, RetryAfter: s.rules.MinRetryAfter}})
		}
		s.withdraw(Withdraw{Key: k, Reason: "the entry VM was not heard from"})
	}
}

// leaseReserve keeps leases shorter than the maximum, so that between two heartbeats of a VM its jobs still start on workers
// whose lease was just renewed, see leaseOutlastsPermit.
const leaseReserve = 100 * time.Millisecond

// maxLease returns the longest lease to grant to a worker now.
func (s *Scheduler) maxLease(w *workerState) time.Duration {
	length := s.rules.LeaseDuration - leaseReserve
	if w.unknownRuns > 0 && !s.mustKeepLease(w) {
		return 0 // see syncWorker
	}
	for _, r := range w.runs {
		if until, limited := s.permit(r.job); limited {
			length = min(length, until.Add(PermitLease).Sub(s.now))
		}
	}
	return max(length, 0)
}

// leaseOutlastsPermit reports whether runs on the worker may outlast the permit of the job by more than PermitLease. A
// lease that was granted for other jobs can't be shortened.
func (s *Scheduler) leaseOutlastsPermit(js *jobState, w *workerState) bool {
	until, limited := s.permit(js)
	return limited && w.leaseExpiry.After(until.Add(PermitLease+s.leaseError()+s.rules.KillTime))
}

// leaseError is the maximum time by which a lease lasts longer than its nominal length.
func (s *Scheduler) leaseError() time.Duration {
	return s.maxElapsed(s.rules.LeaseDuration) - s.rules.LeaseDuration
}
