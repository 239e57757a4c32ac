package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// result is what became of one job, as its caller saw it.
type result struct {
	id         string
	outcome    string // of the answer, or invalid, broken, unreachable, malformed
	reason     string
	retryAfter time.Duration
	partial    bool // complete without the result of every task
	crossed    bool // holds a result or the id of another request
	elapsed    time.Duration

	contradictory bool          // another answer to the same job says otherwise
	sinceCancel   time.Duration // from the cancellation to the answer
}

// Outcomes of jobs that got no valid answer.
const (
	outcomeInvalid     = "invalid"
	outcomeBroken      = "broken"
	outcomeUnreachable = "unreachable"
	outcomeMalformed   = "malformed"
)

// answer is the answer of an entry VM.
type answer struct {
	ID           string            `json:"id"`
	Outcome      string            `json:"outcome"`
	Reason       string            `json:"reason"`
	RetryAfterMS float64           `json:"retry-after-ms"`
	Results      []json.RawMessage `json:"results"`
}

// statusOutcomes maps the statuses of answers to the outcomes that they stand for.
var statusOutcomes = map[int]job.Outcome{
	fasthttp.StatusOK: job.Complete, fasthttp.StatusAccepted: job.Pending, fasthttp.StatusBadGateway: job.Failed,
	fasthttp.StatusServiceUnavailable: job.NotRun, fasthttp.StatusGatewayTimeout: job.Unknown,
}

// token returns the text that the answer to a task must contain.
func token(seed, index uint64, task int) string {
	// Finalizer of splitmix64: distinct inputs give distinct tokens that share no pattern.
	x := seed*0x9e3779b97f4a7c15 ^ index<<8 ^ uint64(task)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	text := strconv.FormatUint(x, 16)
	return "t" + "0000000000000000"[len(text):] + text
}

// appendBody appends the body of a submission.
func appendBody(body []byte, a arrival, seed uint64, id string) []byte {
	body = append(body, '{')
	if id != "" {
		body = append(strconv.AppendQuote(append(body, `"id":`...), id), ',')
	}
	body = strconv.AppendQuote(append(body, `"kind":`...), a.mix.Kind)
	body = strconv.AppendQuote(append(body, `,"team":`...), a.team)
	body = strconv.AppendInt(append(body, `,"deadline-ms":`...), a.mix.Deadline.Milliseconds(), 10)
	body = append(body, `,"tasks":[`...)
	for i, d := range a.runTimes {
		if i > 0 {
			body = append(body, ',')
		}
		body = strconv.AppendFloat(append(body, `{"run-ms":`...), float64(d.Microseconds())/1000, 'f', 3, 64)
		body = append(append(append(body, `,"token":"`...), token(seed, a.index, i)...), `"}`...)
	}
	return append(body, `]}`...)
}

// check reads the answer to a job and says whether it is whole and belongs to the job.
func check(status int, data []byte, a arrival, seed uint64, id string) result {
	if status/100 == 4 {
		return result{outcome: outcomeInvalid, reason: excerpt(data)}
	}
	var got answer
	if err := json.Unmarshal(data, &got); err != nil {
		return result{outcome: outcomeMalformed, reason: fmt.Sprintf("status %d: %v", status, err)}
	}
	outcome, err := job.ParseOutcome(got.Outcome)
	if expected, known := statusOutcomes[status]; err != nil || !known || expected != outcome {
		return result{outcome: outcomeMalformed, reason: fmt.Sprintf("status %d with outcome %q", status, got.Outcome)}
	}
	r := result{id: got.ID, outcome: got.Outcome, reason: got.Reason}
	// Bounded, since a larger number than a Duration holds has no defined conversion.
	r.retryAfter = time.Duration(min(max(got.RetryAfterMS, 0), float64(time.Hour.Milliseconds())) * float64(time.Millisecond))
	r.crossed = id != "" && got.ID != id
	r.checkResults(outcome, got.Results, a, seed)
	return r
}

func (r *result) checkResults(outcome job.Outcome, results []json.RawMessage, a arrival, seed uint64) {
	if outcome != job.Complete {
		// Results are part of an answer only when it is complete.
		r.partial = len(results) > 0
		return
	}
	if len(results) != len(a.runTimes) {
		r.partial = true
		return
	}
	for i, content := range results {
		if bytes.Contains(content, []byte(token(seed, a.index, i))) {
			continue
		}
		if bytes.Contains(content, []byte(`token`)) {
			r.crossed = true
		} else {
			r.partial = true
		}
	}
}

func excerpt(data []byte) string {
	const most = 120
	return string(bytes.ToValidUTF8(data[:min(len(data), most)], []byte("?")))
}

// failure classifies an exchange without an answer.
func failure(err error) result {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return result{outcome: outcomeUnreachable, reason: err.Error()}
	}
	return result{outcome: outcomeBroken, reason: err.Error()}
}
