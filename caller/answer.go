package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// Names of the headers of answers.
const (
	HeaderJobID      = "Job-Id"
	HeaderJobOutcome = "Job-Outcome"
)

const contentTypeJSON = "application/json"

// answerHead is the part of an answer before its results.
type answerHead struct {
	ID         string `json:"id,omitempty"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retry-after-ms,omitempty"`
}

func statusOf(outcome job.Outcome) int {
	switch outcome {
	case job.Complete:
		return fasthttp.StatusOK
	case job.Pending:
		return fasthttp.StatusAccepted
	case job.Failed:
		return fasthttp.StatusBadGateway
	case job.NotRun:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusGatewayTimeout
	}
}

// writeAnswer writes the whole answer in JSON; results are copied byte for byte.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, answer job.Answer) {
	if answer.Outcome == job.Complete {
		if i := firstInvalidJSON(answer.Results); i >= 0 {
			answer = job.Answer{ID: answer.ID, Outcome: job.Failed, Reason: fmt.Sprintf("the result of task %d is not JSON", i)}
		}
	}
	s.writeHead(ctx, statusOf(answer.Outcome), answer)
	if answer.Outcome != job.Complete {
		return
	}
	head := ctx.Response.Body()
	body := make([]byte, 0, len(head)+maxEncodedSize(answer.Results))
	body = append(append(body, head[:len(head)-1]...), `,"results":[`...)
	for i, result := range answer.Results {
		if i > 0 {
			body = append(body, ',')
		}
		if len(result.Body) == 0 {
			body = append(body, "null"...)
			continue
		}
		body = append(body, result.Body...)
	}
	ctx.Response.SetBodyRaw(append(body, "]}"...))
}

// maxEncodedSize returns an upper bound on the encoded size of the results in bytes.
func maxEncodedSize(results []job.Result) int {
	size := len(`,"results":[]}`)
	for _, result := range results {
		size += len(result.Body) + len("null,")
	}
	return size
}

// firstInvalidJSON returns the index of the first result that cannot be part of a JSON answer, or -1. An empty body, as
// of status 204, becomes null.
func firstInvalidJSON(results []job.Result) int {
	for i, result := range results {
		if len(result.Body) > 0 && !json.Valid(result.Body) {
			return i
		}
	}
	return -1
}

// writeRaw writes the only result of a complete answer as it came from the endpoint, and any other answer in JSON.
func (s *Server) writeRaw(ctx *fasthttp.RequestCtx, answer job.Answer) {
	if answer.Outcome != job.Complete || len(answer.Results) != 1 {
		s.writeAnswer(ctx, answer)
		return
	}
	result := answer.Results[0]
	setHeaders(ctx, answer)
	ctx.SetStatusCode(fasthttp.StatusOK)
	if result.ContentType != "" {
		ctx.SetContentType(result.ContentType)
	}
	ctx.Response.SetBodyRaw(result.Body)
}

func setHeaders(ctx *fasthttp.RequestCtx, answer job.Answer) {
	if answer.ID != (job.ID{}) {
		ctx.Response.Header.Set(HeaderJobID, answer.ID.String())
	}
	ctx.Response.Header.Set(HeaderJobOutcome, answer.Outcome.String())
	if answer.Outcome == job.NotRun && answer.RetryAfter > 0 {
		seconds := (answer.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
}

func (s *Server) writeHead(ctx *fasthttp.RequestCtx, status int, answer job.Answer) {
	setHeaders(ctx, answer)
	head := answerHead{Outcome: answer.Outcome.String(), Reason: answer.Reason, RetryAfter: answer.RetryAfter.Milliseconds()}
	if answer.ID != (job.ID{}) {
		head.ID = answer.ID.String()
	}
	body, err := json.Marshal(head)
	if err != nil { // not possible for strings and numbers
		body = []byte(`{"outcome":"unknown"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.Response.SetBodyRaw(body)
}

// writeStatus writes an answer with outcome not-run and a status of its own. It carries no ID, since it applies to this
// request only: an earlier submission under the same ticket may have run.
func (s *Server) writeStatus(ctx *fasthttp.RequestCtx, status int, reason string) {
	s.writeHead(ctx, status, job.Answer{Outcome: job.NotRun, Reason: reason})
}

// writeError answers with an error of a request; an error other than invalid or not-run gives the outcome unknown with
// the ID.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, id job.ID, err error) {
	var request *InvalidRequestError
	var notRun *NotRunError
	switch {
	case errors.As(err, &request) && request.TooLarge:
		s.writeStatus(ctx, fasthttp.StatusRequestEntityTooLarge, request.Reason)
	case errors.As(err, &request):
		s.writeStatus(ctx, fasthttp.StatusBadRequest, request.Reason)
	case errors.As(err, &notRun):
		s.writeAnswer(ctx, job.Answer{Outcome: job.NotRun, Reason: notRun.Reason, RetryAfter: notRun.RetryAfter})
	default:
		s.writeAnswer(ctx, job.Answer{ID: id, Outcome: job.Unknown, Reason: err.Error()})
	}
}

func (s *Server) writeTickets(ctx *fasthttp.RequestCtx, ids []job.ID) {
	body := []byte(`{"ids":[`)
	for i, id := range ids {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(append(append(body, '"'), id.String()...), '"')
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.Response.SetBodyRaw(append(body, "]}"...))
}
