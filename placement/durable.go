package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// DurableState says how far a stored job is.
type DurableState uint8

// The states of a stored job.
const (
	DurableOpen DurableState = iota
	DurableCompleted
	DurableFailed
	DurableCancelled
)

// A stored job survives its holder. What a worker lists as ended is acknowledged only after the store has what follows
// from it, because the worker forgets an acknowledged end and the next holder would run the task again.

// pin keeps an end unacknowledged until a version of its job is stored.
type pin struct {
	node     *node
	born     int64
	sequence int64
	version  int
}

// listedEnd is an end that was listed before the stored jobs of the group were known.
type listedEnd struct {
	node *node
	born int64
	end  worker.EndedRun
}

// keep takes a stored job; it is never refused and has no deadline.
func (p *Scheduler) keep(m Submit) {
	if p.kept[m.Work.ID] != nil || p.byID[m.Work.ID] != nil {
		return
	}
	b := p.newBatch(m)
	b.kept, b.started, b.begun = true, false, m.Progress.known()
	clear(b.keys)
	p.kept[b.work.ID], p.byID[b.work.ID] = b, b
	if m.Resumed || !p.allSurveyed() {
		// An earlier holder may have started tasks on a worker that has not shown yet what it runs.
		b.notBefore = p.now.Add(time.Duration(float64(p.rules.LeaseDuration)*(1+p.rules.ClockDrift)) + leaseSlack)
	}
	p.unblock(b)
	for i := range b.steps {
		for j := range b.steps[i].tasks {
			p.resume(b.name(i, j))
		}
	}
	if b.left == 0 && !b.closed {
		p.close(b, Completed{})
	}
}

// takeRestored takes in that all jobs are known that the store had for the group when its holder changed.
func (p *Scheduler) takeRestored() {
	if p.restored {
		return
	}
	p.restored = true
	for _, l := range p.listed {
		if l.node.born == l.born {
			p.earlierEnd(l.node, l.end)
		}
	}
	p.listed = nil
}

// cancel ends a stored job on its caller's order.
func (p *Scheduler) cancel(id string) {
	b := p.kept[id]
	if b == nil || b.closed {
		return
	}
	p.note("job-cancelled", id, "", "by its caller", map[string]int64{"tasks-left": int64(b.left)})
	b.state = DurableCancelled
	p.close(b, nil)
}

// keepEnd keeps an end unacknowledged if it is one of a stored job.
func (p *Scheduler) keepEnd(n *node, e worker.EndedRun) {
	if e.Outcome != worker.Done && e.Outcome != worker.Failed {
		return
	}
	id, step, _, ok := job.ParseTaskName(e.Task)
	b := p.kept[id]
	if !ok || b == nil || step < len(b.steps) && b.work.Steps[step].Lasting {
		return // a task that lasts starts again however it ends
	}
	if !b.closed {
		b.version++ // the end of a job is its last version
	}
	n.pins[e.Sequence] = struct{}{}
	b.pins = append(b.pins, pin{node: n, born: n.born, sequence: e.Sequence, version: b.version})
	p.changed = append(p.changed, b)
}

// earlierEnd takes in an end of a run that this pool does not have, which counts for a stored job all the same.
func (p *Scheduler) earlierEnd(n *node, e worker.EndedRun) {
	if !p.restored {
		p.listed = append(p.listed, listedEnd{node: n, born: n.born, end: e})
		return
	}
	b, i, j := p.locate(e.Task)
	if b == nil || !b.kept || b.work.Steps[i].Lasting {
		return
	}
	t := &b.steps[i].tasks[j]
	b.begun = true
	t.runs = max(t.runs, e.Number)
	switch {
	case e.Outcome == worker.Done && t.state != taskDone:
		p.keepEnd(n, e)
		if b.gang(i) {
			p.gangDone(b, i)
			return
		}
		if r := p.tasks[b.name(i, j)]; r != nil {
			p.stopRun(r)
		}
		p.taskDone(b, i, j)
	case e.Outcome == worker.Failed && e.Number > t.counted && t.state != taskDone:
		p.keepEnd(n, e)
		t.counted = e.Number
		b.gangFailed(i, j)
		t.failed++
		t.avoid = append(t.avoid, n.ID)
		if t.failed >= max(b.policy.MaxAttempts, 1) {
			p.giveUp(b, i, j, n.ID)
		}
	}
}

