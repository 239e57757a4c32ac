package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// workerState is the scheduler's view of one worker.
type workerState struct {
	worker.Worker
	removed         time.Time     // when its entry disappeared; zero while it is listed
	added           int64         // revision with which its entry was created, 0 if unknown
	synced          bool          // the worker has responded to a poll under the current fence
	incarnation     int64         // by its responses, 0 if unknown
	incarnationAt   time.Time     // when a response showed the incarnation first, or that the one before has ended
	listedAt        time.Time     // when the list showed the incarnation of its entry first, zero for the first list of this holder
	seenAt          time.Time     // when a response or the list showed the present incarnation first, zero likewise
	restarted       bool          // another incarnation was listed or responded to this holder before
	clock           time.Duration // latest clock reading reported by the worker
	clockAt         time.Time     // when that reading was received
	free            worker.Resources
	runs            map[string]*run
	order           runOrder
	unknownRuns     int  // listed runs that this scheduler did not start
	endsCutShort    bool // the last list of ended runs was cut short, so that a run that is not listed may have ended
	acks            ackLedger
	acksFull        bool      // so many ends may not be acknowledged that the worker gets no task
	leaseExpiry     time.Time // every lease granted so far, also by an earlier holder, has expired and its runs are killed by then
	polling         bool
	lastPollAt      time.Time
	unansweredCalls int // consecutive calls without a response
	probeAt         time.Time
	health          health
	cold            coldState
	past            pastRuns
}

// updateWorkers applies a new list of workers.
func (s *Scheduler) updateWorkers(m WorkerList) {
	listed := map[string]bool{}
	s.listRevision, s.removalsSince = m.Revision, m.RemovalsSince
	for _, entry := range m.Workers {
		listed[entry.ID] = true
		w := s.workers[entry.ID]
		if w != nil && w.Address == entry.Address {
			wasDraining, changed := w.Draining, entry.Incarnation != w.Incarnation
			w.Worker, w.removed, w.added = entry, time.Time{}, m.Added[entry.ID]
			if changed {
				w.listedAt, w.restarted = s.now, true
			}
			// The entry may be older than the worker's last response, and incarnations are readings of wall clocks, which may be
			// set back, so only a response shows the present one.
			if changed && entry.Incarnation != 0 && w.incarnation != 0 && entry.Incarnation != w.incarnation {
				w.synced, w.probeAt = false, s.now
			}
			s.recomputeFree(w)
			if entry.Draining && !wasDraining {
				s.logEvent("worker-draining", "", entry.ID, "listed as draining", nil)
			}
			continue
		}
		if w != nil {
			s.loseRuns(w, "listed at another address")
		}
		added := s.addWorker(entry)
		added.added, added.restarted = m.Added[entry.ID], w != nil
		delete(s.forgotten, entry.ID)
		s.logEvent("worker-added", "", entry.ID, "listed", nil)
	}
	for _, entry := range m.Removed {
		// Later lists show workers again that this scheduler has dropped.
		if s.workers[entry.ID] == nil && (entry.Elapsed < s.rules.RemovalGrace || !s.listed) {
			w := s.addWorker(entry.Worker)
			w.removed, w.added = s.now.Add(-entry.Elapsed), m.Added[entry.ID]
			listed[entry.ID] = true
			s.logEvent("worker-added", "", entry.ID, "no longer listed, may still run tasks", map[string]int64{"unlisted-ms": ms(entry.Elapsed)})
		}
	}
	s.listed = s.listed || len(m.Workers)+len(m.Removed) > 0
	for id, w := range s.workers {
		if !listed[id] && w.removed.IsZero() {
			w.removed = s.now
			s.logEvent("worker-removed", "", id, "no longer listed", nil)
		}
	}
	s.sortWorkers()
	s.updateCold(m.Cold)
}

// addWorker adds a worker, which may have runs of an earlier holder.
func (s *Scheduler) addWorker(entry worker.Worker) *workerState {
	w := newWorkerState(entry)
	w.leaseExpiry = s.now.Add(max(s.rules.LostHolderTimeout, s.rules.DurableHolderEnd))
	if s.now.After(s.firstUpdate) {
		w.listedAt, w.seenAt = s.now, s.now
	}
	s.workers[entry.ID] = w
	return w
}

