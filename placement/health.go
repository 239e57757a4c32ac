package placement

import (
	"slices"
	"time"
)

// health is the pool's belief about whether a worker runs tasks well.
type health struct {
	pace    float64 // run time of its tasks as a multiple of that on other workers
	streak  int     // bad runs since the last good one
	until   time.Time
	spell   time.Duration
	onTrial bool // one run at a time until a good one
}

const (
	// paceWeight is the weight of one run in the moving average of a worker's pace and a route's run time.
	paceWeight = 0.1
	// maxPace bounds the pace that is learned, so that one extreme run does not bar a worker for long.
	maxPace = 8
	minPace = 0.5
	// judgeFactor is the share of the expected time after which the progress of a run tells its speed.
	judgeFactor = 0.2
	// strikesForQuarantine is the number of bad runs in a row; tasks fail by themselves in 0.2% of all runs.
	strikesForQuarantine = 2
	// hangFactor and hangSlack bound the time of a run of a stored job, as a multiple of its longest expected time.
	hangFactor = 4
	hangSlack  = time.Second
	// tellingProgress is the progress in percent from which on the length of a run can be told.
	tellingProgress = 5
	// maxMoves bounds how often one task is moved away from slow workers.
	maxMoves = 2
)

// strike counts a bad run and bars the worker after some in a row, for a time that doubles.
func (p *Scheduler) strike(n *node, reason string) {
	n.health.streak++
	if n.health.streak < strikesForQuarantine && !n.health.onTrial {
		return
	}
	p.quarantine(n, reason)
}

func (p *Scheduler) quarantine(n *node, reason string) {
	if p.now.Before(n.health.until) {
		return
	}
	h := &n.health
	h.spell = min(max(2*h.spell, p.rules.Quarantine), p.rules.MaxQuarantine)
	h.until, h.onTrial = p.now.Add(h.spell), true
	p.note("worker-barred", "", n.ID, reason, map[string]int64{"for-ms": ms(h.spell), "bad-runs": int64(h.streak)})
}

// pardon takes back the strikes of a task that failed on several workers: the task is bad, not the workers.
func (p *Scheduler) pardon(ids []string) {
	if len(ids) < 2 {
		return
	}
	for _, id := range ids {
		n := p.nodes[id]
		if n == nil || n.health.streak == 0 {
			continue
		}
		n.health.streak--
		if n.health.streak < strikesForQuarantine {
			n.health.until, n.health.spell = p.now, 0
		}
	}
}

// learn takes a good run into account.
func (p *Scheduler) learn(r *run, took time.Duration) {
	h := &r.node.health
	h.streak, h.onTrial, h.spell = 0, false, 0
	if r.moving {
		return
	}
	sound := float64(r.expected) / h.pace
	if sound <= 0 {
		return
	}
	ratio := min(max(float64(took)/sound, minPace), maxPace)
	h.pace += paceWeight * (ratio - h.pace)
	key := r.batch.policy.Route
	length := float64(took) / h.pace
	if known, ok := p.durations[key]; ok {
		length = known + paceWeight*(length-known)
	}
	p.durations[key] = length
}

// observe judges a running task by its progress and moves it if it would end sooner elsewhere.
// Its time counts on the worker's clock, since orders and lists may be slow on their way.
func (p *Scheduler) observe(r *run, progress int, clock time.Duration) {
	r.batch.begun = true
	if r.confirmed.IsZero() {
		r.confirmed = p.now
	}
	if r.beganAt == 0 {
		r.beganAt, r.beganWith = clock, progress // the start had no answer; it is judged from here on
	}
	r.progress = max(r.progress, progress)
	if made := r.progress - r.beganWith; made >= tellingProgress {
		r.projected = (clock - r.beganAt) * time.Duration(100-r.beganWith) / time.Duration(made)
	}
	if r.stopping || r.lasting() || p.now.Before(r.judgeAt) {
		return
	}
	others, open := p.lengthOfOthers(r)
	if others == 0 && open && !r.deferred {
		r.deferred, r.judgeAt = true, p.now.Add(p.rules.MinPollWait) // the others are being listed
		return
	}
	elapsed := clock - r.beganAt
	sound := max(p.longest(r.batch, r.step), others)
	total := elapsed * time.Duration(100-r.beganWith) / time.Duration(max(r.progress-r.beganWith, 1))
	r.judgeAt = p.now.Add(max(sound/4, p.rules.MinPollWait))
	slow := float64(total) > p.rules.StragglerFactor*float64(sound) && total-elapsed >= sound+sound/4+p.rules.StallGrace
	// A job with a deadline ends by it; a stored one would wait for ever for a run that claims progress and does not end.
	hangs := r.batch.kept && elapsed > hangFactor*p.longest(r.batch, r.step)+hangSlack
	if !hangs && (!slow || r.batch.gang(r.step)) {
		return
	}
	t := &r.batch.steps[r.step].tasks[r.index]
	values := map[string]int64{"elapsed-ms": ms(elapsed), "expected-ms": ms(sound), "progress": int64(r.progress), "run": int64(r.number)}
	if t.moved >= maxMoves {
		return
	}
	t.moved++
	t.avoid = append(t.avoid, r.node.ID)
	r.moving = true
	p.note("run-moved", r.batch.work.ID, r.node.ID, "progress is far behind the expected time", values)
	r.node.health.pace = min(max(r.node.health.pace, float64(total)/float64(sound)), maxPace)
	r.node.health.streak++
	r.node.health.spell = max(r.node.health.spell, p.rules.StallQuarantine/2)
	p.quarantine(r.node, "runs make little progress")
	p.stopRun(r)
}

// lengthOfOthers returns the median run time of the other tasks of the step, by their ends and by their progress on other
// workers, 0 if nothing is known, and whether some still run there. Where all tasks of a job take longer than declared, the
// job is long and no worker is slow.
func (p *Scheduler) lengthOfOthers(r *run) (length time.Duration, open bool) {
	s := &r.batch.steps[r.step]
	lengths := append([]time.Duration(nil), s.lengths...)
	for j := range s.tasks {
		o := p.tasks[r.batch.name(r.step, j)]
		if j == r.index || o == nil || o.batch != r.batch || o.node == r.node {
			continue
		}
		if o.projected > 0 {
			lengths = append(lengths, o.projected)
		}
		open = true
	}
	if len(lengths) == 0 {
		return 0, open
	}
	slices.Sort(lengths)
	return lengths[len(lengths)/2], open
}

// longest returns the run time that a task of the step may well need on a sound worker, since declared times are rough.
func (p *Scheduler) longest(b *batch, step int) time.Duration {
	known, ok := p.durations[b.policy.Route]
	if !ok {
		return 2 * b.work.Steps[step].Estimate
	}
	return max(p.expected(b, step), b.work.Steps[step].Estimate, time.Duration(known))
}

// lastingTime stands for the run time of a task that lasts: its room is not expected to become free.
const lastingTime = time.Hour

// expected returns the expected run time of a task of the step on a sound worker.
func (p *Scheduler) expected(b *batch, step int) time.Duration {
	if b.work.Steps[step].Lasting {
		return lastingTime
	}
	declared := float64(b.work.Steps[step].Estimate)
	known, ok := p.durations[b.policy.Route]
	if !ok || len(b.work.Steps) > 1 {
		return time.Duration(declared)
	}
	return time.Duration(blend(declared, known))
}
