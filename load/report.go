package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a run.
type Report struct {
	Profile         string            `json:"profile"`
	Seed            uint64            `json:"seed"`
	Seconds         float64           `json:"seconds"`
	Slots           int               `json:"slots"`
	TaskRate        float64           `json:"task-rate"` // offered without floods, per second
	Classes         []PriorityReport  `json:"classes"`
	Checks          Checks            `json:"checks"`
	Work            *EndpointStats    `json:"work,omitempty"`       // missing without stand-ins
	WorkError       string            `json:"work-error,omitempty"` // why the counts of the stand-ins are missing
	GeneratorLagMS  Quantiles         `json:"tool-lag-ms"`          // from the scheduled time to the begin of a submission
	Cancels         *CancelStats      `json:"cancels,omitempty"`
	Examples        map[string]string `json:"examples,omitempty"`     // a reason for each outcome
	FailedCalls     []FailedCall      `json:"breaks,omitempty"`       // the first 10,000 calls that were sent and not answered
	FailedCallCount int               `json:"broken-calls,omitempty"` // all of them
	Failovers       int               `json:"failovers,omitempty"`    // calls that could not be sent and went to another entry VM
	ViolatingIDs    []string          `json:"suspects,omitempty"`     // the first Task-Ids and job ids with a violated guarantee
}

// FailedCall is a call to an entry VM that was sent and got no answer; what became of its job is unknown to the caller.
type FailedCall struct {
	Entry   string    `json:"entry"` // host:port
	Sent    time.Time `json:"sent"`
	At      time.Time `json:"at"`
	Reason  string    `json:"reason"`
	Timeout bool      `json:"timeout"` // no answer came by the deadline and the caller's grace time
}

// PriorityReport is the part of a Report about one class in one phase.
type PriorityReport struct {
	Priority   string         `json:"class"`
	Phase      string         `json:"phase"` // calm, or flood for jobs that arrive during one
	Jobs       int            `json:"jobs"`
	Tasks      int            `json:"tasks"`
	Outcomes   map[string]int `json:"outcomes"`
	OnTime     int            `json:"on-time"`
	RetryAfter int            `json:"refusals-with-retry-after"`
	ResponseMS Quantiles      `json:"response-ms"`
	Slowdown   Quantiles      `json:"slowdown"` // response time over ideal response time
}

// CancelStats are the cancellations of a run.
type CancelStats struct {
	Sent     int       `json:"sent"`
	Errors   int       `json:"errors"`    // requests that were refused or not answered
	AnswerMS Quantiles `json:"answer-ms"` // from the cancellation to the answer of the job
}

// Quantiles summarize a histogram.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Checks count violated guarantees; all are 0 in a correct system.
type Checks struct {
	Partial           int `json:"partial-answers"`
	Crossed           int `json:"crossed-answers"`
	Contradictory     int `json:"contradictory-answers"` // two answers to one job that can't both be true
	StartsExtra       int `json:"starts-over-one"`       // of tasks of kinds that are not idempotent
	NotRunStarted     int `json:"not-run-but-started"`
	CompleteUnstarted int `json:"complete-but-not-started"`
}

// EndpointStats is what the endpoint stand-ins counted.
type EndpointStats struct {
	Starts             int            `json:"starts"`
	Retries            int            `json:"starts-over-one-of-idempotent-kinds"`
	Refusals           int            `json:"refusals"`
	Rejects            int            `json:"rejects"`
	Useful             int            `json:"useful-starts"` // one for each task of a complete answer
	WastedPer1000      float64        `json:"wasted-per-1000-tasks"`
	WastedCancelled    int            `json:"wasted-by-cancellation"` // part of the wasted starts
	Unattributed       int            `json:"unattributed-starts"`    // of jobs whose id no caller got
	Utilisation        float64        `json:"utilisation"`            // busy slot time over slot time while load was offered
	UsefulBusyFraction float64        `json:"useful-busy-share"`      // of the busy slot time
	FloodUtilization   []float64      `json:"utilisation-in-floods"`  // of each flood of the profile
	FewestStarts       EndpointStarts `json:"fewest-starts"`          // while load was offered
	MostStarts         EndpointStarts `json:"most-starts"`
	Probes             uint64         `json:"probes"`
	MostRunning        int            `json:"most-running"` // at one endpoint
}

// EndpointStarts are the starts that one endpoint counted.
type EndpointStarts struct {
	ID       string `json:"id"`
	Starts   uint64 `json:"starts"`
	Failures uint64 `json:"failures"`
}

