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

// Durable jobs have no submission. The holder acts on them only until a DurablePermit ends, which the VM extends while it has
// recent evidence that the store names no other holder of the group. Another holder waits for DurableHolderEnd before it starts a
// task that may be running on a worker which it has not read. A worker that restarts after that holder has read it would accept
// orders of the earlier one. So each holder acts on durable jobs on a worker that it saw first during its tenure only with later
// evidence: whoever replaces it then reads that incarnation, or a later one, which no earlier order reaches.

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
		return s.durablePermit, !s.durablePermit.IsZero()
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

// NeedsDurablePermit reports whether the handling of a message depends on the permit for durable jobs, or on its evidence.
func (s *Scheduler) NeedsDurablePermit(m Message) bool {
	submit, ok := m.(Submit)
	if len(s.durableJobs) > 0 || !s.restored || ok && submit.Durable {
		return true
	}
	for _, w := range s.sortedWorkers {
		if w.restarted && !s.durableEvidence.After(w.seenAt) {
			return true
		}
	}
	return false
}

// mayStart reports whether the holder may start tasks of a durable job. Its other jobs are withdrawn when their permit
// expires.
func (s *Scheduler) mayStart(js *jobState) bool {
	if !js.durable {
		return true
	}
	until, limited := s.permit(js)
	return js.transferTo == "" && (!limited || s.now.Before(until))
}

// mayUse reports whether the holder may start tasks of the job on a worker, or renew their leases, see DurablePermit. The VMs of
// best-effort jobs tell the next holder which new workers it has to read, but not which have restarted.
func (s *Scheduler) mayUse(js *jobState, w *workerState) bool {
	return !js.durable && !w.restarted || s.evidenceCovers(w)
}

// evidenceCovers reports whether the evidence of the permit for durable jobs is later than the first sight of the worker's present
// incarnation.
func (s *Scheduler) evidenceCovers(w *workerState) bool {
	return s.durablePermit.IsZero() || w.seenAt.IsZero() || s.durableEvidence.After(w.seenAt)
}

// logDurablePermit logs when the permit for durable jobs has ended or is renewed, if there are such jobs.
func (s *Scheduler) logDurablePermit() {
	ended := !s.durablePermit.IsZero() && !s.now.Before(s.durablePermit)
	if ended == s.durableStopped || len(s.durableJobs) == 0 {
		return
	}
	s.durableStopped = ended
	values := map[string]int64{"jobs": int64(len(s.durableJobs))}
	if ended {
		s.logEvent("durable-permit-ended", "", "", "neither the store nor the other VMs have confirmed the holder recently", values)
		return
	}
	s.logEvent("durable-permit-renewed", "", "", "", values)
}

// leaseReserve keeps leases shorter than the maximum, so that between two heartbeats of a VM its jobs still start on workers
// whose lease was just renewed, see leaseOutlastsPermit.
const leaseReserve = 100 * time.Millisecond

// maxLease returns the longest lease to grant to a worker now.
func (s *Scheduler) maxLease(w *workerState) time.Duration {
	length := s.rules.LeaseDuration - leaseReserve
	if w.unknownRuns > 0 {
		if !s.mustKeepLease(w) || !s.evidenceCovers(w) {
			return 0 // see syncWorker
		}
		if !s.durablePermit.IsZero() { // these are runs of long-running durable jobs
			length = min(length, s.durablePermit.Add(PermitLease).Sub(s.now))
		}
	}
	for _, r := range w.runs {
		if !s.mayUse(r.job, w) {
			return 0
		}
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
	return limited && w.leaseExpiry.After(s.leaseLimit(until))
}

// leaseLimit returns when the leases of workers must have expired on which a job with a permit until the given time may start.
func (s *Scheduler) leaseLimit(permitEnd time.Time) time.Time {
	return permitEnd.Add(PermitLease + s.leaseError() + s.rules.KillTime)
}

func (s *Scheduler) leaseError() time.Duration { return s.rules.LeaseError() }

// LeaseError is the maximum time by which a lease lasts longer than its nominal length.
func (r Rules) LeaseError() time.Duration { return r.maxElapsed(r.LeaseDuration) - r.LeaseDuration }

// maxElapsed returns the longest time that passes while a worker's clock advances by the given time.
func (r Rules) maxElapsed(advance time.Duration) time.Duration {
	return time.Duration(float64(advance) / (1 - r.ClockDrift))
}
