package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/job"
)

// rawCaller writes requests byte by byte.
type rawCaller struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(t testing.TB, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{t: t, conn: c, reader: bufio.NewReader(c)}
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads one complete answer.
func (c *rawCaller) answer() answered {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return answered{status: response.StatusCode, header: response.Header, body: string(body)}
}

// closed waits for the server to close the connection.
func (c *rawCaller) closed() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// stop starts Shutdown and waits until the server has stopped listening; the channel gets the result of Shutdown.
func stop(t testing.TB, server *Server, address string) chan error {
	t.Helper()
	result := make(chan error, 1)
	var group errgroup.Group
	t.Cleanup(func() { _ = group.Wait() }) // the functions of the group return no error
	group.Go(func() error {
		result <- server.Shutdown(context.Background())
		return nil
	})
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return result
		}
		_ = c.Close()
	}
}

// Guards against a shutdown that disconnects a caller that is still sending: on its first request, on a later one of
// the same connection, in the headers and in the body.
func TestStopFinishesRequestsBeingRead(t *testing.T) {
	request := post("/v1/jobs", goodJob)
	tests := []struct {
		name    string
		earlier bool // an earlier request on the connection
		cut     int  // bytes sent before the stop
	}{
		{"first request, in the headers", false, 10},
		{"first request, in the body", false, len(request) - 5},
		{"later request, in the headers", true, 10},
		{"later request, in the body", true, len(request) - 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(Config{Dispatcher: &fakeDispatcher{}})
			reading := make(chan struct{}, 2)
			server.http.ConnState = func(_ net.Conn, state fasthttp.ConnState) {
				if state == fasthttp.StateActive {
					reading <- struct{}{}
				}
			}
			address := serve(t, server)
			c := dialRaw(t, address)
			if test.earlier {
				c.write(request)
				is.Equal(c.answer().status, 200)
				<-reading
			}
			c.write(request[:test.cut])
			<-reading
			stopped := stop(t, server, address)
			c.write(request[test.cut:])
			a := c.answer()
			is.Equal(a.status, 200)
			is.Equal(a.header.Get("Connection"), "close")
			is.True(c.closed())
			is.NoErr(<-stopped)
		})
	}
}

// waitFor polls until a condition that depends on another goroutine holds.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against a shutdown that answers a waiting caller too early or not at all.
func TestStopAnswersWaitingCallers(t *testing.T) {
	is := is.New(t)
	asked, release := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{answer: func(job.ID) (job.Answer, error) {
		close(asked)
		<-release
		return job.Answer{Outcome: job.Failed}, nil
	}}
	server, address := startServer(t, Config{Dispatcher: d})
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob))
	<-asked
	is.Equal(server.InFlight(), 1)
	stopped := stop(t, server, address)
	close(release)
	is.Equal(c.answer().status, 502)
	is.NoErr(<-stopped)
}

// Guards against a shutdown that waits for callers that have nothing to send.
func TestStopClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	server, address := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob))
	is.Equal(c.answer().status, 200)
	is.NoErr(<-stop(t, server, address))
	is.True(c.closed())
}

// Guards against callers that keep sending work to a VM that the load balancer is about to remove.
func TestDrain(t *testing.T) {
	is := is.New(t)
	server, address := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	is.Equal(call(t, address, "GET", "/readyz", "").status, 200)
	server.Drain()
	is.Equal(call(t, address, "GET", "/readyz", "").status, 503)
	is.Equal(call(t, address, "GET", "/livez", "").status, 200)
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob))
	a := c.answer()
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("Connection"), "close")
	is.True(c.closed())
}

// Guards against a job that is cancelled or lost because its caller disconnected.
func TestDisconnectKeepsTheJob(t *testing.T) {
	is := is.New(t)
	asked, release := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{}
	d.answer = func(job.ID) (job.Answer, error) {
		if len(d.waits) == 1 {
			close(asked)
			<-release
		}
		return job.Answer{Outcome: job.Complete}, nil
	}
	server, address := startServer(t, Config{Dispatcher: d})
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob))
	<-asked
	is.NoErr(c.conn.Close())
	close(release)
	waitFor(t, func() bool { return server.InFlight() == 0 })
	is.Equal(call(t, address, "GET", "/v1/jobs/"+testID.String(), "").status, 200)
	is.Equal(len(d.cancelled), 0)
}

// Guards against a caller that holds a connection forever, and a partial body that is treated as complete.
func TestSlowBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{}
	_, address := startServer(t, Config{Dispatcher: d, ReadTimeout: 50 * time.Millisecond})
	c := dialRaw(t, address)
	request := post("/v1/kinds/scan", "123456")
	c.write(request[:len(request)-1])
	a := c.answer()
	is.Equal(a.status, 408)
	is.Equal(a.header.Get("Job-Outcome"), "not-run")
	is.True(c.closed())
	is.Equal(d.count(), 0)
}