// report keeps what the callers saw when the counts of the stand-ins can't be had.
func (r *runner) report(offered standInCounts, elapsed time.Duration, countErr error) *Report {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	report := &Report{
		Profile: r.profile.Name, Seed: r.profile.Seed, Seconds: elapsed.Seconds(), Slots: r.profile.Slots,
		TaskRate: r.profile.taskRate(), GeneratorLagMS: quantiles(rec.lateness, 1000), Examples: rec.examples,
		Checks:      Checks{Partial: rec.partial, Crossed: rec.crossed, Contradictory: rec.contradictory},
		FailedCalls: rec.breaks, FailedCallCount: rec.breakCount, Failovers: rec.failovers, ViolatingIDs: rec.suspects,
	}
	if rec.cancels > 0 {
		report.Cancels = &CancelStats{Sent: rec.cancels, Errors: rec.cancelErrors, AnswerMS: quantiles(rec.sinceCancel, 1000)}
	}
	for _, key := range rec.keys() {
		report.Classes = append(report.Classes, rec.groups[key].report(key))
	}
	if len(r.judge.addresses) == 0 {
		return report
	}
	tasks, err := r.judge.tasks()
	if err = errors.Join(countErr, err); err != nil {
		report.WorkError = err.Error()
		return report
	}
	report.addWork(tasks, rec.jobs, offered, elapsed)
	report.Work.FloodUtilization = rec.floods
	return report
}

func (g *group) report(key groupKey) PriorityReport {
	c := PriorityReport{
		Priority: key.class, Phase: key.phase, Tasks: g.tasks, Outcomes: g.outcomes, OnTime: g.onTime, RetryAfter: g.retryAfter,
		ResponseMS: quantiles(g.response, 1000), Slowdown: quantiles(g.slowdown, slowdownScale),
	}
	for _, n := range g.outcomes {
		c.Jobs += n
	}
	return c
}

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / scale}
}

// addWork compares what the stand-ins counted with what the callers were told.
func (report *Report) addWork(tasks map[string]taskLine, jobs map[string]jobRecord, offered standInCounts, elapsed time.Duration) {
	w := &EndpointStats{Probes: offered.Probes, MostRunning: offered.MostRunning}
	w.FewestStarts, w.MostStarts = offered.extremes()
	var busy, usefulBusy time.Duration
	startedTasks := map[string]int{}
	for id, line := range tasks {
		jobID, _, _ := strings.Cut(id, "/")
		told, known := jobs[jobID]
		w.Starts += line.starts
		w.Refusals += line.refusals
		w.Rejects += line.rejects
		busy += line.busy
		if line.starts > 0 {
			startedTasks[jobID]++
		}
		report.judgeTask(w, id, line, told, known)
		if told.outcome == "complete" && line.starts > 0 {
			w.Useful++
			usefulBusy += line.busy / time.Duration(line.starts)
		}
	}
	for id, told := range jobs {
		if told.outcome == "complete" {
			report.Checks.CompleteUnstarted += told.tasks - startedTasks[id]
		}
	}
	sort.Strings(report.ViolatingIDs)
	report.ViolatingIDs = report.ViolatingIDs[:min(len(report.ViolatingIDs), maxSuspects)]
	w.finish(offered, elapsed, busy, usefulBusy)
	report.Work = w
}

// maxSuspects bounds the ids that a report lists.
const maxSuspects = 20

func (report *Report) judgeTask(w *EndpointStats, id string, line taskLine, told jobRecord, known bool) {
	if line.starts == 0 {
		return
	}
	switch {
	case !known:
		w.Unattributed += line.starts
	case told.outcome == "not-run":
		report.Checks.NotRunStarted++
		report.ViolatingIDs = append(report.ViolatingIDs, id)
	}
	if told.idempotent {
		w.Retries += line.starts - 1
	} else {
		report.Checks.StartsExtra += line.starts - 1
		if line.starts > 1 {
			report.ViolatingIDs = append(report.ViolatingIDs, id)
		}
	}
	if told.cancelled && told.outcome != "complete" {
		w.WastedCancelled += line.starts
	}
}

func (w *EndpointStats) finish(offered standInCounts, elapsed, busy, usefulBusy time.Duration) {
	if w.Useful > 0 {
		w.WastedPer1000 = float64(w.Starts+w.Refusals+w.Rejects-w.Useful) / float64(w.Useful) * 1000
	}
	if offered.Slots > 0 && elapsed > 0 {
		w.Utilisation = offered.BusySeconds / (float64(offered.Slots) * elapsed.Seconds())
	}
	if busy > 0 {
		w.UsefulBusyFraction = usefulBusy.Seconds() / busy.Seconds()
	}
}

