package standin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/store"
)

func startEndpoint(t *testing.T, cfg EndpointConfig) *Endpoint {
	t.Helper()
	cfg.ID = "endpoint-1"
	e := NewEndpoint(cfg)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	return e
}

// endMark stands between an answer and the way in which it ended.
const endMark = '|'

// post sends one task on a connection of its own and returns the answer as it came, or an error text.
func post(address, task string, wait time.Duration) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return string(endMark) + "dial: " + err.Error()
	}
	defer func() { _ = c.Close() }()
	body := `{"run-ms":20,"token":"t1"}`
	head := "POST /run HTTP/1.1\r\nHost: x\r\nTask-Id: " + task + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	// A reset is reported once: to the write if it comes before it, else to the read.
	if _, err := io.WriteString(c, head+body); err != nil {
		return string(endMark) + "error: " + err.Error()
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	var got bytes.Buffer
	if _, err := io.Copy(&got, c); err != nil {
		return got.String() + string(endMark) + "error: " + err.Error()
	}
	return got.String() + string(endMark) + "EOF"
}

// valid reports whether an answer begins with a whole valid answer to the task.
func valid(text, task string) bool {
	text = text[:strings.LastIndexByte(text, endMark)]
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil || response.StatusCode != http.StatusOK || response.Header.Get("Task-Id") != task {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), `"token":"t1"`)
}

// Guards against faults that look different from what their name says, and against counts that would acquit or blame
// the system wrongly.
func TestEndpointFaults(t *testing.T) {
	cases := []struct {
		fault Fault
		valid bool
		text  string // part of what the client sees
		count TaskCounts
	}{
		{fault: Fault{}, valid: true, text: "200 OK", count: TaskCounts{Starts: 1, Answers: 1}},
		{fault: Fault{Kind: FaultFail}, text: "500", count: TaskCounts{Starts: 1}},
		{fault: Fault{Kind: FaultReject}, text: "422", count: TaskCounts{Rejects: 1}},
		{fault: Fault{Kind: FaultRefuse}, text: "Not-Run: true", count: TaskCounts{Refusals: 1}},
		{fault: Fault{Kind: FaultSlow, Factor: 3}, valid: true, count: TaskCounts{Starts: 1, Answers: 1}},
		{fault: Fault{Kind: FaultCloseBeforeReading}, text: "reset"},
		{fault: Fault{Kind: FaultCloseAfterReading}, text: "EOF", count: TaskCounts{Starts: 1}},
		{fault: Fault{Kind: FaultReset}, text: "reset", count: TaskCounts{Starts: 1}},
		{fault: Fault{Kind: FaultNoReply}, text: "timeout", count: TaskCounts{Starts: 1}},
		{fault: Fault{Kind: FaultDelayedReply, DelayMS: 100}, valid: true, count: TaskCounts{Starts: 1, Answers: 1}},
		{fault: Fault{Kind: FaultDuplicateReply}, valid: true, text: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTask-Id: j/0", count: TaskCounts{Starts: 1, Answers: 1}},
		{fault: Fault{Kind: FaultSwappedReply}, text: "Task-Id: none/0", count: TaskCounts{Starts: 1, Answers: 1}},
		{fault: Fault{Kind: FaultTruncated}, text: `{"token`, count: TaskCounts{Starts: 1}},
		{fault: Fault{Kind: FaultGarbage}, text: "garbage", count: TaskCounts{Starts: 1}},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			is := is.New(t)
			e := startEndpoint(t, EndpointConfig{})
			if c.fault.Kind != "" {
				is.NoErr(e.SetFaults([]Fault{c.fault}))
			}
			got := post(e.VM().Address, "j/0", 300*time.Millisecond)
			is.Equal(valid(got, "j/0"), c.valid)
			is.True(strings.Contains(got, c.text))
			is.Equal(strings.Count(got, "HTTP/1.1 200"), map[bool]int{true: 2, false: strings.Count(got, "200 OK")}[c.fault.Kind == FaultDuplicateReply])
			count := e.ledger.Task("j/0")
			count.Busy = 0
			is.Equal(count, c.count)
			is.Equal(e.Counts().Starts, uint64(c.count.Starts))
		})
	}
}

