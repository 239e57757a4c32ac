package job

import (
	"fmt"
	"time"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 150

// Outcome says what became of a submission.
type Outcome uint8

// The outcomes of a submission.
const (
	// Pending means that the answer is not known yet.
	Pending Outcome = iota
	// Complete means that every task ran and its result is part of the answer.
	Complete
	// Failed means that the submission ran and failed.
	Failed
	// NotRun means that no task of the submission was started.
	NotRun
	// Unknown means that a task may have been started and no answer came.
	Unknown
)

var outcomeNames = [...]string{"pending", "complete", "failed", "not-run", "unknown"}

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome-%d", uint8(o))
}

// ParseOutcome reads the kebab-case name of an outcome.
func ParseOutcome(name string) (Outcome, error) {
	for i, known := range outcomeNames {
		if known == name {
			return Outcome(i), nil
		}
	}
	return Pending, fmt.Errorf("unknown outcome %q, allowed are %q", name, outcomeNames)
}

// Result is what an endpoint answered to one task.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Answer is the final word on a submission: all results when Complete, none otherwise.
type Answer struct {
	ID         ID
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Results    []Result
}

// Submission is a request of a caller: one kind of work, one body for each task.
type Submission struct {
	ID          ID
	Kind        string
	Team        string
	ContentType string // of the bodies, application/json when empty
	Bodies      [][]byte
	Deadline    time.Time
}
