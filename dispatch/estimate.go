package dispatch

import (
	"math"
	"time"

	"samphireplank.example/samphireplank/contract"
)

// Constants of the moving average of run times.
const (
	// ewmaWeight is the weight of one observation in the moving average after the first ones: the last 11 tasks make up
	// half of an average.
	ewmaWeight = 1.0 / 16
	// priorWeight is the number of observations for which the declared run time counts at first.
	priorWeight = 4
	// outlierRatio times the average is the threshold of an outlier, and the value to which a single one is cut.
	outlierRatio = 3
	// repeatRatio times the average is the value to which a repeated outlier is cut. Some kinds have one long task
	// among many short ones, and cutting these to outlierRatio would halve the estimate.
	repeatRatio = 16
	// repeatDistance is the number of tasks within which a second outlier counts as repeated.
	repeatDistance = 50
	// staleAfter is the time without an observation after which an estimate that causes refusals decays. Otherwise a
	// kind whose tasks once took longer than its deadline would be refused forever, as no task could show that it is
	// fast again.
	staleAfter = time.Second
)

// RunTimeEstimator estimates the run time of the tasks of each kind.
//
// A single outlier is cut, so that it moves an average by at most an eighth. Recurring long run times count, and the
// estimate follows a lasting change within some tens of tasks.
type RunTimeEstimator struct{ kinds map[string]*estimate }

// estimate is the moving average of one kind in seconds.
type estimate struct {
	declared time.Duration
	mean     float64
	count    int // number of observations, including the declared ones
	outlier  int // count at the last outlier

	checkedAt    time.Time // time of the last check by DecayStale
	checkedCount int       // value of count at that time
}

// NewRunTimeEstimator returns an estimator without kinds.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{kinds: make(map[string]*estimate)}
}

// Configure sets the kinds; a kind that is new or whose declared run time changed starts from the declared one.
func (e *RunTimeEstimator) Configure(kinds []contract.Kind) {
	next := make(map[string]*estimate, len(kinds))
	for _, kind := range kinds {
		known, ok := e.kinds[kind.Name]
		if !ok || known.declared != kind.RunTime {
			mean := kind.RunTime.Seconds()
			known = &estimate{declared: kind.RunTime, mean: mean, count: priorWeight, outlier: -repeatDistance}
		}
		next[kind.Name] = known
	}
	e.kinds = next
}

// Observe records the run time of a task that succeeded; a kind that isn't configured is ignored.
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
	weight := max(ewmaWeight, 1/float64(k.count))
	k.mean += weight * (observed - k.mean)
}

// DecayStale is called when a job is refused because a task is expected to run longer than the time left. If there was
// no observation since the previous check, at least staleAfter ago, it halves the distance to the declared run time,
// provided that the declared run time fits in the time left.
func (e *RunTimeEstimator) DecayStale(now time.Time, kind string, left time.Duration) {
	k, known := e.kinds[kind]
	if !known || k.declared > left || now.Sub(k.checkedAt) < staleAfter {
		return
	}
	if k.count == k.checkedCount {
		k.mean = (k.mean + k.declared.Seconds()) / 2
	}
	k.checkedAt, k.checkedCount = now, k.count
}

// RunTime returns the expected run time of a task, or 0 for a kind that isn't configured.
func (e *RunTimeEstimator) RunTime(kind string) time.Duration {
	if k, known := e.kinds[kind]; known {
		return seconds(k.mean)
	}
	return 0
}

// QueueSnapshot is the state of the queue when a job is submitted.
type QueueSnapshot struct {
	Tasks       int           // number of tasks of the job
	RunTime     time.Duration // expected run time of one of them
	TasksAhead  int           // queued tasks that are served before it
	MeanRunTime time.Duration // expected run time of the tasks ahead
	FairShare   float64       // slots that the flow of the job can expect here
	IdleSlots   int           // slots without a task
}

// ResponseEstimate is the expected wait and response time of a job.
type ResponseEstimate struct {
	Wait     time.Duration // until its first task starts
	Response time.Duration // until its last task has ended
}

// maxEstimate is the estimate for a job without any slot, and the limit of all estimates.
const maxEstimate = time.Hour

// Estimate estimates the times of a job. Unless a slot is idle, the work ahead and one running task of the flow must
// end before the job gets a slot. Then its tasks run in rounds over the slots.
func (l QueueSnapshot) Estimate() ResponseEstimate {
	free := float64(l.IdleSlots - l.TasksAhead)
	slots := max(l.FairShare, free)
	if slots <= 0 {
		return ResponseEstimate{Wait: maxEstimate, Response: maxEstimate}
	}
	wait := 0.0
	if free < 1 {
		wait = (float64(l.TasksAhead) + 1) * l.MeanRunTime.Seconds() / slots
	}
	rounds := float64(l.Tasks) / slots
	if slots >= 1 {
		rounds = math.Ceil(float64(l.Tasks) / math.Floor(slots))
	}
	return ResponseEstimate{Wait: seconds(wait), Response: seconds(wait + rounds*l.RunTime.Seconds())}
}

// Limits of the time after which a refused job may be submitted again.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the time after which enough work ahead has ended that the job would end within the time left to
// its deadline.
func (e ResponseEstimate) RetryAfter(left time.Duration) time.Duration {
	return min(max(e.Response-left, minRetryAfter), maxRetryAfter)
}

// DrainTime returns the time that the flow needs for the given number of tasks; it is the retry-after time when a queue
// is full.
func (l QueueSnapshot) DrainTime(tasks int) time.Duration {
	if l.FairShare <= 0 {
		return maxRetryAfter
	}
	return min(max(seconds(float64(tasks)*l.MeanRunTime.Seconds()/l.FairShare), minRetryAfter), maxRetryAfter)
}

// seconds converts seconds to a duration of at most maxEstimate.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxEstimate.Seconds()) * float64(time.Second))
}

// Constants of the retry budget.
const (
	// retryRatio is the number of retries allowed for each first start.
	retryRatio = 0.1
	// minRetriesPerSecond is the number of retries per second that are always allowed, for services with few tasks.
	minRetriesPerSecond = 1
	// maxRetryTokens limits the tokens saved during periods with few failures, so that they can't cause a burst of
	// retries.
	maxRetryTokens = 100
	// initialRetryTokens is the number of retries allowed before the first start.
	initialRetryTokens = 10
)

// RetryBudget limits the retries of tasks to a tenth of the first starts, as a token bucket.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget with initialRetryTokens.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: initialRetryTokens, refilledAt: now}
}

// Deposit adds the tokens for the first start of a task.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

// Refund removes the tokens that Deposit added for a task that no endpoint has started.
func (b *RetryBudget) Refund() { b.tokens -= retryRatio }

// TryWithdraw reports whether a retry is allowed, and if so takes its token.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.refilledAt = now
		// Refilling over time never saves more than initialRetryTokens.
		b.tokens = max(b.tokens, min(b.tokens+minRetriesPerSecond*passed.Seconds(), initialRetryTokens))
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
