package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

var testID = job.ID{Zone: "tartu-a", VM: "entry-1", Incarnation: 9, Sequence: 1}

// fakeDispatcher returns the answers set by a test and records its calls.
type fakeDispatcher struct {
	mu        sync.Mutex
	submitted []job.Submission
	cancelled []job.ID
	waits     []time.Duration
	submit    func(job.Submission) (job.ID, error)
	answer    func(job.ID) (job.Answer, error)
}

func (d *fakeDispatcher) IssueTickets(count int) ([]job.ID, error) {
	ids := make([]job.ID, count)
	for i := range ids {
		ids[i] = job.ID{Zone: "tartu-a", VM: "entry-1", Incarnation: 9, Sequence: uint64(i + 1)}
	}
	return ids, nil
}

func (d *fakeDispatcher) Submit(_ context.Context, s job.Submission) (job.ID, error) {
	d.mu.Lock()
	d.submitted = append(d.submitted, s)
	d.mu.Unlock()
	if d.submit != nil {
		return d.submit(s)
	}
	return testID, nil
}

func (d *fakeDispatcher) Wait(_ context.Context, id job.ID, wait time.Duration) (job.Answer, error) {
	d.mu.Lock()
	d.waits = append(d.waits, wait)
	d.mu.Unlock()
	if d.answer != nil {
		return d.answer(id)
	}
	return job.Answer{Outcome: job.Complete, Results: []job.Result{{Body: []byte("{}")}}}, nil
}

func (d *fakeDispatcher) Cancel(_ context.Context, id job.ID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelled = append(d.cancelled, id)
	return nil
}

func (d *fakeDispatcher) last(t *testing.T) job.Submission {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.submitted) == 0 {
		t.Fatal("nothing was submitted")
	}
	return d.submitted[len(d.submitted)-1]
}

func (d *fakeDispatcher) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.submitted)
}

// startServer serves on 127.0.0.1 and returns the server and its address.
func startServer(t testing.TB, config Config) (*Server, string) {
	t.Helper()
	server := NewServer(config)
	return server, serve(t, server)
}

// serve serves on 127.0.0.1 and returns the address.
func serve(t testing.TB, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = server.Shutdown(context.Background())
		group.Wait()
	})
	return listener.Addr().String()
}

type answered struct {
	status int
	header http.Header
	body   string
}

func call(t testing.TB, address, method, path, body string, header ...string) answered {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answered{status: response.StatusCode, header: response.Header, body: string(data)}
}

const goodJob = `{"kind":"scan","team":"birch","tasks":[{"b":1}]}`