// saveChanged asks to store the jobs that have changed, one version of each at a time.
func (p *Scheduler) saveChanged() {
	for _, b := range p.changed {
		if b.saving || b.saved >= b.version {
			continue
		}
		b.saving = true
		progress := b.progress(nil, nil, p.now)
		progress.On = nil
		p.emit(PersistJob{Job: b.work.ID, Version: b.version, State: b.state, Progress: progress})
	}
	clear(p.changed)
	p.changed = p.changed[:0]
}

// takeSaved releases the ends that a stored version covers.
func (p *Scheduler) takeSaved(m JobPersisted) {
	b := p.kept[m.Job]
	if b == nil {
		return
	}
	b.saving, b.saved = false, max(b.saved, m.Version)
	left := b.pins[:0]
	for _, x := range b.pins {
		switch {
		case x.version > m.Version:
			left = append(left, x)
		case x.node.born == x.born:
			delete(x.node.pins, x.sequence)
		}
	}
	b.pins = left
	if b.saved < b.version {
		p.changed = append(p.changed, b)
		return
	}
	if b.closed {
		delete(p.kept, m.Job)
	}
}

// maxUnacked bounds the ends of a worker that are not acknowledged. Workers list 500 at a time, so beyond it nothing would be
// heard of new ones. The pool knows the older ones; they are lost only if it goes before the store is back.
const maxUnacked = 400

// ackable returns the sequence of the last end that may be acknowledged.
func (p *Scheduler) ackable(n *node) int64 {
	last := n.handled
	for sequence := range n.pins {
		last = min(last, sequence-1)
	}
	if !p.restored {
		last = n.acked
	}
	if n.handled-last > maxUnacked {
		return n.handled
	}
	return last
}

// unacked says whether a worker answers holds at once, since it lists ends that may not be acknowledged yet.
func (p *Scheduler) unacked(n *node) bool {
	return p.ackable(n) < n.handled && p.now.Sub(n.heldAt) < p.rules.UnackedPollInterval
}

// lateness ranks a job by what its end is still worth: 0 on time, 1 late, 2 for stored jobs that are very late.
func (p *Scheduler) lateness(b *batch) int {
	end := p.now.Add(p.chain(b)) // an upper bound once steps are done
	switch {
	case b.work.IsLongRunning():
		return 0
	case !end.After(b.objective):
		return 0
	case b.begun && len(b.steps) > 1 && !end.After(b.objective.Add((lateFactor-1)*b.objective.Sub(b.arrived))):
		return 0 // what its first steps have cost would be lost behind an endless row of jobs that can be on time
	case b.kept && end.After(b.objective.Add((lateFactor-1)*b.objective.Sub(b.arrived))):
		return 2
	}
	return 1
}

// lateFactor is the multiple of the objective after which the end of a job is worth nothing to its caller.
const lateFactor = 3

func (r *run) lasting() bool { return r.batch.work.Steps[r.step].Lasting }

// lastingStarted notes the number of a run, which the next holder must exceed.
func (p *Scheduler) lastingStarted(r *run) {
	if r.lasting() && r.batch.kept {
		r.batch.version++
		p.changed = append(p.changed, r.batch)
	}
}

// leaveDraining stops lasting tasks on workers that are about to leave, a few of each step at a time, so that they start
// elsewhere before the worker ends them all at once.
func (p *Scheduler) leaveDraining() {
	for _, n := range p.order {
		if !n.Draining {
			continue
		}
		for _, r := range n.sortedRuns() {
			if !r.lasting() || r.stopping || r.batch.closed {
				continue
			}
			if p.away(r.batch, r.step) < max(r.batch.work.Steps[r.step].MaxDisrupted, 1) && p.elsewhere(r) {
				p.note("run-moved", r.batch.work.ID, n.ID, "worker is draining", map[string]int64{"run": int64(r.number)})
				p.stopRun(r)
			}
		}
	}
}

// away returns the number of tasks of a step that are not at work.
func (p *Scheduler) away(b *batch, i int) int {
	away := 0
	for j := range b.steps[i].tasks {
		if r := p.tasks[b.name(i, j)]; r == nil || r.stopping || r.progress < 100 {
			away++
		}
	}
	return away
}

// elsewhere says whether another worker has room for the task of a run.
func (p *Scheduler) elsewhere(r *run) bool {
	for _, n := range p.order {
		if n != r.node && p.open(n) && r.need.FitsIn(n.free) && p.allowed(r.batch, r.step, n) {
			return true
		}
	}
	return false
}
