package placement

import (
	"cmp"
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
)

// batch is a job in the pool.
type batch struct {
	keys      map[SubmissionKey]struct{} // submissions that wait for the verdict
	work      job.Work
	policy    job.Policy
	arrived   time.Time // at the first entry VM, or the time of a scheduled job
	due       time.Time // no task starts before
	deadline  time.Time // of the answer
	objective time.Time // latest end that is still on time
	steps     []step
	left      int  // tasks that are not done
	waiting   int  // tasks that wait for room and whose turn has come
	started   bool // a task may have started
	begun     bool // a task has started
	queued    bool
	closed    bool // answered; its runs are being stopped
	order     float64
	lateness  int           // as of the last placement
	specless  bool          // the spec is known to the sender only
	sender    SubmissionKey // submission whose VM sends the starts, zero for the holder itself or if that VM is lost

	kept      bool // stored; the fields below are used for such jobs only
	state     DurableState
	notBefore time.Time // runs of an earlier holder may be alive until then
	version   int       // grows with each change that has to be stored
	saved     int       // version that is stored
	saving    bool
	pins      []pin
}

type step struct {
	tasks   []task
	left    int
	lengths []time.Duration // run times of tasks that are done
}

type taskState uint8

const (
	taskBlocked taskState = iota // earlier steps are not done
	taskWaiting                  // for room
	taskPlaced                   // a run may be alive
	taskDone
)

type task struct {
	state     taskState
	runs      int // highest run number
	failed    int
	counted   int       // highest number of a failed run that is counted
	moved     int       // runs given up since their worker was slow
	notBefore time.Time // an earlier holder's run may be alive until then ...
	lastSeen  string    // ... on this worker, or on any one if empty
	avoid     []string  // workers on which it failed or stood still
	resumeAt  string    // newest checkpoint
}

func (b *batch) name(step, index int) string { return job.TaskName(b.work.ID, step, index) }

// anyWorker stands for the worker of a run that may be alive where it is not known on which.
const anyWorker = "*"

// progress sums up the job for the next holder.
func (b *batch) progress(alive map[string]*run, earlier map[string]found, now time.Time) Progress {
	p := Progress{}
	for i := range b.steps {
		n := len(b.steps[i].tasks)
		done, failed, counted, runs := make([]bool, n), make([]int, n), make([]int, n), make([]int, n)
		on, checkpoints := make([]string, n), make([]string, n)
		for j, t := range b.steps[i].tasks {
			done[j], failed[j], counted[j], runs[j], checkpoints[j] = t.state == taskDone, t.failed, t.counted, t.runs, t.resumeAt
			if r := alive[b.name(i, j)]; r != nil {
				on[j] = r.node.ID
			} else if f, ok := earlier[b.name(i, j)]; ok && !f.done {
				on[j] = f.node.ID
			} else if t.notBefore.After(now) {
				on[j] = cmp.Or(t.lastSeen, anyWorker)
			}
		}
		p.Done, p.Failed, p.Counted = append(p.Done, done), append(p.Failed, failed), append(p.Counted, counted)
		p.Runs, p.On, p.Checkpoints = append(p.Runs, runs), append(p.On, on), append(p.Checkpoints, checkpoints)
	}
	return p
}

func (b *batch) restore(p Progress) {
	for i := range b.steps {
		if !p.fits(i, len(b.steps[i].tasks)) {
			continue
		}
		for j := range b.steps[i].tasks {
			t := &b.steps[i].tasks[j]
			t.failed, t.counted, t.runs, t.resumeAt = p.Failed[i][j], p.Counted[i][j], p.Runs[i][j], p.Checkpoints[i][j]
			if p.On != nil {
				t.lastSeen = p.On[i][j]
			}
			if p.Done[i][j] {
				t.state = taskDone
				b.steps[i].left--
				b.left--
			}
		}
	}
}

