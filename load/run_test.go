package load

import (
	"encoding/json"
	"net"
	"strconv"
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
	jobs      atomic.Uint64
	alter     func(*answer) // changes answers on their way to the caller
	repeat    bool          // sends each task two times
}

func (f *fakeEntry) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: f.serve, Concurrency: 100_000}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Shutdown()
		group.Wait()
	})
	return listener.Addr().String()
}

func (f *fakeEntry) serve(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID    string            `json:"id"`
		Tasks []json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	a := answer{ID: body.ID, Outcome: "complete", Results: make([]json.RawMessage, len(body.Tasks))}
	if a.ID == "" {
		a.ID = "a.entry.1." + strconv.FormatUint(f.jobs.Add(1), 36)
	}
	var group sync.WaitGroup
	for i, task := range body.Tasks {
		group.Go(func() {
			a.Results[i] = f.send(a.ID+"/"+strconv.Itoa(i), task)
			if f.repeat {
				a.Results[i] = f.send(a.ID+"/"+strconv.Itoa(i), task)
			}
		})
	}
	group.Wait()
	if f.alter != nil {
		f.alter(&a)
	}
	data, _ := json.Marshal(a)
	ctx.SetBody(data)
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
		Mixes: []Mix{{
			Kind: "k", Class: "c", Share: 1, Deadline: time.Second, Tasks: Sizes{Median: 4, Max: 8, Sigma: 1},
			RunTime: Times{Median: 20 * time.Millisecond, Min: 10 * time.Millisecond, Max: 50 * time.Millisecond},
		}},
	}
}

// Guards against a tool that reports violations where there are none, or none where there are some.
func TestRunFindsViolations(t *testing.T) {
	cases := map[string]struct {
		entry *fakeEntry
		bad   func(Checks) bool
	}{
		"correct":  {entry: &fakeEntry{}, bad: func(c Checks) bool { return c != (Checks{}) }},
		"repeated": {entry: &fakeEntry{repeat: true}, bad: func(c Checks) bool { return c.StartsExtra == 0 }},
		"partial": {
			entry: &fakeEntry{alter: func(a *answer) { a.Results = a.Results[1:] }},
			bad:   func(c Checks) bool { return c.Partial == 0 },
		},
		"crossed": {
			entry: &fakeEntry{alter: func(a *answer) { a.Results[0] = json.RawMessage(`{"token":"t0"}`) }},
			bad:   func(c Checks) bool { return c.Crossed == 0 },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, 4, 1000)
			c.entry.endpoints = fleet.Endpoints()
			report, err := Run(t.Context(), Config{Profile: testProfile(), Entries: []string{c.entry.start(t)}, StandIns: []string{fleet.Admin()}})
			is.NoErr(err)
			is.True(report.Work.Starts > 50)
			if c.bad(report.Checks) {
				t.Errorf("checks: %+v", report.Checks)
			}
		})
	}
}
