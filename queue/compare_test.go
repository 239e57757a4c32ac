package queue

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

// The comparison simulates one queue with the slots of a zone; docs/fair-shares.md holds its results.
const (
	simulationSlots = 128
	simulationEnd   = 40 * time.Second
	floodStart      = 5 * time.Second
	measureStart    = 10 * time.Second
	measureEnd      = 35 * time.Second
	floodFactor     = 10 // load of a flood in multiples of the capacity
)

// simulatedPriority is a priority with its load as a fraction of the capacity and its deadline.
type simulatedPriority struct {
	name     string
	share    int
	load     float64
	deadline time.Duration
}

// simulatedPriorities make a load of 70% without a flood; each priority uses 70% of its share.
var simulatedPriorities = []simulatedPriority{
	{"p1-correction", 40, 0.28, 5 * time.Second},
	{"p2-interactive", 30, 0.21, 6 * time.Second},
	{"p3-normal", 20, 0.14, 10 * time.Second},
	{"p4-batch", 10, 0.07, 20 * time.Second},
}

func simulatedSet() *contract.Set {
	set := &contract.Set{Limits: []contract.Limit{{Name: "half", Quota: 50, MaxQueued: 1 << 20}}}
	for i, c := range simulatedPriorities {
		set.Priorities = append(set.Priorities, contract.Priority{Name: c.name, Rank: i + 1, Share: c.share, MaxQueued: 5000})
	}
	for i := range 8 {
		team := contract.Team{Name: fmt.Sprint("t", i), Weight: i%3 + 1}
		if i < 2 {
			team.Limit = "half"
		}
		set.Teams = append(set.Teams, team)
	}
	return set
}

// simulatedJob is a job of the simulation; response is 0 until the job has completed.
type simulatedJob struct {
	item     Job
	priority int
	arrival  time.Duration
	runs     []time.Duration
	started  int
	finished int
	response time.Duration
	flood    bool
}

// ideal returns the response time on idle slots.
func (j *simulatedJob) ideal() time.Duration {
	sum, longest := time.Duration(0), time.Duration(0)
	for _, run := range j.runs {
		sum, longest = sum+run, max(longest, run)
	}
	return max(longest, sum/simulationSlots)
}

// runTime draws a run time of 50 to 600 ms, or of 1 to 4 s for one task in 200; the mean is 0.34 s.
func runTime(random *rand.Rand) time.Duration {
	low, high := 0.05, 0.6
	if random.IntN(200) == 0 {
		low, high = 1, 4
	}
	return time.Duration((low + (high-low)*random.Float64()) * float64(time.Second))
}

const (
	meanRunTime  = 0.995*0.325 + 0.005*2.5
	meanJobTasks = 0.7*2.5 + 0.25*22 + 0.05*95
)

// jobTasks draws the number of tasks of a job: 1 to 4 for most jobs and up to 150 for few.
func jobTasks(random *rand.Rand) int {
	switch p := random.Float64(); {
	case p < 0.7:
		return 1 + random.IntN(4)
	case p < 0.95:
		return 4 + random.IntN(37)
	default:
		return 40 + random.IntN(111)
	}
}

// arrivals draws the jobs of one priority with exponentially distributed inter-arrival times.
func arrivals(random *rand.Rand, class int, load float64, from, to time.Duration, teams []string) []*simulatedJob {
	var jobs []*simulatedJob
	rate := load * simulationSlots / (meanRunTime * meanJobTasks)
	for at := from.Seconds() + random.ExpFloat64()/rate; at < to.Seconds(); at += random.ExpFloat64() / rate {
		j := &simulatedJob{priority: class, arrival: time.Duration(at * float64(time.Second))}
		for range jobTasks(random) {
			j.runs = append(j.runs, runTime(random))
		}
		c := simulatedPriorities[class]
		flow := Flow{Priority: c.name, Team: teams[random.IntN(len(teams))]}
		j.item = Job{Flow: flow, Tasks: len(j.runs), Deadline: epoch.Add(j.arrival + c.deadline)}
		jobs = append(jobs, j)
	}
	return jobs
}

