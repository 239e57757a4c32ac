package load

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/standin"
)

// fakeEntry sends each task of a job to the next endpoint, without a queue or a retry.
type fakeEntry struct {
	endpoints []*standin.Endpoint
	client    fasthttp.Client
	next      atomic.Uint64
	minted    atomic.Uint64
	alter     func(*answer) // changes answers on their way to the caller
	repeat    bool          // sends each task two times
	forget    bool          // runs a job again that comes again
	lie       bool          // says that a cancelled job did not run and runs it

	mu   sync.Mutex
	jobs map[string]*fakeJob
}

type fakeJob struct {
	cancelled chan struct{}
	once      sync.Once
	run       sync.Once
	answer    answer
}

func serveOn(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler, Concurrency: 100_000, MaxRequestBodySize: 8 << 20}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Shutdown()
		group.Wait()
	})
	return listener.Addr().String()
}

func (f *fakeEntry) serve(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) == "/v1/tickets":
		ids := make([]string, 100)
		for i := range ids {
			ids[i] = f.mint()
		}
		data, _ := json.Marshal(map[string][]string{"ids": ids})
		ctx.SetBody(data)
	case ctx.IsDelete():
		j := f.job(strings.TrimPrefix(string(ctx.Path()), "/v1/jobs/"))
		j.once.Do(func() { close(j.cancelled) })
	default:
		f.serveJob(ctx)
	}
}

func (f *fakeEntry) mint() string { return "a.entry.1." + strconv.FormatUint(f.minted.Add(1), 36) }

func (f *fakeEntry) job(id string) *fakeJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs == nil {
		f.jobs = map[string]*fakeJob{}
	}
	if f.jobs[id] == nil || f.forget {
		f.jobs[id] = &fakeJob{cancelled: make(chan struct{})}
	}
	return f.jobs[id]
}

func (f *fakeEntry) serveJob(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID    string            `json:"id"`
		Tasks []json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if body.ID == "" {
		body.ID = f.mint()
	}
	j := f.job(body.ID)
	j.run.Do(func() { j.answer = f.run(body.ID, body.Tasks, j.cancelled) })
	if j.answer.Outcome == "not-run" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	data, _ := json.Marshal(j.answer)
	ctx.SetBody(data)
}

// run starts the tasks after a time in which the job can be cancelled.
func (f *fakeEntry) run(id string, tasks []json.RawMessage, cancelled <-chan struct{}) answer {
	a := answer{ID: id, Outcome: "complete", Results: make([]json.RawMessage, len(tasks))}
	select {
	case <-cancelled:
		a = answer{ID: id, Outcome: "not-run", Reason: "cancelled"}
		if !f.lie {
			return a
		}
	case <-time.After(20 * time.Millisecond):
	}
	var group sync.WaitGroup
	for i, task := range tasks {
		group.Go(func() {
			got := f.send(id+"/"+strconv.Itoa(i), task)
			if f.repeat {
				got = f.send(id+"/"+strconv.Itoa(i), task)
			}
			if a.Outcome == "complete" {
				a.Results[i] = got
			}
		})
	}
	group.Wait()
	if f.alter != nil {
		f.alter(&a)
	}
	return a
}

func (f *fakeEntry) send(id string, task []byte) json.RawMessage {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	e := f.endpoints[f.next.Add(1)%uint64(len(f.endpoints))]
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + e.VM().Address + "/run")
	request.Header.Set("Task-Id", id)
	request.SetBody(task)
	if err := f.client.Do(request, response); err != nil || len(response.Body()) == 0 {
		return json.RawMessage(`null`)
	}
	return append(json.RawMessage{}, response.Body()...)
}

func startFleet(t *testing.T, n, slots int) *standin.Fleet {
	t.Helper()
	cfg := standin.FleetConfig{}
	for i := range n {
		cfg.Endpoints = append(cfg.Endpoints, standin.EndpointConfig{ID: "endpoint-" + strconv.Itoa(i+1), Slots: slots, Connections: 1000})
	}
	fleet := standin.NewFleet(cfg)
	if err := fleet.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	return fleet
}

func testProfile() *Profile {
	return &Profile{
		Name: "test", Seed: 1, Duration: 500 * time.Millisecond, Rate: 400, Slots: 400,
		Workloads: []Workload{{
			Kind: "k", Priority: "c", Teams: []string{"t"}, Share: 1, Deadline: time.Second, Tasks: SizeDistribution{Median: 4, Max: 8, Sigma: 1},
			RunTime: TimeDistribution{Median: 20 * time.Millisecond, Min: 10 * time.Millisecond, Max: 50 * time.Millisecond},
		}},
	}
}

// Guards against a tool that reports violations where there are none, or none where there are some.
func TestRunFindsViolations(t *testing.T) {
	wave := func(p *Profile) { p.CancelWaves = []CancelWave{{At: 200 * time.Millisecond, Priority: "c"}} }
	cancel := func(p *Profile) { p.Cancel = DelayedFraction{Fraction: 0.5, After: 5 * time.Millisecond} }
	resubmit := func(p *Profile) { p.Resubmit = DelayedFraction{Fraction: 0.5, After: 30 * time.Millisecond} }
	cases := map[string]struct {
		entry  *fakeEntry
		change func(*Profile)
		found  func(*Report) bool
	}{
		"correct":  {entry: &fakeEntry{}, found: func(r *Report) bool { return r.Err() == nil }},
		"repeated": {entry: &fakeEntry{repeat: true}, found: func(r *Report) bool { return r.Checks.StartsExtra > 0 }},
		"partial": {
			entry: &fakeEntry{alter: func(a *answer) { a.Results = a.Results[1:] }},
			found: func(r *Report) bool { return r.Checks.Partial > 0 },
		},
		"crossed": {
			entry: &fakeEntry{alter: func(a *answer) { a.Results[0] = json.RawMessage(`{"token":"t0"}`) }},
			found: func(r *Report) bool { return r.Checks.Crossed > 0 },
		},
		"cancelled": {entry: &fakeEntry{}, change: cancel, found: func(r *Report) bool {
			return r.Err() == nil && r.Cancels.Sent > 10 && r.Cancels.Errors == 0 && r.Classes[1].Outcomes["not-run"] > 10
		}},
		"wave": {entry: &fakeEntry{}, change: wave, found: func(r *Report) bool {
			return r.Err() == nil && r.Cancels.Sent > 0 && r.Cancels.Errors == 0
		}},
		"cancelled and run": {
			entry: &fakeEntry{lie: true}, change: cancel,
			found: func(r *Report) bool { return r.Checks.NotRunStarted > 0 },
		},
		"resubmitted": {entry: &fakeEntry{}, change: resubmit, found: func(r *Report) bool {
			return r.Err() == nil && r.Classes[1].Phase == "resubmitted" && r.Classes[1].OnTime > 10
		}},
		"run again": {
			entry: &fakeEntry{forget: true}, change: resubmit,
			found: func(r *Report) bool { return r.Checks.StartsExtra > 0 },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, 4, 1000)
			c.entry.endpoints = fleet.Endpoints()
			p := testProfile()
			if c.change != nil {
				c.change(p)
			}
			report, err := Run(t.Context(), Config{Profile: p, Entries: []string{serveOn(t, c.entry.serve)}, StandIns: []string{fleet.Admin()}})
			is.NoErr(err)
			is.True(report.Work.Starts > 50)
			if !c.found(report) {
				var text bytes.Buffer
				is.NoErr(report.WriteText(&text))
				t.Error(text.String())
			}
		})
	}
}
