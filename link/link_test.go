package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"samphireplank.example/samphireplank/link/linkpb"
)

// fakeHandler echoes requests, unless a test sets a function.
type fakeHandler struct {
	forwards atomic.Int32
	forward  func(ctx context.Context, r *linkpb.ForwardRequest) (*linkpb.Answer, error)
	exchange func(batch *linkpb.Batch) *linkpb.Batch
}

func (h *fakeHandler) Exchange(_ context.Context, batch *linkpb.Batch) (*linkpb.Batch, error) {
	if h.exchange != nil {
		return h.exchange(batch), nil
	}
	return batch, nil
}

func (h *fakeHandler) Forward(ctx context.Context, r *linkpb.ForwardRequest) (*linkpb.Answer, error) {
	h.forwards.Add(1)
	if h.forward != nil {
		return h.forward(ctx, r)
	}
	answer := &linkpb.Answer{Id: r.GetSubmission().GetId(), Outcome: "complete"}
	for _, body := range r.GetSubmission().GetBodies() {
		answer.Results = append(answer.Results, &linkpb.Result{Status: 200, Body: body})
	}
	return answer, nil
}

func (h *fakeHandler) Lookup(_ context.Context, r *linkpb.LookupRequest) (*linkpb.Answer, error) {
	return &linkpb.Answer{Id: r.GetId(), Outcome: "pending"}, nil
}

func (h *fakeHandler) Cancel(_ context.Context, r *linkpb.CancelRequest) (*linkpb.Answer, error) {
	return &linkpb.Answer{Id: r.GetId(), Outcome: "not-run"}, nil
}

func (h *fakeHandler) State(_ context.Context, r *linkpb.StateRequest) (*linkpb.StateResponse, error) {
	return &linkpb.StateResponse{Set: []byte(r.GetSet())}, nil
}

// startServer serves on 127.0.0.1 and returns the server and its address.
func startServer(t testing.TB, handler Handler) (*Server, string) {
	t.Helper()
	return startServerOn(t, handler, func(l net.Listener) net.Listener { return l })
}

func startServerOn(t testing.TB, handler Handler, wrap func(net.Listener) net.Listener) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Handler: handler})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(wrap(listener)) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return server, listener.Addr().String()
}

func testClient(t testing.TB, config ClientConfig) *Client {
	t.Helper()
	c := NewClient(config)
	t.Cleanup(c.Close)
	return c
}

func testForward(bodies ...[]byte) *linkpb.ForwardRequest {
	return &linkpb.ForwardRequest{From: "entry-1", Submission: &linkpb.Submission{Id: "a.b.1.1", Kind: "scan", Team: "birch", Bodies: bodies}}
}

// Guards against calls that lose fields in transit or reach the wrong method.
func TestCallsKeepTheirFields(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, &fakeHandler{})
	c := testClient(t, ClientConfig{})
	batch := &linkpb.Batch{From: "entry-1", Incarnation: 7, Services: []*linkpb.ServiceBatch{{Service: "blanks", Demand: &linkpb.Demand{Flows: []uint32{3}, Queued: []uint32{3}, Running: []uint32{1}}}}}
	got, err := c.Exchange(t.Context(), address, batch)
	is.NoErr(err)
	is.True(proto.Equal(got, batch))
	large := make([]byte, 1<<20)
	answer, err := c.Forward(t.Context(), address, testForward(large, []byte("\x00\xff")))
	is.NoErr(err)
	is.Equal(len(answer.GetResults()[0].GetBody()), len(large))
	is.Equal(string(answer.GetResults()[1].GetBody()), "\x00\xff")
	answer, err = c.Lookup(t.Context(), address, &linkpb.LookupRequest{Id: "a.b.1.1"})
	is.NoErr(err)
	is.Equal(answer.GetOutcome(), "pending")
	answer, err = c.Cancel(t.Context(), address, &linkpb.CancelRequest{Id: "a.b.1.1"})
	is.NoErr(err)
	is.Equal(answer.GetOutcome(), "not-run")
	state, err := c.State(t.Context(), address, &linkpb.StateRequest{Set: "d1"})
	is.NoErr(err)
	is.Equal(string(state.GetSet()), "d1")
}

// Guards against a forward that is reported as not sent although the peer may run it, or the reverse.
func TestForwardErrorsSayWhetherSent(t *testing.T) {
	t.Run("peer not listening", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(listener.Close())
		_, err = testClient(t, ClientConfig{}).Forward(t.Context(), listener.Addr().String(), testForward())
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.MaybeSent, false)
	})
	t.Run("timeout", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHandler{forward: func(ctx context.Context, _ *linkpb.ForwardRequest) (*linkpb.Answer, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		_, address := startServer(t, h)
		c := testClient(t, ClientConfig{CallTimeout: 50 * time.Millisecond})
		for err := errors.New("no connection yet"); err != nil; {
			_, err = c.Lookup(t.Context(), address, &linkpb.LookupRequest{})
		}
		_, err := c.Forward(t.Context(), address, testForward())
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.MaybeSent, true)
		is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded) // detected by the client, or at the same time by the peer
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
	t.Run("connection closed after send", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHandler{}
		server, address := startServer(t, h)
		h.forward = func(ctx context.Context, _ *linkpb.ForwardRequest) (*linkpb.Answer, error) {
			_ = server.Close()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, err := testClient(t, ClientConfig{}).Forward(t.Context(), address, testForward())
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.MaybeSent, true)
		is.Equal(h.forwards.Load(), int32(1))
	})
	t.Run("handler fails", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHandler{forward: func(context.Context, *linkpb.ForwardRequest) (*linkpb.Answer, error) { return nil, errors.New("x") }}
		_, address := startServer(t, h)
		_, err := testClient(t, ClientConfig{}).Forward(t.Context(), address, testForward())
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.MaybeSent, true)
		is.Equal(h.forwards.Load(), int32(1))
	})
}