// fits says whether the progress of a step has the given number of tasks.
func (p Progress) fits(step, tasks int) bool {
	for _, length := range []int{stepLength(p.Done, step), stepLength(p.Failed, step), stepLength(p.Counted, step), stepLength(p.Runs, step), stepLength(p.Checkpoints, step)} {
		if length != tasks {
			return false
		}
	}
	return p.On == nil || stepLength(p.On, step) == tasks
}

func stepLength[T any](rows [][]T, step int) int {
	if step >= len(rows) {
		return -1
	}
	return len(rows[step])
}

// submit admits a job or refuses it at once.
func (p *Scheduler) submit(m Submit) {
	if m.Durable {
		p.keep(m)
		return
	}
	if same := p.byID[m.Work.ID]; same != nil && !same.closed {
		same.keys[m.Key] = struct{}{}
		same.joined(m)
		p.jobs[m.Key] = same
		same.deadline = p.now.Add(m.Budget)
		p.note("job-joined", m.Work.ID, "", "the job is already here", nil)
		return
	}
	b := p.newBatch(m)
	if verdict, ok := p.admit(b, m.Resumed); !ok {
		p.emit(Reply{m.Key, verdict})
		return
	}
	p.jobs[m.Key] = b
	p.byID[b.work.ID] = b
	p.unblock(b)
	p.adopt(b, m.Resumed, m.Progress)
	if b.left == 0 && !b.closed {
		p.close(b, Completed{})
	}
}

func (p *Scheduler) newBatch(m Submit) *batch {
	b := &batch{
		keys:    map[SubmissionKey]struct{}{m.Key: {}},
		work:    m.Work,
		policy:  m.Policy,
		arrived: p.now.Add(-m.Age),
		due:     p.now.Add(m.StartDelay),
		started: m.Resumed,
	}
	if m.DelegatedStarts {
		b.specless, b.sender = true, m.Key
	}
	b.deadline = p.now.Add(m.Budget)
	for _, s := range m.Work.Steps {
		b.steps = append(b.steps, step{tasks: make([]task, s.Count), left: s.Count})
		b.left += s.Count
	}
	if m.Resumed {
		b.restore(m.Progress)
		p.renumberGangs(b)
	}
	ideal := time.Duration(float64(p.chain(b)) * max(b.policy.Stretch, 1))
	b.objective = b.arrived.Add(ideal + b.policy.Target)
	if m.Work.IsLongRunning() {
		b.objective = b.arrived.Add(b.policy.Target) // each moment that its tasks are not at work counts
	}
	b.order = p.rank(b)
	return b
}

