package chaos

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"samphireplank.example/samphireplank/load"
)

// judgeLoad checks what the load tool reports.
func judgeLoad(report *load.Report, r *record, c *cluster) {
	counts := report.Checks
	outcomes := totals(report)
	for _, check := range []struct {
		name  string
		count int
	}{
		{"no second start of a task that is not idempotent", counts.StartsExtra},
		{"no partial answer", counts.Partial},
		{"no crossed answer", counts.Crossed},
		{"no contradictory answers", counts.Contradictory},
		{"not-run is true", counts.NotRunStarted},
		{"complete tasks were started", counts.CompleteUnstarted},
		{"valid jobs are not refused as invalid", outcomes["invalid"]},
		{"answers are well-formed", outcomes["malformed"]},
		{"an entry VM can be reached", outcomes["unreachable"]},
	} {
		if check.count != 0 {
			r.violation(check.name, fmt.Sprintf("%d cases", check.count))
		}
	}
	if report.FailedCallCount > len(report.FailedCalls) {
		r.violation("broken calls can be judged", fmt.Sprintf("%d of %d are listed", len(report.FailedCalls), report.FailedCallCount))
	}
	for _, b := range report.FailedCalls {
		judgeBreak(b, r, c)
	}
}

// totals returns the outcomes of all jobs.
func totals(report *load.Report) map[string]int {
	outcomes := map[string]int{}
	for _, class := range report.Classes {
		for name, count := range class.Outcomes {
			outcomes[name] += count
		}
	}
	return outcomes
}

// judgeBreak allows a call without an answer only if its entry VM was killed, or frozen for a missing answer.
func judgeBreak(b load.FailedCall, r *record, c *cluster) {
	// A connection from before a kill may be used until the load tool has seen the new process.
	const slack = time.Second
	excused := overlapping(r.spans, b.Sent.Add(-slack), b.At, func(e FaultEvent) bool {
		return e.entry() && c.entryAddress(e.Entry) == b.Entry && (e.Kind == Kill || e.Kind == Pause && b.Timeout)
	})
	if len(excused) > 0 {
		return
	}
	stops := overlapping(r.spans, b.Sent, b.At, func(e FaultEvent) bool {
		return e.Kind == Stop && c.entryAddress(e.Entry) == b.Entry
	})
	check := "a live entry VM answers every call"
	if len(stops) > 0 {
		check = "a planned stop cuts off no call"
	}
	r.violation(check, fmt.Sprintf("call to %s sent at %s, broken at %s: %s (stops: %v)",
		b.Entry, b.Sent.Format(clock), b.At.Format(clock), b.Reason, stops))
}

// clock is the form of times in the report, as in the logs of the processes.
const clock = "15:04:05.000"

// write prints the report of a run and returns ErrCheckFailed if a check did not hold.
func (r *record) write(cfg Config, report *load.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "jobs: %s\n", counted(totals(report)))
	fmt.Fprintf(&b, "%d starts, %d of them retries of idempotent kinds, %d of jobs without an answer, %d refusals\n",
		report.Work.Starts, report.Work.Retries, report.Work.Unattributed, report.Work.Refusals)
	fmt.Fprintf(&b, "%d calls broken or without an answer, %d calls moved to another entry VM before they were sent\n", report.FailedCallCount, report.Failovers)
	fmt.Fprintf(&b, "at least %d jobs forwarded to another zone\n", r.forwards)
	fmt.Fprintf(&b, "exit codes of publish: %s; %d looks at generations\n", counted(r.published), r.polls)
	if len(r.violations) == 0 {
		fmt.Fprintf(&b, "seed %d: all checks hold\n", cfg.Seed)
		_, err := io.WriteString(cfg.Out, b.String())
		return err
	}
	r.writeViolations(&b, cfg)
	r.writeSuspects(&b, cfg, report.ViolatingIDs)
	if _, err := io.WriteString(cfg.Out, b.String()); err != nil {
		return err
	}
	return fmt.Errorf("seed %d: %w: %d violations", cfg.Seed, ErrCheckFailed, len(r.violations))
}

// maxPrinted bounds the violations that are printed.
const maxPrinted = 40

func (r *record) writeViolations(b *strings.Builder, cfg Config) {
	fmt.Fprintf(b, "seed %d: %d VIOLATIONS\n", cfg.Seed, len(r.violations))
	for _, v := range r.violations[:min(len(r.violations), maxPrinted)] {
		fmt.Fprintf(b, "  %s: %s\n", v.Check, v.Detail)
	}
	b.WriteString("events with the times of their effect:\n")
	sort.Slice(r.spans, func(i, j int) bool { return r.spans[i].event.Number < r.spans[j].event.Number })
	for _, s := range r.spans {
		fmt.Fprintf(b, "  %s to %s %s\n", s.from.Format(clock), s.to.Format(clock), s.event)
	}
}

// writeSuspects prints for each id with a violated guarantee what the entry VMs logged about its job and which events
// were in progress then.
func (r *record) writeSuspects(b *strings.Builder, cfg Config, ids []string) {
	for _, id := range ids {
		fmt.Fprintf(b, "violated for %s:\n", id)
		job, _, _ := strings.Cut(id, "/")
		for _, line := range logged(cfg.LogDir, job) {
			fmt.Fprintf(b, "  %s\n", line.text)
			for _, e := range overlapping(r.spans, line.at, line.at.Add(time.Second), func(FaultEvent) bool { return true }) {
				fmt.Fprintf(b, "    during %s\n", e)
			}
		}
	}
	fmt.Fprintf(b, "logs are in %s\n", cfg.LogDir)
}

func counted(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}
