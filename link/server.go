package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"samphireplank.example/samphireplank/link/linkpb"
)

// DefaultMaxMessageSize is the default max size of a message in bytes. It allows for the answer of a job with many
// large results.
const DefaultMaxMessageSize = 32 << 20

// minCompressSize is the min size in bytes of compressed answers: sets and tables reach it, control messages don't.
const minCompressSize = 16 << 10

// headerTimeout is the timeout for reading the headers of a request.
const headerTimeout = 5 * time.Second

// Limits of one connection. Many forwards wait for their answers at a time; net/http allows 250 streams by default,
// beyond which a peer would open further connections.
const (
	maxStreams           = 4096
	connectionBufferSize = 8 << 20 // bytes of unread requests
)

// Handler handles the requests of peers; its methods are called concurrently.
type Handler interface {
	// Exchange processes a batch of a peer and returns the batch for that peer.
	Exchange(ctx context.Context, batch *linkpb.Batch) (*linkpb.Batch, error)
	// Forward runs a submission and returns its answer; after an error, a task may have started.
	Forward(ctx context.Context, r *linkpb.ForwardRequest) (*linkpb.Answer, error)
	// Lookup returns the answer of an id whose home is this VM.
	Lookup(ctx context.Context, r *linkpb.LookupRequest) (*linkpb.Answer, error)
	// Cancel cancels an id whose home is this VM and returns its present answer, which may be pending.
	Cancel(ctx context.Context, r *linkpb.CancelRequest) (*linkpb.Answer, error)
	// State returns the requested parts of the state.
	State(ctx context.Context, r *linkpb.StateRequest) (*linkpb.StateResponse, error)
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Handler        Handler
	MaxMessageSize int // max bytes of a request
}

// Server serves the requests of peers.
type Server struct{ http *http.Server }

// NewServer returns a server; Serve starts it.
func NewServer(config ServerConfig) *Server {
	if config.MaxMessageSize <= 0 {
		config.MaxMessageSize = DefaultMaxMessageSize
	}
	mux := http.NewServeMux()
	mux.Handle(linkpb.NewLinkHandler(config.Handler,
		connect.WithReadMaxBytes(config.MaxMessageSize), connect.WithCompressMinBytes(minCompressSize)))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{http: &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connectionBufferSize},
	}}
}

// Serve accepts connections on the listener until Shutdown or Close, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops listening and waits for the requests in progress, at most until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close stops listening and closes all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
