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

	"samphireplank.example/samphireplank/link/linkpb"
)

// partition simulates a network partition: while it is active, dials block and connections drop all written bytes.
type partition struct{ active atomic.Bool }

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.active.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{Conn: c, partition: p}, nil
}

// partitionedConn stays broken after the first dropped byte, like a TCP connection that waits for a retransmission.
type partitionedConn struct {
	net.Conn
	partition *partition
	broken    atomic.Bool
}

func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.partition.active.Load() || c.broken.Load() {
		c.broken.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a peer that stays unreachable long after a partition, because the old connection remains in use.
func TestExchangeRecoversFromAPartition(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, &fakeHandler{})
	p := &partition{}
	c := testClient(t, ClientConfig{Dial: p.dial, ExchangeTimeout: 50 * time.Millisecond})
	c.controlPingInterval = 20 * time.Millisecond
	_, err := c.Exchange(t.Context(), address, idleReport())
	is.NoErr(err)
	p.active.Store(true)
	_, err = c.Exchange(t.Context(), address, idleReport())
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(failed.MaybeSent)
	p.active.Store(false)
	for err != nil {
		_, err = c.Exchange(t.Context(), address, idleReport())
	}
}

// Guards against a dial that outlives its call, and a call that is reported as sent although no connection was open.
func TestCallDuringAPartitionIsNotSent(t *testing.T) {
	is := is.New(t)
	p := &partition{}
	p.active.Store(true)
	c := testClient(t, ClientConfig{Dial: p.dial, CallTimeout: 20 * time.Millisecond})
	_, err := c.Forward(t.Context(), "127.0.0.1:1", testForward())
	var failed *Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.MaybeSent, false)
}

// Guards against a shutdown that aborts forwards in progress.
func TestShutdownAnswersForwards(t *testing.T) {
	is := is.New(t)
	asked, release := make(chan struct{}), make(chan struct{})
	h := &fakeHandler{forward: func(context.Context, *linkpb.ForwardRequest) (*linkpb.Answer, error) {
		close(asked)
		<-release
		return &linkpb.Answer{Outcome: "complete"}, nil
	}}
	server, address := startServer(t, h)
	c := testClient(t, ClientConfig{})
	var group sync.WaitGroup
	defer group.Wait()
	outcome := make(chan string, 1)
	group.Go(func() {
		answer, err := c.Forward(t.Context(), address, testForward())
		if err != nil {
			outcome <- err.Error()
			return
		}
		outcome <- answer.GetOutcome()
	})
	<-asked
	stopped := make(chan error, 1)
	group.Go(func() { stopped <- server.Shutdown(context.Background()) })
	for {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	close(release)
	is.Equal(<-outcome, "complete")
	is.NoErr(<-stopped)
}

// Guards against a message above the max size that is processed, or that fails without a distinct error code.
func TestTooLargeMessages(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(ServerConfig{Handler: h, MaxMessageSize: 1000})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer func() { _ = server.Close() }()
	_, err = testClient(t, ClientConfig{}).Forward(t.Context(), listener.Addr().String(), testForward(make([]byte, 2000)))
	is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
	is.Equal(h.forwards.Load(), int32(0))
	_, address := startServer(t, h)
	_, err = testClient(t, ClientConfig{MaxMessageSize: 1000}).Forward(t.Context(), address, testForward(make([]byte, 2000)))
	is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
}

// Guards against entries of a removed peer that stay in the client, and a client that can't reconnect to it.
func TestClosePeer(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, &fakeHandler{})
	c := testClient(t, ClientConfig{})
	_, err := c.Exchange(t.Context(), address, idleReport())
	is.NoErr(err)
	c.ClosePeer(address)
	is.Equal(len(c.peers), 0)
	_, err = c.Exchange(t.Context(), address, idleReport())
	is.NoErr(err)
}

// Guards against forwards that queue behind others or open further connections when many are in progress.
func TestManyForwardsShareAConnection(t *testing.T) {
	is := is.New(t)
	const forwards = 600
	var counter *countingListener
	var asked sync.WaitGroup
	asked.Add(forwards)
	release := make(chan struct{})
	h := &fakeHandler{forward: func(context.Context, *linkpb.ForwardRequest) (*linkpb.Answer, error) {
		asked.Done()
		<-release
		return &linkpb.Answer{Outcome: "complete"}, nil
	}}
	_, address := startServerOn(t, h, func(l net.Listener) net.Listener {
		counter = &countingListener{Listener: l}
		return counter
	})
	c := testClient(t, ClientConfig{DialTimeout: 10 * time.Second})   // not what is tested here
	_, err := c.Lookup(t.Context(), address, &linkpb.LookupRequest{}) // opens the connection
	is.NoErr(err)
	var group sync.WaitGroup
	errs := make(chan error, forwards)
	for range forwards {
		group.Go(func() {
			_, err := c.Forward(t.Context(), address, testForward(make([]byte, 1000)))
			errs <- err
		})
	}
	asked.Wait()
	close(release)
	group.Wait()
	for range forwards {
		is.NoErr(<-errs)
	}
	is.Equal(counter.connections.Load(), int64(1))
}

// Guards against calls that wait for the end of those on a connection that its server is closing.
func TestCallsWaitForClosingConnection(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	server, address := startServer(t, &fakeHandler{forward: func(context.Context, *linkpb.ForwardRequest) (*linkpb.Answer, error) {
		close(started)
		<-release
		return &linkpb.Answer{Outcome: "complete"}, nil
	}})
	c := testClient(t, ClientConfig{})
	var group sync.WaitGroup
	group.Go(func() {
		_, err := c.Forward(t.Context(), address, testForward())
		is.NoErr(err)
	})
	<-started
	group.Go(func() { is.NoErr(server.Shutdown(t.Context())) })
	var listener net.Listener
	for listener == nil { // until Shutdown has closed the address
		listener, _ = net.Listen("tcp", address)
	}
	successor := NewServer(ServerConfig{Handler: &fakeHandler{}})
	group.Go(func() { _ = successor.Serve(listener) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := c.Lookup(ctx, address, &linkpb.LookupRequest{})
	is.NoErr(err)
	close(release)
	is.NoErr(successor.Close())
	group.Wait()
}
