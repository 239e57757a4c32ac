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
	dialTimeout = 200 * time.Millisecond
	// sendQueueSize is the maximum number of messages that wait to be written; the connection is closed when the queue
	// is full.
	sendQueueSize = 8192
	// flushBytes is the size of the read and write buffers.
	flushBytes = 16 << 10
)

const (
	// maxHandshakes limits the inbound connections without a Hello, each of which has a queue and buffers of about 160 KB: 40 MB. All
	// VMs may reconnect at once after a loss of power, and one that is refused would take the holder for unreachable. A
	// VM sends its Hello at once.
	maxHandshakes = 256
	// handshakeTimeout limits the time until the Hello, also while its bytes arrive one at a time.
	handshakeTimeout = 3 * time.Second
)

// ErrTooManyConnections is the reason for refusing a connection.
var ErrTooManyConnections = errors.New("too many connections of other VMs")

// ErrSlowPeer is the reason for closing a connection whose send queue is full.
var ErrSlowPeer = errors.New("send queue is full: the peer does not read its messages in time")

// Config configures the connections of a VM.
type Config struct {
	Self    Hello
	Traffic *traffic.Meter // may be nil
	// Clock returns a reading of the VM's clock, time of suspension included. Messages carry it, so that the other VM
	// can return it; nil leaves the readings out.
	Clock func() time.Duration
	// OnReceive is called for received bytes before they are handled; it may be nil.
	OnReceive func()
	// MaxInbound limits the connections that other VMs have opened, 0 for no limit. Of those, maxHandshakes may be without a
	// Hello.
	MaxInbound int
	// Reserve reserves memory for a long message of a VM, and Release returns it; nil stands for no limit.
	Reserve func(vm string, bytes int) bool
	Release func(vm string, bytes int)
	// OnRefuse is called for each connection that is refused or closed for a limit; it may be nil.
	OnRefuse func(remote net.Addr, err error)
	// Dial opens a connection to another VM; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Conn is a connection to another VM.
type Conn struct {
	config      Config
	conn        net.Conn
	sendQueue   chan Message
	closed      chan struct{}
	once        sync.Once
	err         error
	remote      Hello
	established func() // is called when the Hello has arrived

	mu          sync.Mutex
	schedule    heartbeatSchedule
	remoteClock clockBound
}

// Remote returns the Hello of the other VM; it is empty until the Hello has arrived.
func (c *Conn) Remote() Hello { return c.remote }

// Send queues a message. It never blocks: if the send queue is full, it closes the connection with ErrSlowPeer.
func (c *Conn) Send(m Message) {
	c.trackMessage(m)
	select {
	case c.sendQueue <- m:
	case <-c.closed:
	default:
		c.Close(ErrSlowPeer)
	}
}

// Close closes the connection; the handler gets the reason of the first call.
func (c *Conn) Close(reason error) {
	c.once.Do(func() {
		c.err = errors.Join(reason, c.conn.Close())
		close(c.closed)
	})
}

// Handler handles the events of connections. Each connection calls it from one goroutine.
type Handler interface {
	// Opened is called when the Hello of the other VM has arrived, before any other message.
	Opened(c *Conn)
	// Received is called for each message after the Hello, in order.
	Received(c *Conn, m Message)
	// Closed is called once, after the last message, unless the connection ended before the Hello.
	Closed(c *Conn, err error)
}

// Dial opens a connection to another VM and serves it until it ends or ctx is cancelled; it returns the reason.
func Dial(ctx context.Context, address string, config Config, handler Handler) error {
	dial := config.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	return serve(ctx, conn, config, handler)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Serve accepts and serves connections until ctx is cancelled, which closes the listener and the connections, or the
// listener fails. It returns when all connections have ended: nil after a cancellation, otherwise the listener's error.
func Serve(ctx context.Context, listener net.Listener, config Config, handler Handler) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // the failure shows in Accept
	defer stop()
	limit := inboundLimit{max: config.MaxInbound}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				err = nil
			}
			return errors.Join(err, group.Wait())
		}
		if !limit.open() {
			config.refused(conn.RemoteAddr(), ErrTooManyConnections)
			_ = conn.Close() // nothing was sent on it
			continue
		}
		group.Go(func() error {
			established := false
			err := serveHandshake(ctx, conn, config, handler, func() {
				established = true
				limit.established()
			})
			limit.close(established)
			if errors.Is(err, ErrFrameTooLong) || errors.Is(err, ErrNoMemory) || errors.Is(err, errNoHandshake) {
				config.refused(conn.RemoteAddr(), err)
			}
			return nil // the handler has received the error
		})
	}
}

