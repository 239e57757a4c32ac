package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const taskID = "tartu-a.entry-1.k3f9.1z/0"

// script answers one request on a raw connection and returns false to close the connection.
type script func(c net.Conn, r *http.Request) bool

// rawEndpoint is an endpoint with scripted raw answers; it counts requests and connections.
type rawEndpoint struct {
	address     string
	requests    atomic.Int32
	connections atomic.Int32
}

func newRawEndpoint(t *testing.T, answer script) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &rawEndpoint{address: listener.Addr().String()}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			group.Go(func() { e.serve(c, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return e
}

func (e *rawEndpoint) serve(c net.Conn, answer script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !answer(c, r) {
			return
		}
	}
}

// write answers with the text, in which it replaces "<id>" by the Task-Id of the request.
func write(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		text := strings.ReplaceAll(text, "\n", "\r\n")
		_, err := io.WriteString(c, strings.ReplaceAll(text, "<id>", r.Header.Get(HeaderTaskID)))
		return err == nil
	}
}

// dribble writes the text one byte at a time.
func dribble(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		for _, b := range []byte(strings.ReplaceAll(strings.ReplaceAll(text, "\n", "\r\n"), "<id>", r.Header.Get(HeaderTaskID))) {
			if _, err := c.Write([]byte{b}); err != nil {
				return false
			}
		}
		return true
	}
}

func writeAndClose(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		write(text)(c, r)
		return false
	}
}