func newWorkerState(w worker.Worker) *workerState {
	return &workerState{Worker: w, free: w.Capacity, runs: map[string]*run{}, acks: newAckLedger(), health: health{slowdown: 1, slowProduct: 1}}
}

func (s *Scheduler) sortWorkers() {
	s.sortedWorkers = s.sortedWorkers[:0]
	for _, w := range s.workers {
		s.sortedWorkers = append(s.sortedWorkers, w)
	}
	sort.Slice(s.sortedWorkers, func(i, j int) bool { return s.sortedWorkers[i].ID < s.sortedWorkers[j].ID })
}

// removeUnlisted drops unlisted workers whose runs have certainly ended.
func (s *Scheduler) removeUnlisted() {
	dropped := false
	for id, w := range s.workers {
		if w.removed.IsZero() || s.now.Sub(w.removed) < s.rules.RemovalGrace || s.now.Before(w.leaseExpiry) {
			continue
		}
		if len(w.runs) > 0 && w.unansweredCalls == 0 {
			continue // the worker still responds and will report how its runs end
		}
		s.loseRuns(w, "unlisted worker is unreachable")
		s.forget(w)
		delete(s.workers, id)
		dropped = true
	}
	if dropped {
		s.sortWorkers()
	}
}

// recomputeFree derives the free resources of a worker from its capacity and its runs.
func (s *Scheduler) recomputeFree(w *workerState) {
	w.free = w.Capacity
	for _, r := range w.runs {
		w.free = w.free.Sub(r.need)
	}
}

// fromEarlierIncarnation reports whether the response to an order may be that of an incarnation before the known one: the
// order was sent before that one was known.
func (w *workerState) fromEarlierIncarnation(report worker.Report, sentAt time.Time) bool {
	return report.Incarnation != 0 && report.Incarnation != w.incarnation && sentAt.Before(w.incarnationAt)
}

// readClockAndIncarnation records the worker's clock and incarnation from a response. It returns false after a restart.
func (s *Scheduler) readClockAndIncarnation(w *workerState, report worker.Report, confirmed *run) bool {
	w.unansweredCalls = 0
	if report.Clock > 0 {
		w.clock, w.clockAt = report.Clock, s.now
	}
	if report.Incarnation == 0 || report.Incarnation == w.incarnation {
		return true
	}
	if w.incarnation == 0 {
		s.setIncarnation(w, report.Incarnation)
		return true
	}
	s.workerRestarted(w, report.Incarnation, confirmed)
	return false
}

// setIncarnation records the present incarnation of a worker, 0 if it is unknown. Where the list has no incarnations, the one
// that responds first is taken for the listed one.
func (s *Scheduler) setIncarnation(w *workerState, born int64) {
	listed := born == w.Incarnation || w.Incarnation == 0 && w.incarnationAt.IsZero()
	w.incarnation, w.incarnationAt, w.seenAt = born, s.now, s.now
	if born != 0 && listed {
		w.seenAt = w.listedAt
	}
	w.restarted = w.restarted || !listed
}

// entryOutdated reports whether the entry of a worker is that of another incarnation than the one that responds, which may be of
// another kind.
func (w *workerState) entryOutdated() bool {
	return w.Incarnation != 0 && w.incarnation != 0 && w.Incarnation != w.incarnation
}

// workerRestarted handles a restart of a worker: all runs are lost except the one that its response confirms, if any. The
// incarnation is 0 if it is not known yet.
func (s *Scheduler) workerRestarted(w *workerState, born int64, confirmed *run) {
	s.setIncarnation(w, born)
	for _, r := range w.sortedRuns() {
		switch {
		case r == confirmed:
		case r.openStarts > 0:
			// A start order of an unknown incarnation, or sent by a VM of an earlier version, may still reach the new one, which
			// does not know that the earlier one was ordered to stop the run, and whose clock would not reject it as expired.
			r.confirmed, r.startExpiry, r.baseClock = time.Time{}, neverExpires, 0
			if r.stopping {
				s.sendStop(r)
			} else {
				s.stopRun(r)
			}
		default:
			s.loseRun(r, "worker restarted")
		}
	}
	s.dropOrphans(w)
	w.synced, w.acks, w.probeAt = false, newAckLedger(), s.now
	if until := s.runsEnd(s.rules.LeaseDuration); until.After(w.leaseExpiry) {
		w.leaseExpiry = until // an earlier holder may have granted the new incarnation a lease until now
	}
}

