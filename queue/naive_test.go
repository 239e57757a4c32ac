package queue

import (
	"math"
	"slices"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

// naiveJob is a job of the naive queue with the indexes of its queued tasks.
type naiveJob struct {
	item     Job
	arrival  int64
	waiting  []int
	returned []int // newest last
	backTurn int   // turn of the last Requeue
}

// naive is a queue that recomputes everything from lists of jobs and running tasks at each call. It doesn't choose a
// task; it judges whether the task that the queue chose is one of the best, within the error of floating point.
type naive struct {
	policy    Policy
	ageing    time.Duration
	set       *contract.Set
	jobs      []*naiveJob // in order of arrival
	running   []Task
	slots     int
	elsewhere []Demand
	shares    map[string]int
	targets   map[Flow]float64
	met       map[Flow]bool
	weights   map[string]float64
	exact     map[Flow]float64 // service received
	virtual   map[Flow]float64 // the same as of the last sample, start or end
	ended     []Flow           // of tasks that ended since the last call that told the time
	least     float64
	seen      time.Time
	sampled   time.Time
	latest    int64
	turn      int
}

func (n *naive) find(id job.ID) *naiveJob {
	for _, j := range n.jobs {
		if j.item.ID == id {
			return j
		}
	}
	return nil
}

func (n *naive) count(match func(Flow) bool) (queued, running int) {
	for _, j := range n.jobs {
		if match(j.item.Flow) {
			queued += len(j.waiting) + len(j.returned)
		}
	}
	for _, t := range n.running {
		if match(t.Flow) {
			running++
		}
	}
	return queued, running
}

func (n *naive) flows() []Flow {
	var flows []Flow
	for _, j := range n.jobs {
		flows = append(flows, j.item.Flow)
	}
	for _, t := range n.running {
		flows = append(flows, t.Flow)
	}
	slices.SortFunc(flows, Flow.Compare)
	return slices.Compact(flows)
}

func (n *naive) demand() []Demand {
	var out []Demand
	for _, f := range n.flows() {
		queued, running := n.count(func(other Flow) bool { return other == f })
		if queued+running > 0 {
			out = append(out, Demand{Flow: f, Queued: queued, Running: running})
		}
	}
	return out
}

// limits returns the names of the limits of a team, lowest first.
func (n *naive) limits(team string) []string {
	var names []string
	for _, t := range n.set.Teams {
		for name := t.Limit; t.Name == team && name != ""; {
			names = append(names, name)
			at := slices.IndexFunc(n.set.Limits, func(l contract.Limit) bool { return l.Name == name })
			name = n.set.Limits[at].Parent
		}
	}
	return names
}

// quotaLeft reports whether all quotas allow the team one more task.
func (n *naive) quotaLeft(team string) bool {
	for _, l := range n.set.Limits {
		if !slices.Contains(n.limits(team), l.Name) {
			continue
		}
		under := func(f Flow) bool { return slices.Contains(n.limits(f.Team), l.Name) }
		_, running := n.count(under)
		if share, given := n.shares[l.Name]; given && running >= share {
			return false
		}
		for _, d := range n.elsewhere {
			if under(d.Flow) {
				running += d.Running
			}
		}
		quota := l.Quota * n.slots / 100
		if quota == 0 && n.slots > 0 {
			quota = 1
		}
		if running >= quota {
			return false
		}
	}
	return true
}

func (n *naive) priority(name string) (p contract.Priority, known bool) {
	for _, p := range n.set.Priorities {
		if p.Name == name {
			return p, true
		}
	}
	return contract.Priority{Rank: math.MaxInt}, false
}

func (n *naive) team(name string) (t contract.Team, known bool) {
	for _, t := range n.set.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return contract.Team{Weight: 1}, false
}

func (n *naive) target(f Flow) float64 {
	p, priorityKnown := n.priority(f.Priority)
	t, teamKnown := n.team(f.Team)
	if !priorityKnown || !teamKnown {
		return minTarget
	}
	if n.targets[f] > 0 && !n.met[f] {
		return max(n.targets[f], minTarget)
	}
	slots := 0.0
	for _, target := range n.targets {
		slots += target
	}
	if slots == 0 {
		slots = float64(n.slots)
	}
	if slots == 0 {
		slots = slotsUnset
	}
	return max(minTarget, n.targets[f], max(slots*float64(p.Share)/100, minTarget)*float64(t.Weight)/max(n.weights[f.Priority], float64(t.Weight)))
}

// waitingFlows returns the flows with queued tasks that quotas allow to run.
func (n *naive) waitingFlows() []Flow {
	var out []Flow
	for _, f := range n.flows() {
		if queued, _ := n.count(func(g Flow) bool { return g == f }); queued > 0 && n.quotaLeft(f.Team) {
			out = append(out, f)
		}
	}
	return out
}

// best returns the job that is served next inside the flow.
func (n *naive) best(f Flow) *naiveJob {
	var best *naiveJob
	key := func(j *naiveJob) int64 { return j.arrival + int64(n.ageing)*int64(len(j.waiting)) }
	for _, j := range n.jobs {
		if j.item.Flow != f || len(j.waiting)+len(j.returned) == 0 {
			continue
		}
		switch {
		case best == nil:
			best = j
		case len(j.returned) > 0 || len(best.returned) > 0:
			if len(best.returned) == 0 || len(j.returned) > 0 && j.backTurn > best.backTurn {
				best = j
			}
		case key(j) != key(best):
			if key(j) < key(best) {
				best = j
			}
		case n.ageing > 0 && len(j.waiting) < len(best.waiting):
			best = j
		}
	}
	return best
}

func (n *naive) push(now time.Time, item Job) {
	n.latest = max(n.latest, now.UnixNano())
	n.advance(now)
	n.activate(item.Flow)
	j := &naiveJob{item: item, arrival: n.latest}
	for index := range item.Tasks {
		j.waiting = append(j.waiting, index)
	}
	n.jobs = append(n.jobs, j)
}

func (n *naive) remove(id job.ID) {
	n.jobs = slices.DeleteFunc(n.jobs, func(j *naiveJob) bool { return j.item.ID == id })
}

func (n *naive) end(at int) {
	n.ended = append(n.ended, n.running[at].Flow)
	n.running = slices.Delete(n.running, at, at+1)
}

func (n *naive) requeue(at int) {
	task := n.running[at]
	n.end(at)
	j := n.find(task.Job)
	if j == nil {
		return
	}
	n.activate(task.Flow)
	n.turn++
	j.returned, j.backTurn = append(j.returned, task.Index), n.turn
}

// advance charges all flows for the time since the last call; ended tasks count until now.
func (n *naive) advance(now time.Time) {
	if n.policy != Fair {
		return
	}
	if passed := now.Sub(n.seen); passed > 0 {
		n.seen = now
		if len(n.waitingFlows()) > 0 {
			for f := range n.exact {
				_, running := n.count(func(g Flow) bool { return g == f })
				for _, ended := range n.ended {
					if ended == f {
						running++
					}
				}
				n.exact[f] += min(passed, longestPause).Seconds() * float64(running) / n.target(f)
			}
		}
	}
	for _, f := range n.ended {
		n.virtual[f] = n.exact[f]
	}
	n.ended = nil
	if now.Sub(n.sampled) >= sampleInterval {
		n.sampled = now
		n.sample()
	}
}

func (n *naive) sample() {
	n.sampleWeights()
	waiting := n.waitingFlows()
	least := math.Inf(1)
	for _, f := range waiting {
		least = min(least, n.exact[f])
	}
	if len(waiting) > 0 {
		n.least = max(n.least, least)
	}
	for f := range n.exact {
		n.exact[f] = min(n.exact[f], n.least+mostDebt)
		if !slices.Contains(waiting, f) {
			n.exact[f] = max(n.exact[f], n.least-mostCredit)
		}
		n.virtual[f] = n.exact[f]
	}
}

// sampleWeights sums the weights of the teams with queued tasks of each priority.
func (n *naive) sampleWeights() {
	n.weights = map[string]float64{}
	for _, f := range n.flows() {
		if queued, _ := n.count(func(g Flow) bool { return g == f }); queued > 0 {
			team, _ := n.team(f.Team)
			n.weights[f.Priority] += float64(team.Weight)
		}
	}
}

// refresh shows the service of all flows and follows changed targets.
func (n *naive) refresh() {
	for f := range n.exact {
		n.virtual[f] = n.exact[f]
	}
	n.sampleWeights()
}

// activate is called for a flow that gets a queued task.
func (n *naive) activate(f Flow) {
	if queued, _ := n.count(func(g Flow) bool { return g == f }); queued == 0 {
		n.virtual[f] = max(n.virtual[f], n.least-mostCredit)
		n.exact[f] = max(n.exact[f], n.least-mostCredit)
	}
}

// score is what the flow is chosen by, smallest first.
func (n *naive) score(f Flow) []float64 {
	_, running := n.count(func(g Flow) bool { return g == f })
	p, _ := n.priority(f.Priority)
	t, _ := n.team(f.Team)
	arrival := float64(n.best(f).item.ID.Sequence)
	switch n.policy {
	case Fair:
		return []float64{n.virtual[f] + ratioWindow*float64(running)/n.target(f), float64(p.Rank), arrival}
	case Strict:
		return []float64{float64(p.Rank), arrival}
	case Proportional:
		return []float64{float64(p.Rank), float64(running) / float64(t.Weight), arrival}
	default:
		return []float64{arrival}
	}
}

// next judges a decision of the queue, follows it and returns the fault it found.
func (n *naive) next(now time.Time, task Task, ok bool) string {
	n.advance(now)
	waiting := n.waitingFlows()
	if ok != (len(waiting) > 0) {
		return "work is not conserved or a quota is exceeded"
	}
	if !ok {
		return ""
	}
	if !slices.Contains(waiting, task.Flow) {
		return "the flow has no queued task that a quota allows"
	}
	mine := n.score(task.Flow)
	for _, f := range waiting {
		if other := n.score(f); f != task.Flow && n.less(other, mine) {
			return "another flow comes first: " + f.Priority + " " + f.Team
		}
	}
	j := n.best(task.Flow)
	if j.item.ID != task.Job {
		return "another job of the flow comes first: " + j.item.ID.String()
	}
	if last := len(j.returned) - 1; last >= 0 {
		if j.returned[last] != task.Index {
			return "another requeued task comes first"
		}
		j.returned = j.returned[:last]
	} else {
		if j.waiting[0] != task.Index {
			return "another task of the job comes first"
		}
		j.waiting = j.waiting[1:]
	}
	n.exact[task.Flow] += startCost / n.target(task.Flow)
	n.virtual[task.Flow] = n.exact[task.Flow]
	n.running = append(n.running, task)
	return ""
}

// less compares the scores of two flows; levels of the policy Fair that differ by less than the error of floating point
// are taken as equal, and then either flow may come first.
func (n *naive) less(a, b []float64) bool {
	if n.policy == Fair && math.Abs(a[0]-b[0]) <= 1e-9*max(1, math.Abs(a[0])) {
		return false
	}
	return slices.Compare(a, b) < 0
}

func (n *naive) ahead(f Flow) int {
	mine, _ := n.priority(f.Priority)
	queued, _ := n.count(func(g Flow) bool {
		p, _ := n.priority(g.Priority)
		switch n.policy {
		case FIFO:
			return true
		case Strict:
			return g == f || p.Rank <= mine.Rank
		case Proportional:
			return g == f || p.Rank < mine.Rank
		default:
			return g == f
		}
	})
	return queued
}

func (n *naive) full(f Flow, tasks int) bool {
	if p, known := n.priority(f.Priority); known {
		if queued, _ := n.count(func(g Flow) bool { return g.Priority == f.Priority }); queued+tasks > p.MaxQueued {
			return true
		}
	}
	for _, l := range n.set.Limits {
		queued, _ := n.count(func(g Flow) bool { return slices.Contains(n.limits(g.Team), l.Name) })
		if slices.Contains(n.limits(f.Team), l.Name) && queued+tasks > l.MaxQueued {
			return true
		}
	}
	return false
}

// configure forgets flows that the set no longer has once they have neither tasks nor a target.
func (n *naive) configure(set *contract.Set) {
	n.set = set
	known := n.demand()
	for f, slots := range n.targets {
		if slots > 0 {
			known = append(known, Demand{Flow: f})
		}
	}
	for f := range n.exact {
		_, priorityKnown := n.priority(f.Priority)
		_, teamKnown := n.team(f.Team)
		if !(priorityKnown && teamKnown) && !slices.ContainsFunc(known, func(d Demand) bool { return d.Flow == f }) {
			delete(n.virtual, f)
			delete(n.exact, f)
		}
	}
	n.refresh()
}
