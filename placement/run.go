package placement

import (
	"time"

	"samphireplank.example/samphireplank/worker"
)

// run is a start of a task that may be alive on a worker.
type run struct {
	name      string
	batch     *batch
	step      int
	index     int
	number    int
	node      *node
	need      worker.Resources
	sent      time.Time
	confirmed time.Time     // when the worker had confirmed the start, zero before
	lease     time.Duration // of its start, on the worker's clock: it is not carried out later
	tries     int
	expected  time.Duration
	beganAt   time.Duration // on the worker's clock, when the start was answered or the run was first listed, zero before ...
	beganWith int           // ... with this progress
	progress  int
	projected time.Duration // length by its progress, 0 while it cannot be told
	judgeAt   time.Time     // when its progress is compared with the expected time
	deferred  bool          // its judgement has waited for the other tasks of the step
	by        SubmissionKey // submission whose VM sends the start, zero for the holder itself
	stopping  bool
	stopAt    time.Time // of the last order to stop
	moving    bool      // stopped since its worker is slow
}

// startRun places a task on a node.
func (p *Scheduler) startRun(b *batch, i, j int, n *node) {
	t := &b.steps[i].tasks[j]
	t.state = taskPlaced
	t.runs++
	b.waiting--
	b.started = true
	expected := time.Duration(float64(p.expected(b, i)) * n.health.pace)
	r := &run{
		name: b.name(i, j), batch: b, step: i, index: j, number: t.runs, node: n,
		need: b.work.Steps[i].Need, sent: p.now, expected: expected,
	}
	r.judgeAt = p.now.Add(time.Duration(float64(expected)*judgeFactor) + p.rules.StallGrace)
	n.runs[r.name] = r
	p.tasks[r.name] = r
	n.free = n.free.Sub(r.need)
	p.lastingStarted(r)
	p.sendStart(r)
}

func (p *Scheduler) sendStart(r *run) {
	r.tries++
	r.lease = p.extend(r.node)
	r.by = r.batch.sender
	p.emit(StartRun{Sender: r.by, Order: worker.StartOrder{
		Target:     target(r.node),
		Run:        worker.Run{Task: r.name, Number: r.number},
		Spec:       r.batch.work.Spec,
		Lease:      r.lease,
		Fence:      p.fence,
		Timeout:    p.timeout(),
		Checkpoint: r.batch.steps[r.step].tasks[r.index].resumeAt,
	}})
}

// find returns a run that may be alive, with its node; the run is nil if it is not known any more.
func (p *Scheduler) find(id string, of worker.Run) (*node, *run) {
	n := p.nodes[id]
	if n == nil {
		return nil, nil
	}
	if r := n.runs[of.Task]; r != nil && r.number == of.Number {
		return n, r
	}
	return n, nil
}

// startAnswered takes in the answer to a start.
func (p *Scheduler) startAnswered(m StartResult) {
	p.observeAnswer(m)
	n, r := p.find(m.Order.ID, m.Order.Run)
	if r == nil {
		return
	}
	if m.Err == nil {
		p.readClock(n, m.Report, r)
		if r.confirmed.IsZero() {
			r.confirmed, r.batch.begun = p.now, true
		}
		if r.beganAt == 0 {
			r.beganAt = m.Report.Clock
		}
		return
	}
	reason, rejected := worker.RejectionReason(m.Err)
	if !rejected || reason == worker.ReasonNotSent {
		r.batch.takeSpec(m, r.by)
	}
	if rejected {
		p.startRejected(n, r, reason, m)
		return
	}
	p.startOpen(n, r, m.Err)
}

// observeAnswer learns how long answers take.
func (p *Scheduler) observeAnswer(m StartResult) {
	took := p.now.Sub(m.SentAt)
	if m.Err != nil {
		reason, rejected := worker.RejectionReason(m.Err)
		switch {
		case reason == worker.ReasonDialFailed, reason == worker.ReasonNotSent:
			return
		case !rejected && took < m.Order.Timeout:
			return // the connection broke
		case !rejected:
			took = time.Duration(openFactor * float64(took))
		}
	}
	p.patience.observe(took)
}

func (p *Scheduler) startRejected(n *node, r *run, reason worker.Reason, m StartResult) {
	if m.Report.Clock > 0 {
		p.readClock(n, m.Report, nil)
		if n.runs[r.name] != r {
			return // lost with an earlier incarnation
		}
	}
	if r.tries > 1 && reason != worker.ReasonStaleFence {
		// An earlier try of this start may have been carried out, or may still be; only a list tells.
		if reason != worker.ReasonStaleRun {
			n.errors = max(n.errors, 1)
		}
		return
	}
	p.note("start-rejected", r.batch.work.ID, n.ID, string(reason), map[string]int64{"run": int64(r.number)})
	switch reason {
	case worker.ReasonStaleFence:
		if m.Order.Fence >= p.fence {
			p.fenced(n.ID)
			return
		}
	case worker.ReasonWrongIncarnation:
		p.loseAll(n, "worker restarted")
		n.surveyed, n.handled, n.acked, n.born = false, 0, 0, 0
		clear(n.pins)
		return
	case worker.ReasonStaleRun:
		r.batch.steps[r.step].tasks[r.index].runs += oldRunSkip
	case worker.ReasonUnhealthy:
		p.strike(n, "worker refuses as unhealthy")
	case worker.ReasonDialFailed:
		n.errors++
		n.probeAt = p.now
	case worker.ReasonNoCapacity:
		n.surveyed = false // something runs there that is not known here
		n.probeAt = p.now
	}
	p.runLost(r, string(reason))
}

