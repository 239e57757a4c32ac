package job

import (
	"fmt"
	"time"
)

// MaxTasks is the maximum number of tasks in a submission to endpoints.
const MaxTasks = 150

// Outcome is the outcome of a submission.
type Outcome uint8

// The outcomes of a submission.
const (
	// Pending means that the submission has no answer yet.
	Pending Outcome = iota
	// Complete means that every task ran and the answer contains all results.
	Complete
	// Failed means that the submission was started and failed.
	Failed
	// NotRun means that no task of the submission was started.
	NotRun
	// Unknown means that a task may have been started and no response to it arrived.
	Unknown
)

var outcomeNames = [...]string{"pending", "complete", "failed", "not-run", "unknown"}

// String returns the outcome's name in kebab-case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome-%d", uint8(o))
}

// ParseOutcome parses the kebab-case name of an outcome.
func ParseOutcome(name string) (Outcome, error) {
	for i, known := range outcomeNames {
		if known == name {
			return Outcome(i), nil
		}
	}
	return Pending, fmt.Errorf("unknown outcome %q, allowed are %q", name, outcomeNames)
}

// Result is the response of an endpoint to one task.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Answer is the final answer to a submission: it contains all results if Complete and none otherwise.
type Answer struct {
	ID         ID
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Results    []Result
}

// Submission is a caller's request to run tasks of one kind, with one body for each task.
type Submission struct {
	ID          ID
	Kind        string
	Team        string
	ContentType string // of the bodies; empty means application/json
	Bodies      [][]byte
	Deadline    time.Time
}
