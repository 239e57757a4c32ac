package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that is lost because the endpoint closed the connection while it was idle.
func TestSendDetectsAConnectionClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		write(good)(c, r)
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	c := testClient(t, ClientConfig{})
	is.Equal(c.Send(t.Context(), testRequest(e.address)).Result, Succeeded)
	<-closed
	is.Equal(c.Send(t.Context(), testRequest(e.address)).Result, Succeeded)
	is.Equal(e.connections.Load(), int32(2))
}

// Guards against a duplicate answer on an idle connection that is taken for the answer to the next task.
func TestSendDropsAConnectionWithAnAnswerTooMany(t *testing.T) {
	is := is.New(t)
	second, written := make(chan struct{}), make(chan struct{}, 2)
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		write(good)(c, r)
		<-second
		write(good)(c, r)
		written <- struct{}{}
		return true
	})
	c := testClient(t, ClientConfig{})
	is.Equal(c.Send(t.Context(), testRequest(e.address)).Result, Succeeded)
	close(second)
	<-written
	is.Equal(c.Send(t.Context(), testRequest(e.address)).Result, Succeeded)
	is.Equal(e.connections.Load(), int32(2))
}

// Guards against a late answer that is assigned to another task.
func TestLateAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get(HeaderAttempt) == "1" {
			<-late
		}
		return write("HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: 1\n\n"+r.Header.Get(HeaderAttempt))(c, r)
	})
	c := testClient(t, ClientConfig{})
	r := testRequest(e.address)
	r.Timeout = 20 * time.Millisecond
	is.Equal(c.Send(t.Context(), r).Result, Unknown)
	close(late)
	r.Attempt, r.Timeout = 2, 5*time.Second
	response := c.Send(t.Context(), r)
	is.Equal(response.Result, Succeeded)
	is.Equal(string(response.Body), "2")
}

// Guards against more connections than the endpoint accepts, and a task that is reported as sent without a connection.
func TestSendKeepsTheConnectionBound(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 3), make(chan struct{})
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		started <- struct{}{}
		<-release
		return write(good)(c, r)
	})
	c := testClient(t, ClientConfig{})
	r := testRequest(e.address)
	r.MaxConnections = 2
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { c.Send(t.Context(), r) })
		<-started
	}
	response := c.Send(t.Context(), r)
	is.Equal(response.Result, NotSent)
	is.Equal(response.Err, errNoConnection)
	close(release)
	group.Wait()
	is.Equal(c.Send(t.Context(), r).Result, Succeeded)
	is.Equal(e.connections.Load(), int32(2))
	r.MaxConnections = 1 // a smaller limit takes effect with the next answer
	is.Equal(c.Send(t.Context(), r).Result, Succeeded)
	_, idle := c.Connections(e.address)
	is.Equal(idle, 1)
}

// Guards against a sender that waits forever for a connection, or misses one that is released.
func TestSendWaitsForAConnection(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 3), make(chan struct{})
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		started <- struct{}{}
		<-release
		return write(good)(c, r)
	})
	c := testClient(t, ClientConfig{AcquireTimeout: time.Minute})
	r := testRequest(e.address)
	r.MaxConnections = 1
	r.Timeout = time.Minute
	results := make(chan Result, 2)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { results <- c.Send(t.Context(), r).Result })
	<-started
	group.Go(func() { results <- c.Send(t.Context(), r).Result })
	waitForQueue(c, e.address, 1)
	ctx, cancel := context.WithCancel(t.Context())
	gaveUp := make(chan Result, 1)
	group.Go(func() { gaveUp <- c.Send(ctx, r).Result })
	waitForQueue(c, e.address, 2)
	cancel()
	is.Equal(<-gaveUp, NotSent)
	close(release)
	is.Equal(<-results, Succeeded)
	is.Equal(<-results, Succeeded)
	is.Equal(e.connections.Load(), int32(1))
}

func waitForQueue(c *Client, address string, length int) {
	p := c.pool(address)
	for {
		p.mu.Lock()
		waiting := len(p.waiters)
		p.mu.Unlock()
		if waiting == length {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against the use of a connection that the endpoint is about to close, and connections that are never closed.
func TestIdleConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := newRawEndpoint(t, write(good))
	c := testClient(t, ClientConfig{Now: func() time.Time { return now }})
	r := testRequest(e.address)
	r.IdleTimeout = 4 * time.Second
	for _, step := range []struct {
		wait        time.Duration
		connections int32
	}{{0, 1}, {2999 * time.Millisecond, 1}, {3 * time.Second, 2}} {
		now = now.Add(step.wait)
		is.Equal(c.Send(t.Context(), r).Result, Succeeded)
		is.Equal(e.connections.Load(), step.connections)
	}
	now = now.Add(3 * time.Second)
	c.CloseIdleConnections()
	is.Equal(len(c.pools), 0)
}

// brokenConn accepts some bytes of a request and then fails.
type brokenConn struct {
	net.Conn
	takes  int
	answer io.Reader
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if c.takes < 0 {
		return len(p), nil
	}
	n := min(c.takes, len(p))
	c.takes -= n
	return n, errors.New("broken")
}
func (c *brokenConn) Read(p []byte) (int, error)  { return c.answer.Read(p) }
func (c *brokenConn) SetDeadline(time.Time) error { return nil }
func (c *brokenConn) Close() error                { return nil }
func dialTo(c net.Conn) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) { return c, nil }
}

