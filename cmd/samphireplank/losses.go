package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"text/tabwriter"
	"time"
)

const lossesHelp = "Reads log lines of `serve` from files, or from standard input, and shows where requests were lost: requests " +
	"without a complete answer by reason, refusals by the room that their group had, and both by second. Text before a line's " +
	"first brace is ignored."

type lossesCommand struct {
	Period time.Duration `long:"period" value-name:"DURATION" default:"2s" description:"Length of the periods of the last table"`
	Args   struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// logLine is a log line of serve, with the fields that tell how a request ended.
type logLine struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	VM       string    `json:"vm"`
	Route    string    `json:"route"`
	Group    string    `json:"group"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	TookMS   int64     `json:"took-ms"`
	LateMS   int64     `json:"late-ms"`
	WaitedMS int64     `json:"waited-ms"`
	Queued   int64     `json:"queued"`
	Tasks    int64     `json:"tasks"`
	Room     int64     `json:"room"`
	Ejected  int64     `json:"ejected-room"`
	Unusable int64     `json:"unusable-room"`
}

// lossReport is the result of the command.
type lossReport struct {
	Answers  int            `json:"answers"`
	Lost     []lossRow      `json:"lost"`
	Refusals []refusalRow   `json:"refusals"`
	Ejected  map[string]int `json:"ejected"` // ejections of workers by reason
	Periods  []periodRow    `json:"periods"`
}

// lossRow counts requests without a complete answer.
type lossRow struct {
	Route    string `json:"route"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Count    int    `json:"count"`
	MedianMS int64  `json:"median-ms"` // time until the answer
}

// refusalRow counts refusals of holders by the room of their group.
type refusalRow struct {
	Group        string `json:"group"`
	Reason       string `json:"reason"`
	Room         string `json:"room"`
	Count        int    `json:"count"`
	MedianLateMS int64  `json:"median-late-ms"`
	MedianQueued int64  `json:"median-queued"`
}

// periodRow counts answers of a period.
type periodRow struct {
	Start      time.Time `json:"start"`
	Answers    int       `json:"answers"`
	Refused    int       `json:"refused"`
	Undecided  int       `json:"undecided"`
	CallerLeft int       `json:"caller-left"`
}

// Run prints the report.
func (c *lossesCommand) Run(_ context.Context, e *environment) error {
	if c.Period <= 0 {
		return &settingsError{fmt.Errorf("--period is %v; it must be positive", c.Period)}
	}
	var lines []logLine
	if len(c.Args.Files) == 0 {
		lines = readLogLines(os.Stdin, nil)
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return &settingsError{err}
		}
		lines = readLogLines(f, lines)
		if err := f.Close(); err != nil {
			return fmt.Errorf("close %s: %w", name, err)
		}
	}
	report := reportLosses(lines, c.Period)
	return e.print(report, func(w io.Writer) { printLosses(w, report) })
}

// maxLogLine is the maximum length of a log line in bytes; panics log their stack.
const maxLogLine = 1 << 20

// readLogLines appends the log lines of r; other text is passed over.
func readLogLines(r io.Reader, lines []logLine) []logLine {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal(text[start:], &line); err != nil || line.Event == "" {
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

func reportLosses(lines []logLine, period time.Duration) lossReport {
	type lossKey struct{ route, outcome, reason string }
	type refusalKey struct{ group, reason, room string }
	report := lossReport{Ejected: map[string]int{}}
	lost, refusals := map[lossKey][]int64{}, map[refusalKey][]logLine{}
	periods := map[time.Time]*periodRow{}
	for _, l := range lines {
		switch l.Event {
		case "answer":
			report.Answers++
			start := l.Time.Truncate(period)
			if periods[start] == nil {
				periods[start] = &periodRow{Start: start}
			}
			periods[start].add(l)
			if l.Outcome != "ended" {
				key := lossKey{l.Route, l.Outcome, l.Reason}
				lost[key] = append(lost[key], l.TookMS)
			}
		case "job-refused":
			key := refusalKey{l.Group, l.Reason, l.room()}
			refusals[key] = append(refusals[key], l)
		case "worker-barred":
			report.Ejected[l.Reason]++
		}
	}
	for k, took := range lost {
		report.Lost = append(report.Lost, lossRow{k.route, k.outcome, k.reason, len(took), median(took)})
	}
	for k, list := range refusals {
		var late, queued []int64
		for _, l := range list {
			late, queued = append(late, l.LateMS), append(queued, l.Queued)
		}
		report.Refusals = append(report.Refusals, refusalRow{k.group, k.reason, k.room, len(list), median(late), median(queued)})
	}
	for _, start := range slices.SortedFunc(maps.Keys(periods), time.Time.Compare) {
		report.Periods = append(report.Periods, *periods[start])
	}
	sort.Slice(report.Lost, func(i, j int) bool {
		a, b := report.Lost[i], report.Lost[j]
		return a.Count > b.Count || a.Count == b.Count && a.Route+a.Outcome+a.Reason < b.Route+b.Outcome+b.Reason
	})
	sort.Slice(report.Refusals, func(i, j int) bool {
		a, b := report.Refusals[i], report.Refusals[j]
		return a.Count > b.Count || a.Count == b.Count && a.Group+a.Reason+a.Room < b.Group+b.Reason+b.Room
	})
	return report
}

func (r *periodRow) add(l logLine) {
	r.Answers++
	switch l.Outcome {
	case "refused":
		r.Refused++
	case "undecided":
		r.Undecided++
	case "caller left":
		r.CallerLeft++
	}
}

// room describes the room that the group had for the tasks of a refused job.
func (l logLine) room() string {
	switch {
	case l.Room >= l.Tasks && l.Tasks > 0:
		return "for the job"
	case l.Room+l.Ejected >= l.Tasks && l.Ejected > 0:
		return "with ejected workers"
	case l.Room+l.Ejected+l.Unusable >= l.Tasks && l.Unusable > 0:
		return "with workers that leave or are silent"
	case l.Room > 0:
		return "for some tasks"
	}
	return "none"
}

func median(values []int64) int64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func printLosses(w io.Writer, r lossReport) {
	fmt.Fprintf(w, "%d answers\n\n", r.Answers)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "COUNT\tROUTE\tOUTCOME\tAFTER MS\tREASON")
	for _, l := range r.Lost {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", l.Count, l.Route, l.Outcome, l.MedianMS, l.Reason)
	}
	fmt.Fprintln(table, "\nREFUSALS\tGROUP\tROOM\tLATE MS\tQUEUED\tREASON")
	for _, l := range r.Refusals {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%s\n", l.Count, l.Group, l.Room, l.MedianLateMS, l.MedianQueued, l.Reason)
	}
	fmt.Fprintln(table, "\nEJECTIONS\tREASON")
	for _, reason := range slices.Sorted(maps.Keys(r.Ejected)) {
		fmt.Fprintf(table, "%d\t%s\n", r.Ejected[reason], reason)
	}
	fmt.Fprintln(table, "\nFROM\tANSWERS\tREFUSED\tUNDECIDED\tCALLER LEFT")
	for _, p := range r.Periods {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", p.Start.Format("15:04:05"), p.Answers, p.Refused, p.Undecided, p.CallerLeft)
	}
	_ = table.Flush()
}
