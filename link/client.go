package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"samphireplank.example/samphireplank/link/linkpb"
)

// Default timeouts, used where ClientConfig leaves a field zero.
const (
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultExchangeTimeout = 500 * time.Millisecond
	DefaultCallTimeout     = 35 * time.Second // above the max deadline of a job
)

// ExchangeOverhead is the max number of bytes that HTTP/2 adds to a batch and an empty answer on an open connection,
// excluding TCP and IP. A sender with a byte budget adds it to the size of each batch.
const ExchangeOverhead = 50

// A connection that receives no frame within the ping interval is pinged, and closed if the ping isn't answered within
// another interval. After a partition, TCP alone would wait up to a minute for its next retransmission. Connections
// that carry submissions have a longer interval, since closing one makes the outcome of the submissions on it unknown.
const (
	controlPingInterval = time.Second
	callPingInterval    = 5 * time.Second
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	DialTimeout     time.Duration
	ExchangeTimeout time.Duration // of Exchange
	CallTimeout     time.Duration // of the other calls, unless their context ends earlier
	MaxMessageSize  int           // bytes of an answer
	Dial            func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls peers over two connections each: one for Exchange, so that large submissions don't delay it, and one
// for the other calls.
type Client struct {
	config              ClientConfig
	controlPingInterval time.Duration
	callPingInterval    time.Duration
	mu                  sync.RWMutex
	peers               map[string]*peer // by address
}

// peer holds the transports and RPC clients for one entry VM.
type peer struct {
	control, calls *http.Transport
	exchange, call linkpb.LinkClient
}

// Error describes a failed call to a peer and reports whether the peer may have received it.
type Error struct {
	Address   string
	Call      string
	MaybeSent bool // bytes of the call may have reached the peer
	Err       error
}

// Error names the call, the address of the peer, whether the peer may have received the call, and the cause.
func (e *Error) Error() string {
	state := "not sent"
	if e.MaybeSent {
		state = "may have been received"
	}
	return fmt.Sprintf("%s to entry VM at %s failed, %s: %v", e.Call, e.Address, state, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// NewClient returns a client; connections are opened by the first calls.
func NewClient(config ClientConfig) *Client {
	setDefault(&config.DialTimeout, DefaultDialTimeout)
	setDefault(&config.ExchangeTimeout, DefaultExchangeTimeout)
	setDefault(&config.CallTimeout, DefaultCallTimeout)
	setDefault(&config.MaxMessageSize, DefaultMaxMessageSize)
	if config.Dial == nil {
		dialer := &net.Dialer{Timeout: config.DialTimeout}
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{config: config, controlPingInterval: controlPingInterval, callPingInterval: callPingInterval, peers: make(map[string]*peer)}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Exchange sends a batch and returns the batch that the peer sends in reply.
func (c *Client) Exchange(ctx context.Context, address string, batch *linkpb.Batch) (*linkpb.Batch, error) {
	return send(ctx, address, "exchange", c.config.ExchangeTimeout, c.peer(address).exchange.Exchange, batch)
}

// Forward sends a submission at most once and returns its answer. After an *Error with MaybeSent the outcome is
// unknown.
func (c *Client) Forward(ctx context.Context, address string, r *linkpb.ForwardRequest) (*linkpb.Answer, error) {
	return send(ctx, address, "forward", c.config.CallTimeout, c.peer(address).call.Forward, r)
}

// Lookup requests the answer of an id from its home.
func (c *Client) Lookup(ctx context.Context, address string, r *linkpb.LookupRequest) (*linkpb.Answer, error) {
	return sendRead(ctx, address, "lookup", c.config.CallTimeout, c.peer(address).call.Lookup, r)
}

// Cancel cancels the submission with an id at its home.
func (c *Client) Cancel(ctx context.Context, address string, r *linkpb.CancelRequest) (*linkpb.Answer, error) {
	return send(ctx, address, "cancel", c.config.CallTimeout, c.peer(address).call.Cancel, r)
}

// State requests parts of a peer's state.
func (c *Client) State(ctx context.Context, address string, r *linkpb.StateRequest) (*linkpb.StateResponse, error) {
	return sendRead(ctx, address, "state", c.config.CallTimeout, c.peer(address).call.State, r)
}

// sendRead makes a call without effect on the peer. It makes it once more if the server was closing the connection when the call was
// written, which the client may learn only afterwards.
func sendRead[Q, A any](ctx context.Context, address, name string, timeout time.Duration, call func(context.Context, *Q) (*A, error), request *Q) (*A, error) {
	answer, err := send(ctx, address, name, timeout, call, request)
	var failed *Error
	if errors.As(err, &failed) && failed.MaybeSent && connect.CodeOf(err) == connect.CodeUnavailable && ctx.Err() == nil {
		return send(ctx, address, name, timeout, call, request)
	}
	return answer, err
}

// send makes one call within the timeout; its error says whether a connection was used for the call.
func send[Q, A any](ctx context.Context, address, name string, timeout time.Duration, call func(context.Context, *Q) (*A, error), request *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := &sentFlag{}
	answer, err := call(context.WithValue(ctx, sentKey{}, sent), request)
	if err != nil {
		return nil, &Error{Address: address, Call: name, MaybeSent: sent.get(), Err: withDeadline(err)}
	}
	return answer, nil
}

// withDeadline makes an error match context.DeadlineExceeded also if the peer, which receives the timeout with the
// call, detected it first.
func withDeadline(err error) error {
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(err, context.DeadlineExceeded)
	}
	return err
}

func (c *Client) peer(address string) *peer {
	c.mu.RLock()
	p := c.peers[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.peers[address]; p == nil {
		p = c.newPeer(address)
		c.peers[address] = p
	}
	return p
}

func (c *Client) newPeer(address string) *peer {
	p := &peer{control: c.transport(c.controlPingInterval), calls: c.transport(c.callPingInterval)}
	p.exchange = c.linkClient(p.control, address)
	p.call = c.linkClient(p.calls, address)
	return p
}

func (c *Client) linkClient(transport *http.Transport, address string) linkpb.LinkClient {
	client := &http.Client{Transport: noRetryTransport{transport}}
	return linkpb.NewLinkClient(client, "http://"+address, connect.WithReadMaxBytes(c.config.MaxMessageSize))
}

func (c *Client) transport(ping time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.config.Dial(ctx, address)
		},
		Protocols:          protocols,
		DisableCompression: true, // connect negotiates compression itself
		MaxConnsPerHost:    1,    // net/http hands a new connection to its first call before it shares it with others
		HTTP2:              &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: ping},
	}
}

// ClosePeer removes a peer that is gone and closes its idle connections.
func (c *Client) ClosePeer(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.control.CloseIdleConnections()
		p.calls.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		p.control.CloseIdleConnections()
		p.calls.CloseIdleConnections()
		delete(c.peers, address)
	}
}