// oldRunSkip raises the number of a run above those of an earlier submission of the same job.
const oldRunSkip = 16

// startOpen handles a start without an answer: the same start again is safe, since a worker runs it once.
func (p *Scheduler) startOpen(n *node, r *run, err error) {
	n.errors++
	if n.errors == 1 {
		n.probeAt = p.now
	}
	p.note("start-open", r.batch.work.ID, n.ID, err.Error(), map[string]int64{"run": int64(r.number), "try": int64(r.tries)})
	if r.stopping {
		return
	}
	if r.tries < maxStartTries && r.batch.startable() {
		p.sendStart(r)
		return
	}
	// An answered stop makes the outcome certain long before the lease of the start has passed.
	p.stopRun(r)
}

// maxStartTries bounds the tries of one start on one worker; after it the run is stopped.
const maxStartTries = 2

// stopRun orders a run to stop; it counts until its end is listed.
func (p *Scheduler) stopRun(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	p.sendStop(r)
	if r.batch.gang(r.step) && !r.batch.closed {
		p.stopGang(r.batch, r.step, "a member is stopped")
	}
}

func (p *Scheduler) sendStop(r *run) {
	r.stopAt = p.now
	p.emit(StopRun{worker.StopOrder{Target: target(r.node), Run: worker.Run{Task: r.name, Number: r.number}, Fence: p.fence, Timeout: p.timeout()}})
}

// stopAnswered takes in the answer to a stop: a run that had not begun never will.
func (p *Scheduler) stopAnswered(m StopResult) {
	n, r := p.find(m.Order.ID, m.Order.Run)
	if r == nil {
		return
	}
	if m.Err == nil {
		p.readClock(n, m.Report, nil)
		if r.confirmed.IsZero() && n.runs[r.name] == r {
			r.confirmed = p.now // the next list says whether it still runs
		}
		return
	}
	if reason, ok := worker.RejectionReason(m.Err); ok && reason == worker.ReasonStaleFence {
		if m.Order.Fence >= p.fence {
			p.fenced(n.ID)
			return
		}
		p.sendStop(r)
		return
	}
	n.errors++
	if n.errors == 1 {
		n.probeAt = p.now
		p.sendStop(r)
	}
}

// release forgets a run that is certainly not alive.
func (p *Scheduler) release(r *run) {
	delete(r.node.runs, r.name)
	if p.tasks[r.name] == r {
		delete(p.tasks, r.name)
	}
	r.node.free = r.node.free.Add(r.need)
}

// runLost gives up a run that is certainly not alive and has no known end.
func (p *Scheduler) runLost(r *run, reason string) {
	p.release(r)
	if r.batch.closed {
		return
	}
	p.note("run-lost", r.batch.work.ID, r.node.ID, reason, map[string]int64{"run": int64(r.number)})
	p.gangEnded(r, 0)
	p.taskWaits(r.batch, r.step, r.index)
}

// checkpoint remembers from where a task goes on if its run ends early.
func (p *Scheduler) checkpoint(r *run, value string) {
	if value != "" && r.batch.work.Steps[r.step].Checkpointing {
		r.batch.steps[r.step].tasks[r.index].resumeAt = value
	}
}

// maxLengths bounds the run times that are kept of a step.
const maxLengths = 15

// runEnded takes in a listed end.
func (p *Scheduler) runEnded(r *run, e worker.EndedRun) {
	p.release(r)
	r.batch.begun = true
	p.checkpoint(r, e.Checkpoint)
	outcome := e.Outcome
	if outcome == worker.Failed && r.batch.gang(r.step) && r.number <= r.batch.steps[r.step].tasks[r.index].counted {
		outcome = worker.GangBroken // the failure of this run of the gang is counted already
	}
	if r.lasting() {
		outcome = worker.Stopped // whatever the end, the task starts again
	}
	took := p.now.Sub(r.sent)
	switch outcome {
	case worker.Done:
		p.learn(r, took)
		if s := &r.batch.steps[r.step]; len(s.lengths) < maxLengths {
			s.lengths = append(s.lengths, took)
		}
		p.gangEnded(r, outcome)
		p.taskDone(r.batch, r.step, r.index)
		return
	case worker.Failed:
		if !r.batch.closed {
			p.note("run-failed", r.batch.work.ID, r.node.ID, "", map[string]int64{"run": int64(r.number), "took-ms": ms(took)})
		}
		r.batch.steps[r.step].tasks[r.index].counted = r.number
		p.gangEnded(r, outcome)
		p.strike(r.node, "run failed")
		p.taskFailed(r.batch, r.step, r.index, r.node.ID)
		return
	}
	if r.batch.closed {
		return
	}
	p.gangEnded(r, outcome)
	p.note("run-ended", r.batch.work.ID, r.node.ID, e.Outcome.String(), map[string]int64{"run": int64(r.number)})
	p.taskWaits(r.batch, r.step, r.index)
}