// Guards against a partial body that is treated as complete when the caller disconnects.
func TestDisconnectInTheBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{}
	_, address := startServer(t, Config{Dispatcher: d})
	c := dialRaw(t, address)
	request := post("/v1/kinds/scan", "123456")
	c.write(request[:len(request)-1])
	is.NoErr(c.conn.(*net.TCPConn).CloseWrite())
	is.Equal(c.answer().header.Get("Job-Outcome"), "not-run")
	is.Equal(d.count(), 0)
}

// Guards against an answer that the caller does not receive because the connection is reset while it still sends.
func TestTooLargeBodyGetsItsAnswer(t *testing.T) {
	for range 20 {
		is := is.New(t)
		_, address := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
		c := dialRaw(t, address)
		c.write(post("/v1/jobs", strings.Repeat(" ", 3<<20)))
		a := c.answer()
		is.Equal(a.status, 413)
		is.Equal(a.header.Get("Job-Outcome"), "not-run")
	}
}

// Guards against a header limit that is not enforced or not explained.
func TestTooLargeHeaders(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{Dispatcher: &fakeDispatcher{}})
	a := call(t, address, "POST", "/v1/kinds/scan", "x", "Team", strings.Repeat("x", 9000))
	is.Equal(a.status, 431)
	is.Equal(a.header.Get("Job-Outcome"), "not-run")
}

// Guards against unbounded requests in progress, and against health checks that fail under load.
func TestTooManyRequests(t *testing.T) {
	is := is.New(t)
	asked, release := make(chan struct{}), make(chan struct{})
	d := &fakeDispatcher{answer: func(job.ID) (job.Answer, error) {
		close(asked)
		<-release
		return job.Answer{Outcome: job.Complete}, nil
	}}
	_, address := startServer(t, Config{Dispatcher: d, MaxInFlight: 1})
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob))
	<-asked
	a := call(t, address, "POST", "/v1/jobs", goodJob)
	is.Equal(a.status, 503)
	is.Equal(a.header.Get("Job-Outcome"), "not-run")
	is.Equal(a.header.Get("Retry-After"), "1")
	is.Equal(call(t, address, "GET", "/livez", "").status, 200)
	close(release)
	is.Equal(c.answer().status, 200)
	is.Equal(d.count(), 1)
}

// Guards against an answer that is delayed until a later request on the same connection is answered.
func TestPipelinedRequestsAreAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := &fakeDispatcher{}
	d.answer = func(job.ID) (job.Answer, error) {
		if len(d.waits) == 2 {
			<-release
		}
		return job.Answer{Outcome: job.Complete}, nil
	}
	_, address := startServer(t, Config{Dispatcher: d})
	c := dialRaw(t, address)
	c.write(post("/v1/jobs", goodJob) + post("/v1/jobs", goodJob))
	is.Equal(c.answer().status, 200)
	close(release)
	is.Equal(c.answer().status, 200)
}

// Guards against requests in unusual framing that are misparsed or answered without an outcome.
func TestFraming(t *testing.T) {
	half := strings.Repeat(" ", 400)
	tests := []struct {
		name, request   string
		status, reached int
		closed          bool
	}{
		{"chunked body", "POST /v1/kinds/scan HTTP/1.1\r\nHost: x\r\nTeam: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, 1, false},
		{"chunked body too large", "POST /v1/kinds/scan HTTP/1.1\r\nHost: x\r\nTeam: t\r\nTransfer-Encoding: chunked\r\n\r\n190\r\n" + half + "\r\n190\r\n" + half + "\r\n0\r\n\r\n", 413, 0, true},
		{"two lengths", "POST /v1/kinds/scan HTTP/1.1\r\nHost: x\r\nTeam: t\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, 0, true},
		{"garbage", "\x00\xff\r\n\r\n", 400, 0, true},
		{"no length", "POST /v1/kinds/scan HTTP/1.1\r\nHost: x\r\nTeam: t\r\n\r\n", 200, 1, false},
		{"HTTP/1.0", "POST /v1/kinds/scan HTTP/1.0\r\nTeam: t\r\nContent-Length: 1\r\n\r\na", 200, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDispatcher{}
			_, address := startServer(t, Config{Dispatcher: d, MaxBodyBytes: 500})
			c := dialRaw(t, address)
			c.write(test.request)
			a := c.answer()
			is.Equal(a.status, test.status)
			is.True(a.header.Get("Job-Outcome") != "")
			is.Equal(d.count(), test.reached)
			if test.closed {
				is.True(c.closed())
			}
		})
	}
}

// Guards against a caller that waits for 100 Continue before sending its body, as curl does for large bodies, and gets
// none.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{}
	_, address := startServer(t, Config{Dispatcher: d})
	c := dialRaw(t, address)
	c.write("POST /v1/kinds/scan HTTP/1.1\r\nHost: x\r\nTeam: t\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	is.NoErr(err)
	c.write("abc")
	is.Equal(c.answer().status, 200)
	is.Equal(string(d.last(t).Bodies[0]), "abc")
}