// Guards against answers with the wrong status, outcome or ID for the result of the dispatcher.
func TestSubmitAnswersOutcomes(t *testing.T) {
	results := []job.Result{{Body: []byte(`{"a": 1.0}`)}, {}, {Body: []byte(`[ "\u0041<" ]`)}}
	tests := []struct {
		name   string
		answer job.Answer
		err    error
		status int
		body   string
	}{
		{"complete", job.Answer{Outcome: job.Complete, Results: results}, nil, 200, `{"id":"tartu-a.entry-1.9.1","outcome":"complete","results":[{"a": 1.0},null,[ "\u0041<" ]]}`},
		{"pending", job.Answer{}, nil, 202, `{"id":"tartu-a.entry-1.9.1","outcome":"pending"}`},
		{"failed", job.Answer{Outcome: job.Failed, Reason: "x", Results: results}, nil, 502, `{"id":"tartu-a.entry-1.9.1","outcome":"failed","reason":"x"}`},
		{"not run", job.Answer{Outcome: job.NotRun, RetryAfter: 1200 * time.Millisecond}, nil, 503, `{"id":"tartu-a.entry-1.9.1","outcome":"not-run","retry-after-ms":1200}`},
		{"unknown", job.Answer{Outcome: job.Unknown}, nil, 504, `{"id":"tartu-a.entry-1.9.1","outcome":"unknown"}`},
		{"no answer", job.Answer{}, errors.New("home is gone"), 504, `{"id":"tartu-a.entry-1.9.1","outcome":"unknown","reason":"home is gone"}`},
		{"result is not JSON", job.Answer{Outcome: job.Complete, Results: []job.Result{{Body: []byte("x")}}}, nil, 502, `{"id":"tartu-a.entry-1.9.1","outcome":"failed","reason":"the result of task 0 is not JSON"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDispatcher{answer: func(job.ID) (job.Answer, error) { return test.answer, test.err }}
			_, address := startServer(t, Config{Dispatcher: d})
			for _, a := range []answered{call(t, address, "POST", "/v1/jobs", goodJob), call(t, address, "GET", "/v1/jobs/"+testID.String(), "")} {
				is.Equal(a.status, test.status)
				is.Equal(a.body, test.body)
				is.Equal(a.header.Get("Job-Id"), testID.String())
				is.True(strings.Contains(test.body, `"`+a.header.Get("Job-Outcome")+`"`))
			}
		})
	}
}

// Guards against a refusal that is answered as if the job could have run, and the reverse.
func TestSubmitAnswersErrors(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		status  int
		outcome string
	}{
		{"invalid", &InvalidRequestError{Reason: "x"}, 400, "not-run"},
		{"too large", &InvalidRequestError{Reason: "x", TooLarge: true}, 413, "not-run"},
		{"refused", &NotRunError{Reason: "x", RetryAfter: 3 * time.Second}, 503, "not-run"},
		{"any other", errors.New("x"), 504, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDispatcher{submit: func(job.Submission) (job.ID, error) { return job.ID{}, test.err }}
			_, address := startServer(t, Config{Dispatcher: d})
			a := call(t, address, "POST", "/v1/jobs", goodJob)
			is.Equal(a.status, test.status)
			is.Equal(a.header.Get("Job-Outcome"), test.outcome)
			is.True(strings.Contains(a.body, `"outcome":"`+test.outcome+`","reason":"x"`))
			is.Equal(a.header.Get("Retry-After") == "3", test.name == "refused")
		})
	}
}

// Guards against task bodies that are altered, and fields that are lost.
func TestSubmitPassesTheJobOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := &fakeDispatcher{}
	_, address := startServer(t, Config{Dispatcher: d, Now: func() time.Time { return now }})
	a := call(t, address, "POST", "/v1/jobs", `{"id":"a.b.1.2","kind":"scan","team":"birch","deadline-ms":1500,"wait":false,
		"tasks":[ {"x":  1.00, "é":"\u00e9"} ,null,"<>&",1e400,[ ]]}`)
	is.Equal(a.status, 202)
	s := d.last(t)
	is.Equal(s.ID, job.ID{Zone: "a", VM: "b", Incarnation: 1, Sequence: 2})
	is.Equal(s.Kind, "scan")
	is.Equal(s.Team, "birch")
	is.Equal(s.Deadline, now.Add(1500*time.Millisecond))
	var bodies []string
	for _, body := range s.Bodies {
		bodies = append(bodies, string(body))
	}
	is.Equal(bodies, []string{`{"x":  1.00, "é":"\u00e9"}`, "null", `"<>&"`, "1e400", "[ ]"})
}

// Guards against invalid requests that reach the dispatcher or get an answer without the outcome not-run.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"malformed JSON", "POST", "/v1/jobs", `{"kind":`, 400},
		{"empty body", "POST", "/v1/jobs", ``, 400},
		{"text after the object", "POST", "/v1/jobs", goodJob + "{}", 400},
		{"unknown field", "POST", "/v1/jobs", `{"kind":"scan","team":"birch","tasks":[1],"x":1}`, 400},
		{"no kind", "POST", "/v1/jobs", `{"team":"birch","tasks":[1]}`, 400},
		{"no team", "POST", "/v1/jobs", `{"kind":"scan","tasks":[1]}`, 400},
		{"no tasks", "POST", "/v1/jobs", `{"kind":"scan","team":"birch","tasks":[]}`, 400},
		{"too many tasks", "POST", "/v1/jobs", `{"kind":"scan","team":"birch","tasks":[1,2,3,4]}`, 413},
		{"too many tasks under a ticket", "POST", "/v1/jobs", `{"id":"a.b.1.1","kind":"scan","team":"birch","tasks":[1,2,3,4]}`, 413},
		{"malformed id", "POST", "/v1/jobs", `{"id":"x","kind":"scan","team":"birch","tasks":[1]}`, 400},
		{"deadline too long", "POST", "/v1/jobs", `{"kind":"scan","team":"birch","tasks":[1],"deadline-ms":30001}`, 400},
		{"negative deadline", "POST", "/v1/jobs", `{"kind":"scan","team":"birch","tasks":[1],"deadline-ms":-1}`, 400},
		{"too large", "POST", "/v1/jobs", strings.Repeat(" ", 300), 413},
		{"single request too large", "POST", "/v1/kinds/scan", strings.Repeat(" ", 300), 413},
		{"single request without team", "POST", "/v1/kinds/scan", "x", 400},
		{"no tickets", "POST", "/v1/tickets", `{"count":0}`, 400},
		{"too many tickets", "POST", "/v1/tickets", `{"count":1001}`, 400},
		{"fetch of a malformed id", "GET", "/v1/jobs/x", "", 400},
		{"fetch of an id with a line break", "GET", "/v1/jobs/a%0d%0ab.c.1.1", "", 400},
		{"fetch with a malformed wait", "GET", "/v1/jobs/a.b.1.1?wait-ms=x", "", 400},
		{"cancel of a malformed id", "DELETE", "/v1/jobs/x", "", 400},
		{"other method", "PUT", "/v1/jobs/a.b.1.1", "", 405},
		{"other method on jobs", "GET", "/v1/jobs", "", 405},
		{"other path", "GET", "/v2", "", 404},
	}
	d := &fakeDispatcher{}
	_, address := startServer(t, Config{Dispatcher: d, MaxBodyBytes: 256, MaxTasks: 3})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := call(t, address, test.method, test.path, test.body)
			is.Equal(a.status, test.status)
			is.Equal(a.header.Get("Job-Outcome"), "not-run")
			is.Equal(a.header.Get("Job-Id"), "") // says nothing about an earlier submission under the same id
			is.True(strings.HasPrefix(a.body, `{"outcome":"not-run","reason":"`))
			is.Equal(d.count(), 0)
			is.Equal(len(d.cancelled), 0)
		})
	}
}

// Guards against single requests whose body or answer is not passed on byte for byte.
func TestSingleRequest(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{answer: func(job.ID) (job.Answer, error) {
		return job.Answer{Outcome: job.Complete, Results: []job.Result{{Status: 201, ContentType: "image/png", Body: []byte("\x00\xff")}}}, nil
	}}
	_, address := startServer(t, Config{Dispatcher: d})
	a := call(t, address, "POST", "/v1/kinds/scan", "\x01\xfe", "Team", "birch", "Job-Id", testID.String(), "Deadline-Ms", "700")
	is.Equal(a.status, 200)
	is.Equal(a.body, "\x00\xff")
	is.Equal(a.header.Get("Content-Type"), "image/png")
	is.Equal(a.header.Get("Job-Id"), testID.String())
	is.Equal(a.header.Get("Job-Outcome"), "complete")
	s := d.last(t)
	is.Equal(s.ID, testID)
	is.Equal(s.Kind+s.Team, "scanbirch")
	is.Equal(string(s.Bodies[0]), "\x01\xfe")
	is.Equal(call(t, address, "GET", "/v1/jobs/"+testID.String()+"?raw=true", "").body, "\x00\xff")
	is.Equal(call(t, address, "GET", "/v1/jobs/"+testID.String(), "").header.Get("Job-Outcome"), "failed")
}

// Guards against cancellation that does not reach the dispatcher or waits for tasks in flight.
func TestCancel(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{answer: func(job.ID) (job.Answer, error) { return job.Answer{}, nil }}
	_, address := startServer(t, Config{Dispatcher: d})
	is.Equal(call(t, address, "DELETE", "/v1/jobs/"+testID.String(), "").status, 202)
	is.Equal(d.cancelled, []job.ID{testID})
	is.Equal(d.waits, []time.Duration{0})
}

// Guards against tickets that cannot be used as IDs.
func TestTickets(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	a := call(t, address, "POST", "/v1/tickets", `{"count":2}`)
	is.Equal(a.status, 200)
	is.Equal(a.body, `{"ids":["tartu-a.entry-1.9.1","tartu-a.entry-1.9.2"]}`)
}

// Guards against a VM that gets work before it can run it, and hooks that are not reached or are
// served without being configured.
func TestHealthAndHooks(t *testing.T) {
	is := is.New(t)
	hook := func(text string) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(text) }
	}
	_, address := startServer(t, Config{
		Dispatcher: &fakeDispatcher{}, MetricsHandler: hook("m"), StatusHandler: hook("s"),
		ReadinessCheck: func() error { return errors.New("no configuration") },
	})
	ready := call(t, address, "GET", "/readyz", "")
	is.Equal(ready.status, 503)
	is.Equal(ready.body, "no configuration\n")
	is.Equal(call(t, address, "GET", "/livez", "").status, 200)
	is.Equal(call(t, address, "GET", "/metrics", "").body, "m")
	is.Equal(call(t, address, "GET", "/v1/status", "").body, "s")
	_, bare := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	is.Equal(call(t, bare, "GET", "/metrics", "").status, 404)
}

func newContext(method, path string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	return ctx
}
