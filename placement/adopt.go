package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// found is a run of an earlier holder that a worker has listed.
type found struct {
	node   *node
	number int
	done   bool
	ending bool      // it is being stopped; its task may start again when it is gone
	until  time.Time // when it is stopped if no entry VM has resumed its job
}

// adopt takes over the runs of a job that an earlier holder has started.
func (p *Scheduler) adopt(b *batch, resumed bool, progress Progress) {
	for i := range b.steps {
		for j := range b.steps[i].tasks {
			p.resume(b.name(i, j))
			t := &b.steps[i].tasks[j]
			if resumed && t.state == taskWaiting && (!progress.known() || t.lastSeen != "") {
				// The earlier holder may have renewed the lease of a worker that is still out of reach until now.
				t.notBefore = p.now.Add(time.Duration(float64(p.rules.LeaseDuration)*(1+p.rules.ClockDrift)) + leaseSlack)
			}
		}
	}
}

// resume connects a run of an earlier holder with the job that it belongs to.
func (p *Scheduler) resume(name string) {
	f, ok := p.found[name]
	if !ok || f.ending {
		return
	}
	b, i, j := p.locate(name)
	if b == nil || b.steps[i].tasks[j].state != taskWaiting {
		return
	}
	if f.done && b.kept {
		return // earlierEnd counts it, and keeps it unacknowledged until that is stored
	}
	delete(p.found, name)
	t := &b.steps[i].tasks[j]
	t.runs = max(t.runs, f.number)
	b.started, b.begun = true, true
	p.note("run-adopted", b.work.ID, f.node.ID, "", map[string]int64{"run": int64(f.number)})
	if f.done {
		p.taskDone(b, i, j)
		return
	}
	t.state = taskPlaced
	b.waiting--
	expected := time.Duration(float64(p.expected(b, i)) * f.node.health.pace)
	r := &run{
		name: name, batch: b, step: i, index: j, number: f.number, node: f.node, need: b.work.Steps[i].Need,
		sent: p.now, confirmed: p.now, expected: expected, judgeAt: p.now.Add(expected), moving: true,
	}
	f.node.runs[name] = r
	f.node.foreign = max(f.node.foreign-1, 0)
	f.node.free = f.node.free.Sub(r.need)
	p.tasks[name] = r
}

// endAdoption stops the runs of an earlier holder that no entry VM has resumed.
func (p *Scheduler) endAdoption() {
	left := 0
	for _, name := range sortedNames(p.found) {
		f := p.found[name]
		if f.ending || p.now.Before(f.until) || p.awaited(name) {
			continue
		}
		left++
		if f.done {
			if p.restored {
				delete(p.found, name)
			}
			continue
		}
		p.endFound(name, f)
	}
	if left > 0 {
		p.note("adoption-ended", "", "", "runs of the earlier holder were not resumed", map[string]int64{"runs": int64(left)})
	}
}

// awaited says whether a found run is one of a lasting job that is still being read from the store.
func (p *Scheduler) awaited(name string) bool {
	id, _, _, _ := job.ParseTaskName(name)
	return !p.restored && p.lasting[id]
}

// keepsFound says whether the lease of a worker is renewed for the sake of found runs.
func (p *Scheduler) keepsFound(n *node) bool {
	for name, f := range p.found {
		if f.node == n && !f.done && !f.ending && p.awaited(name) {
			return true
		}
	}
	return false
}

// endFound stops a run that is not of this pool; its task must not start again before its worker lists it no more.
func (p *Scheduler) endFound(name string, f found) {
	f.ending = true
	p.found[name] = f
	p.emit(StopRun{worker.StopOrder{Target: target(f.node), Run: worker.Run{Task: name, Number: f.number}, Fence: p.fence}})
}

// takeForeign takes in the listed runs of a worker that are not of this pool.
func (p *Scheduler) takeForeign(n *node, listed []worker.ActiveRun) {
	present := map[string]bool{}
	for _, r := range listed {
		present[r.Task] = true
		f, known := p.found[r.Task]
		switch {
		case !known || f.node != n || f.number != r.Number:
			p.endFound(r.Task, found{node: n, number: r.Number})
		case f.ending:
			p.endFound(r.Task, f)
		}
	}
	for name, f := range p.found {
		if f.node == n && !f.done && !present[name] {
			delete(p.found, name)
		}
	}
	n.foreign = len(listed)
}

func sortedNames(m map[string]found) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// allSurveyed says whether every worker that an earlier holder may have used has shown what runs on it.
func (p *Scheduler) allSurveyed() bool {
	for _, n := range p.order {
		if !n.surveyed {
			return false
		}
	}
	return len(p.order) > 0
}
