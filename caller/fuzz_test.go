package caller

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"samphireplank.example/samphireplank/job"
)

// Guards against bodies that crash the parser, task bodies that are not passed on byte for byte, and a submission
// beyond the limits.
func FuzzJobBody(f *testing.F) {
	for _, seed := range []string{
		goodJob, jobOfTen, `{"kind":"scan","team":"birch","tasks":[null, "\u0000", 1e999,{"a":[{}]}]}`,
		`{"id":"a.b.1.1","kind":"k","team":"t","tasks":[1],"deadline-ms":30000,"wait":false}`,
		`{"tasks":[1],"tasks":[2,3],"KIND":"k","team":"t","kind":"\ud800"}`, `{"kind":"`, "[]", "null", goodJob + "x",
		`{"kind":"k","team":"t","tasks":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + "}",
	} {
		f.Add([]byte(seed))
	}
	server := NewServer(Config{Dispatcher: &fakeDispatcher{}})
	f.Fuzz(func(t *testing.T, body []byte) {
		original := bytes.Clone(body)
		submission, _, err := server.parseJob(body)
		if !bytes.Equal(body, original) {
			t.Fatal("the body was changed")
		}
		if err != nil {
			return
		}
		if submission.Kind == "" || submission.Team == "" || len(submission.Bodies) < 1 || len(submission.Bodies) > job.MaxTasks {
			t.Fatalf("accepted %+v", submission)
		}
		clear(body) // the submission must not refer to the request, which fasthttp reuses
		for _, task := range submission.Bodies {
			if !json.Valid(task) || !bytes.Contains(original, task) {
				t.Fatalf("task %q", task)
			}
		}
	})
}

// Guards against an answer that is not valid JSON or that loses a result, whatever the endpoints sent.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"a": 1}`), "", []byte("[]"))
	f.Add([]byte(""), "reason \"\x00\xff", []byte("x"))
	f.Add([]byte("{}{}"), "r", []byte("null"))
	f.Fuzz(func(t *testing.T, first []byte, reason string, second []byte) {
		server := NewServer(Config{Dispatcher: &fakeDispatcher{}})
		ctx := newContext("GET", "/v1/jobs/a.b.1.1")
		server.writeAnswer(ctx, job.Answer{Outcome: job.Complete, Reason: reason, Results: []job.Result{{Body: first}, {Body: second}}})
		var answer struct {
			Outcome string
			Results []json.RawMessage
		}
		if err := json.Unmarshal(ctx.Response.Body(), &answer); err != nil {
			t.Fatalf("%v in %q", err, ctx.Response.Body())
		}
		if (answer.Outcome == "complete") != (len(answer.Results) == 2) {
			t.Fatalf("partial answer %q", ctx.Response.Body())
		}
	})
}