// WriteJSON writes the report as JSON.
func (report *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// WriteText writes the report as text for a terminal.
func (report *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "profile %s, seed %d: %.1f s, %d slots, %.0f task starts/s offered without floods\n\n",
		report.Profile, report.Seed, report.Seconds, report.Slots, report.TaskRate)
	fmt.Fprintf(&b, "%-14s %-11s %8s %8s %9s | %26s | %26s\n", "class", "phase", "jobs", "tasks", "on-time",
		"response ms p50 p90 p99", "slowdown p50 p90 p99")
	for _, c := range report.Classes {
		fmt.Fprintf(&b, "%-14s %-11s %8d %8d %8.2f%% | %8.1f %8.1f %8.1f | %8.3f %8.3f %8.3f\n", c.Priority, c.Phase, c.Jobs, c.Tasks,
			percent(c.OnTime, c.Jobs), c.ResponseMS.P50, c.ResponseMS.P90, c.ResponseMS.P99,
			c.Slowdown.P50, c.Slowdown.P90, c.Slowdown.P99)
	}
	b.WriteString("\noutcomes\n")
	for _, c := range report.Classes {
		fmt.Fprintf(&b, "%-14s %-11s %s, %d with retry-after\n", c.Priority, c.Phase, outcomeText(c.Outcomes), c.RetryAfter)
	}
	report.writeChecks(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (report *Report) writeChecks(b *strings.Builder) {
	c := report.Checks
	fmt.Fprintf(b, "\nchecks: %d partial, %d crossed, %d contradictory, %d starts over one, %d not-run but started, %d complete but not started\n",
		c.Partial, c.Crossed, c.Contradictory, c.StartsExtra, c.NotRunStarted, c.CompleteUnstarted)
	if w := report.Work; w != nil {
		fmt.Fprintf(b, "endpoints: %d starts (%d retries), %d refusals, %d rejects, %.2f wasted messages per 1,000 tasks (%d starts by cancellation, %d unattributed)\n",
			w.Starts, w.Retries, w.Refusals, w.Rejects, w.WastedPer1000, w.WastedCancelled, w.Unattributed)
		fmt.Fprintf(b, "utilisation: %.1f%% of slot time, %.1f%% of it useful, at most %d running at one endpoint, %d probes\n",
			w.Utilisation*100, w.UsefulBusyFraction*100, w.MostRunning, w.Probes)
		fmt.Fprintf(b, "starts per endpoint: %d (%d failed) at %s to %d at %s\n",
			w.FewestStarts.Starts, w.FewestStarts.Failures, w.FewestStarts.ID, w.MostStarts.Starts, w.MostStarts.ID)
	}
	if report.WorkError != "" {
		fmt.Fprintf(b, "endpoints: %s\n", report.WorkError)
	}
	for i, share := range report.floods() {
		fmt.Fprintf(b, "utilisation in flood %d: %.1f%% of slot time\n", i+1, share*100)
	}
	if x := report.Cancels; x != nil {
		fmt.Fprintf(b, "cancellations: %d sent, %d without success, answered after ms: p50 %.1f, p99 %.1f\n",
			x.Sent, x.Errors, x.AnswerMS.P50, x.AnswerMS.P99)
	}
	if report.FailedCallCount+report.Failovers > 0 {
		fmt.Fprintf(b, "calls: %d sent and not answered, %d not sent and moved to another entry VM\n", report.FailedCallCount, report.Failovers)
	}
	l := report.GeneratorLagMS
	fmt.Fprintf(b, "tool lag ms: p50 %.3f, p99 %.3f, max %.3f\n", l.P50, l.P99, l.Max)
	for _, outcome := range sortedNames(report.Examples) {
		fmt.Fprintf(b, "example of %s: %s\n", outcome, report.Examples[outcome])
	}
}

func (report *Report) floods() []float64 {
	if report.Work == nil {
		return nil
	}
	return report.Work.FloodUtilization
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole) * 100
}

func outcomeText(outcomes map[string]int) string {
	parts := make([]string, 0, len(outcomes))
	for _, name := range sortedNames(outcomes) {
		parts = append(parts, fmt.Sprintf("%d %s", outcomes[name], name))
	}
	return strings.Join(parts, ", ")
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Err returns an error when a guarantee is violated or could not be checked.
func (report *Report) Err() error {
	if c := report.Checks; c != (Checks{}) {
		return fmt.Errorf("a guarantee is violated: %+v", c)
	}
	if report.WorkError != "" {
		return fmt.Errorf("the guarantees are not checked: %s", report.WorkError)
	}
	return nil
}