// workload draws the jobs of all priorities scaled by load, and of a flood of one priority unless flood is negative.
func workload(seed uint64, load float64, flood int) []*simulatedJob {
	var jobs []*simulatedJob
	teams := []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"}
	for class, c := range simulatedPriorities {
		random := rand.New(rand.NewPCG(seed, uint64(class)))
		jobs = append(jobs, arrivals(random, class, c.load*load, 0, measureEnd, teams)...)
	}
	if flood >= 0 {
		random := rand.New(rand.NewPCG(seed, 100))
		more := arrivals(random, flood, floodFactor, floodStart, measureEnd, teams[4:7])
		for _, j := range more {
			j.flood = true
		}
		jobs = append(jobs, more...)
	}
	slices.SortStableFunc(jobs, func(a, b *simulatedJob) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, j := range jobs {
		j.item.ID = id(i)
	}
	return jobs
}

// taskEnd is the end of a running task.
type taskEnd struct {
	at  time.Duration
	job *simulatedJob
}

type taskEnds []taskEnd

func (e taskEnds) Len() int           { return len(e) }
func (e taskEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e taskEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *taskEnds) Push(x any)        { *e = append(*e, x.(taskEnd)) }
func (e *taskEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs jobs through a queue in simulated time.
type simulation struct {
	queue *Queue
	set   *contract.Set
	byID  map[job.ID]*simulatedJob
	ends  taskEnds
	now   time.Duration
	busy  float64 // slot seconds during the measured interval

	admission bool
}

func (s *simulation) run(jobs []*simulatedJob) {
	const tick = 10 * time.Millisecond
	nextTick := tick
	for len(jobs) > 0 || len(s.ends) > 0 || s.now < simulationEnd {
		next := nextTick
		if len(jobs) > 0 {
			next = min(next, jobs[0].arrival)
		}
		if len(s.ends) > 0 {
			next = min(next, s.ends[0].at)
		}
		if next > measureStart && next <= measureEnd {
			s.busy += (next - s.now).Seconds() * float64(len(s.ends))
		}
		s.now = next
		switch {
		case len(jobs) > 0 && jobs[0].arrival == next:
			s.submit(jobs[0])
			jobs = jobs[1:]
		case len(s.ends) > 0 && s.ends[0].at == next:
			s.finish(heap.Pop(&s.ends).(taskEnd).job)
		default:
			s.tick()
			nextTick += tick
		}
		s.start()
	}
}

func (s *simulation) submit(j *simulatedJob) {
	if _, full := s.queue.Full(j.item.Flow, j.item.Tasks); full || !s.admits(j) {
		return
	}
	s.byID[j.item.ID] = j
	if err := s.queue.Push(epoch.Add(s.now), j.item); err != nil {
		panic(err)
	}
}

// admits reports whether admission control accepts the job: always if it is off, otherwise if the job is expected to
// meet its deadline.
func (s *simulation) admits(j *simulatedJob) bool {
	ahead := float64(s.queue.QueuedAhead(j.item.Flow) + j.item.Tasks)
	slots := max(s.queue.FairShare(j.item.Flow, 1), float64(simulationSlots-len(s.ends)))
	return !s.admission || ahead*meanRunTime/slots+meanRunTime <= simulatedPriorities[j.priority].deadline.Seconds()
}

func (s *simulation) finish(j *simulatedJob) {
	s.queue.Done(j.item.Flow)
	j.finished++
	if j.finished == len(j.runs) {
		j.response = s.now - j.arrival
		s.queue.Remove(j.item.ID)
	}
}

func (s *simulation) tick() {
	s.queue.RemoveExpired(epoch.Add(s.now), nil)
	if s.now%(100*time.Millisecond) == 0 {
		targets := Allocate(simulationSlots, s.set, []VMDemand{{VM: "v", Flows: s.queue.AppendDemand(nil)}})
		s.queue.SetAllocation(targets[0])
	}
}

func (s *simulation) start() {
	for len(s.ends) < simulationSlots {
		task, ok := s.queue.Pop(epoch.Add(s.now))
		if !ok {
			return
		}
		j := s.byID[task.Job]
		j.started++
		heap.Push(&s.ends, taskEnd{at: s.now + j.runs[task.Index], job: j})
	}
}

// simulateJobs runs jobs and returns the fraction of the slot time that was used for jobs that completed.
func simulateJobs(policy Policy, ageing time.Duration, admission bool, jobs []*simulatedJob) float64 {
	s := &simulation{queue: New(Config{Policy: policy, Set: simulatedSet()}), set: simulatedSet(), byID: map[job.ID]*simulatedJob{}}
	s.queue.ageing = ageing
	s.admission = admission
	s.queue.SetZoneDemand(simulationSlots, nil)
	s.run(jobs)
	started, completed := 0.0, 0.0
	for _, j := range jobs {
		for _, run := range j.runs[:j.started] {
			started += run.Seconds()
			if j.response > 0 {
				completed += run.Seconds()
			}
		}
	}
	return s.busy / (measureEnd - measureStart).Seconds() / simulationSlots * completed / started
}

// outcome summarizes the measured jobs of some priorities.
type outcome struct {
	onTime      float64 // fraction of the jobs that met their deadline
	median      float64 // response in seconds
	p99         float64
	p99Slowdown float64 // 99th percentile of response/ideal
}

func outcomeOf(jobs []*simulatedJob, keep func(*simulatedJob) bool) outcome {
	var responses, slowdowns []float64
	total, onTime := 0, 0
	for _, j := range jobs {
		if j.arrival < measureStart || j.arrival >= measureEnd || !keep(j) {
			continue
		}
		total++
		if j.response > 0 {
			responses = append(responses, j.response.Seconds())
			slowdowns = append(slowdowns, j.response.Seconds()/j.ideal().Seconds())
		}
		if j.response > 0 && j.response <= simulatedPriorities[j.priority].deadline {
			onTime++
		}
	}
	return outcome{
		onTime:      float64(onTime) / float64(max(total, 1)),
		median:      quantile(responses, 0.5),
		p99:         quantile(responses, 0.99),
		p99Slowdown: quantile(slowdowns, 0.99),
	}
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(part*float64(len(values)-1))]
}

// spread formats the minimum, median and maximum of values.
func spread(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.2f/%.2f/%.2f", values[0], values[len(values)/2], values[len(values)-1])
}

var policyNames = []string{"fair", "fifo", "strict", "proportional"}

// BenchmarkFlood logs the results of the priorities without a flood, for each policy and flood.
func BenchmarkFlood(b *testing.B) {
	for _, admission := range []bool{false, true} {
		for _, flood := range []int{-1, 3, 0} {
			b.Run(fmt.Sprintf("%s/admission-%v", floodNames[flood], admission), func(b *testing.B) {
				for b.Loop() {
					for policy, name := range policyNames {
						b.Logf("%-12s %s", name, simulateFlood(Policy(policy), defaultAgeing(Policy(policy)), admission, flood))
					}
				}
			})
		}
	}
}

var floodNames = map[int]string{-1: "none", 3: "least-urgent", 0: "most-urgent"}

// simulateFlood formats the minimum, median and maximum of each result over three seeds.
func simulateFlood(policy Policy, ageing time.Duration, admission bool, flood int) string {
	var onTime, p99, slow, useful, same, first, last []float64
	for seed := range uint64(3) {
		jobs := workload(seed, 1, flood)
		useful = append(useful, simulateJobs(policy, ageing, admission, jobs))
		lowest, highest := 1.0, 0.0
		for class := range simulatedPriorities {
			if class != flood {
				o := outcomeOf(jobs, func(j *simulatedJob) bool { return j.priority == class })
				lowest, highest = min(lowest, o.onTime), max(highest, o.p99)
			}
		}
		onTime, p99 = append(onTime, lowest), append(p99, highest)
		slow = append(slow, outcomeOf(jobs, func(j *simulatedJob) bool { return j.priority != flood }).p99Slowdown)
		same = append(same, outcomeOf(jobs, func(j *simulatedJob) bool { return j.priority == max(flood, 0) && !j.flood }).onTime)
		first = append(first, outcomeOf(jobs, func(j *simulatedJob) bool { return j.priority == 0 }).median)
		last = append(last, outcomeOf(jobs, func(j *simulatedJob) bool { return j.priority == 3 }).median)
	}
	return fmt.Sprintf("on time %s, p99 %s s, p99 slowdown %s, useful %s, other teams on time %s, median p1 %s s, p4 %s s",
		spread(onTime), spread(p99), spread(slow), spread(useful), spread(same), spread(first), spread(last))
}

func defaultAgeing(policy Policy) time.Duration {
	if policy == Fair {
		return ageingPerTask
	}
	return 0
}

// BenchmarkOrder logs the slowdown against the ideal for several values of ageingPerTask, and the effect of a flood of
// the least urgent priority.
func BenchmarkOrder(b *testing.B) {
	for _, ageing := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, ageingPerTask, 200 * time.Millisecond} {
		b.Run(fmt.Sprintf("%v-per-task", ageing), func(b *testing.B) {
			for b.Loop() {
				for _, load := range []float64{1, 1.3} {
					b.Logf("load %.0f%%: %s", 70*load, simulateOrder(ageing, load))
				}
				b.Logf("flood: %s", simulateFlood(Fair, ageing, true, 3))
			}
		})
	}
}

func simulateOrder(ageing time.Duration, load float64) string {
	var mean, p99, large []float64
	for seed := range uint64(10) {
		jobs := workload(seed, load, -1)
		simulateJobs(Fair, ageing, false, jobs)
		all, sum := []float64{}, 0.0
		for _, j := range jobs {
			if j.arrival >= measureStart && j.response > 0 {
				all = append(all, j.response.Seconds()/j.ideal().Seconds())
				sum += all[len(all)-1]
			}
		}
		mean, p99 = append(mean, sum/float64(len(all))), append(p99, quantile(all, 0.99))
		large = append(large, outcomeOf(jobs, func(j *simulatedJob) bool { return len(j.runs) >= 40 }).p99Slowdown)
	}
	return fmt.Sprintf("slowdown mean %s, p99 %s, p99 of 40 tasks and more %s", spread(mean), spread(p99), spread(large))
}