// reset writes the text and then resets the connection.
func reset(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		write(text)(c, r)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func testRequest(address string) Request {
	return Request{Address: address, Path: "/scan", TaskID: taskID, Attempt: 1, Body: []byte(`{"blank":7}`), Timeout: 5 * time.Second}
}

func testClient(t *testing.T, config ClientConfig) *Client {
	t.Helper()
	c := NewClient(config)
	t.Cleanup(c.Close)
	return c
}

const good = "HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Type: application/json\nContent-Length: 2\n\n{}"

// Guards against a wrong classification of an answer, a repeated send of a task that may have started, and the reuse of
// a connection in an unknown state.
func TestSendClassifiesAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer script
		want   Result
		reused bool
	}{
		{"result", write(good), Succeeded, true},
		{"chunked", write("HTTP/1.1 200 OK\nTask-Id: <id>\nTransfer-Encoding: chunked\n\n2\n{}\n0\n\n"), Succeeded, true},
		{"no content", write("HTTP/1.1 204 No Content\nTask-Id: <id>\n\n"), Succeeded, true},
		{"interim answer first", write("HTTP/1.1 103 Early Hints\nLink: x\n\n" + good), Succeeded, true},
		{"slow, byte by byte", dribble(good), Succeeded, true},
		{"close announced", writeAndClose("HTTP/1.1 200 OK\nConnection: close\nTask-Id: <id>\nContent-Length: 2\n\n{}"), Succeeded, false},
		{"rejected", write("HTTP/1.1 422 No\nTask-Id: <id>\nContent-Length: 0\n\n"), Rejected, true},
		{"failed", write("HTTP/1.1 500 No\nTask-Id: <id>\nContent-Length: 0\n\n"), Failed, false},
		{"redirect is not followed", write("HTTP/1.1 307 No\nLocation: /scan\nTask-Id: <id>\nContent-Length: 0\n\n"), Failed, false},
		{"unavailable without Not-Run", write("HTTP/1.1 503 No\nTask-Id: <id>\nContent-Length: 0\n\n"), Failed, false},
		{"guard refuses", write("HTTP/1.1 503 No\nNot-Run: true\nTask-Id: <id>\nContent-Length: 0\n\n"), Refused, false},
		{"refusal of another task", write("HTTP/1.1 503 No\nNot-Run: true\nTask-Id: <id>1\nContent-Length: 0\n\n"), Unknown, false},
		{"refusal without Task-Id", write("HTTP/1.1 503 No\nNot-Run: true\nContent-Length: 0\n\n"), Unknown, false},
		{"refusal cut off", writeAndClose("HTTP/1.1 503 No\nNot-Run: true\nTask-Id: <id>\nContent-Length: 9\n\nfu"), Unknown, false},
		{"Not-Run false", write("HTTP/1.1 503 No\nNot-Run: false\nTask-Id: <id>\nContent-Length: 0\n\n"), Failed, false},
		{"Not-Run twice", write("HTTP/1.1 503 No\nNot-Run: true\nNot-Run: false\nTask-Id: <id>\nContent-Length: 0\n\n"), Failed, false},
		{"no Task-Id", write("HTTP/1.1 200 OK\nContent-Length: 2\n\n{}"), Unknown, false},
		{"other Task-Id", write("HTTP/1.1 200 OK\nTask-Id: x\nContent-Length: 2\n\n{}"), Unknown, false},
		{"two Task-Ids", write("HTTP/1.1 200 OK\nTask-Id: <id>\nTask-Id: x\nContent-Length: 2\n\n{}"), Unknown, false},
		{"answer twice", write(strings.ReplaceAll(good+good, "\n", "\n")), Succeeded, false},
		{"half a body", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: 9\n\n{}"), Unknown, false},
		{"half a chunk", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\nTransfer-Encoding: chunked\n\n9\n{}"), Unknown, false},
		{"no last chunk", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\nTransfer-Encoding: chunked\n\n2\n{}\n"), Unknown, false},
		{"no length", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\n\n{}"), Unknown, false},
		{"garbage", writeAndClose("{}{}{}\n\n"), Unknown, false},
		{"binary garbage", writeAndClose("\x00\xff\x00\n\n"), Unknown, false},
		{"headers cut off", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <i"), Unknown, false},
		{"headers too large", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\nX: " + strings.Repeat("x", 9000) + "\n\n"), Unknown, false},
		{"body too large", writeAndClose("HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: 2000000\n\n"), Unknown, false},
		{"only interim answers", writeAndClose(strings.Repeat("HTTP/1.1 100 Continue\n\n", 9)), Unknown, false},
		{"reads and closes", writeAndClose(""), Unknown, false},
		{"reads and resets", reset(""), Unknown, false},
		{"reset in the middle of an answer", reset("HTTP/1.1 200 OK\nTask-Id: <id>\nContent-Length: 9\n\n{}"), Unknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newRawEndpoint(t, test.answer)
			c := testClient(t, ClientConfig{})
			response := c.Send(context.Background(), testRequest(e.address))
			is.Equal(response.Result, test.want)
			is.Equal(response.Err != nil, test.want == Unknown)
			is.Equal(e.requests.Load(), int32(1)) // sent once
			inUse, idle := c.Connections(e.address)
			is.Equal(inUse, 0)
			is.Equal(idle == 1, test.reused)
		})
	}
}

// Guards against results whose body, status or content type differ from what the endpoint sent.
func TestSendReturnsTheAnswer(t *testing.T) {
	is := is.New(t)
	e := newRawEndpoint(t, write(good))
	c := testClient(t, ClientConfig{})
	response := c.Send(context.Background(), testRequest(e.address))
	is.Equal(response.Status, 200)
	is.Equal(response.ContentType, "application/json")
	is.Equal(string(response.Body), "{}")
	is.True(response.RunTime > 0)
}

// Guards against a task that is reported as not sent although the endpoint may have received it, or the reverse.
func TestSendWithoutAnswer(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(listener.Close())
		response := testClient(t, ClientConfig{}).Send(context.Background(), testRequest(listener.Addr().String()))
		is.Equal(response.Result, NotSent)
	})
	t.Run("malformed task", func(t *testing.T) {
		is := is.New(t)
		r := testRequest("127.0.0.1:1")
		r.TaskID = "a\r\nb"
		response := testClient(t, ClientConfig{}).Send(context.Background(), r)
		is.Equal(response.Result, NotSent)
		is.True(errors.Is(response.Err, ErrInvalidRequest))
	})
	t.Run("never answers", func(t *testing.T) {
		is := is.New(t)
		done := make(chan struct{})
		e := newRawEndpoint(t, func(net.Conn, *http.Request) bool { <-done; return false })
		t.Cleanup(func() { close(done) })
		r := testRequest(e.address)
		r.Timeout = 20 * time.Millisecond
		c := testClient(t, ClientConfig{})
		response := c.Send(context.Background(), r)
		is.Equal(response.Result, Unknown)
		is.Equal(response.Err, errTimeout)
		_, idle := c.Connections(e.address)
		is.Equal(idle, 0)
	})
	t.Run("closes before reading", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		connections := 0
		var group sync.WaitGroup
		group.Go(func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				connections++
				_ = c.Close()
			}
		})
		response := testClient(t, ClientConfig{}).Send(context.Background(), testRequest(listener.Addr().String()))
		is.NoErr(listener.Close())
		group.Wait()
		// NotSent only if the close came before the first byte was written.
		is.True(response.Result == Unknown || response.Result == NotSent)
		is.Equal(connections, 1) // not sent again
	})
	t.Run("caller of Send gives up", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		e := newRawEndpoint(t, func(net.Conn, *http.Request) bool { cancel(); <-done; return false })
		t.Cleanup(func() { close(done) })
		response := testClient(t, ClientConfig{}).Send(ctx, testRequest(e.address))
		is.Equal(response.Result, Unknown)
		is.Equal(testClient(t, ClientConfig{}).Send(ctx, testRequest(e.address)).Result, NotSent)
	})
}
