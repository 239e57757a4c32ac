package caller

import (
	"context"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/job"
)

// Dispatcher runs submissions; its methods are called from many goroutines.
type Dispatcher interface {
	// IssueTickets mints ids for later submissions.
	IssueTickets(count int) ([]job.ID, error)
	// Submit accepts a submission and returns its id, which is minted unless the submission has one.
	// An *InvalidRequestError or *NotRunError means that this call started no task and none will be started because of it;
	// any other error leaves that open. The bodies belong to the dispatcher.
	Submit(ctx context.Context, s job.Submission) (job.ID, error)
	// Wait returns the answer of a submission, which is Pending when it isn't known after the wait.
	// A wait of zero asks for the present state.
	Wait(ctx context.Context, id job.ID, wait time.Duration) (job.Answer, error)
	// Cancel withdraws a submission; its answer is then available from Wait as soon as no task is in flight.
	Cancel(ctx context.Context, id job.ID) error
}

// InvalidRequestError means that a submission is invalid and was not run.
type InvalidRequestError struct {
	Reason   string
	TooLarge bool // a bound was exceeded
}

// Error returns the reason.
func (e *InvalidRequestError) Error() string { return e.Reason }

// NotRunError means that a submission was refused and no task was started.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *NotRunError) Error() string { return e.Reason }

func invalid(format string, a ...any) error {
	return &InvalidRequestError{Reason: fmt.Sprintf(format, a...)}
}

func tooLarge(format string, a ...any) error {
	return &InvalidRequestError{Reason: fmt.Sprintf(format, a...), TooLarge: true}
}
