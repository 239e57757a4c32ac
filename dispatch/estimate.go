package dispatch

import (
	"math"
	"time"

	"samphireplank.example/samphireplank/contract"
)

// Constants of the moving average of run times.
const (
	// observationWeight is the weight of one observed run time after the first ones: half of an average consists of the
	// last 11 tasks.
	observationWeight = 1.0 / 16
	// declaredCount is the number of observations for which the declared run time counts at the beginning.
	declaredCount = 4
	// outlierRatio times the average is where a run time starts to be an outlier; a single one counts as this much.
	outlierRatio = 3
	// repeatRatio times the average is what an outlier counts at most when it isn't single. Some kinds have one long
	// task among many short ones, and cutting these to outlierRatio would halve the estimate.
	repeatRatio = 16
	// repeatDistance is the number of tasks within which a second outlier isn't single.
	repeatDistance = 50
	// doubtAfter is the time without an observation after which an estimate that refuses jobs is doubted. Without it a
	// kind whose tasks once took longer than its deadline would be refused forever, as no task shows that it is fast again.
	doubtAfter = time.Second
)

// RunTimeEstimator holds the expected run time of each kind.
//
// A single outlier is cut, so that one straggler moves an average by an eighth at most. Recurring long run times count,
// and a lasting change is followed within some tens of tasks.
type RunTimeEstimator struct{ kinds map[string]*estimate }

// estimate is the moving average of one kind in seconds.
type estimate struct {
	declared time.Duration
	mean     float64
	count    int // of observations, the declared ones included
	outlier  int // count at the last outlier

	doubted    time.Time // last doubt
	doubtCount int       // count at that time
}

// NewRunTimeEstimator returns an estimator without kinds.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{kinds: make(map[string]*estimate)}
}

// Configure sets the kinds; a kind that is new or has another declared run time starts from the declared one.
func (e *RunTimeEstimator) Configure(kinds []contract.Kind) {
	next := make(map[string]*estimate, len(kinds))
	for _, kind := range kinds {
		known, ok := e.kinds[kind.Name]
		if !ok || known.declared != kind.RunTime {
			mean := kind.RunTime.Seconds()
			known = &estimate{declared: kind.RunTime, mean: mean, count: declaredCount, outlier: -repeatDistance}
		}
		next[kind.Name] = known
	}
	e.kinds = next
}

// Observe takes the run time of a task that ended with an answer; a kind that isn't configured is ignored.
func (e *RunTimeEstimator) Observe(kind string, runTime time.Duration) {
	k, known := e.kinds[kind]
	if !known || runTime < 0 {
		return
	}
	k.count++
	observed := runTime.Seconds()
	if observed > outlierRatio*k.mean {
		ratio := float64(outlierRatio)
		if k.count-k.outlier <= repeatDistance {
			ratio = repeatRatio
		}
		k.outlier = k.count
		observed = min(observed, ratio*k.mean)
	}
	weight := max(observationWeight, 1/float64(k.count))
	k.mean += weight * (observed - k.mean)
}

// DecayStale takes a job that is refused because a task is expected to run longer than the time left. After doubtAfter without
// an observation it halves the distance to the declared run time, if that is short enough.
func (e *RunTimeEstimator) DecayStale(now time.Time, kind string, left time.Duration) {
	k, known := e.kinds[kind]
	if !known || k.declared > left || now.Sub(k.doubted) < doubtAfter {
		return
	}
	if k.count == k.doubtCount {
		k.mean = (k.mean + k.declared.Seconds()) / 2
	}
	k.doubted, k.doubtCount = now, k.count
}

// RunTime returns the expected run time of a task, 0 for a kind that isn't configured.
func (e *RunTimeEstimator) RunTime(kind string) time.Duration {
	if k, known := e.kinds[kind]; known {
		return seconds(k.mean)
	}
	return 0
}

// QueueSnapshot is what a job meets when it is submitted.
type QueueSnapshot struct {
	Tasks       int           // of the job
	RunTime     time.Duration // expected for one of them
	TasksAhead  int           // queued tasks that are served before it
	MeanRunTime time.Duration // expected run time of the tasks ahead
	FairShare   float64       // to which the flow of the job is entitled here
	IdleSlots   int           // slots without a task
}

// ResponseEstimate is the expected course of a job.
type ResponseEstimate struct {
	Wait     time.Duration // until its first task starts
	Response time.Duration // until its last task has ended
}

// longestExpectation stands for a job that no slot is there for.
const longestExpectation = time.Hour

// Estimate estimates the course of a job: the work ahead and one running task of the flow have to be over before the job
// gets a slot, unless a slot is idle, and then its tasks run in waves over the slots.
func (l QueueSnapshot) Estimate() ResponseEstimate {
	free := float64(l.IdleSlots - l.TasksAhead)
	slots := max(l.FairShare, free)
	if slots <= 0 {
		return ResponseEstimate{Wait: longestExpectation, Response: longestExpectation}
	}
	wait := 0.0
	if free < 1 {
		wait = (float64(l.TasksAhead) + 1) * l.MeanRunTime.Seconds() / slots
	}
	waves := float64(l.Tasks) / slots
	if slots >= 1 {
		waves = math.Ceil(float64(l.Tasks) / math.Floor(slots))
	}
	return ResponseEstimate{Wait: seconds(wait), Response: seconds(wait + waves*l.RunTime.Seconds())}
}

// Bounds of the time after which a refused job may be submitted again.
const (
	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 30 * time.Second
)

// RetryAfter returns the time after which enough work ahead is done that the job would meet a deadline that is left away.
func (e ResponseEstimate) RetryAfter(left time.Duration) time.Duration {
	return min(max(e.Response-left, shortestRetryAfter), longestRetryAfter)
}

// DrainTime returns the time in which the flow works off the tasks; it is the time to retry after when a queue is full.
func (l QueueSnapshot) DrainTime(tasks int) time.Duration {
	if l.FairShare <= 0 {
		return longestRetryAfter
	}
	return min(max(seconds(float64(tasks)*l.MeanRunTime.Seconds()/l.FairShare), shortestRetryAfter), longestRetryAfter)
}

// seconds converts to a duration, at most longestExpectation.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, longestExpectation.Seconds()) * float64(time.Second))
}

// Constants of the retry budget.
const (
	// retryRatio is the number of retries that each first start pays for.
	retryRatio = 0.1
	// leastRetries is the number of retries per second that are always allowed, for services with few tasks.
	leastRetries = 1
	// mostSavedRetries bounds the retries saved in calm times, so that they can't add up to a wave.
	mostSavedRetries = 100
	// firstRetries is the number of retries allowed before the first start.
	firstRetries = 10
)

// RetryBudget bounds the retries of tasks to a tenth of the first starts.
type RetryBudget struct {
	saved  float64
	filled time.Time
}

// NewRetryBudget returns a budget with a few retries saved.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{saved: firstRetries, filled: now}
}

// Deposit counts the first start of a task.
func (b *RetryBudget) Deposit() { b.saved = min(b.saved+retryRatio, mostSavedRetries) }

// Refund takes back what Deposit saved for a task that no endpoint has started.
func (b *RetryBudget) Refund() { b.saved -= retryRatio }

// TryWithdraw reports whether a retry is allowed and counts it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	if passed := now.Sub(b.filled); passed > 0 {
		b.filled = now
		// The time that passes never saves more than firstRetries.
		b.saved = max(b.saved, min(b.saved+leastRetries*passed.Seconds(), firstRetries))
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