// rejectedByIncarnation handles an order that was rejected since another incarnation is at the worker's address. The order has
// certainly not been carried out there; a poll for any incarnation shows which one it is.
func (s *Scheduler) rejectedByIncarnation(w *workerState, to worker.Target) {
	switch {
	case to.Address != w.Address:
	case to.Incarnation == 0: // the address belongs to another worker
		s.loseRuns(w, "worker restarted")
		w.synced, w.acks, w.incarnation = false, newAckLedger(), 0
	case to.Incarnation == w.incarnation:
		readAt := w.incarnationAt
		for _, r := range w.sortedRuns() {
			if r.boundTo == w.incarnation {
				s.loseRun(r, "worker restarted") // no try of its start can reach the new incarnation
			}
		}
		s.workerRestarted(w, 0, nil)
		if s.now.Sub(readAt) < s.rules.ProbeInterval {
			w.probeAt = s.now.Add(s.rules.ProbeInterval) // limits the polls of a worker that rejects each incarnation that it reports
		}
	}
}

// clockLowerBound returns a time that the worker's clock has certainly reached.
func (s *Scheduler) clockLowerBound(w *workerState) time.Duration {
	since := s.now.Sub(w.clockAt)
	return w.clock + time.Duration(float64(since)*(1-s.rules.ClockDrift))
}

// extendLease returns the lease for an order that is sent now and records the latest time at which it can expire.
func (s *Scheduler) extendLease(w *workerState) time.Duration {
	length := s.maxLease(w)
	// The worker's clock is never behind the estimate, so the lease cannot last longer than this.
	if until := s.runsEnd(length); until.After(w.leaseExpiry) {
		w.leaseExpiry = until
	}
	return s.clockLowerBound(w) + length
}

// runsEnd returns the time by which a worker has killed its runs under a lease of the given length that is granted now.
func (s *Scheduler) runsEnd(length time.Duration) time.Time {
	return s.now.Add(s.rules.maxElapsed(length) + s.rules.KillTime)
}

// usable reports whether new tasks may be sent to the worker.
func (s *Scheduler) usable(w *workerState) bool {
	if !s.mayStartInZone() || w.Draining || !w.synced || w.unansweredCalls > 0 || w.unknownRuns > 0 || w.acks.unackable() >= maxUnackable {
		return false
	}
	return w.removed.IsZero() || s.now.Sub(w.removed) < s.rules.RemovalGrace
}

// pollWorkers sends the polls that are due.
func (s *Scheduler) pollWorkers() {
	for _, w := range s.sortedWorkers {
		if w.polling {
			continue
		}
		order := worker.PollOrder{Target: target(w), Fence: s.fence, AckedThrough: w.acks.ackable()}
		switch {
		case w.unansweredCalls > 0 || !w.synced || w.unknownRuns > 0:
			if s.now.Before(w.probeAt) {
				continue
			}
			// If orders may reach the worker while its responses are lost, renewing the lease would keep its runs alive
			// indefinitely. So only the first retry after a lost response renews it.
			if w.synced && w.unansweredCalls <= 1 && (len(w.runs) > 0 || s.mustKeepLease(w)) {
				order.Lease = s.extendLease(w)
			}
		case s.throttlePoll(w):
			continue
		case len(w.runs) > 0:
			order.Lease = s.extendLease(w)
			order.Wait = s.pollWait(w)
		case w.acks.acked < order.AckedThrough:
			if s.now.Sub(w.lastPollAt) < s.rules.AckDelay && !w.endsCutShort {
				continue
			}
		default:
			continue
		}
		if order.Lease == 0 && (!w.synced || order.AckedThrough <= w.acks.acked) {
			// It changes nothing at the worker, so any incarnation may respond, and thus show a restart.
			order.Incarnation, order.AckedThrough = 0, 0
		}
		order.Timeout = order.Wait + s.adaptivePollMargin()
		w.polling, w.lastPollAt = true, s.now
		w.probeAt = s.now.Add(s.rules.ProbeInterval)
		if w.unknownRuns > 0 {
			w.probeAt = s.now.Add(s.rules.MinPollWait)
		}
		s.emit(PollWorker{order})
	}
}

