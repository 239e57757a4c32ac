package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// maxCoalescedBody is the max size in bytes of a body that is copied behind the headers, to send both in one write.
const maxCoalescedBody = 16 << 10

// maxInterimResponses is the max number of 1xx responses before the final one.
const maxInterimResponses = 4

// Errors of unusable or missing answers.
var (
	errUnframed  = errors.New("answer has neither a content length nor chunks, so its end is not certain")
	errMalformed = errors.New("answer doesn't start with a status line")
	errInterim   = errors.New("too many interim answers")
	errTimeout   = errors.New("no answer within the timeout")
	errClosed    = errors.New("connection closed before an answer")
)

// conn is a connection to an endpoint; one send uses it at a time.
type conn struct {
	net       net.Conn
	raw       syscall.RawConn // nil if the connection is not a socket
	reader    *bufio.Reader
	buffer    bytes.Buffer // headers and a small body of the request in progress
	idleSince time.Time
	idleOpen  bool
}

func newConn(c net.Conn, headerSize int) *conn {
	cn := &conn{net: c, reader: bufio.NewReaderSize(c, headerSize)}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			cn.raw = raw
		}
	}
	return cn
}

// roundTrip writes the request and reads the answer, at most until the deadline or the end of ctx.
func (c *conn) roundTrip(ctx context.Context, deadline time.Time, request *fasthttp.Request, answer *fasthttp.Response, maxBody int) roundTripResult {
	if err := c.net.SetDeadline(deadline); err != nil {
		return roundTripResult{err: err}
	}
	stop := func() bool { return true }
	if ctx.Done() != nil {
		stop = context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	}
	start := time.Now()
	written, err := c.write(request)
	complete := err == nil
	if written > 0 {
		// A guard may answer before it has read the whole body, so the answer is read even after a failed write.
		if readErr := c.read(answer, maxBody); readErr == nil || complete {
			err = readErr
		}
	}
	undisturbed := stop() // if false, the function that aborts the I/O may still change the deadline
	return roundTripResult{
		written:   written,
		err:       normalizeError(err),
		answer:    answer,
		keepAlive: complete && err == nil && undisturbed && !answer.ConnectionClose() && c.noBufferedData(),
		runTime:   time.Since(start),
	}
}

// write returns the number of bytes that the operating system accepted; if it is 0, the endpoint received nothing.
func (c *conn) write(request *fasthttp.Request) (int64, error) {
	body := request.Body()
	c.buffer.Reset()
	c.buffer.Write(request.Header.Header())
	if len(body) <= maxCoalescedBody {
		c.buffer.Write(body)
		n, err := c.net.Write(c.buffer.Bytes())
		return int64(n), err
	}
	buffers := net.Buffers{c.buffer.Bytes(), body}
	return buffers.WriteTo(c.net)
}

// read reads one complete answer.
func (c *conn) read(answer *fasthttp.Response, maxBody int) error {
	if err := c.readHeader(&answer.Header); err != nil {
		return err
	}
	status := answer.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := answer.Header.ContentLength()
	if length < -1 {
		return errUnframed
	}
	if err := answer.ReadBody(c.reader, maxBody); err != nil {
		return err
	}
	if length == -1 {
		return answer.Header.ReadTrailer(c.reader)
	}
	return nil
}

func (c *conn) readHeader(header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if err := c.checkStart(); err != nil {
			return err
		}
		if err := header.Read(c.reader); err != nil {
			return err
		}
		if header.StatusCode() >= 200 {
			return nil
		}
	}
	return errInterim
}

// checkStart rejects malformed starts that fasthttp accepts: it reads status 000 as 200 and skips blank lines before an
// answer.
func (c *conn) checkStart() error {
	start, err := c.reader.Peek(len("HTTP/1.1 200"))
	if err != nil {
		return err
	}
	version, status := string(start[:9]), start[9]
	if (version != "HTTP/1.1 " && version != "HTTP/1.0 ") || status < '1' || status > '9' {
		return errMalformed
	}
	return nil
}

func normalizeError(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return errTimeout
	case errors.Is(err, io.EOF):
		return errClosed
	default:
		return err
	}
}

// noBufferedData reports whether the read buffer is empty; bytes after an answer would be taken for the next answer.
func (c *conn) noBufferedData() bool { return c.reader.Buffered() == 0 }

// alive reports whether an idle connection is still open and has no bytes to read.
func (c *conn) alive() bool {
	if c.raw == nil {
		return c.noBufferedData()
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.idleOpen = false
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.idleOpen
}

// peek sets idleOpen if a read would block, which means that the connection is open and has no bytes to read.
func (c *conn) peek(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.idleOpen = err == syscall.EAGAIN
	return true
}
