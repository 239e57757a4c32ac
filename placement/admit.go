package placement

import (
	"container/heap"
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// admit decides whether a job is taken: only if it can be run here, and on time by what is queued and running.
func (p *Scheduler) admit(b *batch, resumed bool) (Verdict, bool) {
	if resumed {
		return nil, true
	}
	if len(p.byID) >= p.rules.MaxJobs {
		return p.refusal("too many jobs", p.rules.MaxRetryAfter), false
	}
	for i := range b.work.Steps {
		if !p.possible(b, i) {
			return p.refusal("no worker of the group can run the job", p.rules.MaxRetryAfter), false
		}
	}
	wait, ok := p.predict(b)
	if !ok {
		return p.refusal("no worker takes work", p.rules.MinRetryAfter), false
	}
	late := p.now.Add(wait + time.Duration(lengthDoubt*float64(p.chain(b)))).Sub(b.objective)
	if late > 0 && !p.roomNow(b) {
		v := p.refusal("the job would not end on time", late)
		p.note("job-refused", b.work.ID, "", "would not end on time", map[string]int64{
			"predicted-ms": ms(wait), "late-ms": ms(late), "priority": int64(b.policy.Priority), "queued": int64(len(p.queue)),
		})
		return v, false
	}
	return nil, true
}

// lengthDoubt is the share of the expected run time by which a job may take longer before it is late: declared times are
// off by 40%, and a job that is refused at once serves its caller better than one that is taken and late.
const lengthDoubt = 0.25

// roomNow says whether the job may start at once without delaying another one: late is better than never then.
func (p *Scheduler) roomNow(b *batch) bool {
	if len(p.queue) > 0 || len(b.work.Steps) == 0 {
		return false
	}
	for _, n := range p.order {
		if p.open(n) && p.allowed(b, 0, n) && b.work.Steps[0].Need.FitsIn(n.free) {
			return true
		}
	}
	return false
}

// possible says whether some worker of the group could ever run the step.
func (p *Scheduler) possible(b *batch, i int) bool {
	room := 0
	for _, n := range p.order {
		if n.Service == b.policy.Service && b.work.Steps[i].Need.FitsIn(n.Capacity) && p.allowed(b, i, n) && !n.Draining {
			room += perWorker(b, i, n)
		}
	}
	return room >= 1 && (!b.gang(i) || room >= len(b.steps[i].tasks))
}

func (p *Scheduler) refusal(reason string, wait time.Duration) NotRun {
	return NotRun{Reason: reason, RetryAfter: min(max(wait, p.rules.MinRetryAfter), p.rules.MaxRetryAfter)}
}

// slots is a heap of the times at which room for one task becomes free.
type slots []time.Duration

func (s slots) Len() int           { return len(s) }
func (s slots) Less(i, j int) bool { return s[i] < s[j] }
func (s slots) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slots) Push(x any)        { *s = append(*s, x.(time.Duration)) }
func (s *slots) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// take uses the first free slot for a time and returns when that use ends.
func (s slots) take(length time.Duration) time.Duration {
	s[0] += length
	end := s[0]
	heap.Fix(&s, 0)
	return end
}

// freeSlots returns when room for tasks of the given size becomes free on the workers that take work.
func (p *Scheduler) freeSlots(service string, need worker.Resources) slots {
	var s slots
	for _, n := range p.order {
		if n.Service != service || !p.usable(n) || p.now.Before(n.health.until) || n.health.onTrial {
			continue
		}
		free := count(n.free, need)
		for range free {
			s = append(s, 0)
		}
		later := count(n.Capacity, need) - free
		for _, r := range n.sortedRuns() {
			if later == 0 {
				break
			}
			s = append(s, max(r.end().Sub(p.now), 0))
			later--
		}
	}
	heap.Init(&s)
	return s
}

// count returns how many tasks of a size fit into an amount, as far as predictions care.
func count(free, need worker.Resources) int { return min(need.CountIn(free), maxSlotsPerWorker) }

// maxSlotsPerWorker bounds the work of a prediction when tasks are tiny.
const maxSlotsPerWorker = 64

// predict returns the expected time to the end of the job, behind all queued tasks that go before it.
func (p *Scheduler) predict(b *batch) (time.Duration, bool) {
	if len(b.work.Steps) == 0 {
		return 0, true
	}
	s := p.freeSlots(b.policy.Service, b.work.Steps[0].Need)
	if len(s) == 0 {
		return 0, false
	}
	p.queueInto(s, b.policy.Service, func(q *batch) bool { return q.order <= b.order })
	ends := make([]time.Duration, len(b.steps))
	var last time.Duration
	for i := range b.steps {
		var from time.Duration
		for _, earlier := range b.work.Steps[i].After {
			from = max(from, ends[earlier])
		}
		length := p.expected(b, i)
		for range b.steps[i].tasks {
			ends[i] = max(ends[i], s.take(length), from+length)
		}
		last = max(last, ends[i])
	}
	return last, true
}

// unfinished returns the jobs with tasks that have no worker yet: those in the queue, and those whose later steps wait for
// earlier ones. Jobs of several steps that are taken need room for all of them.
func (p *Scheduler) unfinished() []*batch {
	list := p.queue
	for _, b := range p.byID {
		if !b.queued && len(b.steps) > 1 {
			list = append(list[:len(list):len(list)], b)
		}
	}
	if blocked := list[len(p.queue):]; len(blocked) > 1 {
		sort.Slice(blocked, func(i, j int) bool { return blocked[i].work.ID < blocked[j].work.ID })
	}
	return list
}

// queueInto fills slots with the tasks that have no worker yet of the jobs that go before.
func (p *Scheduler) queueInto(s slots, service string, before func(*batch) bool) {
	for _, q := range p.unfinished() {
		if q.policy.Service != service || p.now.Before(q.due) || !before(q) {
			continue
		}
		for i := range q.steps {
			length := p.expected(q, i)
			for _, t := range q.steps[i].tasks {
				if t.state == taskWaiting || t.state == taskBlocked {
					s.take(length)
				}
			}
		}
	}
}

// backlog returns when a new task of the priority would start.
func (p *Scheduler) backlog(priority int) time.Duration {
	for _, q := range p.queue {
		if q.policy.Priority <= priority && len(q.work.Steps) > 0 {
			s := p.freeSlots(q.policy.Service, q.work.Steps[0].Need)
			if len(s) == 0 {
				return p.rules.MaxRetryAfter
			}
			p.queueInto(s, q.policy.Service, func(o *batch) bool { return o.policy.Priority <= priority })
			return s[0]
		}
	}
	return 0
}

// Load returns a summary of the pool; typical is the size of the tasks that waits are given for.
func (p *Scheduler) Load(service string, typical worker.Resources) Load {
	l := Load{}
	for _, n := range p.order {
		if n.Service == service && p.open(n) {
			l.Workers++
			l.FreeMilliCores += max(n.free.MilliCores, 0)
		}
	}
	s := p.freeSlots(service, typical)
	if len(s) == 0 {
		for range loadPriorities {
			l.Wait = append(l.Wait, p.rules.MaxRetryAfter)
		}
		return l
	}
	for priority := range loadPriorities {
		p.queueInto(s, service, func(q *batch) bool { return q.policy.Priority == priority })
		l.Wait = append(l.Wait, s[0])
	}
	return l
}

// loadPriorities is the number of priorities of which a Load gives the waits.
const loadPriorities = 4
