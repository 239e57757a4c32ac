package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	ID       string            `json:"id"`
	Kind     string            `json:"kind"`
	Team     string            `json:"team"`
	Tasks    []json.RawMessage `json:"tasks"`
	Deadline int64             `json:"deadline-ms"`
	Wait     *bool             `json:"wait"`
}

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Count int `json:"count"`
}

// decode parses one JSON object without unknown fields or trailing data; the result does not alias the body.
func decode(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("malformed JSON: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("malformed JSON: text after the object")
	}
	return nil
}

// parseJob returns the submission in the body and whether the caller waits for its answer.
func (s *Server) parseJob(body []byte) (job.Submission, bool, error) {
	var r jobRequest
	if err := decode(body, &r); err != nil {
		return job.Submission{}, false, err
	}
	submission, err := s.parseSubmission(r.ID, r.Kind, r.Team, r.Deadline)
	if err != nil {
		return submission, false, err
	}
	if len(r.Tasks) == 0 {
		return submission, false, invalid("tasks are missing")
	}
	if len(r.Tasks) > s.config.MaxTasks {
		return submission, false, tooLarge("job has %d tasks, at most %d are allowed", len(r.Tasks), s.config.MaxTasks)
	}
	submission.Bodies = make([][]byte, len(r.Tasks))
	for i, task := range r.Tasks {
		submission.Bodies[i] = task
	}
	return submission, r.Wait == nil || *r.Wait, nil
}

// parseSubmission validates the fields that jobs and single requests share.
func (s *Server) parseSubmission(id, kind, team string, deadline int64) (job.Submission, error) {
	submission := job.Submission{Kind: kind, Team: team}
	if id != "" {
		parsed, err := parseID(id)
		if err != nil {
			return submission, err
		}
		submission.ID = parsed
	}
	if kind == "" {
		return submission, invalid("kind is missing")
	}
	if team == "" {
		return submission, invalid("team is missing")
	}
	if deadline < 0 || deadline > s.config.MaxDeadline.Milliseconds() {
		return submission, invalid("deadline of %d ms is not between 1 and %d ms", deadline, s.config.MaxDeadline.Milliseconds())
	}
	if deadline > 0 {
		submission.Deadline = s.config.Now().Add(time.Duration(deadline) * time.Millisecond)
	}
	return submission, nil
}

func (s *Server) handleSubmit(ctx *fasthttp.RequestCtx) {
	submission, wait, err := s.parseJob(ctx.PostBody())
	if err != nil {
		s.writeError(ctx, submission.ID, err)
		return
	}
	answer, err := s.run(submission, wait)
	if err != nil {
		s.writeError(ctx, submission.ID, err)
		return
	}
	s.writeAnswer(ctx, answer)
}

// run submits and, if wait is set, waits for the answer. It does not use the context of the request: fasthttp cancels
// it at shutdown, when requests in progress must still be answered.
func (s *Server) run(submission job.Submission, wait bool) (job.Answer, error) {
	id, err := s.config.Dispatcher.Submit(context.Background(), submission)
	if err != nil {
		return job.Answer{}, err
	}
	if !wait {
		return job.Answer{ID: id}, nil
	}
	return s.await(id, s.maxWait(submission))
}

func (s *Server) maxWait(submission job.Submission) time.Duration {
	if submission.Deadline.IsZero() {
		return s.config.MaxDeadline + answerGracePeriod
	}
	return submission.Deadline.Sub(s.config.Now()) + answerGracePeriod
}

// await waits for the answer and sets its ID. An error of the dispatcher becomes the outcome Unknown.
func (s *Server) await(id job.ID, wait time.Duration) (job.Answer, error) {
	answer, err := s.config.Dispatcher.Wait(context.Background(), id, wait)
	if err != nil {
		answer = job.Answer{Outcome: job.Unknown, Reason: err.Error()}
	}
	answer.ID = id
	return answer, nil
}

func (s *Server) handleSingle(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	deadline, err := parseMilliseconds(header.Peek("Deadline-Ms"))
	if err != nil {
		s.writeError(ctx, job.ID{}, invalid("malformed header Deadline-Ms"))
		return
	}
	kind := string(ctx.Path())[len(pathKind):]
	submission, err := s.parseSubmission(string(header.Peek("Job-Id")), kind, string(header.Peek("Team")), deadline)
	if err != nil {
		s.writeError(ctx, submission.ID, err)
		return
	}
	submission.Bodies = [][]byte{bytes.Clone(ctx.PostBody())}
	answer, err := s.run(submission, true)
	if err != nil {
		s.writeError(ctx, submission.ID, err)
		return
	}
	s.writeRaw(ctx, answer)
}

func (s *Server) handleJob(ctx *fasthttp.RequestCtx) {
	id, err := parseID(string(ctx.Path())[len(pathJob):])
	if err != nil {
		s.writeError(ctx, job.ID{}, err)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		s.handleGetJob(ctx, id)
	case fasthttp.MethodDelete:
		s.handleCancelJob(ctx, id)
	default:
		ctx.Response.Header.Set("Allow", "GET, DELETE")
		s.writeStatus(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed, use GET or DELETE")
	}
}

func (s *Server) handleGetJob(ctx *fasthttp.RequestCtx, id job.ID) {
	arguments := ctx.QueryArgs()
	milliseconds, err := parseMilliseconds(arguments.Peek("wait-ms"))
	if err != nil {
		s.writeError(ctx, id, invalid("malformed wait-ms"))
		return
	}
	raw := arguments.GetBool("raw")
	answer, err := s.await(id, min(time.Duration(milliseconds)*time.Millisecond, s.config.MaxDeadline))
	switch {
	case err != nil:
		s.writeError(ctx, id, err)
	case raw:
		s.writeRaw(ctx, answer)
	default:
		s.writeAnswer(ctx, answer)
	}
}

func (s *Server) handleCancelJob(ctx *fasthttp.RequestCtx, id job.ID) {
	if err := s.config.Dispatcher.Cancel(context.Background(), id); err != nil {
		s.writeError(ctx, id, err)
		return
	}
	answer, err := s.await(id, 0)
	if err != nil {
		s.writeError(ctx, id, err)
		return
	}
	s.writeAnswer(ctx, answer)
}

func (s *Server) handleTickets(ctx *fasthttp.RequestCtx) {
	var r ticketRequest
	if err := decode(ctx.PostBody(), &r); err != nil {
		s.writeError(ctx, job.ID{}, err)
		return
	}
	if r.Count < 1 || r.Count > MaxTicketsPerRequest {
		s.writeError(ctx, job.ID{}, invalid("count of %d is not between 1 and %d", r.Count, MaxTicketsPerRequest))
		return
	}
	ids, err := s.config.Dispatcher.IssueTickets(r.Count)
	if err != nil {
		s.writeError(ctx, job.ID{}, &NotRunError{Reason: err.Error()})
		return
	}
	s.writeTickets(ctx, ids)
}

// parseID parses a job ID and rejects bytes that cannot be written into a header.
func parseID(text string) (job.ID, error) {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] >= 0x7f {
			return job.ID{}, invalid("job id %q contains a byte that is not visible ASCII", text)
		}
	}
	id, err := job.ParseID(text)
	if err != nil {
		return id, invalid("%v", err)
	}
	return id, nil
}

// parseMilliseconds parses a number of milliseconds of at most 22 bits, a little over an hour; an empty text is zero.
func parseMilliseconds(text []byte) (int64, error) {
	if len(text) == 0 {
		return 0, nil
	}
	value, err := strconv.ParseUint(string(text), 10, 22)
	return int64(value), err
}
