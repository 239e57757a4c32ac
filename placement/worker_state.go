package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// node is what the pool knows of a worker.
type node struct {
	worker.Worker
	removed  time.Time // when its entry disappeared, zero while it is listed
	surveyed bool      // it has answered under this fence
	born     int64
	clock    time.Duration // of the worker ...
	clockAt  time.Time     // ... when its answer was received
	free     worker.Resources
	runs     map[string]*run
	foreign  int                // runs listed that are not of this pool
	handled  int64              // sequence of the last end that was taken into account
	acked    int64              // sequence that was last acknowledged
	pins     map[int64]struct{} // ends that may not be acknowledged yet
	lease    time.Time          // by then all has lapsed that was ordered so far
	holding  bool
	heldAt   time.Time
	errors   int // calls without an answer since the last one with
	probeAt  time.Time
	health   health
}

// takeFleet brings the nodes in line with the list.
func (p *Scheduler) takeFleet(m WorkerList) {
	listed := map[string]bool{}
	for _, w := range m.Workers {
		listed[w.ID] = true
		n := p.nodes[w.ID]
		if n != nil && n.Address == w.Address {
			wasDraining := n.Draining
			n.Worker, n.removed = w, time.Time{}
			// An entry may be older than the last answer of the worker.
			if w.Incarnation > n.born && n.born != 0 {
				p.reborn(n, w.Incarnation, nil)
			}
			p.recount(n)
			if w.Draining && !wasDraining {
				p.note("worker-draining", "", w.ID, "listed as draining", nil)
			}
			continue
		}
		if n != nil {
			p.loseAll(n, "listed at another address")
		}
		p.nodes[w.ID] = newNode(w)
		p.note("worker-added", "", w.ID, "listed", nil)
	}
	for _, w := range m.Removed {
		if p.nodes[w.ID] == nil && w.Elapsed < p.rules.RemovalGrace {
			n := newNode(w.Worker)
			n.removed = p.now.Add(-w.Elapsed)
			p.nodes[w.ID], listed[w.ID] = n, true
			p.note("worker-added", "", w.ID, "no longer listed, may still be at work", map[string]int64{"unlisted-ms": ms(w.Elapsed)})
		}
	}
	for id, n := range p.nodes {
		if !listed[id] && n.removed.IsZero() {
			n.removed = p.now
			p.note("worker-removed", "", id, "no longer listed", nil)
		}
	}
	p.sortNodes()
}

func newNode(w worker.Worker) *node {
	return &node{Worker: w, born: w.Incarnation, free: w.Capacity, runs: map[string]*run{}, pins: map[int64]struct{}{}, health: health{pace: 1}}
}

