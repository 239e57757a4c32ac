package caller

import (
	"context"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/job"
)

// Dispatcher runs submissions; its methods are called concurrently.
type Dispatcher interface {
	// IssueTickets creates IDs for later submissions.
	IssueTickets(count int) ([]job.ID, error)
	// Submit accepts a submission and returns its ID, which is created unless the submission has one.
	// An *InvalidRequestError or *NotRunError means that this call started no task and none will be started because of it;
	// after any other error the outcome is unknown. The dispatcher owns the bodies.
	Submit(ctx context.Context, s job.Submission) (job.ID, error)
	// Wait returns the answer of a submission, which is Pending if it is not known after the wait.
	// A wait of zero returns the current state.
	Wait(ctx context.Context, id job.ID, wait time.Duration) (job.Answer, error)
	// Cancel withdraws a submission; Wait returns its answer as soon as no task is in flight.
	Cancel(ctx context.Context, id job.ID) error
}

// InvalidRequestError means that a submission is invalid and was not run.
type InvalidRequestError struct {
	Reason   string
	TooLarge bool // a limit on the size was exceeded
}

// Error returns the reason.
func (e *InvalidRequestError) Error() string { return e.Reason }

// NotRunError means that a submission was refused and that no task was started.
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
