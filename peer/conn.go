package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/traffic"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 200 * time.Millisecond
	// outgoingMessages bounds the messages that wait to be written; a peer that falls behind by more is dropped.
	outgoingMessages = 8192
	// flushBytes is the size of the write buffer.
	flushBytes = 16 << 10
)

// ErrSlowPeer means that the peer did not read its messages in time.
var ErrSlowPeer = errors.New("peer does not read its messages")

// Config is what all connections of a VM have in common.
type Config struct {
	Self    Hello
	Traffic *traffic.Meter // may be nil
}

// Conn is a connection to another VM.
type Conn struct {
	config Config
	conn   net.Conn
	out    chan Message
	closed chan struct{}
	once   sync.Once
	err    error
	remote Hello

	mu   sync.Mutex
	pace pace
}

// Remote returns what the other VM said of itself.
func (c *Conn) Remote() Hello { return c.remote }

// Send queues a message; it never blocks, and drops the connection if the peer falls behind.
func (c *Conn) Send(m Message) {
	c.pass(m)
	select {
	case c.out <- m:
	case <-c.closed:
	default:
		c.Close(ErrSlowPeer)
	}
}

// Close ends the connection.
func (c *Conn) Close(reason error) {
	c.once.Do(func() {
		c.err = errors.Join(reason, c.conn.Close())
		close(c.closed)
	})
}

// Handler takes the events of connections.
type Handler interface {
	// Opened is called once for each connection before its messages.
	Opened(c *Conn)
	// Received is called for each message, in order.
	Received(c *Conn, m Message)
	// Closed is called once, after the last message.
	Closed(c *Conn, err error)
}

// Dial opens a connection and serves it until it ends.
func Dial(ctx context.Context, address string, config Config, handler Handler) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	return serve(ctx, conn, config, handler)
}

// Serve serves connections until ctx ends.
func Serve(ctx context.Context, listener net.Listener, config Config, handler Handler) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // Accept returns the error
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				err = nil
			}
			return errors.Join(err, group.Wait())
		}
		group.Go(func() error {
			_ = serve(ctx, conn, config, handler) // the handler has learnt the error
			return nil
		})
	}
}

func serve(ctx context.Context, conn net.Conn, config Config, handler Handler) error {
	c := &Conn{config: config, conn: conn, out: make(chan Message, outgoingMessages), closed: make(chan struct{}), pace: pace{jobs: map[uint64]struct{}{}}}
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	defer stop()
	var group errgroup.Group
	c.out <- config.Self
	group.Go(func() error {
		err := c.write()
		c.Close(err)
		return nil
	})
	err := c.read(handler)
	c.Close(err)
	_ = group.Wait() // returns no error
	if c.remote.VM != "" {
		handler.Closed(c, c.err)
	}
	return c.err
}

func (c *Conn) read(handler Handler) error {
	buffer := &countedReader{Reader: bufio.NewReaderSize(boundedReader{c}, flushBytes)}
	decoder := gob.NewDecoder(buffer)
	for {
		var e envelope
		if err := decoder.Decode(&e); err != nil {
			return err
		}
		c.config.Traffic.CountReceived(purpose(e.Message), buffer.take())
		if hello, ok := e.Message.(Hello); ok {
			c.remote = hello
			handler.Opened(c)
			continue
		}
		if c.remote.VM == "" {
			return errors.New("message before hello")
		}
		c.hear(e.Message)
		handler.Received(c, e.Message)
	}
}

func (c *Conn) write() error {
	buffer := bufio.NewWriterSize(c.conn, flushBytes)
	counted := &countedWriter{Writer: buffer}
	encoder := gob.NewEncoder(counted)
	for {
		var m Message
		select {
		case m = <-c.out:
		case <-c.closed:
			return nil
		}
		if err := encoder.Encode(envelope{m}); err != nil {
			return err
		}
		c.config.Traffic.CountSent(purpose(m), counted.take())
		if len(c.out) > 0 {
			continue
		}
		if err := c.conn.SetWriteDeadline(time.Now().Add(ReadTimeout)); err != nil {
			return err
		}
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
}
