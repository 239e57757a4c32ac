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
	item         Job
	arrival      int64
	queued       []int
	requeued     []int // latest last
	requeueOrder int   // value of requeueCount at the last Requeue
}

// naive is a reference queue that recomputes everything from lists of jobs and running tasks at each call. It doesn't
// choose a task; it checks that the task that the queue chose is one of the best, within floating-point error.
type naive struct {
	policy         Policy
	ageing         time.Duration
	set            *contract.Set
	jobs           []*naiveJob // in order of arrival
	running        []Task
	slots          int
	peerDemand     []Demand
	localQuotas    map[string]int
	targets        map[Flow]float64
	demandMet      map[Flow]bool
	weights        map[string]float64
	service        map[Flow]float64 // service received by each flow
	visibleService map[Flow]float64 // service as of the last refresh, start or end
	endedFlows     []Flow           // flows of tasks that ended since the last call of advance
	minService     float64
	lastAdvance    time.Time
	lastRefresh    time.Time
	lastArrival    int64
	requeueCount   int
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
			queued += len(j.queued) + len(j.requeued)
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

// limits returns the names of the limits of a team, from the team's own limit to the root.
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
		if localQuota, given := n.localQuotas[l.Name]; given && running >= localQuota {
			return false
		}
		for _, d := range n.peerDemand {
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
	if n.targets[f] > 0 && !n.demandMet[f] {
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
		slots = defaultSlots
	}
	return max(minTarget, n.targets[f], max(slots*float64(p.Share)/100, minTarget)*float64(t.Weight)/max(n.weights[f.Priority], float64(t.Weight)))
}

// runnableFlows returns the flows with queued tasks that quotas allow to start.
func (n *naive) runnableFlows() []Flow {
	var out []Flow
	for _, f := range n.flows() {
		if queued, _ := n.count(func(g Flow) bool { return g == f }); queued > 0 && n.quotaLeft(f.Team) {
			out = append(out, f)
		}
	}
	return out
}

// firstJob returns the job that is served next within the flow.
func (n *naive) firstJob(f Flow) *naiveJob {
	var best *naiveJob
	key := func(j *naiveJob) int64 { return j.arrival + int64(n.ageing)*int64(len(j.queued)) }
	for _, j := range n.jobs {
		if j.item.Flow != f || len(j.queued)+len(j.requeued) == 0 {
			continue
		}
		switch {
		case best == nil:
			best = j
		case len(j.requeued) > 0 || len(best.requeued) > 0:
			if len(best.requeued) == 0 || len(j.requeued) > 0 && j.requeueOrder > best.requeueOrder {
				best = j
			}
		case key(j) != key(best):
			if key(j) < key(best) {
				best = j
			}
		case n.ageing > 0 && len(j.queued) < len(best.queued):
			best = j
		}
	}
	return best
}

func (n *naive) push(now time.Time, item Job) {
	n.lastArrival = max(n.lastArrival, now.UnixNano())
	n.advance(now)
	n.activate(item.Flow)
	j := &naiveJob{item: item, arrival: n.lastArrival}
	for index := range item.Tasks {
		j.queued = append(j.queued, index)
	}
	n.jobs = append(n.jobs, j)
}

func (n *naive) remove(id job.ID) {
	n.jobs = slices.DeleteFunc(n.jobs, func(j *naiveJob) bool { return j.item.ID == id })
}

func (n *naive) end(at int) {
	n.endedFlows = append(n.endedFlows, n.running[at].Flow)
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
	n.requeueCount++
	j.requeued, j.requeueOrder = append(j.requeued, task.Index), n.requeueCount
}

// advance charges all flows for the time since the last call; tasks that ended since then are charged until now.
func (n *naive) advance(now time.Time) {
	if n.policy != Fair {
		return
	}
	if passed := now.Sub(n.lastAdvance); passed > 0 {
		n.lastAdvance = now
		if len(n.runnableFlows()) > 0 {
			for f := range n.service {
				_, running := n.count(func(g Flow) bool { return g == f })
				for _, ended := range n.endedFlows {
					if ended == f {
						running++
					}
				}
				n.service[f] += min(passed, maxClockStep).Seconds() * float64(running) / n.target(f)
			}
		}
	}
	for _, f := range n.endedFlows {
		n.visibleService[f] = n.service[f]
	}
	n.endedFlows = nil
	if now.Sub(n.lastRefresh) >= refreshInterval {
		n.lastRefresh = now
		n.refreshSortKeys()
	}
}

func (n *naive) refreshSortKeys() {
	n.sumWeights()
	runnable := n.runnableFlows()
	least := math.Inf(1)
	for _, f := range runnable {
		least = min(least, n.service[f])
	}
	if len(runnable) > 0 {
		n.minService = max(n.minService, least)
	}
	for f := range n.service {
		n.service[f] = min(n.service[f], n.minService+maxDebt)
		if !slices.Contains(runnable, f) {
			n.service[f] = max(n.service[f], n.minService-maxCredit)
		}
		n.visibleService[f] = n.service[f]
	}
}

// sumWeights sums the weights of the teams with queued tasks for each priority.
func (n *naive) sumWeights() {
	n.weights = map[string]float64{}
	for _, f := range n.flows() {
		if queued, _ := n.count(func(g Flow) bool { return g == f }); queued > 0 {
			team, _ := n.team(f.Team)
			n.weights[f.Priority] += float64(team.Weight)
		}
	}
}

// refresh updates visibleService and the weights after a change of targets or configuration.
func (n *naive) refresh() {
	for f := range n.service {
		n.visibleService[f] = n.service[f]
	}
	n.sumWeights()
}

// activate limits the lag of a flow that is about to get its first queued task.
func (n *naive) activate(f Flow) {
	if queued, _ := n.count(func(g Flow) bool { return g == f }); queued == 0 {
		n.visibleService[f] = max(n.visibleService[f], n.minService-maxCredit)
		n.service[f] = max(n.service[f], n.minService-maxCredit)
	}
}

// sortKey returns the key by which the flow is chosen, smallest first.
func (n *naive) sortKey(f Flow) []float64 {
	_, running := n.count(func(g Flow) bool { return g == f })
	p, _ := n.priority(f.Priority)
	t, _ := n.team(f.Team)
	arrival := float64(n.firstJob(f).item.ID.Sequence)
	switch n.policy {
	case Fair:
		return []float64{n.visibleService[f] + ratioWindow*float64(running)/n.target(f), float64(p.Rank), arrival}
	case Strict:
		return []float64{float64(p.Rank), arrival}
	case Proportional:
		return []float64{float64(p.Rank), float64(running) / float64(t.Weight), arrival}
	default:
		return []float64{arrival}
	}
}

// checkPop checks the result of Pop, applies it and returns a description of the error, or "".
func (n *naive) checkPop(now time.Time, task Task, ok bool) string {
	n.advance(now)
	runnable := n.runnableFlows()
	if ok != (len(runnable) > 0) {
		return "a slot stays idle although a task could start, or a quota is exceeded"
	}
	if !ok {
		return ""
	}
	if !slices.Contains(runnable, task.Flow) {
		return "the flow has no queued task that a quota allows"
	}
	mine := n.sortKey(task.Flow)
	for _, f := range runnable {
		if other := n.sortKey(f); f != task.Flow && n.less(other, mine) {
			return "another flow comes first: " + f.Priority + " " + f.Team
		}
	}
	j := n.firstJob(task.Flow)
	if j.item.ID != task.Job {
		return "another job of the flow comes first: " + j.item.ID.String()
	}
	if last := len(j.requeued) - 1; last >= 0 {
		if j.requeued[last] != task.Index {
			return "another requeued task comes first"
		}
		j.requeued = j.requeued[:last]
	} else {
		if j.queued[0] != task.Index {
			return "another task of the job comes first"
		}
		j.queued = j.queued[1:]
	}
	n.service[task.Flow] += startCost / n.target(task.Flow)
	n.visibleService[task.Flow] = n.service[task.Flow]
	n.running = append(n.running, task)
	return ""
}

// less compares the sort keys of two flows. Keys of the Fair policy that differ by less than the floating-point error
// count as equal; then either flow may come first.
func (n *naive) less(a, b []float64) bool {
	if n.policy == Fair && math.Abs(a[0]-b[0]) <= 1e-9*max(1, math.Abs(a[0])) {
		return false
	}
	return slices.Compare(a, b) < 0
}

func (n *naive) queuedAhead(f Flow) int {
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

// configure activates a set and deletes flows that are no longer configured once they have neither tasks nor a target.
func (n *naive) configure(set *contract.Set) {
	n.set = set
	known := n.demand()
	for f, slots := range n.targets {
		if slots > 0 {
			known = append(known, Demand{Flow: f})
		}
	}
	for f := range n.service {
		_, priorityKnown := n.priority(f.Priority)
		_, teamKnown := n.team(f.Team)
		if !(priorityKnown && teamKnown) && !slices.ContainsFunc(known, func(d Demand) bool { return d.Flow == f }) {
			delete(n.visibleService, f)
			delete(n.service, f)
		}
	}
	n.refresh()
}
