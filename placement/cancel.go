package placement

import "time"

// The cancellation of a best-effort job reaches the holders of all groups, since the VM that was asked does not know which of them has the
// job. At that time the job may be with none of them, on the way from one holder to another, so each of them remembers it.

// ReasonCancelled tells an entry VM that a job was cancelled.
const ReasonCancelled = "the job was cancelled"

// cancelMemory is how long a cancelled best-effort job is remembered. Its VM submits it again within seconds of the loss of a holder, if at all.
const cancelMemory = time.Minute

func (s *Scheduler) cancelBestEffort(id string) {
	s.cancelledJobs[id] = s.now
	js := s.jobs[id]
	if js == nil || js.durable || js.closed {
		return
	}
	s.logEvent("job-cancelled", id, "", "cancelled by its caller", map[string]int64{"tasks-left": int64(js.remaining)})
	if js.mayHaveStarted {
		s.closeJob(js, Cancelled{})
		return
	}
	s.closeJob(js, NotRun{Reason: ReasonCancelled, RetryAfter: s.rules.MaxRetryAfter})
}

// rejectCancelled answers the submission of a cancelled best-effort job and returns false, or returns true for other jobs. An earlier
// submission of the job may have run.
func (s *Scheduler) rejectCancelled(m Submit) bool {
	if _, cancelled := s.cancelledJobs[m.Work.ID]; !cancelled {
		return true
	}
	s.logEvent("submission-cancelled", m.Work.ID, "", ReasonCancelled, nil)
	s.emit(Reply{m.Key, Cancelled{}})
	return false
}

func (s *Scheduler) forgetCancelled() {
	for id, at := range s.cancelledJobs {
		if s.now.Sub(at) > cancelMemory {
			delete(s.cancelledJobs, id)
		}
	}
}