func target(w *workerState) worker.Target {
	return worker.Target{ID: w.ID, Address: w.Address, Incarnation: w.incarnation}
}

// pollWait returns how long a poll may wait for a run to end: less if the progress of a run is due to be checked
// earlier, or if two tries would outlast the lease because responses are slow.
func (s *Scheduler) pollWait(w *workerState) time.Duration {
	wait := min(s.rules.MaxPollWait, s.maxLease(w)-2*s.adaptivePollMargin()-leaseMargin)
	for _, r := range w.runs {
		wait = min(wait, r.checkProgressAt.Sub(s.now))
	}
	return max(wait, s.rules.MinPollWait)
}

// leaseMargin is the part of the lease reserved for the network latency of the second poll.
const leaseMargin = 100 * time.Millisecond

// handlePollResult processes the runs that a worker lists.
func (s *Scheduler) handlePollResult(m PollResult) {
	w := s.workers[m.Order.ID]
	if w == nil || w.Address != m.Order.Address {
		return
	}
	w.polling = false
	if m.Err != nil {
		s.handlePollError(w, m.Order, m.Err)
		return
	}
	if w.fromEarlierIncarnation(m.Report, m.SentAt) || !s.readClockAndIncarnation(w, m.Report, nil) {
		return
	}
	w.acks.acked = max(w.acks.acked, m.Order.AckedThrough)
	if m.Report.MoreEnded && !w.endsCutShort {
		s.logEvent("ends-cut-short", "", w.ID, "the worker has ended more runs than it lists at a time", map[string]int64{
			"listed": int64(len(m.Report.Ended)), "acked": w.acks.acked, "unackable": w.acks.unackable(), "runs": int64(len(w.runs)),
		})
	}
	w.endsCutShort = m.Report.MoreEnded
	if !w.synced {
		s.syncWorker(w, m.Report)
		return
	}
	s.handleEndedRuns(w, m.Report.Ended)
	s.logHeldAcks(w)
	s.reconcileRunning(w, m)
}

func (s *Scheduler) handlePollError(w *workerState, order worker.PollOrder, err error) {
	if reason, ok := worker.RejectionReason(err); ok {
		switch reason {
		case worker.ReasonStaleFence:
			if order.Fence >= s.fence {
				s.stopFenced(w.ID)
			}
			return
		case worker.ReasonWrongIncarnation:
			if s.rejectedByIncarnation(w, order.Target); order.Incarnation != 0 {
				return
			}
		}
	}
	w.unansweredCalls++
	if w.unansweredCalls == 1 {
		w.probeAt = s.now
	}
	if w.unansweredCalls == 2 {
		s.logEvent("worker-silent", "", w.ID, err.Error(), map[string]int64{"runs": int64(len(w.runs))})
	}
	s.expireLease(w)
}