func (p *Scheduler) sortNodes() {
	p.order = p.order[:0]
	for _, n := range p.nodes {
		p.order = append(p.order, n)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
}

// forgetGone drops workers that are no longer listed and whose runs have certainly ended.
func (p *Scheduler) forgetGone() {
	dropped := false
	for id, n := range p.nodes {
		if n.removed.IsZero() || p.now.Sub(n.removed) < p.rules.RemovalGrace || p.now.Before(n.lease) {
			continue
		}
		if len(n.runs) > 0 && n.errors == 0 {
			continue // it still answers; its runs end by themselves
		}
		p.loseAll(n, "worker gone")
		delete(p.nodes, id)
		dropped = true
	}
	if dropped {
		p.sortNodes()
	}
}

// recount derives the free room of a node from its capacity and its runs.
func (p *Scheduler) recount(n *node) {
	n.free = n.Capacity
	for _, r := range n.runs {
		n.free = n.free.Sub(r.need)
	}
}

// readClock notes what an answer says of the worker's clock and incarnation. It returns false after a restart.
func (p *Scheduler) readClock(n *node, report worker.Report, confirmed *run) bool {
	n.errors = 0
	if report.Clock > 0 {
		n.clock, n.clockAt = report.Clock, p.now
	}
	if report.Incarnation == 0 || report.Incarnation == n.born {
		return true
	}
	if n.born == 0 {
		n.born = report.Incarnation
		return true
	}
	p.reborn(n, report.Incarnation, confirmed)
	return false
}

// reborn takes in that a worker has restarted, by which all runs are lost but the one that its answer confirms, if any.
func (p *Scheduler) reborn(n *node, born int64, confirmed *run) {
	n.born = born
	for _, r := range n.sortedRuns() {
		switch {
		case r == confirmed:
		case r.confirmed.IsZero():
			// Its start may still reach the new incarnation, whose clock does not make it late.
			p.stopRun(r)
		default:
			p.runLost(r, "worker restarted")
		}
	}
	p.loseFound(n)
	n.surveyed, n.handled, n.acked, n.probeAt = false, 0, 0, p.now
	clear(n.pins)
}

// clockNow returns a time that the worker's clock has certainly reached.
func (p *Scheduler) clockNow(n *node) time.Duration {
	since := p.now.Sub(n.clockAt)
	return n.clock + time.Duration(float64(since)*(1-p.rules.ClockDrift))
}

// extend returns the lease for an order that is sent now and notes until when its effect may last.
func (p *Scheduler) extend(n *node) time.Duration {
	lease := time.Duration(float64(p.rules.LeaseDuration) * (1 + p.rules.ClockDrift))
	// The worker's clock may be ahead of the estimate, never behind it, so the lease cannot last longer than this.
	if until := p.now.Add(lease + leaseSlack); until.After(n.lease) {
		n.lease = until
	}
	return p.clockNow(n) + p.rules.LeaseDuration
}

// leaseSlack covers rounding of the worker's clock to milliseconds and the time that a worker takes to kill runs.
const leaseSlack = 20 * time.Millisecond

// usable says whether new tasks may go to the node.
func (p *Scheduler) usable(n *node) bool {
	if n.Draining || !n.surveyed || n.errors > 0 || n.foreign > 0 {
		return false
	}
	return n.removed.IsZero() || p.now.Sub(n.removed) < p.rules.RemovalGrace
}

// renew sends the holds that are due.
func (p *Scheduler) renew() {
	for _, n := range p.order {
		if n.holding {
			continue
		}
		order := worker.PollOrder{Target: target(n), Fence: p.fence, AckedThrough: p.ackable(n)}
		switch {
		case n.errors > 0 || !n.surveyed || n.foreign > 0:
			if p.now.Before(n.probeAt) {
				continue
			}
			// A worker that may hear without being heard must not keep its runs alive, so its lease is not renewed,
			// except for the first retry after a lost answer.
			if n.surveyed && n.errors <= 1 && (len(n.runs) > 0 || p.keepsFound(n)) {
				order.Lease = p.extend(n)
			}
		case p.unacked(n):
			continue
		case len(n.runs) > 0:
			order.Lease = p.extend(n)
			order.Wait = p.holdWait(n)
		case n.acked < order.AckedThrough:
			if p.now.Sub(n.heldAt) < p.rules.AckDelay {
				continue
			}
		default:
			continue
		}
		order.Timeout = order.Wait + p.holdSlack()
		n.holding, n.heldAt = true, p.now
		n.probeAt = p.now.Add(p.rules.ProbeInterval)
		if n.foreign > 0 {
			n.probeAt = p.now.Add(p.rules.MinPollWait)
		}
		p.emit(PollWorker{order})
	}
}

func target(n *node) worker.Target { return worker.Target{ID: n.ID, Address: n.Address} }

// holdWait returns how long a hold may wait for an end: less if a run is to be judged earlier, or if two tries would
// outlast the lease since answers come late.
func (p *Scheduler) holdWait(n *node) time.Duration {
	wait := min(p.rules.MaxPollWait, p.rules.LeaseDuration-2*p.holdSlack()-leaseMargin)
	for _, r := range n.runs {
		wait = min(wait, r.judgeAt.Sub(p.now))
	}
	return max(wait, p.rules.MinPollWait)
}

// leaseMargin is kept of the lease for the way of the second try of a hold.
const leaseMargin = 100 * time.Millisecond

// holdAnswered takes in what a worker lists.
func (p *Scheduler) holdAnswered(m PollResult) {
	n := p.nodes[m.Order.ID]
	if n == nil || n.Address != m.Order.Address {
		return
	}
	n.holding = false
	if m.Err != nil {
		p.holdFailed(n, m.Order, m.Err)
		return
	}
	if !p.readClock(n, m.Report, nil) {
		return
	}
	n.acked = max(n.acked, m.Order.AckedThrough)
	if !n.surveyed {
		p.survey(n, m.Report)
		return
	}
	p.takeEnds(n, m.Report.Ended)
	p.takeRunning(n, m)
}

func (p *Scheduler) holdFailed(n *node, order worker.PollOrder, err error) {
	if reason, ok := worker.RejectionReason(err); ok {
		switch reason {
		case worker.ReasonStaleFence:
			if order.Fence >= p.fence {
				p.fenced(n.ID)
			}
			return
		case worker.ReasonWrongIncarnation:
			p.loseAll(n, "worker restarted")
			n.surveyed, n.handled, n.acked, n.born = false, 0, 0, 0
			clear(n.pins)
		}
	}
	n.errors++
	if n.errors == 1 {
		n.probeAt = p.now
	}
	if n.errors == 2 {
		p.note("worker-silent", "", n.ID, err.Error(), map[string]int64{"runs": int64(len(n.runs))})
	}
	p.lapse(n)
}

// survey takes in what runs on a worker at the first answer under this fence.
func (p *Scheduler) survey(n *node, report worker.Report) {
	n.surveyed = true
	n.handled = 0
	until := p.now.Add(p.rules.AdoptionTimeout)
	for _, e := range report.Ended {
		n.handled = max(n.handled, e.Sequence)
		if own := n.runs[e.Task]; own != nil && own.number == e.Number {
			p.keepEnd(n, e)
			p.runEnded(own, e)
			continue
		}
		p.earlierEnd(n, e)
		if e.Outcome == worker.Done {
			p.found[e.Task] = found{node: n, number: e.Number, done: true, until: until}
			p.resume(e.Task)
		}
	}
	for _, r := range report.Running {
		if own := n.runs[r.Task]; own != nil && own.number == r.Number {
			continue
		}
		n.foreign++
		p.found[r.Task] = found{node: n, number: r.Number, until: until}
		p.resume(r.Task)
	}
	if n.foreign > 0 {
		// Keeps the runs alive until the entry VMs have said which of them they still need.
		n.lease = p.now
		n.probeAt = p.now
		p.emit(PollWorker{worker.PollOrder{Target: target(n), Fence: p.fence, Lease: p.extend(n), Timeout: p.holdSlack()}})
		n.holding, n.heldAt = true, p.now
	}
}

// takeEnds takes in the ends that are not known yet.
func (p *Scheduler) takeEnds(n *node, ends []worker.EndedRun) {
	for _, e := range ends {
		if e.Sequence <= n.handled {
			continue
		}
		n.handled = e.Sequence
		r := n.runs[e.Task]
		if r == nil || r.number != e.Number {
			p.earlierEnd(n, e)
			continue
		}
		p.keepEnd(n, e)
		p.runEnded(r, e)
	}
}

// takeRunning compares the list of running tasks with the runs that the pool knows.
func (p *Scheduler) takeRunning(n *node, m PollResult) {
	listed := make(map[string]worker.ActiveRun, len(m.Report.Running))
	var foreign []worker.ActiveRun
	for _, r := range m.Report.Running {
		if own := n.runs[r.Task]; own != nil && own.number == r.Number {
			listed[r.Task] = r
			continue
		}
		foreign = append(foreign, r)
	}
	p.takeForeign(n, foreign)
	for _, r := range n.sortedRuns() {
		row, running := listed[r.name]
		switch {
		case running:
			p.checkpoint(r, row.Checkpoint)
			if r.stopping && m.SentAt.Sub(r.stopAt) > p.rules.ProbeInterval {
				p.sendStop(r) // the order to stop was lost
			}
			p.observe(r, row.Progress, m.Report.Clock)
		case r.confirmed.IsZero() && m.Report.Clock <= r.lease:
			// The start has no answer yet and may still be carried out.
		case !r.confirmed.IsZero() && !r.confirmed.Before(m.SentAt):
			// The run began after the list was asked for.
		default:
			p.runLost(r, "not listed by its worker")
		}
	}
}

func (n *node) sortedRuns() []*run {
	runs := make([]*run, 0, len(n.runs))
	for _, r := range n.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].name < runs[j].name })
	return runs
}

// lapse gives up the runs of a silent worker whose lease has certainly ended.
func (p *Scheduler) lapse(n *node) {
	if n.errors == 0 || len(n.runs)+n.foreign == 0 || p.now.Before(n.lease) {
		return
	}
	p.loseAll(n, "lease lapsed without an answer")
}

func (p *Scheduler) loseAll(n *node, reason string) {
	for _, r := range n.sortedRuns() {
		p.runLost(r, reason)
	}
	p.loseFound(n)
}

// loseFound forgets the runs of an earlier holder on a worker that has certainly lost them.
func (p *Scheduler) loseFound(n *node) {
	for name, f := range p.found {
		if f.node == n {
			delete(p.found, name)
		}
	}
	n.foreign = 0
}
