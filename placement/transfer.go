package placement

import (
	"cmp"
	"slices"
	"time"
)

// A durable job belongs to one group, whose workers may all be lost, draining or full. It is then transferred to another group, whose
// holder runs it from its stored progress. The holder of its group transfers a job only while it certainly has no run: it starts
// nothing of it from the request to store the transfer on, and forgets it once the transfer is stored. Whether a write whose outcome is
// unknown has taken effect is read from the store before anything else is done with the job.

// requestTransfers requests another group for durable jobs that have waited with nothing running, those first that were asked for
// longest ago, so that jobs which no group can run don't hold up others.
func (s *Scheduler) requestTransfers() {
	var waiting []*jobState
	for _, js := range s.durableJobs {
		if !s.waitsForWorker(js) {
			js.waitingSince = time.Time{}
			continue
		}
		if js.waitingSince.IsZero() {
			js.waitingSince = s.now
			js.transferAskedAt, js.waitLogged = time.Time{}, false
		}
		if s.now.Sub(js.waitingSince) >= s.minTransferDelay() && s.now.Sub(js.transferAskedAt) >= s.rules.TransferInterval {
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(a.transferAskedAt.Compare(b.transferAskedAt), cmp.Compare(a.rank, b.rank), cmp.Compare(a.work.ID, b.work.ID))
	})
	for _, js := range waiting[:min(len(waiting), maxTransferRequests)] {
		js.transferAskedAt = s.now
		s.requestTransfer(js)
	}
}

// maxTransferRequests limits the requests of one tick.
const maxTransferRequests = 8

// requestTransfer requests another group for a job, or repeats the request to store its transfer.
func (s *Scheduler) requestTransfer(js *jobState) {
	steps, fits := make([]bool, len(js.steps)), true
	for i := range js.steps {
		steps[i] = js.steps[i].remaining > 0
		fits = fits && (!steps[i] || s.fitsListedWorkers(js, i))
	}
	// A job that fits here waits longer after each transfer, since the others may be as full.
	delay := s.rules.TransferDelay << min(js.transfers, maxTransferDoublings)
	if !fits {
		delay = s.rules.RemovalGrace
	}
	if js.transferTo == "" && !s.evacuation.active && s.now.Sub(js.waitingSince) < delay || !s.certainlyIdle(js) {
		return
	}
	if !js.waitLogged {
		js.waitLogged = true
		s.logEvent("job-waits", js.work.ID, "", "nothing of the job runs", map[string]int64{"waiting-ms": ms(s.now.Sub(js.waitingSince)), "workers-fit": boolValue(fits)})
	}
	if js.transferTo != "" {
		s.storeTransfer(js)
		return
	}
	s.emit(RequestTransfer{Job: js.work.ID, Steps: steps, Fits: fits})
}

// maxTransferDoublings limits the delay between two transfers of a job.
const maxTransferDoublings = 5

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// waitsForWorker reports whether a durable job has queued tasks and no run that this scheduler knows of, although the holder may start
// some.
func (s *Scheduler) waitsForWorker(js *jobState) bool {
	if js.transferTo == "" && !s.mayStart(js) {
		return false // while the store is away, no group may start them
	}
	return !js.closed && js.running == 0 && js.queuedTasks > 0 && s.restored && (!s.now.Before(js.startAt) || !s.fitsListedWorkers(js, 0))
}

// certainlyIdle reports whether no run of a waiting job can be alive, or have ended without being known here.
func (s *Scheduler) certainlyIdle(js *jobState) bool {
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if js.steps[i].tasks[j].phase == taskQueued && s.mustWait(js, i, j) {
				return false
			}
		}
	}
	return true
}

// fitsListedWorkers reports whether the listed workers of the group could run a step if they were idle.
func (s *Scheduler) fitsListedWorkers(js *jobState, i int) bool {
	if s.evacuation.active {
		return false
	}
	spec, room := js.work.Steps[i], 0
	for _, w := range s.sortedWorkers {
		if w.removed.IsZero() && !w.Draining && w.Service == js.policy.Service && (spec.RequiredLabel == "" || w.HasLabel(spec.RequiredLabel)) {
			room += tasksPerWorker(js, i, w)
		}
	}
	return room >= 1 && (!js.isGang(i) || room >= len(js.steps[i].tasks))
}

// transferJob begins the transfer of a job to another group, unless it has a run by now.
func (s *Scheduler) transferJob(m TransferJob) {
	js := s.durableJobs[m.Job]
	if js == nil || js.transferTo != "" || !s.waitsForWorker(js) || !s.certainlyIdle(js) {
		return
	}
	js.transferTo = m.Group
	js.transfers++
	s.logEvent("job-transfer", js.work.ID, "", "the job waits, and another group has room", map[string]int64{"waiting-ms": ms(s.now.Sub(js.waitingSince)), "transfers": int64(js.transfers)})
	s.storeTransfer(js)
}

// storeTransfer requests to store the transfer with the job's progress.
func (s *Scheduler) storeTransfer(js *jobState) {
	js.version++
	s.unpersisted = append(s.unpersisted, js)
}

// handleJobTransferred forgets a job that the store has for another group. Its ends need not be stored by this holder any more.
func (s *Scheduler) handleJobTransferred(id string) {
	js := s.durableJobs[id]
	if js == nil {
		return
	}
	s.logEvent("job-transferred", id, "", "", map[string]int64{"transfers": int64(js.transfers)})
	for _, p := range js.pendingAcks {
		if p.worker.incarnation == p.incarnation {
			p.worker.acks.settle(p.sequence)
		}
	}
	js.pendingAcks, js.closed, js.closedAt = nil, true, s.now
	delete(s.durableJobs, id)
	delete(s.jobs, id)
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if r := s.runs[js.name(i, j)]; r != nil && r.job == js {
				s.stopRun(r)
			}
		}
	}
}
