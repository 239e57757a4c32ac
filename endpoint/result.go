package endpoint

import "fmt"

// Result says what became of one send of a task.
type Result uint8

// The results of sending a task.
const (
	// Succeeded means that the endpoint answered with a result.
	Succeeded Result = iota
	// Failed means that the endpoint answered with an error of its own (5xx).
	Failed
	// Rejected means that the endpoint found fault with the task (4xx).
	Rejected
	// Refused means that the endpoint's guard answered Not-Run.
	Refused
	// NotSent means that no byte of the task reached the endpoint.
	NotSent
	// Unknown means that bytes were sent and no valid answer came.
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