func (c Config) refused(remote net.Addr, err error) {
	if c.OnRefuse != nil {
		c.OnRefuse(remote, err)
	}
}

// inboundLimit counts inbound connections.
type inboundLimit struct {
	max int // 0 for no limit

	mu           sync.Mutex
	all, pending int
}

func (l *inboundLimit) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && (l.all >= l.max || l.pending >= maxHandshakes) {
		return false
	}
	l.all++
	l.pending++
	return true
}

func (l *inboundLimit) established() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}

func (l *inboundLimit) close(established bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all--
	if !established {
		l.pending--
	}
}

func serve(ctx context.Context, conn net.Conn, config Config, handler Handler) error {
	return serveHandshake(ctx, conn, config, handler, func() {})
}

// errNoHandshake is the reason for closing a connection whose Hello has not come in time.
var errNoHandshake = errors.New("no Hello in time")

// serveHandshake serves a connection and calls established once, when the Hello has arrived.
func serveHandshake(ctx context.Context, conn net.Conn, config Config, handler Handler, established func()) error {
	c := &Conn{config: config, conn: conn, established: established, sendQueue: make(chan Message, sendQueueSize), closed: make(chan struct{}), schedule: heartbeatSchedule{activeSubmissions: map[uint64]struct{}{}}}
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	defer stop()
	var group errgroup.Group
	hello := config.Self
	hello.Clock = c.clock()
	c.sendQueue <- hello
	group.Go(func() error {
		err := c.write()
		c.Close(err)
		return nil
	})
	handshake := time.AfterFunc(handshakeTimeout, func() { c.Close(errNoHandshake) })
	err := c.read(handler, handshake)
	handshake.Stop()
	c.Close(err)
	_ = group.Wait() // returns no error
	if c.remote.VM != "" {
		handler.Closed(c, c.err)
	}
	return c.err
}

func (c *Conn) read(handler Handler, handshake *time.Timer) error {
	buffer := &countingReader{Reader: bufio.NewReaderSize(deadlineReader{c}, flushBytes), frames: frameScanner{limit: maxHelloFrame}}
	decoder := gob.NewDecoder(buffer)
	reserved := 0 // for the frames of the present message
	release := func() {
		if reserved > 0 {
			c.config.Release(c.remote.VM, reserved)
			reserved = 0
		}
	}
	defer release()
	if c.config.Reserve != nil {
		buffer.frames.reserve = func(bytes int) error {
			if !c.config.Reserve(c.remote.VM, bytes) {
				return ErrNoMemory
			}
			reserved += bytes
			return nil
		}
	}
	for {
		var e envelope
		if err := decoder.Decode(&e); err != nil {
			return err
		}
		release()
		c.config.Traffic.CountReceived(purpose(e.Message), buffer.takeCount())
		if hello, ok := e.Message.(Hello); ok {
			if c.remote.VM == "" && hello.VM != "" {
				handshake.Stop()
				c.established()
				buffer.frames.limit = maxFrame
			}
			c.remote = hello
			c.observeClock(hello.Clock)
			handler.Opened(c)
			continue
		}
		if c.remote.VM == "" {
			return errors.New("peer sent a message before its Hello")
		}
		c.trackReceived(e.Message)
		handler.Received(c, e.Message)
	}
}

func (c *Conn) write() error {
	buffer := bufio.NewWriterSize(c.conn, flushBytes)
	counted := &countingWriter{Writer: buffer}
	encoder := gob.NewEncoder(counted)
	for {
		var m Message
		select {
		case m = <-c.sendQueue:
		case <-c.closed:
			return nil
		}
		if err := encoder.Encode(envelope{m}); err != nil {
			return err
		}
		c.config.Traffic.CountSent(purpose(m), counted.takeCount())
		if len(c.sendQueue) > 0 {
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
