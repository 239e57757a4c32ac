package endpoint

import "fmt"

// Result is the outcome of sending a task once.
type Result uint8

// The results of sending a task.
const (
	// Succeeded means that the endpoint answered with a result.
	Succeeded Result = iota
	// Failed means that the endpoint answered with an error of its own (5xx).
	Failed
	// Rejected means that the endpoint rejected the task as invalid (4xx).
	Rejected
	// Refused means that the endpoint's guard answered 503 with Not-Run, so the task was not started.
	Refused
	// NotSent means that no byte of the task reached the endpoint.
	NotSent
	// Unknown means that bytes were sent and no valid answer arrived, so the task may have run.
	Unknown
)

var resultNames = [...]string{"succeeded", "failed", "rejected", "refused", "not-sent", "unknown"}

// String returns the kebab-case name of the result.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return fmt.Sprintf("result-%d", uint8(r))
}