// chain returns the expected run time of the longest chain of steps on sound workers.
func (p *Scheduler) chain(b *batch) time.Duration {
	ends := make([]time.Duration, len(b.work.Steps))
	var longest time.Duration
	for i, s := range b.work.Steps {
		var from time.Duration
		for _, earlier := range s.After {
			from = max(from, ends[earlier])
		}
		ends[i] = from + p.expected(b, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// unblock lets the tasks wait whose earlier steps are done.
func (p *Scheduler) unblock(b *batch) {
	for i := range b.steps {
		if !b.ready(i) {
			continue
		}
		for j := range b.steps[i].tasks {
			if b.steps[i].tasks[j].state == taskBlocked {
				b.steps[i].tasks[j].state = taskWaiting
				b.waiting++
				if b.kept {
					p.resume(b.name(i, j))
				}
			}
		}
	}
	p.enqueue(b)
}

func (b *batch) ready(i int) bool {
	for _, earlier := range b.work.Steps[i].After {
		if b.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// withdraw ends a submission without an answer.
func (p *Scheduler) withdraw(m Withdraw) {
	b := p.jobs[m.Key]
	if b == nil {
		return
	}
	delete(p.jobs, m.Key)
	delete(b.keys, m.Key)
	if len(b.keys) > 0 {
		b.lose(m.Key)
		return
	}
	p.note("job-withdrawn", b.work.ID, "", m.Reason, nil)
	p.close(b, nil)
}

// withdrawLink ends the submissions of a connection.
func (p *Scheduler) withdrawLink(link uint64) {
	for k := range p.jobs {
		if k.Conn == link {
			p.withdraw(Withdraw{Key: k, Reason: "connection of the entry VM lost"})
		}
	}
}

// close answers a job and stops what still runs of it.
func (p *Scheduler) close(b *batch, verdict Verdict) {
	for k := range b.keys {
		delete(p.jobs, k)
		if verdict != nil {
			p.emit(Reply{k, verdict})
		}
	}
	b.closed = true
	delete(p.byID, b.work.ID)
	if b.kept {
		switch verdict.(type) {
		case Completed:
			b.state = DurableCompleted
		case Failed:
			b.state = DurableFailed
		}
		b.version++
		p.changed = append(p.changed, b)
	}
	for i := range b.steps {
		for j := range b.steps[i].tasks {
			if r := p.tasks[b.name(i, j)]; r != nil && r.batch == b {
				p.stopRun(r)
			}
		}
	}
}

// taskWaits puts a task back after its run has ended without success.
func (p *Scheduler) taskWaits(b *batch, i, j int) {
	if b.closed || b.steps[i].tasks[j].state == taskDone {
		return
	}
	b.steps[i].tasks[j].state = taskWaiting
	b.waiting++
	p.enqueue(b)
}

// taskDone counts a task and ends the job with its last one.
func (p *Scheduler) taskDone(b *batch, i, j int) {
	t := &b.steps[i].tasks[j]
	if b.closed || t.state == taskDone {
		return
	}
	if t.state == taskWaiting {
		b.waiting--
	}
	t.state = taskDone
	b.steps[i].left--
	b.left--
	if b.left == 0 {
		p.close(b, Completed{})
		return
	}
	if b.steps[i].left == 0 {
		p.unblock(b)
	}
}

// taskFailed counts a failed run and ends the job when the policy allows no more of them.
func (p *Scheduler) taskFailed(b *batch, i, j int, on string) {
	if b.closed {
		return
	}
	t := &b.steps[i].tasks[j]
	b.gangFailed(i, j)
	t.failed++
	t.avoid = append(t.avoid, on)
	if t.failed >= max(b.policy.MaxAttempts, 1) {
		p.giveUp(b, i, j, on)
		return
	}
	p.taskWaits(b, i, j)
}

// giveUp ends a job of which a task has failed as often as the policy allows.
func (p *Scheduler) giveUp(b *batch, i, j int, on string) {
	t := &b.steps[i].tasks[j]
	p.note("job-failed", b.work.ID, on, "a task has failed as often as the route allows", map[string]int64{"attempts": int64(t.failed)})
	p.pardon(t.avoid)
	p.close(b, Failed{Task: b.name(i, j)})
}

// expire ends the jobs whose time is over.
func (p *Scheduler) expire() {
	var over []*batch
	for _, b := range p.byID {
		if !b.kept && !p.now.Before(b.deadline) {
			over = append(over, b)
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].work.ID < over[j].work.ID })
	for _, b := range over {
		if b.started {
			p.note("job-expired", b.work.ID, "", "the time for the answer is over", map[string]int64{"tasks-left": int64(b.left)})
			p.close(b, DeadlineExceeded{})
			continue
		}
		p.close(b, p.refusal("the time for the answer is over", p.rules.MinRetryAfter))
	}
}

// locate returns the job and position of a task by its name; the job is nil if it is not here.
func (p *Scheduler) locate(name string) (b *batch, step, index int) {
	id, step, index, ok := job.ParseTaskName(name)
	if !ok {
		return nil, 0, 0
	}
	b = p.byID[id]
	if b == nil || step < 0 || step >= len(b.steps) || index < 0 || index >= len(b.steps[step].tasks) {
		return nil, 0, 0
	}
	return b, step, index
}