// syncWorker processes the first poll response of a worker under the current fence.
func (s *Scheduler) syncWorker(w *workerState, report worker.Report) {
	w.synced = true
	until := s.now.Add(s.rules.AdoptionTimeout)
	for _, e := range report.Ended {
		w.acks.handled = max(w.acks.handled, e.Sequence)
		if own := w.runs[e.Task]; own != nil && own.number == e.Number {
			s.deferAck(w, e)
			s.handleRunEnded(own, e)
			continue
		}
		s.handleEarlierEnd(w, e)
		if e.Outcome == worker.Done {
			s.orphans[e.Task] = orphanedRun{worker: w, number: e.Number, done: true, until: until}
			s.adoptRun(e.Task)
		}
	}
	for _, r := range report.Running {
		if own := w.runs[r.Task]; own != nil && own.number == r.Number {
			continue
		}
		w.unknownRuns++
		s.orphans[r.Task] = orphanedRun{worker: w, number: r.Number, until: until}
		s.adoptRun(r.Task)
	}
	w.leaseExpiry = s.runsEnd(s.rules.LeaseDuration) // granted by the earlier holder
	if w.unknownRuns > 0 {
		// The lease is not renewed for runs that no entry VM has resumed yet: the VM of their jobs may be gone too, and
		// its callers rely on the earlier holder's last lease.
		w.probeAt = s.now
	}
}

// handleEndedRuns processes the ended runs that have not been processed yet.
func (s *Scheduler) handleEndedRuns(w *workerState, ends []worker.EndedRun) {
	for _, e := range ends {
		if e.Sequence <= w.acks.handled {
			continue
		}
		w.acks.handled = e.Sequence
		r := w.runs[e.Task]
		if r == nil || r.number != e.Number {
			s.handleEarlierEnd(w, e)
			continue
		}
		s.deferAck(w, e)
		s.handleRunEnded(r, e)
	}
}

// reconcileRunning compares the runs that the worker lists as running with those that the scheduler has started there.
func (s *Scheduler) reconcileRunning(w *workerState, m PollResult) {
	listed := make(map[string]worker.ActiveRun, len(m.Report.Running))
	var foreign []worker.ActiveRun
	for _, r := range m.Report.Running {
		if own := w.runs[r.Task]; own != nil && own.number == r.Number {
			listed[r.Task] = r
			continue
		}
		foreign = append(foreign, r)
	}
	s.reconcileOrphans(w, foreign)
	for _, r := range w.sortedRuns() {
		row, running := listed[r.taskName]
		switch {
		case running:
			s.saveCheckpoint(r, row.Checkpoint)
			r.openStarts = min(r.openStarts, max(r.tries-1, 0))
			if r.stopping && m.SentAt.Sub(r.lastStopAt) > s.rules.ProbeInterval {
				s.sendStop(r) // the stop order was lost
			}
			s.checkProgress(r, row.Progress, m.Report.Clock)
		case r.confirmed.IsZero() && m.Report.Clock <= r.startExpiry:
			// The start order is unanswered and may still be carried out.
			if r.stopping && m.SentAt.Sub(r.lastStopAt) > s.rules.ProbeInterval {
				s.sendStop(r) // only its response settles the outcome
			}
		case !r.confirmed.IsZero() && !r.confirmed.Before(m.SentAt):
			// The run started after the list was requested.
		case m.Report.MoreEnded && (r.job.durable || w.acks.unackable() < maxUnackable):
			// Its end may stand behind the listed ones, and is listed once these are acknowledged. While they can't be, a job
			// that is not stored runs the task again.
		default:
			s.loseRun(r, "not listed by its worker")
		}
	}
}

// expireLease gives up the runs of an unreachable worker once its lease has certainly expired. It keeps those whose start
// may still reach a new incarnation.
func (s *Scheduler) expireLease(w *workerState) {
	if w.unansweredCalls == 0 || len(w.runs)+w.unknownRuns == 0 || s.now.Before(w.leaseExpiry) {
		return
	}
	for _, r := range w.sortedRuns() {
		if !r.confirmed.IsZero() || r.startExpiry != neverExpires {
			s.loseRun(r, "lease expired without a response")
		}
	}
	s.dropOrphans(w)
}

func (s *Scheduler) loseRuns(w *workerState, reason string) {
	for _, r := range w.sortedRuns() {
		s.loseRun(r, reason)
	}
	s.dropOrphans(w)
}

// dropOrphans forgets the orphaned runs of a worker that has certainly lost them.
func (s *Scheduler) dropOrphans(w *workerState) {
	for name, f := range s.orphans {
		if f.worker == w {
			delete(s.orphans, name)
		}
	}
	w.unknownRuns = 0
}