// Guards against a repeated send of a task after some of its bytes were written, and a task that is reported as unknown
// although none was.
func TestSendCountsWrittenBytes(t *testing.T) {
	refusal := "HTTP/1.1 503 No\r\nNot-Run: true\r\nTask-Id: " + taskID + "\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name   string
		takes  int
		body   int
		answer string
		want   Result
	}{
		{"no byte", 0, 1, "", NotSent},
		{"no byte of a large body", 0, 1 << 20, "", NotSent},
		{"one byte", 1, 1, "", Unknown},
		{"one byte of a large body", 1, 1 << 20, "", Unknown},
		{"refused before the end of the body", 1 << 10, 1 << 20, refusal, Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			broken := &brokenConn{takes: test.takes, answer: bytes.NewReader([]byte(test.answer))}
			c := testClient(t, ClientConfig{Dial: dialTo(broken)})
			r := testRequest("x:1")
			r.Body = make([]byte, test.body)
			is.Equal(c.Send(t.Context(), r).Result, test.want)
			inUse, idle := c.Connections("x:1")
			is.Equal(inUse+idle, 0)
		})
	}
}

// Guards against a connection attempt that outlives the timeout of the task.
func TestSendStopsDialing(t *testing.T) {
	is := is.New(t)
	c := testClient(t, ClientConfig{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	r := testRequest("x:1")
	r.Timeout = 10 * time.Millisecond
	is.Equal(c.Send(t.Context(), r).Result, NotSent)
}

// Guards against a probe that reports a broken endpoint as healthy.
func TestProbe(t *testing.T) {
	tests := []struct {
		name   string
		answer script
		want   bool
	}{
		{"healthy", write("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"), true},
		{"failing", write("HTTP/1.1 500 No\nContent-Length: 0\n\n"), false},
		{"no such path", write("HTTP/1.1 404 No\nContent-Length: 0\n\n"), false},
		{"cut off", writeAndClose("HTTP/1.1 200 OK\nContent-Length: 9\n\nok"), false},
		{"garbage", writeAndClose("ok\n\n"), false},
		{"closes", writeAndClose(""), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newRawEndpoint(t, test.answer)
			c := testClient(t, ClientConfig{})
			is.Equal(c.Probe(t.Context(), e.address, "/healthz"), test.want)
			is.Equal(e.requests.Load(), int32(1))
			_, idle := c.Connections(e.address)
			is.Equal(idle == 1, test.want)
		})
	}
	t.Run("never answers", func(t *testing.T) {
		is := is.New(t)
		done := make(chan struct{})
		e := newRawEndpoint(t, func(net.Conn, *http.Request) bool { <-done; return false })
		t.Cleanup(func() { close(done) })
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		is.Equal(testClient(t, ClientConfig{}).Probe(ctx, e.address, "/healthz"), false)
	})
}

// Guards against answers that are assigned to the wrong task when many are in flight and some time out.
func TestConcurrentSendsGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	e := newRawEndpoint(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get(HeaderTaskID)
		if r.Header.Get(HeaderAttempt) == "2" {
			time.Sleep(4 * time.Millisecond)
		}
		return write(fmt.Sprintf("HTTP/1.1 200 OK\nTask-Id: %s\nContent-Length: %d\n\n%s", id, len(id), id))(c, r)
	})
	c := testClient(t, ClientConfig{AcquireTimeout: time.Minute})
	var group sync.WaitGroup
	results := make(chan Response, 8*100)
	for sender := range 8 {
		group.Go(func() {
			for i := range 100 {
				r := testRequest(e.address)
				r.TaskID = fmt.Sprintf("a.b.%d.%d/0", sender, i)
				r.Attempt = 1 + i%2
				if r.Attempt == 2 {
					r.Timeout = time.Duration(3+i%3) * time.Millisecond
				}
				response := c.Send(t.Context(), r)
				if response.Result == Succeeded && string(response.Body) != r.TaskID {
					response.Result = Failed
				}
				results <- response
			}
		})
	}
	group.Wait()
	close(results)
	sent := int32(0)
	for response := range results {
		if response.Result == NotSent { // the timeout expired before a connection was open
			continue
		}
		sent++
		is.True(response.Result == Succeeded || response.Err == errTimeout)
	}
	is.True(e.requests.Load() <= sent)
}