// Guards against a guard that lets in more tasks than slots, and against wrong counts of refusals and busy time.
func TestEndpointGuard(t *testing.T) {
	for _, noGuard := range []bool{false, true} {
		t.Run("no guard "+strconv.FormatBool(noGuard), func(t *testing.T) {
			is := is.New(t)
			e := startEndpoint(t, EndpointConfig{Slots: 2, NoAdmissionControl: noGuard})
			var group sync.WaitGroup
			for i := range 6 {
				group.Go(func() { post(e.VM().Address, "j/"+strconv.Itoa(i), 200*time.Millisecond) })
			}
			group.Wait()
			c := e.Counts()
			is.Equal(c.MaxRunning, 2)
			is.Equal(c.Starts+c.Refusals, uint64(6))
			is.Equal(c.Refusals == 0, noGuard)
			is.True(c.BusySeconds >= 0.02*float64(c.Starts) && c.BusySeconds < 0.06*float64(c.Starts))
		})
	}
}

// Guards against a bound on connections that is not kept or never frees its places.
func TestEndpointConnections(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, EndpointConfig{Connections: 1})
	held, err := net.Dial("tcp", e.VM().Address)
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.True(!valid(post(e.VM().Address, "j/0", 300*time.Millisecond), "j/0"))
	is.Equal(e.Counts().RefusedConnections, uint64(1))
	is.NoErr(held.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(valid(post(e.VM().Address, "j/0", 300*time.Millisecond), "j/0"))
}

// Guards against a restart that keeps its incarnation, loses its address or leaves old tasks in their slots, and
// against a leaving endpoint whose later starts are not counted.
func TestEndpointLifeCycle(t *testing.T) {
	is := is.New(t)
	memory := store.NewMemory()
	e := startEndpoint(t, EndpointConfig{Registrar: memory, Zone: "a", Service: "cue", Slots: 1})
	before := e.VM()
	is.NoErr(e.SetFaults([]Fault{{Kind: FaultNoReply}}))
	var group sync.WaitGroup
	group.Go(func() { is.True(!valid(post(before.Address, "j/0", time.Second), "j/0")) })
	time.Sleep(50 * time.Millisecond)
	is.NoErr(e.Restart(0))
	group.Wait()
	is.NoErr(e.SetFaults(nil))
	after := e.VM()
	is.True(after.Incarnation > before.Incarnation)
	is.Equal(after.Address, before.Address)
	e.Leave()
	is.True(valid(post(after.Address, "j/1", time.Second), "j/1"))
	is.Equal(e.Counts().StartsAfterLeave, uint64(1))
	time.Sleep(20 * time.Millisecond)
	list, err := memory.VMs(t.Context(), 0)
	is.NoErr(err)
	is.Equal(list.VMs[0].State, store.StateLeaving)
	is.Equal(list.VMs[0].Incarnation, after.Incarnation)
}

// Guards against lost counts when many requests arrive at once, and against starts over one that go unseen.
func TestLedgerCountsConcurrently(t *testing.T) {
	is := is.New(t)
	l := NewTaskCounter()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 1000 {
				l.start([]byte("j/" + strconv.Itoa(i)))
			}
		})
	}
	group.Wait()
	tasks, extra := l.StartTotals()
	is.Equal(tasks, uint64(1000))
	is.Equal(extra, uint64(7000))
	var text bytes.Buffer
	_, err := l.WriteTo(&text)
	is.NoErr(err)
	is.Equal(strings.Count(text.String(), " 8 0 0 0 0\n"), 1000)
}

// Guards against a fault flag that is misread and silently does something else.
func TestParseFault(t *testing.T) {
	is := is.New(t)
	id, fault, err := ParseFault("endpoint-3:slow:factor=4,probability=0.5,probes=true,delay-ms=7")
	is.NoErr(err)
	is.Equal(id, "endpoint-3")
	is.Equal(fault, Fault{Kind: FaultSlow, Factor: 4, Probability: 0.5, Probes: true, DelayMS: 7})
	for _, text := range []string{"e", "e:none", "e:fail:x=1", "e:fail:probability=2", "e:slow:factor=a", "e:slow:factor=-1"} {
		_, _, err := ParseFault(text)
		is.True(err != nil)
	}
}
