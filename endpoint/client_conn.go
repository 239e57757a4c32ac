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

// smallRequest is the size in bytes up to which headers and body are copied into one write.
const smallRequest = 16 << 10

// maxInterim is the number of 1xx answers that may precede the final answer.
const maxInterim = 4

// Errors of an answer that can't be used.
var (
	errUnframed    = errors.New("answer has neither a content length nor chunks, so its end is not certain")
	errMalformed   = errors.New("answer doesn't start with a status line")
	errInterim     = errors.New("too many interim answers")
	errTimeout     = errors.New("no answer within the timeout")
	errNotAnswered = errors.New("connection closed before an answer")
)

// conn is one connection to an endpoint, used by one send at a time.
type conn struct {
	net       net.Conn
	raw       syscall.RawConn // nil when the connection is not a socket
	reader    *bufio.Reader
	buffer    bytes.Buffer // headers, and small bodies, of the request being sent
	idleSince time.Time
	peeked    bool
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

// roundTrip writes the request and reads the answer, both until the deadline or the end of ctx.
func (c *conn) roundTrip(ctx context.Context, deadline time.Time, request *fasthttp.Request, answer *fasthttp.Response, maxBody int) exchange {
	if err := c.net.SetDeadline(deadline); err != nil {
		return exchange{err: err}
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
	undisturbed := stop() // otherwise the function that ends the wait may still change the deadline
	return exchange{
		written: written,
		err:     describe(err),
		answer:  answer,
		keep:    complete && err == nil && undisturbed && !answer.ConnectionClose() && c.clean(),
		runTime: time.Since(start),
	}
}

// write returns the number of bytes that the operating system took; with none, the endpoint has seen nothing.
func (c *conn) write(request *fasthttp.Request) (int64, error) {
	body := request.Body()
	c.buffer.Reset()
	c.buffer.Write(request.Header.Header())
	if len(body) <= smallRequest {
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
	for range maxInterim {
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

// checkStart refuses what fasthttp would let pass: it reads status 000 as 200 and skips blank lines before an answer.
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

func describe(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return errTimeout
	case errors.Is(err, io.EOF):
		return errNotAnswered
	default:
		return err
	}
}

// clean reports whether nothing follows the answer: more bytes would be taken for the answer to the next task.
func (c *conn) clean() bool { return c.reader.Buffered() == 0 }

// alive reports whether an idle connection is still open and silent.
func (c *conn) alive() bool {
	if c.raw == nil {
		return c.clean()
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.peeked = false
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.peeked
}

// peek records whether a read would block, which holds only for an open connection without bytes to read.
func (c *conn) peek(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.peeked = err == syscall.EAGAIN
	return true
}
